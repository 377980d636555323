//! The platform's list of VMs over HTTP.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{DirectoryError, DirectoryResult, Step, VmDirectory};
use comfreyturn_types::VmRecord;
use http::{
    HeaderValue, Method, StatusCode, Uri,
    header::{ETAG, IF_NONE_MATCH},
};

use crate::{
    HttpPool, WholeAnswer,
    json_call::{call, empty_request},
};

const LIST_PATH: &str = "/vms";

/// Client for the list of VMs at one address. If the last list had an entity tag, the next request
/// is conditional on a change.
pub struct DirectoryClient {
    pool: Rc<HttpPool>,
    address: SocketAddr,
    known: RefCell<Option<KnownList>>,
}

/// The list that was received last, with its entity tag.
#[derive(Clone)]
struct KnownList {
    tag: HeaderValue,
    records: Vec<VmRecord>,
}

impl DirectoryClient {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: Rc<HttpPool>, address: SocketAddr) -> Self {
        Self { pool, address, known: RefCell::default() }
    }

    fn store_list(&self, answer: &WholeAnswer) -> DirectoryResult<Vec<VmRecord>> {
        let records: Vec<VmRecord> =
            serde_json::from_slice(&answer.body).map_err(|_| DirectoryError)?;
        let tag = answer.head.headers.get(ETAG).cloned();
        *self.known.borrow_mut() = tag.map(|tag| KnownList { tag, records: records.clone() });
        Ok(records)
    }
}

#[async_trait(?Send)]
impl VmDirectory for DirectoryClient {
    async fn list(&self, _step: Step) -> DirectoryResult<Vec<VmRecord>> {
        let mut request = empty_request(Method::GET, Uri::from_static(LIST_PATH));
        let known = self.known.borrow().clone();
        if let Some(known) = &known {
            request.headers_mut().insert(IF_NONE_MATCH, known.tag.clone());
        }
        let answer = call(&self.pool, self.address, request).await.map_err(|_| DirectoryError)?;
        match (answer.head.status, known) {
            (StatusCode::OK, _) => self.store_list(&answer),
            (StatusCode::NOT_MODIFIED, Some(known)) => Ok(known.records),
            _ => Err(DirectoryError),
        }
    }
}
