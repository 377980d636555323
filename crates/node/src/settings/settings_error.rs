//! Errors in a settings file.

use std::io;

/// An error in a settings file. Displayed as one line with file, line and key.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{file}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },

    /// The text is not YAML, has an unknown key, lacks a required key, or has a value of the wrong
    /// type.
    #[display("{file}:{line}: {reason}")]
    Malformed {
        /// The file.
        file: String,
        /// The line, from one; zero if it is not known.
        line: u64,
        /// What is wrong, naming the key.
        reason: String,
    },

    /// Two values conflict, or one is out of range.
    #[display("{file}:{line}: {key}: {reason}")]
    Invalid {
        /// The file.
        file: String,
        /// The line of the key, from one; zero if the key is absent.
        line: u64,
        /// The key.
        key: &'static str,
        /// What is wrong.
        reason: &'static str,
    },
}

/// Result of reading settings.
pub type SettingsResult<T, E = SettingsError> = std::result::Result<T, E>;
