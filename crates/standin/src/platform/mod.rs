//! The platform: table service, list of VMs and weight store.

mod platform_faults;
mod platform_server;
mod vm_list;
mod weight_store;

pub use platform_faults::*;
pub use platform_server::*;
pub(crate) use vm_list::*;
pub(crate) use weight_store::*;
