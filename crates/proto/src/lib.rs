//! The protobuf schemas for operators and peers, with their generated code.
//!
//! The schemas are in `schema/`. The code in `src/generated/` is generated from them by
//! `cargo test -p comfreyturn_proto` if `UPDATE_GENERATED=1` is set. Otherwise that test compares
//! the code with the schemas. So the build needs no generator.
//!
//! Messages of operators convert to and from `comfreyturn_types` with `From` and `TryFrom`; a
//! change requested by an operator is decoded as a [`RequestedChange`].

mod convert;
mod convert_change;
mod convert_error;

pub use convert_change::*;
pub use convert_error::*;

/// The gRPC interface for operators.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::allow_attributes)]
pub mod operator {
    include!("generated/comfreyturn.operator.v1.rs");
}

/// The protocol between nodes.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::allow_attributes)]
pub mod peer {
    include!("generated/comfreyturn.peer.v1.rs");
}
