//! A baseline router: a random group.

use std::time::{Duration, Instant};

use comfreyturn_types::GroupId;
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::{GroupRouter, RouteEnd, RouteQuery, WholeGroup};

/// Chooses a group at random. A baseline to measure [`crate::LoadRouter`] against.
#[derive(Debug)]
pub struct RandomRouter {
    rng: Xoshiro256PlusPlus,
}

impl RandomRouter {
    /// Creates a router. Equal seeds give the same sequence of draws.
    pub fn new(seed: u64) -> Self {
        Self { rng: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }
}

impl GroupRouter for RandomRouter {
    fn choose(&mut self, _: Instant, _: &RouteQuery, groups: &[WholeGroup]) -> Option<GroupId> {
        if groups.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..groups.len());
        Some(groups[index].assignment.group.clone())
    }

    fn started(&mut self, _: Instant, _: &GroupId, _: &RouteQuery) {}

    fn first_token(&mut self, _: Instant, _: &GroupId, _: Duration) {}

    fn ended(&mut self, _: Instant, _: &GroupId, _: RouteEnd) {}
}
