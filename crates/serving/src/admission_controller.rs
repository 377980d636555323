//! Waits for the decisions of the admission queue.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{AdmissionDecision, AdmissionQuery, AdmissionTicket, CustomerShare};
use comfreyturn_types::{CustomerName, RefusalReason, ServiceName};

use crate::{
    Refusal, Result, ServingPolicies, ServingPorts, capacity_controller::CapacityController,
};

type AdmissionResult = Result<AdmissionPermit>;

/// Makes the decisions of the admission queue awaitable.
pub(crate) struct AdmissionController {
    ports: ServingPorts,
    policies: Rc<RefCell<ServingPolicies>>,
    poll_period: Duration,
    capacity: CapacityController,
    waiters: RefCell<BTreeMap<AdmissionTicket, QueueWaiter>>,
    polling: Cell<bool>,
}

impl AdmissionController {
    pub(crate) fn new(
        ports: ServingPorts,
        policies: Rc<RefCell<ServingPolicies>>,
        capacity: CapacityController,
        poll_period: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            ports,
            policies,
            capacity,
            poll_period,
            waiters: RefCell::default(),
            polling: Cell::new(false),
        })
    }

    /// Updates the queue with the service's capacity and the customer's share of its limits.
    pub(crate) fn prepare(
        &self,
        service: &ServiceName,
        customer: &CustomerName,
        share: CustomerShare,
    ) {
        let now = self.ports.now();
        self.refresh(now, service);
        self.policies.borrow_mut().queue.set_share(now, customer, share);
    }

    fn refresh(&self, now: Instant, service: &ServiceName) {
        let concurrent = self.capacity.capacity(now, service);
        self.policies.borrow_mut().queue.set_capacity(now, service, concurrent);
    }

    /// Waits until a request may run or is refused.
    pub(crate) async fn admit(self: &Rc<Self>, query: &AdmissionQuery) -> AdmissionResult {
        let decision = self.policies.borrow_mut().queue.submit(self.ports.now(), query);
        match decision {
            AdmissionDecision::Run(ticket) => Ok(self.permit(ticket, &query.service)),
            AdmissionDecision::Refuse { reason, retry_after } => {
                Err(Refusal::not_run(reason).with_retry_after(retry_after))
            }
            AdmissionDecision::Wait(ticket) => self.wait(ticket, &query.service).await,
        }
    }

    async fn wait(
        self: &Rc<Self>,
        ticket: AdmissionTicket,
        service: &ServiceName,
    ) -> AdmissionResult {
        let (reply, receiver) = flume::bounded(1);
        let waiter = QueueWaiter { service: service.clone(), reply };
        self.waiters.borrow_mut().insert(ticket, waiter);
        let _entry = QueueEntry { controller: self.clone(), ticket };
        self.start_polling();
        match receiver.recv_async().await {
            Ok(reply) => reply,
            Err(_) => Err(Refusal::not_run(RefusalReason::Overloaded)),
        }
    }

    fn permit(self: &Rc<Self>, ticket: AdmissionTicket, service: &ServiceName) -> AdmissionPermit {
        self.capacity.enter(service);
        let (controller, service) = (self.clone(), service.clone());
        AdmissionPermit { controller, service, ticket, tokens: Cell::new(0) }
    }

    fn start_polling(self: &Rc<Self>) {
        if self.polling.replace(true) {
            return;
        }
        let controller = self.clone();
        self.ports.spawner.spawn(Box::pin(async move { controller.poll().await }));
    }

    async fn poll(self: Rc<Self>) {
        while !self.waiters.borrow().is_empty() {
            self.ports.clock.sleep(self.poll_period).await;
            self.release();
        }
        self.polling.set(false);
    }

    fn release(self: &Rc<Self>) {
        let now = self.ports.now();
        let services: BTreeSet<_> =
            self.waiters.borrow().values().map(|waiter| waiter.service.clone()).collect();
        services.iter().for_each(|service| self.refresh(now, service));
        let released = self.policies.borrow_mut().queue.release(now);
        for (ticket, decision) in released {
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            let Some(waiter) = waiter else {
                continue;
            };
            let reply = match decision {
                AdmissionDecision::Run(ticket) => Ok(self.permit(ticket, &waiter.service)),
                AdmissionDecision::Refuse { reason, retry_after } => {
                    Err(Refusal::not_run(reason).with_retry_after(retry_after))
                }
                AdmissionDecision::Wait(_) => continue,
            };
            let _ = waiter.reply.send(reply);
        }
    }
}

/// A queued request.
struct QueueWaiter {
    service: ServiceName,
    reply: flume::Sender<AdmissionResult>,
}

/// Position of a request in the queue; withdrawn if dropped while the request is still queued.
struct QueueEntry {
    controller: Rc<AdmissionController>,
    ticket: AdmissionTicket,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let waiting = self.controller.waiters.borrow_mut().remove(&self.ticket);
        if waiting.is_some() {
            let now = self.controller.ports.now();
            self.controller.policies.borrow_mut().queue.withdraw(now, self.ticket);
        }
    }
}

/// Permission to run one request; dropped when the request has ended.
pub(crate) struct AdmissionPermit {
    controller: Rc<AdmissionController>,
    service: ServiceName,
    ticket: AdmissionTicket,
    tokens: Cell<u32>,
}

impl AdmissionPermit {
    /// Sets the tokens that the request actually used.
    pub(crate) fn charge(&self, tokens: u32) {
        self.tokens.set(tokens);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.controller.ports.now();
        self.controller.capacity.leave(&self.service);
        self.controller.policies.borrow_mut().queue.finish(now, self.ticket, self.tokens.get());
        self.controller.release();
    }
}
