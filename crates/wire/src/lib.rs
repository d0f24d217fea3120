//! Frames between daemons and their codec.
