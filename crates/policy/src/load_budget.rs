//! How many VMs may load weights at once.

/// Keeps the VMs that load at once within what the weight store serves at full speed, so that
/// those that save the most downtime for each byte are done first.
#[derive(Clone, Copy, Debug)]
pub struct LoadBudget {
    slots: usize,

    /// VMs that load, or were told to in this plan.
    loading: usize,
}

impl LoadBudget {
    /// A budget of `slots` VMs at once, `loading` of which are taken.
    pub fn new(slots: usize, loading: usize) -> Self {
        Self { slots, loading }
    }

    /// VMs that load, or were told to in this plan.
    #[inline]
    pub fn loading(&self) -> usize {
        self.loading
    }

    /// Takes `count` slots, all or none. A load larger than the budget goes when nothing else
    /// loads.
    pub fn take(&mut self, count: usize) -> bool {
        let fits = self.loading == 0 || self.loading + count <= self.slots;
        if fits {
            self.loading += count;
        }
        fits
    }
}
