//! The share of each customer's limits that this node may grant, and loans between nodes.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use comfreyturn_policy::{
    ConfigState, CustomerShare, LimitShare, LimitShareSettings, ShareAnswer, ShareQuestion,
};
use comfreyturn_ports::{
    Clock, PeerAnswer, PeerHandler, PeerIdentity, PeerLink, PeerNotice, PeerQuestion, Spawner, Step,
};
use comfreyturn_types::{CustomerIntent, CustomerName, NodeId};

use crate::NodeControl;

/// How often the controller checks whether to request a loan.
const LOAN_PERIOD: Duration = Duration::from_millis(100);

/// Manages this node's shares of the customers' limits, and lends and borrows parts of them.
pub struct LimitController {
    control: Rc<NodeControl>,
    peers: Rc<dyn PeerLink>,
    clock: Rc<dyn Clock>,
    spawner: Rc<dyn Spawner>,
    shares: RefCell<LimitShare>,
}

impl LimitController {
    /// Creates the controller of this node, which follows the configuration. Each customer's limits
    /// are split over `home_nodes` nodes.
    pub fn new(
        control: Rc<NodeControl>,
        peers: Rc<dyn PeerLink>,
        clock: Rc<dyn Clock>,
        spawner: Rc<dyn Spawner>,
        home_nodes: usize,
    ) -> Rc<Self> {
        let node = control.member().node.clone();
        let settings = LimitShareSettings { home_nodes, ..Default::default() };
        let shares = RefCell::new(LimitShare::new(settings, node));
        let controller = Rc::new(Self { control, peers, clock, spawner, shares });
        let weak = Rc::downgrade(&controller);
        controller.control.on_config(Rc::new(move |config| {
            if let Some(controller) = weak.upgrade() {
                controller.apply_config(config);
            }
        }));
        controller
    }

    /// The rates at which this node may currently admit a customer's requests.
    pub fn share(&self, now: Instant, customer: &CustomerName) -> CustomerShare {
        self.shares.borrow_mut().share(now, customer)
    }

    /// Records the demand of a received request, whether or not it is admitted.
    pub fn record_demand(&self, now: Instant, customer: &CustomerName, tokens: u32) {
        self.shares.borrow_mut().record_demand(now, customer, tokens);
    }

    /// Requests loans for customers whose demand exceeds the share. Never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.clock.sleep(LOAN_PERIOD).await;
            let questions = self.shares.borrow_mut().questions(self.clock.now());
            for (lender, question) in questions {
                self.spawner.spawn(Box::pin(self.clone().borrow_share(lender, question)));
            }
        }
    }

    fn apply_config(&self, config: &ConfigState) {
        let nodes: Vec<NodeId> = config.roster.current.members.keys().cloned().collect();
        let limits: Vec<_> = config.customers.values().map(customer_limit).collect();
        let now = self.clock.now();
        self.shares.borrow_mut().apply_config(now, config.version, &nodes, &limits);
    }

    async fn borrow_share(self: Rc<Self>, lender: NodeId, question: ShareQuestion) {
        let config = self.control.config();
        let Some(member) = config.roster.current.members.get(&lender) else { return };
        let ShareQuestion { customer, number, wanted } = question;
        let question = PeerQuestion::ShareLoan { customer, number, wanted };
        let Ok(reply) = self.peers.ask(Step::LimitLoan, member, question).await else { return };
        if let PeerAnswer::ShareLoan { customer, number, lent } = reply.answer {
            let answer = ShareAnswer { customer, number, lent };
            self.shares.borrow_mut().accept(&lender, &answer);
        }
    }

    fn lend(&self, borrower: &NodeId, question: &ShareQuestion) -> ShareAnswer {
        let now = self.clock.now();
        let fresh = self.control.is_fresh(now);
        self.shares.borrow_mut().lend(now, fresh, borrower, question)
    }
}

/// Answers loan requests of peers, and passes everything else to [`NodeControl`].
#[async_trait(?Send)]
impl PeerHandler for LimitController {
    async fn answer(&self, from: &PeerIdentity, question: PeerQuestion) -> PeerAnswer {
        let PeerQuestion::ShareLoan { customer, number, wanted } = question else {
            return self.control.answer(from, question).await;
        };
        let question = ShareQuestion { customer, number, wanted };
        let answer = self.lend(&from.node, &question);
        PeerAnswer::ShareLoan {
            customer: answer.customer,
            number: answer.number,
            lent: answer.lent,
        }
    }

    fn notice(&self, from: &PeerIdentity, notice: PeerNotice) {
        self.control.notice(from, notice);
    }
}

fn customer_limit(customer: &CustomerIntent) -> (CustomerName, CustomerShare) {
    let limit = CustomerShare {
        requests_per_second: f64::from(customer.requests_per_second),
        tokens_per_second: f64::from(customer.tokens_per_second),
    };
    (customer.name.clone(), limit)
}
