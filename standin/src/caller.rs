//! The stand-in for a caller.
