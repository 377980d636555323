//! The TCP server of the platform.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_ports::{CommitOutcome, RowKey, TableTransaction};
use comfreyturn_types::{VmId, VmRecord};
use compio::net::TcpListener;
use http::{Method, StatusCode, request::Parts};
use serde::{Deserialize, Serialize};

use crate::{
    PlatformFaults, ServerEnd, StandinResult, TableFaults, TableRows, VmList, WeightStore,
    http_server::{
        DropConnection, HttpAnswer, HttpHandler, empty_answer, error_answer, json_answer,
        json_body, listen, malformed_answer, serve_http, tagged_answer,
    },
};

/// Settings of the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformSettings {
    /// VMs that are listed from the start. Others are announced by `POST /vms`.
    pub vms: Vec<VmRecord>,

    /// Lag of the list of VMs.
    pub list_lag: Duration,

    /// Rate of the weight store, shared by all engines that load from it. Zero means no limit.
    pub weight_bytes_per_second: u64,
}

/// Counters of the platform: the answer to `GET /records`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformRecords {
    /// Reads and scans of the table.
    pub reads: u64,

    /// Transactions that were committed.
    pub commits: u64,

    /// Transactions whose checks failed.
    pub conflicts: u64,

    /// Commit answers that an injected fault lost.
    pub lost_answers: u64,

    /// Table calls that were refused during an outage.
    pub refused: u64,

    /// Bytes requested from the weight store.
    pub weight_bytes: u64,
}

/// The platform: table service, list of VMs and weight store.
///
/// Besides the protocols of the platform it serves `POST /faults` ([`PlatformFaults`]),
/// `GET /records` ([`PlatformRecords`]), `POST /vms` (a [`VmRecord`]), `DELETE /vms/<id>` and
/// `POST /weights` (`{"bytes":n}`, answered once the store's rate has sent them).
pub struct PlatformServer {
    listener: TcpListener,
    address: SocketAddr,
    platform: Rc<PlatformService>,
}

impl PlatformServer {
    /// Opens the listener; [`serve`](Self::serve) accepts connections.
    pub async fn bind(address: SocketAddr, settings: PlatformSettings) -> StandinResult<Self> {
        let listener = listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let platform = Rc::new(PlatformService::new(Instant::now(), &settings));
        Ok(Self { listener, address, platform })
    }

    /// The address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `stop` receives a message or is closed.
    pub async fn serve(self, stop: flume::Receiver<()>) -> ServerEnd {
        // No request crashes the platform, but the channel must stay open.
        let (_crash_sender, crash) = flume::bounded(1);
        serve_http(self.listener, self.platform, stop, crash).await
    }
}

#[derive(Deserialize)]
struct ReadBody {
    keys: Vec<RowKey>,
}

#[derive(Deserialize)]
struct ScanBody {
    prefix: String,
}

#[derive(Deserialize)]
struct WeightsBody {
    bytes: u64,
}

#[derive(Serialize)]
struct RowsAnswer<T> {
    rows: Vec<T>,
}

/// State and HTTP handler of the platform.
struct PlatformService {
    rows: RefCell<TableRows>,
    faults: RefCell<TableFaults>,
    list: RefCell<VmList>,
    weights: RefCell<WeightStore>,
    records: RefCell<PlatformRecords>,
}

impl PlatformService {
    fn new(now: Instant, settings: &PlatformSettings) -> Self {
        Self {
            rows: RefCell::default(),
            faults: RefCell::new(TableFaults::new(now)),
            list: RefCell::new(VmList::new(now, settings.list_lag, &settings.vms)),
            weights: RefCell::new(WeightStore::new(now, settings.weight_bytes_per_second)),
            records: RefCell::default(),
        }
    }

    async fn table_call(&self, call: &str, body: &[u8]) -> HttpAnswer {
        let delay = self.faults.borrow().delay();
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        if self.faults.borrow().is_down(Instant::now()) {
            self.records.borrow_mut().refused += 1;
            return error_answer(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
        }
        match call {
            "read" => self.read(body),
            "scan" => self.scan(body),
            "commit" => self.commit(body),
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }

    fn read(&self, body: &[u8]) -> HttpAnswer {
        let Some(read) = json_body::<ReadBody>(body) else {
            return malformed_answer();
        };
        self.records.borrow_mut().reads += 1;
        let rows = self.rows.borrow().read(&read.keys);
        json_answer(StatusCode::OK, &RowsAnswer { rows })
    }

    fn scan(&self, body: &[u8]) -> HttpAnswer {
        let Some(scan) = json_body::<ScanBody>(body) else {
            return malformed_answer();
        };
        self.records.borrow_mut().reads += 1;
        let rows = self.rows.borrow().scan(&scan.prefix);
        json_answer(StatusCode::OK, &RowsAnswer { rows })
    }

    fn commit(&self, body: &[u8]) -> HttpAnswer {
        let Some(transaction) = json_body::<TableTransaction>(body) else {
            return malformed_answer();
        };
        let outcome = self.rows.borrow_mut().commit(&transaction);
        let lost = self.faults.borrow_mut().take_lost_answer();
        self.count_commit(&outcome, lost);
        if lost {
            return Err(DropConnection);
        }
        json_answer(StatusCode::OK, &outcome)
    }

    fn count_commit(&self, outcome: &CommitOutcome, lost: bool) {
        let mut records = self.records.borrow_mut();
        match outcome {
            CommitOutcome::Committed => records.commits += 1,
            CommitOutcome::Conflict(_) => records.conflicts += 1,
        }
        records.lost_answers += u64::from(lost);
    }

    fn set_faults(&self, body: &[u8]) -> HttpAnswer {
        let Some(faults) = json_body::<PlatformFaults>(body) else {
            return malformed_answer();
        };
        self.faults.borrow_mut().apply(Instant::now(), &faults);
        if let Some(lag) = faults.list_lag_ms {
            self.list.borrow_mut().set_lag(lag);
        }
        empty_answer(StatusCode::NO_CONTENT)
    }

    fn put_vm(&self, body: &[u8]) -> HttpAnswer {
        let Some(record) = json_body::<VmRecord>(body) else {
            return malformed_answer();
        };
        self.list.borrow_mut().put(Instant::now(), record);
        empty_answer(StatusCode::NO_CONTENT)
    }

    fn remove_vm(&self, vm: &str) -> HttpAnswer {
        self.list.borrow_mut().remove(Instant::now(), &VmId::from(vm));
        empty_answer(StatusCode::NO_CONTENT)
    }

    async fn load_weights(&self, body: &[u8]) -> HttpAnswer {
        let Some(weights) = json_body::<WeightsBody>(body) else {
            return malformed_answer();
        };
        let sent_at = self.weights.borrow_mut().reserve(Instant::now(), weights.bytes);
        compio::time::sleep_until(sent_at).await;
        empty_answer(StatusCode::NO_CONTENT)
    }

    fn records(&self) -> PlatformRecords {
        let weight_bytes = self.weights.borrow().bytes();
        PlatformRecords { weight_bytes, ..self.records.borrow().clone() }
    }
}

#[async_trait(?Send)]
impl HttpHandler for PlatformService {
    async fn handle(self: Rc<Self>, head: Parts, body: Bytes) -> HttpAnswer {
        let path = head.uri.path();
        if let Some(call) = path.strip_prefix("/table/") {
            return self.table_call(call, &body).await;
        }
        match (&head.method, path) {
            (&Method::GET, "/vms") => {
                tagged_answer(&head, &self.list.borrow().visible(Instant::now()))
            }
            (&Method::POST, "/vms") => self.put_vm(&body),
            (&Method::POST, "/weights") => self.load_weights(&body).await,
            (&Method::POST, "/faults") => self.set_faults(&body),
            (&Method::GET, "/records") => json_answer(StatusCode::OK, &self.records()),
            (&Method::DELETE, path) => match path.strip_prefix("/vms/") {
                Some(vm) => self.remove_vm(vm),
                None => empty_answer(StatusCode::NOT_FOUND),
            },
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}
