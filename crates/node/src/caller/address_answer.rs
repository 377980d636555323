//! Queries for the node addresses that a caller should use.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_types::{CustomerName, ServiceName};
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// The query parameters of `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// The service.
    pub service: ServiceName,

    /// The customer, for callers that send no key.
    pub customer: Option<CustomerName>,
}

impl AddressQuery {
    /// Reads the query part of `GET /v1/addresses`; `None` if the service is missing.
    pub fn parse(query: Option<&str>) -> Option<Self> {
        let pairs = || query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
        let value = |name| pairs().find(|(key, _)| *key == name).map(|(_, value)| value);
        let service = value("service").filter(|name| !name.is_empty())?;
        let customer = value("customer").filter(|name| !name.is_empty());
        Some(Self { service: service.into(), customer: customer.map(CustomerName::from) })
    }
}

/// The addresses to use, the preferred one first.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AddressAnswer {
    /// Addresses of nodes that are not leaving.
    pub addresses: Vec<SocketAddr>,

    /// How long the answer may be cached, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub valid_ms: Duration,
}
