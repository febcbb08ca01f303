//! At-most-once claims, stored answers and caps as a pure state machine.
