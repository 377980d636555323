//! The platform's table service over HTTP.

use std::{net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{
    CommitOutcome, RowKey, Step, TableError, TableResult, TableRow, TableStore, TableTransaction,
};
use http::StatusCode;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    HttpError, HttpPool,
    json_call::{call, json_request},
};

const READ_PATH: &str = "/table/read";
const SCAN_PATH: &str = "/table/scan";
const COMMIT_PATH: &str = "/table/commit";

/// Client for the table service at one address.
pub struct TableClient {
    pool: Rc<HttpPool>,
    address: SocketAddr,
}

#[derive(Serialize)]
struct ReadBody<'a> {
    keys: &'a [RowKey],
}

#[derive(Serialize)]
struct ScanBody<'a> {
    prefix: &'a str,
}

#[derive(Deserialize)]
struct RowsAnswer<T> {
    rows: Vec<T>,
}

impl TableClient {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: Rc<HttpPool>, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        path: &'static str,
        body: &B,
    ) -> TableResult<A> {
        let request = json_request(path, body).map_err(table_error)?;
        let answer = call(&self.pool, self.address, request).await.map_err(table_error)?;
        match answer.head.status {
            StatusCode::OK => {
                serde_json::from_slice(&answer.body).map_err(|_| TableError::Malformed)
            }
            StatusCode::SERVICE_UNAVAILABLE if answer.has_error_code("unavailable") => {
                Err(TableError::Unavailable)
            }
            _ => Err(TableError::Malformed),
        }
    }
}

#[async_trait(?Send)]
impl TableStore for TableClient {
    async fn read(&self, _step: Step, keys: &[RowKey]) -> TableResult<Vec<Option<TableRow>>> {
        let answer: RowsAnswer<Option<TableRow>> = self.post(READ_PATH, &ReadBody { keys }).await?;
        if answer.rows.len() != keys.len() {
            return Err(TableError::Malformed);
        }
        Ok(answer.rows)
    }

    async fn scan(&self, _step: Step, prefix: &str) -> TableResult<Vec<(RowKey, TableRow)>> {
        let answer: RowsAnswer<(RowKey, TableRow)> =
            self.post(SCAN_PATH, &ScanBody { prefix }).await?;
        if answer.rows.iter().any(|(key, _)| !key.starts_with(prefix)) {
            return Err(TableError::Malformed);
        }
        Ok(answer.rows)
    }

    /// After a malformed response it is unknown whether the writes took effect, so it counts as
    /// [`TableError::NoAnswer`].
    async fn commit(
        &self,
        _step: Step,
        transaction: TableTransaction,
    ) -> TableResult<CommitOutcome> {
        self.post(COMMIT_PATH, &transaction).await.map_err(|error| match error {
            TableError::Malformed => TableError::NoAnswer,
            error => error,
        })
    }
}

fn table_error(error: HttpError) -> TableError {
    match error {
        HttpError::NotSent => TableError::Unavailable,
        HttpError::NoAnswer => TableError::NoAnswer,
        HttpError::TooLarge => TableError::Malformed,
    }
}
