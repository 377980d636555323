//! gRPC server for operators, which also serves metrics as text on the same port.

mod operator_lists;
mod operator_server;
mod operator_service;

pub use operator_server::OperatorServer;
pub use operator_service::OperatorService;
