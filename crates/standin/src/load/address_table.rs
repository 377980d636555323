//! The node addresses that callers use.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{HeaderName, HeaderValue};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use super::LoadSettings;
use crate::ServerClient;

/// Time limit of a request for addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(2);

/// The answer to a request for addresses.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
struct AddressAnswer {
    addresses: Vec<SocketAddr>,

    #[serde_as(as = "DurationMilliSeconds<u64>")]
    valid_ms: Duration,
}

/// The addresses of the last answer.
#[derive(Default)]
struct KnownAddresses {
    addresses: Vec<SocketAddr>,
    valid_until: Option<Instant>,
}

/// The node addresses that callers use. Answers are cached as long as they are valid.
pub(crate) struct AddressTable {
    to: SocketAddr,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    known: RefCell<KnownAddresses>,
}

impl AddressTable {
    /// Starts without addresses; the first request goes to the node `settings.to`.
    pub(crate) fn new(settings: &LoadSettings, headers: Vec<(HeaderName, HeaderValue)>) -> Self {
        let customer = settings.customer.as_ref().map(|name| format!("&customer={name}"));
        let customer = customer.unwrap_or_default();
        let path = format!("/v1/addresses?service={}{customer}", settings.service);
        Self { to: settings.to, path, headers, known: RefCell::default() }
    }

    /// The addresses to try, in order. Returns expired addresses if no node answers.
    pub(crate) async fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        if self.known.borrow().valid_until.is_some_and(|until| now < until) {
            return self.known.borrow().addresses.clone();
        }
        let mut nodes = vec![self.to];
        nodes.extend(self.known.borrow().addresses.iter().copied());
        for node in nodes {
            if let Some(answer) = self.request_addresses(node).await {
                let valid_until = Some(now + answer.valid_ms);
                let addresses = answer.addresses.clone();
                *self.known.borrow_mut() = KnownAddresses { addresses, valid_until };
                return answer.addresses;
            }
        }
        self.known.borrow().addresses.clone()
    }

    async fn request_addresses(&self, address: SocketAddr) -> Option<AddressAnswer> {
        let client =
            ServerClient { address, timeout: ADDRESS_TIMEOUT, headers: self.headers.clone() };
        client.get::<AddressAnswer>(&self.path).await.ok()
    }
}
