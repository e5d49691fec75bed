//! Who decides on the control state, and which copies hold it: a state machine without I/O.
