//! The schemas of operators and peers, with their generated code.
//!
//! The schemas stand in `schema/`; the code in `src/generated/` is made of them by
//! `cargo test -p comfreyturn_proto` with `UPDATE_GENERATED=1` set, and compared by the same test
//! otherwise, so that the build needs no generator.

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
