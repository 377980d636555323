//! Errors of converting messages.

/// Why a message cannot be converted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ConvertFault {
    /// A name is empty.
    #[display("name is missing")]
    MissingName,

    /// The message contains no change, or one that this release does not know.
    #[display("change is missing or of an unknown kind")]
    MissingChange,

    /// A service has neither a model backend nor a plain backend.
    #[display("backend is missing")]
    MissingBackend,

    /// The precondition is of a kind that this release does not know.
    #[display("unknown precondition")]
    UnknownPrecondition,

    /// A number that must be positive is zero.
    #[display("must be positive")]
    NotPositive,

    /// A weight is negative or not a finite number.
    #[display("must be a number of at least zero")]
    BadWeight,
}

/// A message that cannot be converted.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{subject}: {fault}")]
pub struct ConvertError {
    /// The invalid part, such as `customer north: weight`.
    pub subject: String,

    /// The reason.
    pub fault: ConvertFault,
}

/// Result of converting a message.
pub type ConvertResult<T, E = ConvertError> = std::result::Result<T, E>;

impl ConvertError {
    pub(crate) fn new(subject: impl Into<String>, fault: ConvertFault) -> Self {
        Self { subject: subject.into(), fault }
    }
}
