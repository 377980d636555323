//! Reports of backend servers, and orders to model engines, over HTTP.

use std::rc::Rc;

use async_trait::async_trait;
use comfreyturn_ports::{EngineControl, EngineError, EngineOrder, EngineResult, Step};
use comfreyturn_types::{FencingNumber, VmRecord, VmReport};
use http::{Method, StatusCode, Uri};
use serde::Deserialize;

use crate::{
    HttpError, HttpPool, WholeAnswer,
    json_call::{call, call_alone, empty_request, json_request},
};

const REPORT_PATH: &str = "/control/report";
const ORDER_PATH: &str = "/control/order";

/// Requests reports of backend servers and sends orders to model engines, at the addresses in their
/// records.
pub struct EngineClient {
    pool: Rc<HttpPool>,
}

#[derive(Deserialize)]
struct FencedBody {
    seen: FencingNumber,
}

impl EngineClient {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: Rc<HttpPool>) -> Self {
        Self { pool }
    }
}

#[async_trait(?Send)]
impl EngineControl for EngineClient {
    /// A report of another VM counts as malformed: the address now belongs to that VM.
    async fn report(&self, _step: Step, record: &VmRecord) -> EngineResult<VmReport> {
        let request = empty_request(Method::GET, Uri::from_static(REPORT_PATH));
        let answer = call(&self.pool, record.address, request).await.map_err(engine_error)?;
        if answer.head.status != StatusCode::OK {
            return Err(EngineError::Malformed);
        }
        let report: VmReport =
            serde_json::from_slice(&answer.body).map_err(|_| EngineError::Malformed)?;
        if report.vm != record.vm {
            return Err(EngineError::Malformed);
        }
        Ok(report)
    }

    async fn order(&self, _step: Step, record: &VmRecord, order: &EngineOrder) -> EngineResult<()> {
        let request = json_request(ORDER_PATH, order).map_err(engine_error)?;
        let limit = self.pool.settings().call_timeout;
        // A late answer to an earlier order says nothing about this one.
        let calling = call_alone(&self.pool, record.address, request, limit);
        let answer = calling.await.map_err(engine_error)?;
        match answer.head.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::CONFLICT => Err(refusal(&answer)),
            _ => Err(EngineError::Malformed),
        }
    }
}

fn refusal(answer: &WholeAnswer) -> EngineError {
    if !answer.has_error_code("fenced") {
        return EngineError::Malformed;
    }
    match serde_json::from_slice::<FencedBody>(&answer.body) {
        Ok(body) => EngineError::Fenced { seen: body.seen },
        Err(_) => EngineError::Malformed,
    }
}

fn engine_error(error: HttpError) -> EngineError {
    match error {
        HttpError::NotSent => EngineError::Unreachable,
        HttpError::NoAnswer => EngineError::NoAnswer,
        HttpError::TooLarge => EngineError::Malformed,
    }
}
