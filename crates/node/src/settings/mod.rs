//! The settings of a node, read from YAML and checked before any socket opens.

mod caller_settings;
mod node_settings;
mod settings_error;
mod store_settings;

pub use caller_settings::*;
pub use node_settings::*;
pub use settings_error::*;
pub use store_settings::*;
