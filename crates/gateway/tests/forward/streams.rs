//! Streams of events.

use std::time::Duration;

use comfreyturn_gateway::{ForwardAnswer, NotRunReason};
use comfreyturn_ports::{Clock, ServerReading};
use comfreyturn_standin::fakes::{ScriptEnd, ServerScript, run_until};
use comfreyturn_types::{EngineTimes, StoreVersion, UsualTokens};

use crate::test_site::{TestSite, config, events, listed, not_run, whole};

#[test]
fn stream_passes_unchanged() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\nda", "ta: a\n\n", "id: 2\n\n"], ScriptEnd::Whole));
    let answer = site.send_to("/stream/x");
    assert_eq!(site.read(answer), ("id: 1\ndata: a\n\nid: 2\n\n".to_owned(), true));
}

#[test]
fn broken_stream_resumes_after_its_last_complete_event() {
    let mut site = TestSite::started();
    site.servers.script_next(events(&["id: 1\n\n", "id: 2\n\n", "id: 3\nda"], ScriptEnd::Broken));
    site.servers.script_next(events(&["id: 3\n\n", "id: 4\n\n"], ScriptEnd::Whole));
    let answer = site.send_to("/stream/x");
    let whole = "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n";
    assert_eq!(site.read(answer), (whole.to_owned(), true));
    let calls = site.servers.calls();
    assert_eq!(calls.len(), 2);
    assert_ne!(calls[0].life, calls[1].life);
    assert_eq!(calls[1].resume_after.as_deref(), Some("2"));
}

/// Two servers look alike by count; the one whose events come later than stated is avoided, until its
/// measurement is too old.
#[test]
fn server_that_is_slower_than_stated_is_avoided_for_some_seconds() {
    let mut site = TestSite::started();
    let mut config = config(2, &["k"]);
    let services = config.services.values_mut();
    for engine in services.filter_map(|service| service.engine.as_mut()) {
        engine.times = Some(EngineTimes {
            step: Duration::from_millis(10),
            step_per_request: Duration::ZERO,
            step_per_kilotoken: Duration::ZERO,
            read_rate: 10_000.0,
            read_per_megapair: Duration::ZERO,
            chunk: 512,
            stride: 1,
            usual: UsualTokens { prompt: 100.0, answer: 20.0 },
            delays: Vec::new(),
        });
    }
    site.feeds.put_config(config);
    site.run(1000);
    for (vm, pause) in [("m1", 50), ("m2", 10)] {
        for _ in 0..150 {
            let pieces = vec![(Duration::from_millis(pause), "id: 1\n\n"); 20];
            let end = ScriptEnd::Whole;
            site.servers.script(vm, ServerScript::Answer { status: 200, pieces, end });
        }
    }
    let serve = |site: &mut TestSite| {
        let answer = site.send_to("/stream/x");
        assert!(site.read(answer).1);
        site.servers.calls().last().unwrap().life.vm.to_string()
    };
    assert!((0..60).any(|_| serve(&mut site) == "m1"), "both are tried");
    for _ in 0..5 {
        assert_eq!(serve(&mut site), "m2");
    }
    site.run(20_000);
    assert!((0..60).any(|_| serve(&mut site) == "m1"), "it is tried again");
}

/// Guards against a crash before the first event that is taken for an empty answer, since the answer
/// has no marked end.
#[test]
fn stream_without_events_and_without_a_marked_end_is_sent_to_another_server() {
    let mut site = TestSite::started();
    site.servers.script_next(events(&[], ScriptEnd::Unmarked));
    site.servers.script_next(events(&["id: 1\n\n", "id: 2\n\n"], ScriptEnd::Unmarked));
    let answer = site.send_to("/stream/x");
    let whole = "id: 1\n\nid: 2\n\n";
    assert_eq!(site.read(answer), (whole.to_owned(), true), "after events, the end is the end");
    assert_eq!(site.servers.calls().len(), 2);
}

/// Guards against a node that gathers bytes without end, which are no answer, until its memory is
/// used up.
#[test]
fn bytes_without_end_within_a_stream_are_given_up_for_another_server() {
    const JUNK: &str = match std::str::from_utf8(&[b'x'; 64 * 1024]) {
        Ok(junk) => junk,
        Err(_) => "",
    };
    let mut site = TestSite::started();
    let junk = vec![(Duration::from_millis(1), JUNK); 1000];
    let endless = ServerScript::Answer { status: 200, pieces: junk, end: ScriptEnd::Hang };
    site.servers.script_next(endless);
    site.servers.script_next(events(&["id: 1\ndata: a\n\n"], ScriptEnd::Whole));
    let started_at = site.now();
    let answer = site.send_to("/stream/x");
    let waited = site.now().saturating_duration_since(started_at);
    assert!(waited < Duration::from_millis(200), "another server is tried after {waited:?}");
    assert_eq!(site.read(answer), ("id: 1\ndata: a\n\n".to_owned(), true));
    assert_eq!(site.servers.calls().len(), 2);
}

#[test]
fn stalled_stream_resumes_at_another_server_within_half_a_second() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n"], ScriptEnd::Hang));
    let answer = site.send_to("/stream/x");
    let started_at = site.now();
    let first = site.servers.calls()[0].life.vm.to_string();
    let ForwardAnswer::Stream { mut body, .. } = answer else { panic!("no stream") };
    let reading = async { while body.next_events().await.is_ok_and(|events| events.is_some()) {} };
    let servers = site.servers.clone();
    let clock = site.clock.clone();
    let second_call = async {
        while servers.calls().len() < 2 {
            clock.sleep(Duration::from_millis(5)).await;
        }
        clock.now()
    };
    let either = futures_util::future::select(Box::pin(reading), Box::pin(second_call));
    let ended = run_until(&site.clock, &mut site.pool, either).unwrap();
    let futures_util::future::Either::Right((called_at, _)) = ended else { panic!("no resume") };
    assert!(called_at.duration_since(started_at) < Duration::from_millis(500));
    let calls = site.servers.calls();
    assert_ne!(calls[1].life.vm.as_str(), first);
    assert_eq!(calls[1].resume_after.as_deref(), Some("1"));
}

#[test]
fn one_time_stream_is_never_sent_twice() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n"], ScriptEnd::Broken));
    let answer = site.send_to("/once/x");
    let (text, is_whole) = site.read(answer);
    assert_eq!((text.as_str(), is_whole), ("id: 1\n\n", false));
    assert_eq!(site.servers.calls().len(), 1);
}

#[test]
fn stream_that_ends_within_an_event_is_not_whole() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n", "id: 2\nda"], ScriptEnd::Whole));
    let answer = site.send_to("/once/x");
    assert_eq!(site.read(answer), ("id: 1\n\n".to_owned(), false));
}

#[test]
fn full_groups_refuse_at_once() {
    let mut site = TestSite::started();
    let mut waiting = Vec::new();
    for _ in 0..6 {
        waiting.push(Box::pin(site.gateway.forward(site.request("/stream/x"))));
    }
    let all = futures_util::future::join_all(waiting);
    let started_at = site.now();
    let refused = site.gateway.clone();
    let request = site.request("/stream/x");
    let last = async move { (refused.forward(request).await, ()) };
    let ended = futures_util::future::select(Box::pin(all), Box::pin(last));
    let ended = run_until(&site.clock, &mut site.pool, ended).unwrap();
    let futures_util::future::Either::Right(((answer, ()), _)) = ended else { panic!("waited") };
    assert_eq!(not_run(&answer), Some(NotRunReason::NoRoom));
    assert_eq!(site.now(), started_at);
}

#[test]
fn dropping_the_answer_ends_the_request_in_flight() {
    let mut site = TestSite::started();
    site.script_all("m", &events(&["id: 1\n\n"], ScriptEnd::Hang));
    let answer = site.send_to("/once/x");
    assert_eq!(site.gateway.in_flight(), 1);
    drop(answer);
    assert_eq!(site.gateway.in_flight(), 0);
}

/// Guards against a node that started a moment ago, invites callers, and refuses them because it knows
/// no servers yet.
#[test]
fn node_without_a_list_of_servers_invites_no_callers() {
    let mut site = TestSite::new();
    site.feeds.put_config(config(1, &["k"]));
    site.feeds.set_list_unreachable(true);
    site.gateway.start();
    site.run(500);
    assert!(!site.gateway.is_ready());
    assert!(site.gateway.caller_addresses(None, 64).is_empty());
    site.feeds.set_list_unreachable(false);
    site.feeds.add_reading(ServerReading {
        is_whole: true,
        version: StoreVersion::first_era(1),
        changes: vec![listed("p1", "plain", false)],
    });
    site.run(2000);
    assert!(site.gateway.is_ready());
    assert_eq!(site.gateway.caller_addresses(None, 64).len(), 1);
}

#[test]
fn leaving_node_answers_until_it_refuses() {
    let mut site = TestSite::started();
    site.script_all("p", &ServerScript::whole(200, "ok"));
    assert!(site.gateway.is_ready());
    assert_eq!(site.gateway.caller_addresses(None, 64).len(), 1);
    site.gateway.announce_leaving();
    assert!(!site.gateway.is_ready());
    assert!(site.gateway.caller_addresses(None, 64).is_empty());
    assert_eq!(whole(site.send_to("/read/x")).0, 200);
    site.gateway.refuse_new();
    assert_eq!(not_run(&site.send_to("/read/x")), Some(NotRunReason::Leaving));
}
