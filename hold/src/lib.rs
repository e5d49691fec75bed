//! The durable queue: messages, copies, attempts, ends and ceilings; a state machine without I/O.
