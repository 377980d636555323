//! What another server sends when it is asked to go on with a stream.

use std::time::Duration;

use comfreyturn_gateway::ForwardRequest;
use comfreyturn_standin::fakes::{ScriptEnd, ServerScript};

use crate::test_site::{TestSite, events};

/// The events that the caller has when the stream breaks.
const BEFORE: &str = "id: 1\n\nid: 2\n\n";

/// An error as text, with its head. The blank line looks like the end of an event.
const ERROR_TEXT: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy\n\n";

/// A stream that breaks after its first events; then another server sends `pieces`.
fn resumed(pieces: &[&'static str], end: ScriptEnd) -> (String, bool) {
    let mut site = TestSite::started();
    site.servers.script_next(events(&[BEFORE], ScriptEnd::Broken));
    site.servers.script_next(events(pieces, end));
    let answer = site.send_to("/stream/x");
    site.read(answer)
}

/// Guards against an error's text in the middle of a stream, and a stream that then ends as if it were
/// complete (ORDER, MIXED).
#[test]
fn text_of_an_error_is_no_part_of_a_resumed_stream() {
    for text in [ERROR_TEXT, "busy\n\n", "busy", "{\"error\": \"busy\"}\n\n", "data: x\n\n"] {
        for end in [ScriptEnd::Whole, ScriptEnd::Unmarked, ScriptEnd::Broken] {
            assert_eq!(resumed(&[text], end), (BEFORE.to_owned(), false), "{text:?}, {end:?}");
        }
    }
}

/// Guards against a failure status whose body is relayed within a stream (ORDER, MIXED).
#[test]
fn failure_status_ends_a_resumed_stream_as_broken() {
    for status in [400, 404, 429, 500, 503] {
        let mut site = TestSite::started();
        site.servers.script_next(events(&[BEFORE], ScriptEnd::Broken));
        site.servers.script_next(ServerScript::whole(status, "id: 3\n\nid: 4\n\n"));
        let answer = site.send_to("/stream/x");
        assert_eq!(site.read(answer), (BEFORE.to_owned(), false), "{status}");
    }
}

/// Guards against events that come twice or are missing, because the other server begins at another
/// event than the one that it was asked for (ORDER).
#[test]
fn resumed_stream_begins_after_the_last_event() {
    for first in ["id: 1\n\n", "id: 2\n\n", "id: 4\n\n", "id: 04\n\n", "id: x\n\n"] {
        let pieces = [first, "id: 5\n\n"];
        let read = resumed(&pieces, ScriptEnd::Whole);
        assert_eq!(read, (BEFORE.to_owned(), false), "{first:?}");
    }
    let read = resumed(&["id: 3\n\n", "id: 4\n\n"], ScriptEnd::Whole);
    assert_eq!(read, (format!("{BEFORE}id: 3\n\nid: 4\n\n"), true));
}

/// Guards against streams that can't be resumed because their ids have gaps or are no numbers, and
/// against events that come twice because the last one has no id (ORDER).
#[test]
fn ids_that_do_not_count_up_by_one_are_allowed_and_events_without_id_are_not_repeated() {
    let cases = [
        ("id: 10\n\nid: 20\n\n", "id: 30\n\n", true),
        ("id: 10\n\nid: 20\n\n", "id: 20\n\n", false),
        ("id: a\n\nid: b\n\n", "id: c\n\n", true),
        ("id: a\n\nid: b\n\n", "id: b\n\n", false),
        ("data: x\n\n", "data: x\n\n", false),
        ("id: 1\n\ndata: x\n\n", "data: x\n\n", false),
    ];
    for (before, after, is_whole) in cases {
        let mut site = TestSite::started();
        site.servers.script_next(events(&[before], ScriptEnd::Broken));
        site.servers.script_next(events(&[after], ScriptEnd::Whole));
        let answer = site.send_to("/stream/x");
        let expected = if is_whole { format!("{before}{after}") } else { before.to_owned() };
        assert_eq!(site.read(answer), (expected, is_whole), "{before:?}, {after:?}");
    }
}

/// Guards against events that the caller of a resumed stream has already (ORDER).
#[test]
fn stream_that_its_caller_resumes_begins_after_the_callers_last_event() {
    let mut site = TestSite::started();
    site.servers.script_next(events(&["id: 1\n\n", "id: 2\n\n"], ScriptEnd::Whole));
    site.servers.script_next(events(&["id: 3\n\n"], ScriptEnd::Whole));
    let resume_after = Some("2".to_owned());
    let request = ForwardRequest { resume_after, ..site.request("/stream/x") };
    let answer = site.send(request);
    assert_eq!(site.read(answer), ("id: 3\n\n".to_owned(), true));
    assert_eq!(site.servers.calls().len(), 2);
}

/// Guards against a silent server's stream that is left for one that sends no part of it (LOST).
#[test]
fn silent_stream_goes_on_if_the_other_server_sends_something_else() {
    for other in [ERROR_TEXT, "id: 1\n\n", "id: 7\n\n"] {
        let mut site = TestSite::started();
        let pieces = vec![(Duration::ZERO, BEFORE), (Duration::from_millis(1000), "id: 3\n\n")];
        let end = ScriptEnd::Whole;
        site.servers.script_next(ServerScript::Answer { status: 200, pieces, end });
        site.servers.script_next(events(&[other], ScriptEnd::Whole));
        let answer = site.send_to("/stream/x");
        assert_eq!(site.read(answer), (format!("{BEFORE}id: 3\n\n"), true), "{other:?}");
    }
}

/// Guards against a response's head or an error's text that the stream's own server writes, and that is
/// relayed as an event (MIXED).
#[test]
fn text_of_the_streams_own_server_is_no_event() {
    for end in [ScriptEnd::Whole, ScriptEnd::Unmarked, ScriptEnd::Hang] {
        let mut site = TestSite::started();
        site.servers.script_next(events(&[BEFORE, ERROR_TEXT], end));
        site.servers.script_next(events(&["id: 3\n\n"], ScriptEnd::Whole));
        let answer = site.send_to("/stream/x");
        assert_eq!(site.read(answer), (format!("{BEFORE}id: 3\n\n"), true), "{end:?}");
        let mut site = TestSite::started();
        site.servers.script_next(events(&["id: 1\n\nbusy\n\n"], end));
        let answer = site.send_to("/once/x");
        assert_eq!(site.read(answer), ("id: 1\n\n".to_owned(), false), "{end:?}");
    }
}
