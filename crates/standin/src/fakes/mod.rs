//! Fakes.
