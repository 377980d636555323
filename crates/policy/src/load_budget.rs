//! Limit on the number of VMs that load weights concurrently.

/// Limits concurrent loads to the number that the weight store serves at full speed, so that the
/// loads that save the most downtime per byte finish first.
#[derive(Clone, Copy, Debug)]
pub struct LoadBudget {
    slots: usize,

    /// VMs that are loading or were ordered to load by this plan.
    loading: usize,
}

impl LoadBudget {
    /// A budget of `slots` concurrent loads, `loading` of which are taken.
    pub fn new(slots: usize, loading: usize) -> Self {
        Self { slots, loading }
    }

    /// VMs that are loading or were ordered to load by this plan.
    #[inline]
    pub fn loading(&self) -> usize {
        self.loading
    }

    /// Takes `count` slots, or none, and returns whether it took them. A load larger than the
    /// budget is allowed when nothing else loads.
    pub fn take(&mut self, count: usize) -> bool {
        let fits = self.loading == 0 || self.loading + count <= self.slots;
        if fits {
            self.loading += count;
        }
        fits
    }
}
