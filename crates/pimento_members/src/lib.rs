//! Membership inside a failure domain and summaries between domains.
