//! Tests of the servers over TCP.

mod common;
mod engine_server;
mod plain_server;
mod platform_server;
mod relay_server;
mod stop;
