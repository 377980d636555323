//! A fake platform for gateway tests, which returns what the test sets.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use comfreyturn_ports::{
    Clock, ConfigFeed, ConfigReading, DatagramLink, EvacuationReading, FeedError, FeedResult,
    FleetAction, FleetControl, FleetError, FleetResult, NodeEntry, NodeRegistry, OrderOutcome,
    ServerFeed, ServerReading, ServerReport, TableResult,
};
use comfreyturn_types::{FencingNumber, FleetServer, GatewayConfig, NodeId};

/// Pause between two readings of an unchanged configuration.
const READING_PAUSE: Duration = Duration::from_millis(500);

/// A fake platform that returns the configuration and server readings a test sets. Clones share
/// them.
#[derive(Clone)]
pub struct FixedFeeds {
    clock: Rc<dyn Clock>,
    config: Rc<RefCell<Option<Rc<GatewayConfig>>>>,
    readings: Rc<RefCell<VecDeque<ServerReading>>>,

    /// What the store holds, and what the last reading returned.
    evacuation: Rc<RefCell<Option<EvacuationReading>>>,
    read_evacuation: Rc<RefCell<Option<EvacuationReading>>>,
    is_unreachable: Rc<Cell<bool>>,
    lacks_list: Rc<Cell<bool>>,
}

impl FixedFeeds {
    /// A platform without a configuration or servers.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            config: Rc::default(),
            readings: Rc::default(),
            evacuation: Rc::default(),
            read_evacuation: Rc::default(),
            is_unreachable: Rc::default(),
            lacks_list: Rc::default(),
        }
    }

    /// Sets the configuration that the next reading returns.
    pub fn put_config(&self, config: GatewayConfig) {
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Sets the evacuated failure domains that the next reading returns.
    pub fn put_evacuation(&self, reading: EvacuationReading) {
        *self.evacuation.borrow_mut() = Some(reading);
    }

    /// Adds a reading of the list of servers.
    pub fn add_reading(&self, reading: ServerReading) {
        self.readings.borrow_mut().push_back(reading);
    }

    /// Makes the platform unreachable, or reachable again.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.set(is_unreachable);
    }

    /// Makes only the list of servers unreachable, or reachable again.
    pub fn set_list_unreachable(&self, is_unreachable: bool) {
        self.lacks_list.set(is_unreachable);
    }
}

#[async_trait(?Send)]
impl ConfigFeed for FixedFeeds {
    async fn next(&self, _wait: Duration) -> FeedResult<ConfigReading> {
        if self.is_unreachable.get() {
            return Err(FeedError::Unreachable);
        }
        let config = self.config.borrow_mut().take();
        if config.is_none() {
            self.clock.sleep(READING_PAUSE).await;
        }
        if self.is_unreachable.get() {
            return Err(FeedError::Unreachable);
        }
        *self.read_evacuation.borrow_mut() = self.evacuation.borrow().clone();
        Ok(ConfigReading { config, proven_at: Some(self.clock.now()) })
    }

    fn evacuation(&self) -> Option<EvacuationReading> {
        self.read_evacuation.borrow().clone()
    }
}

#[async_trait(?Send)]
impl ServerFeed for FixedFeeds {
    async fn next(&self, _whole: bool) -> FeedResult<ServerReading> {
        if self.is_unreachable.get() || self.lacks_list.get() {
            return Err(FeedError::Unreachable);
        }
        Ok(self.readings.borrow_mut().pop_front().unwrap_or_default())
    }
}

#[async_trait(?Send)]
impl FleetControl for FixedFeeds {
    async fn order(
        &self,
        _server: &FleetServer,
        _action: &FleetAction,
        _fencing: FencingNumber,
    ) -> FleetResult<OrderOutcome> {
        Ok(OrderOutcome::Taken)
    }

    async fn probe(&self, _server: &FleetServer) -> FleetResult<ServerReport> {
        Err(FleetError)
    }
}

#[async_trait(?Send)]
impl NodeRegistry for FixedFeeds {
    async fn announce(&self, _entry: &NodeEntry) -> TableResult<()> {
        Ok(())
    }

    async fn withdraw(&self, _node: &NodeId) -> TableResult<()> {
        Ok(())
    }

    async fn list(&self) -> TableResult<Vec<NodeEntry>> {
        Ok(Vec::new())
    }
}

#[async_trait(?Send)]
impl DatagramLink for FixedFeeds {
    async fn send(&self, _to: SocketAddr, _bytes: Vec<u8>) {}

    async fn receive(&self) -> std::io::Result<Vec<u8>> {
        std::future::pending().await
    }
}
