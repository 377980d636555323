//! Waiting requests of one priority that are equally in time or late.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use comfreyturn_types::{CustomerName, RouteName};

use crate::{WaitingTicket, fair_schedule::FairSchedule};

/// Releases after which customers without waiting requests are removed from the schedule.
const SCHEDULE_PRUNING_PERIOD: u32 = 1024;

type Customer = Option<CustomerName>;

/// Position of a request among those of its customer and kind, and its ticket.
pub(crate) type RequestPosition = (Instant, WaitingTicket);

/// The waiting requests of one customer and kind.
#[derive(Debug, Default)]
struct CustomerRequests {
    /// The customer's virtual start time as in `KindRequests::order`.
    start: u64,

    /// Invariant: not empty.
    requests: BTreeSet<RequestPosition>,
}

/// The waiting requests of one kind.
#[derive(Debug, Default)]
struct KindRequests {
    customers: BTreeMap<Customer, CustomerRequests>,

    /// The customers by virtual start time. Invariant: holds exactly those in `customers`.
    order: BTreeSet<(u64, Customer)>,
}

impl KindRequests {
    fn set_start(&mut self, customer: &Customer, start: u64) {
        if let Some(found) = self.customers.get_mut(customer) {
            self.order.remove(&(found.start, customer.clone()));
            found.start = start;
            self.order.insert((start, customer.clone()));
        }
    }

    fn remove(&mut self, customer: &Customer, position: RequestPosition) {
        let Some(found) = self.customers.get_mut(customer) else { return };
        found.requests.remove(&position);
        if found.requests.is_empty() {
            self.order.remove(&(found.start, customer.clone()));
            self.customers.remove(customer);
        }
    }
}

/// Waiting requests of one priority that are equally in time or late, in the order of start-time
/// fair queueing over customers.
#[derive(Debug)]
pub(crate) struct WaitingLevel {
    /// Invariant: none is empty.
    kinds: BTreeMap<RouteName, KindRequests>,
    schedule: FairSchedule<Customer>,

    /// Number of waiting requests of each customer. Invariant: none is zero.
    counts: HashMap<Customer, usize>,
    len: usize,
    unpruned: u32,
}

impl WaitingLevel {
    pub(crate) fn new() -> Self {
        Self {
            kinds: BTreeMap::new(),
            schedule: FairSchedule::new(),
            counts: HashMap::new(),
            len: 0,
            unpruned: 0,
        }
    }

    #[inline]
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Requests that are served before a new one of a customer: of each other customer as many as
    /// of this one.
    pub(crate) fn ahead(&self, customer: &Customer) -> usize {
        let own = self.counts.get(customer).copied().unwrap_or_default();
        let others = self.counts.len() - usize::from(own > 0);
        (own + (own + 1) * others).min(self.len)
    }

    pub(crate) fn insert(&mut self, kind: &RouteName, customer: &Customer, at: RequestPosition) {
        let count = self.counts.entry(customer.clone()).or_default();
        if *count == 0 {
            self.schedule.activate(customer, 1.0);
        }
        *count += 1;
        self.len += 1;
        let start = self.schedule.start(customer).to_bits();
        let kind = self.kinds.entry(kind.clone()).or_default();
        kind.customers.entry(customer.clone()).or_default().requests.insert(at);
        kind.set_start(customer, start);
    }

    pub(crate) fn remove(&mut self, kind: &RouteName, customer: &Customer, at: RequestPosition) {
        if let Some(found) = self.kinds.get_mut(kind) {
            found.remove(customer, at);
            if found.customers.is_empty() {
                self.kinds.remove(kind);
            }
        }
        if let Some(count) = self.counts.get_mut(customer) {
            *count -= 1;
            self.len -= 1;
            if *count == 0 {
                self.counts.remove(customer);
            }
        }
    }

    /// The request that is served next: of a kind that is far below its share, if one waits, else
    /// of the customer with the least virtual start time. `newest` takes the customer's last
    /// position, else its first.
    pub(crate) fn next(
        &self,
        is_short: impl Fn(&RouteName) -> bool,
        newest: bool,
    ) -> Option<WaitingTicket> {
        let by_start = |kind: &&KindRequests| kind.order.first().map(|(start, _)| *start);
        let short = self.kinds.iter().filter(|(name, _)| is_short(name)).map(|(_, kind)| kind);
        let kind =
            short.min_by_key(by_start).or_else(|| self.kinds.values().min_by_key(by_start))?;
        let (_, customer) = kind.order.first()?;
        let requests = &kind.customers.get(customer)?.requests;
        let position = if newest { requests.last() } else { requests.first() };
        position.map(|(_, ticket)| *ticket)
    }

    /// Charges a customer for a request that runs now.
    pub(crate) fn charge(&mut self, customer: &Customer) {
        self.schedule.serve(customer, 1.0, 1.0);
        let start = self.schedule.start(customer).to_bits();
        for kind in self.kinds.values_mut() {
            kind.set_start(customer, start);
        }
        self.unpruned += 1;
        if self.unpruned >= SCHEDULE_PRUNING_PERIOD {
            self.unpruned = 0;
            self.schedule.remove_idle(|customer| self.counts.contains_key(customer));
        }
    }

    /// The customer's request that would be served last of its own.
    pub(crate) fn last_of(&self, customer: &Customer) -> Option<WaitingTicket> {
        let own = self.kinds.values().filter_map(|kind| kind.customers.get(customer));
        let last = own.filter_map(|found| found.requests.last()).max();
        last.map(|(_, ticket)| *ticket)
    }
}
