//! Everything in one process: platform, engines, a plain service and nodes, each on a thread.

mod lab_backends;
mod lab_layout;
mod lab_nodes;
mod lab_ready;
mod lab_run;

pub(crate) use lab_run::run_lab;
