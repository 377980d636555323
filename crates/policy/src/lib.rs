//! The decisions of comfreyturn, free of input and output.
//!
//! Each deciding function takes the present time as an argument; none reads a clock. A decision
//! that was chosen by measurement keeps its baselines beside it.

mod ack_tally;
mod address_order;
mod admission_queue;
mod capacity_share;
mod comeback_schedule;
mod config_rules;
mod config_state;
mod crash_ledger;
mod customer_limits;
mod demand_meter;
mod fair_queue;
mod fair_schedule;
mod first_fit_planner;
mod freshness_gauge;
mod group_load;
mod group_planner;
mod group_router;
mod group_table;
mod home_fraction;
mod lease_term;
mod limit_share;
mod load_router;
mod random_router;
mod report_router;
mod retry_budget;
mod service_lane;
mod service_meter;
mod share_loan;
mod share_retry_budget;
mod straggler_watch;
mod suspect_ledger;
mod token_bucket;
mod turn_router;
mod watch_assignment;
mod whole_group;

pub use ack_tally::*;
pub use address_order::*;
pub use admission_queue::*;
pub use capacity_share::*;
pub use config_rules::*;
pub use config_state::*;
pub use crash_ledger::*;
pub use fair_queue::*;
pub use first_fit_planner::*;
pub use freshness_gauge::*;
pub use group_planner::*;
pub use group_router::*;
pub use group_table::*;
pub use lease_term::*;
pub use limit_share::*;
pub use load_router::*;
pub use random_router::*;
pub use report_router::*;
pub use retry_budget::*;
pub use share_loan::*;
pub use share_retry_budget::*;
pub use straggler_watch::*;
pub use suspect_ledger::*;
pub use turn_router::*;
pub use watch_assignment::*;
pub use whole_group::*;
