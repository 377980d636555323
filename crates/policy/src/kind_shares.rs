//! The share of each kind of request that was served lately.

use std::collections::BTreeMap;

use comfreyturn_types::RouteName;

/// A kind whose served share is below this part of that of all kinds is far below it.
const SHORT_PART: f64 = 0.5;

/// Requests after which all counts are halved, so that they tell of the last few hundred.
const COUNTED_REQUESTS: f64 = 512.0;

/// Requests of a kind from which on its share is known.
const LEAST_ARRIVED: f64 = 8.0;

/// A kind with fewer counted requests is forgotten.
const FORGOTTEN_ARRIVED: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct KindCounts {
    arrived: f64,
    served: f64,
}

impl KindCounts {
    fn halve(&mut self) {
        self.arrived /= 2.0;
        self.served /= 2.0;
    }
}

/// Counts of the requests that had to wait, and of those that were served, by kind.
#[derive(Debug, Default)]
pub(crate) struct KindShares {
    kinds: BTreeMap<RouteName, KindCounts>,
    total: KindCounts,
}

impl KindShares {
    pub(crate) fn record_arrival(&mut self, kind: &RouteName) {
        self.kinds.entry(kind.clone()).or_default().arrived += 1.0;
        self.total.arrived += 1.0;
        if self.total.arrived > COUNTED_REQUESTS {
            self.total.halve();
            self.kinds.values_mut().for_each(KindCounts::halve);
            self.kinds.retain(|_, counts| counts.arrived >= FORGOTTEN_ARRIVED);
        }
    }

    pub(crate) fn record_served(&mut self, kind: &RouteName) {
        if let Some(counts) = self.kinds.get_mut(kind) {
            counts.served += 1.0;
            self.total.served += 1.0;
        }
    }

    /// Whether a much smaller share of this kind is served than of all.
    pub(crate) fn is_short(&self, kind: &RouteName) -> bool {
        let Some(counts) = self.kinds.get(kind) else { return false };
        counts.arrived >= LEAST_ARRIVED
            && counts.served * self.total.arrived < SHORT_PART * self.total.served * counts.arrived
    }
}
