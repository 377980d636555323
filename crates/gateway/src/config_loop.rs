//! Following the operators' configuration and the list of servers.

use std::{rc::Rc, time::Duration};

use crate::{Gateway, gateway_state::ConfigView};

impl Gateway {
    /// Follows the operators' configuration for ever.
    pub(crate) async fn follow_config(self: Rc<Self>) {
        let mut is_connected = true;
        loop {
            match self.ports.config_feed.next().await {
                Ok(reading) => {
                    if !std::mem::replace(&mut is_connected, true) {
                        log::info!("config: platform reached again.");
                    }
                    let mut confirmed = self.state.confirmed.get();
                    confirmed.confirm(reading.proven_at);
                    self.state.confirmed.set(confirmed);
                    if let Some(config) = reading.config {
                        log::info!(
                            "config: version {} with {} routes in force.",
                            config.version,
                            config.routes.len()
                        );
                        *self.state.config.borrow_mut() = Some(Rc::new(ConfigView::new(config)));
                    }
                }
                Err(error) => {
                    if std::mem::replace(&mut is_connected, false) {
                        log::warn!("config: no news: {error}.");
                    }
                    self.ports.clock.sleep(self.state.settings.feed_pause).await;
                }
            }
        }
    }

    /// Follows the list of servers for ever.
    pub(crate) async fn follow_servers(self: Rc<Self>) {
        let mut is_connected = true;
        loop {
            match self.ports.server_feed.next().await {
                Ok(reading) => {
                    if !std::mem::replace(&mut is_connected, true) {
                        log::info!("servers: platform reached again.");
                    }
                    let dropped = self.state.servers.borrow_mut().apply(reading);
                    self.state.note_dropped(self.ports.clock.now(), dropped);
                    self.ports.clock.sleep(self.server_pause()).await;
                }
                Err(error) => {
                    if std::mem::replace(&mut is_connected, false) {
                        log::warn!("servers: no news: {error}.");
                    }
                    self.ports.clock.sleep(self.state.settings.feed_pause).await;
                }
            }
        }
    }

    fn server_pause(&self) -> Duration {
        let settings = &self.state.settings;
        if self.state.plans.get() { settings.planner_period } else { settings.server_period }
    }
}
