//! Execution of a load.

use std::{cell::RefCell, rc::Rc, time::Instant};

use futures_util::future::join_all;
use http::{HeaderName, HeaderValue, header};

use super::{
    LoadReport, LoadSettings, address_table::AddressTable, load_caller::LoadCallers,
    load_report::LoadTally,
};

/// Why a load cannot be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum LoadError {
    /// The key cannot be sent in a header.
    #[display("the key cannot be sent in a header")]
    BadKey,

    /// The rate or the concurrency is zero, so no request would be sent.
    #[display("rate and concurrency must be above zero")]
    NoRate,
}

/// Runs a load to its end. It is open-loop: arrival times do not depend on how fast answers are.
pub async fn run_load(settings: LoadSettings) -> Result<LoadReport, LoadError> {
    if settings.requests_per_second <= 0.0 || settings.concurrency == 0 {
        return Err(LoadError::NoRate);
    }
    let headers = caller_headers(&settings)?;
    let arrivals = settings.arrivals();
    let callers = Rc::new(LoadCallers {
        addresses: AddressTable::new(&settings, headers.clone()),
        headers,
        tally: RefCell::new(LoadTally::new()),
        settings,
    });
    let (release, permits) = flume::unbounded();
    for _ in 0..callers.settings.concurrency {
        // Cannot fail: the receiver lives as long as this function.
        let _ = release.send(());
    }
    let start = Instant::now();
    let mut calls = Vec::new();
    for (request, arrival) in (0..).zip(arrivals) {
        let arrived = start + arrival;
        compio::time::sleep_until(arrived).await;
        // Cannot fail: a sender lives as long as this function.
        let _ = permits.recv_async().await;
        let (callers, release) = (callers.clone(), release.clone());
        calls.push(compio::runtime::spawn(async move {
            callers.call(request, arrived).await;
            let _ = release.send(());
        }));
    }
    join_all(calls).await;
    Ok(callers.tally.borrow().report())
}

fn caller_headers(settings: &LoadSettings) -> Result<Vec<(HeaderName, HeaderValue)>, LoadError> {
    let bearer = HeaderValue::from_str(&format!("Bearer {}", settings.key));
    Ok(vec![(header::AUTHORIZATION, bearer.map_err(|_| LoadError::BadKey)?)])
}
