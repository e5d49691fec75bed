//! Records on disk: an okaywal with a snapshot, one writer, one queue.
