//! A cell of nodes over fakes: its answers to operators, and outages larger than one step.

mod config_apply;
mod outages;
mod steady_cell;
#[path = "../support/mod.rs"]
mod support;
