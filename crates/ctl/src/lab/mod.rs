//! Runs platform, engines, a plain service and nodes in one process, on separate threads.

mod lab_backends;
mod lab_layout;
mod lab_nodes;
mod lab_ready;
mod lab_run;

pub(crate) use lab_run::run_lab;
