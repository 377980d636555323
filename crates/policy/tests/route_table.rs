//! The choice of a request's route and target service, and customers by API key.

use std::time::Duration;

use comfreyturn_policy::{KeyTable, RouteTable, choose_target};
use comfreyturn_types::{
    CustomerName, HostName, KeyedCustomer, RequestKind, RouteName, RouteSpec, RouteTarget,
    ServiceName,
};

fn route(name: &str, host: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: RouteName::from(name),
        host: HostName::from(host),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        longest_pause: None,
        priority: Some(0),
        max_attempts: 2,
        public: false,
        targets: vec![target("a", 90), target("b", 10)],
    }
}

fn target(service: &str, weight: u32) -> RouteTarget {
    RouteTarget { service: ServiceName::from(service), weight }
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = [route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/")];
    let table = RouteTable::new(&routes);
    let name = |path| table.find("h.example", path).map(|route| route.name.as_str().to_owned());
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/c").as_deref(), Some("short"));
    assert_eq!(name("/a").as_deref(), None);
    assert_eq!(name("/b/a/").as_deref(), None);
}

#[test]
fn port_and_case_of_the_host_make_no_difference() {
    let table = RouteTable::new(&[route("r", "h.example", "/")]);
    assert!(table.find("H.Example:8080", "/x").is_some());
    assert!(table.find("other.example", "/x").is_none());
}

#[test]
fn targets_are_chosen_by_weight() {
    let route = route("r", "h", "/");
    let service = |draw| choose_target(&route, draw).unwrap().service.as_str().to_owned();
    assert_eq!(service(0.0), "a");
    assert_eq!(service(0.89), "a");
    assert_eq!(service(0.91), "b");
    assert_eq!(service(0.9999), "b");
}

#[test]
fn target_without_weight_is_never_chosen() {
    let mut route = route("r", "h", "/");
    route.targets = vec![target("a", 0), target("b", 1)];
    assert_eq!(choose_target(&route, 0.0).unwrap().service.as_str(), "b");
    route.targets = vec![target("a", 0)];
    assert!(choose_target(&route, 0.5).is_none());
}

#[test]
fn every_key_of_a_customer_identifies_it() {
    let customer = KeyedCustomer {
        name: CustomerName::from("c"),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        priority: Some(1),
    };
    let table = KeyTable::new(std::slice::from_ref(&customer));
    assert_eq!(table.customer("k1"), Some(&customer));
    assert_eq!(table.customer("k2"), Some(&customer));
    assert_eq!(table.customer("k3"), None);
}
