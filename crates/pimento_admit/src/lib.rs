//! Admission: slots, queues, classes, fair shares and adaptive limits.
