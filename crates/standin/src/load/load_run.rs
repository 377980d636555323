//! Running a load.

use std::{cell::RefCell, rc::Rc, time::Instant};

use futures_util::future::join_all;
use http::{HeaderName, HeaderValue, header};

use super::{
    LoadReport, LoadSettings, address_book::AddressBook, load_caller::LoadCallers,
    load_report::LoadTally,
};

/// Why a load cannot be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum LoadError {
    /// The key cannot be sent in a header.
    #[display("the key cannot be sent in a header")]
    BadKey,

    /// No request would ever be sent.
    #[display("rate and concurrency must be above zero")]
    NoRate,
}

/// Runs a load to its end. Callers come when they come, however slow answers are.
pub async fn run_load(settings: LoadSettings) -> Result<LoadReport, LoadError> {
    if settings.requests_per_second <= 0.0 || settings.concurrency == 0 {
        return Err(LoadError::NoRate);
    }
    let headers = caller_headers(&settings)?;
    let arrivals = settings.arrivals();
    let callers = Rc::new(LoadCallers {
        addresses: AddressBook::new(&settings, headers.clone()),
        headers,
        tally: RefCell::new(LoadTally::new()),
        settings,
    });
    let (free, places) = flume::unbounded();
    for _ in 0..callers.settings.concurrency {
        // The receiver lives as long as this function.
        let _ = free.send(());
    }
    let start = Instant::now();
    let mut calls = Vec::new();
    for (request, arrival) in (0..).zip(arrivals) {
        let arrived = start + arrival;
        compio::time::sleep_until(arrived).await;
        // A sender lives as long as this function.
        let _ = places.recv_async().await;
        let (callers, free) = (callers.clone(), free.clone());
        calls.push(compio::runtime::spawn(async move {
            callers.call(request, arrived).await;
            let _ = free.send(());
        }));
    }
    join_all(calls).await;
    Ok(callers.tally.borrow().report())
}

fn caller_headers(settings: &LoadSettings) -> Result<Vec<(HeaderName, HeaderValue)>, LoadError> {
    let bearer = HeaderValue::from_str(&format!("Bearer {}", settings.key));
    Ok(vec![(header::AUTHORIZATION, bearer.map_err(|_| LoadError::BadKey)?)])
}
