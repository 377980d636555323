//! The schemas of operators and peers, with their generated code.
//!
//! The schemas stand in `schema/`; the code in `src/generated/` is made of them by
//! `cargo test -p comfreyturn_proto` with `UPDATE_GENERATED=1` set, and compared by the same test
//! otherwise, so that the build needs no generator.
//!
//! Messages of operators convert to and from `comfreyturn_types` with `From` and `TryFrom`; a
//! change that an operator asks for reads as a [`RequestedChange`].

mod convert;
mod convert_change;
mod convert_error;

pub use convert_change::*;
pub use convert_error::*;

/// The operators' remote procedure calls.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::allow_attributes)]
pub mod operator {
    include!("generated/comfreyturn.operator.v1.rs");
}

/// The protocol between nodes.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::allow_attributes)]
pub mod peer {
    include!("generated/comfreyturn.peer.v1.rs");
}
