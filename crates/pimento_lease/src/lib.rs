//! Target leases: one entry VM admits for one target at a time.
