//! Stand-in targets for tests, examples and the development mode.
