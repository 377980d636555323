//! The cases.

mod interim;
mod leaving;
mod same_ids;
mod shared_part;
mod silent_member;
mod stale_key;
mod two_groups;
mod unmarked_ends;

use crate::{End, Scene};

pub fn run(case: &str, scene: &Scene) -> std::io::Result<End> {
    match case {
        "silent-member" => silent_member::run(scene),
        "stale-key" => stale_key::run(scene),
        "unmarked-ends" => unmarked_ends::run(scene),
        "same-ids" => same_ids::run(scene),
        "leaving" => leaving::run(scene),
        "shared-part" => shared_part::run(scene),
        "interim" => interim::run(scene),
        "two-groups" => two_groups::run(scene),
        _ => Ok(End::NotRun(format!("no case {case}"))),
    }
}
