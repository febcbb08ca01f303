//! Steering: look-ups by block, headroom, link budgets and retries.
