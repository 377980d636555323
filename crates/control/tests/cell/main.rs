//! Tests of a cell of nodes over fakes: configuration changes, and outages that are longer than one
//! protocol step.

mod config_apply;
mod outages;
mod steady_cell;
#[path = "../support/mod.rs"]
mod support;
