//! Parts of prompts.

/// A part of a prompt, as a hash of its name. Requests share parts, such as the instructions of a
/// service or a document; the last part of a prompt belongs to the request alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:016x}")]
pub struct PromptPart(pub u64);
