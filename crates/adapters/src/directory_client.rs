//! The platform's list of VMs over HTTP.

use std::{net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use comfreyturn_ports::{DirectoryError, DirectoryResult, Step, VmDirectory};
use comfreyturn_types::VmRecord;
use http::{Method, StatusCode, Uri};

use crate::{
    HttpPool,
    json_call::{bare_request, call},
};

const LIST_PATH: &str = "/vms";

/// The list of VMs at one address.
pub struct DirectoryClient {
    pool: Rc<HttpPool>,
    address: SocketAddr,
}

impl DirectoryClient {
    /// Makes a client that calls through `pool`.
    pub fn new(pool: Rc<HttpPool>, address: SocketAddr) -> Self {
        Self { pool, address }
    }
}

#[async_trait(?Send)]
impl VmDirectory for DirectoryClient {
    async fn list(&self, _step: Step) -> DirectoryResult<Vec<VmRecord>> {
        let request = bare_request(Method::GET, Uri::from_static(LIST_PATH));
        let answer = call(&self.pool, self.address, request).await.map_err(|_| DirectoryError)?;
        if answer.head.status != StatusCode::OK {
            return Err(DirectoryError);
        }
        serde_json::from_slice(&answer.body).map_err(|_| DirectoryError)
    }
}
