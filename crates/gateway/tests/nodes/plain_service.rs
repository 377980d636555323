//! A service of plain servers, and requests to it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_gateway::ForwardRequest;
use comfreyturn_ports::ServerChange;
use comfreyturn_types::{
    CallerLimits, FailureDomain, FleetServer, GatewayConfig, HostName, RequestId, RequestKind,
    RouteName, RouteSpec, RouteTarget, ServerLife, ServiceName, ServiceSpec, VmId,
};
use http::{HeaderMap, Method};

const SERVICE: &str = "plain";
const HOST: &str = "h";

/// One public route to one service.
pub fn plain_config(kind: RequestKind) -> GatewayConfig {
    let service = ServiceSpec {
        name: ServiceName::from(SERVICE),
        max_connections: 100,
        engine: None,
        cold: None,
    };
    let route = RouteSpec {
        name: RouteName::from("route"),
        host: HostName::from(HOST),
        prefix: "/".to_owned(),
        kind,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(300),
        longest_pause: Some(Duration::from_millis(200)),
        priority: Some(0),
        max_attempts: 2,
        public: true,
        targets: vec![RouteTarget { service: service.name.clone(), weight: 1 }],
    };
    GatewayConfig {
        version: 1,
        routes: vec![route],
        services: BTreeMap::from([(service.name.clone(), service)]),
        customers: None,
        limits: CallerLimits::default(),
    }
}

/// A server of the service.
pub fn listed(vm: &str) -> ServerChange {
    ServerChange::Listed(Box::new(FleetServer {
        life: ServerLife { vm: VmId::from(vm), born: 1 },
        service: ServiceName::from(SERVICE),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: FailureDomain::from("z"),
        slots: 16,
        leaving: false,
        fabric_domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
        cold_left: Duration::ZERO,
    }))
}

/// A request to the service.
pub fn plain_request(now: Instant) -> ForwardRequest {
    ForwardRequest {
        id: RequestId::from("r"),
        host: HOST.to_owned(),
        method: Method::POST,
        target: "/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        key: None,
        model: None,
        token_counts: None,
        shared_parts: Vec::new(),
        deadline: Some(Duration::from_secs(3)),
        resume_after: None,
        received_at: now,
    }
}
