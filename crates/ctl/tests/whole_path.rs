//! The whole path in separate processes: an operator declares a service, a caller requests an
//! address, connects there, and receives its streamed answer from a group that the system formed.

mod support;

use comfreyturn_standin::output_token;
use support::{
    http,
    site::{CUSTOMER_KEY, Site, SiteLayout, complete, request_addresses},
};

#[test]
fn request_is_served_end_to_end() {
    let site = Site::start(&SiteLayout { name: "whole_path", ..SiteLayout::default() });
    site.wait_for_roster();
    site.declare(1);
    site.wait_for_groups(1);

    let addresses = request_addresses(site.nodes[0].callers);
    assert_eq!(addresses.len(), 3, "every node is offered: {addresses:?}");
    let answer = complete(addresses[0], "align the dish", 20, &[]).expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    let (texts, whole) = answer.events();
    let expected: Vec<String> = (0..20).map(|at| output_token("align the dish", at)).collect();
    assert_eq!(texts, expected);
    assert!(whole, "the answer is not ended: {answer:?}");

    let bearer = format!("Bearer {CUSTOMER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/services/certificates/members/7";
    let answer = http::send(addresses[0], "GET", path, &headers, "").expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.json()["path"], "/members/7");
}
