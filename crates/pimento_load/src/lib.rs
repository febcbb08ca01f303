//! Open-loop load tool that behaves as a caller.
