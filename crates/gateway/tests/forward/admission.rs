//! Which requests are taken, and with which priority they are sent.

use comfreyturn_gateway::{DeniedReason, ForwardAnswer, ForwardRequest, NotRunReason};
use comfreyturn_standin::fakes::ServerScript;

use crate::test_site::{TestSite, config, not_run, whole};

// -------------------------------------------------------------------------------------------
// Routes and keys

#[test]
fn nothing_is_denied_before_a_configuration_is_known() {
    let mut site = TestSite::new();
    let answer = site.send_to("/read/x");
    assert_eq!(not_run(&answer), Some(NotRunReason::NoConfig));
}

#[test]
fn unknown_route_and_unknown_key_are_denied_and_reach_no_server() {
    let mut site = TestSite::started();
    let answer = site.send_to("/nowhere/x");
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::NoRoute)));
    let request = ForwardRequest { key: Some("other".to_owned()), ..site.request("/read/x") };
    let answer = site.send(request);
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::UnknownKey)));
    let request = ForwardRequest { key: None, ..site.request("/read/x") };
    let answer = site.send(request);
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::UnknownKey)));
    assert!(site.servers.calls().is_empty());
}

#[test]
fn public_route_needs_no_key_and_names_no_customer() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(200, "ok"));
    let request = ForwardRequest { key: None, ..site.request("/public/x") };
    assert_eq!(whole(site.send(request)), (200, "ok".to_owned()));
    assert_eq!(site.servers.calls()[0].customer, None);
}

#[test]
fn revoked_key_is_denied_at_once() {
    let mut site = TestSite::started();
    site.feeds.put_config(config(2, &[]));
    site.run(600);
    let answer = site.send_to("/read/x");
    assert!(matches!(answer, ForwardAnswer::Denied(DeniedReason::UnknownKey)));
}

#[test]
fn keyed_requests_stop_while_the_configuration_cannot_be_confirmed() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(200, "ok"));
    site.script_all("p", &ServerScript::whole(200, "ok"));
    site.feeds.set_unreachable(true);
    site.run(4000);
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
    site.run(1000);
    assert_eq!(not_run(&site.send_to("/read/x")), Some(NotRunReason::StaleConfig));
    let request = ForwardRequest { key: None, ..site.request("/public/x") };
    assert_eq!(whole(site.send(request)).0, 200, "a public route is not affected");
    assert!(!site.gateway.is_ready());
    site.feeds.set_unreachable(false);
    site.run(800);
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
}

// -------------------------------------------------------------------------------------------
// Priorities

/// The priority with which servers receive a request, where the routes of the plain service have
/// these priorities: one for reads, one for the others.
fn sent_priority(read: Option<u8>, other: Option<u8>, customer: Option<u8>) -> Option<u8> {
    let mut site = TestSite::started();
    let mut config = config(2, &["k"]);
    for route in &mut config.routes {
        route.priority = if route.prefix == "/read/" { read } else { other };
    }
    config.customers.as_mut().unwrap()[0].priority = customer;
    site.feeds.put_config(config);
    site.run(1000);
    site.script_all("p", &ServerScript::whole(200, "ok"));
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
    site.servers.calls()[0].priority
}

/// Guards against urgent kinds of request that wait at servers behind others, because servers are
/// not told of the priority of their route.
#[test]
fn request_has_the_priority_of_its_customer_else_of_its_route() {
    assert_eq!(sent_priority(Some(0), Some(2), None), Some(0));
    assert_eq!(sent_priority(Some(3), Some(2), Some(1)), Some(1));
    assert_eq!(sent_priority(Some(200), Some(2), None), Some(9));
    assert_eq!(sent_priority(Some(3), Some(2), Some(77)), Some(9));
}

/// Guards against messages that change in deployments that declare no priorities, or only one.
#[test]
fn priority_is_not_sent_where_it_distinguishes_nothing() {
    assert_eq!(sent_priority(None, None, None), None);
    assert_eq!(sent_priority(None, Some(1), None), None);
    assert_eq!(sent_priority(Some(1), Some(1), None), None);
    assert_eq!(sent_priority(Some(1), Some(1), Some(4)), Some(4));
}
