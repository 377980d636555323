//! Servers that fall silent for a while and go on.

use std::time::Duration;

use comfreyturn_gateway::{ForwardAnswer, GatewaySettings};
use comfreyturn_ports::{LinkError, Spawner as _};
use comfreyturn_standin::fakes::{LocalSpawner, ScriptEnd, ServerScript};
use strum::IntoEnumIterator as _;

use crate::test_site::{TestSite, events, whole};

/// For how long a server is silent, in milliseconds.
const PAUSES_MS: [u64; 3] = [500, 1000, 2000];

/// A stream's first events, up to the pause.
const BEFORE: &str = "id: 1\n\nid: 2\n\n";

/// The events after the pause.
const AFTER: &str = "id: 3\n\nid: 4\n\n";

/// Why a request can't go on at another server.
#[derive(Clone, Copy, Debug, strum::EnumIter)]
enum Obstacle {
    /// The other server turns it away.
    Declined,

    /// The other server is silent as well.
    Silent,

    /// The other server is not reached.
    NotReached,

    /// The connection to the other server breaks.
    Broken,

    /// The other server answers with an error.
    Error,

    /// The other server answers, but not with a stream.
    NoEvents,

    /// There is no other server.
    Absent,

    /// The budget for retries is used up.
    NoBudget,
}

impl Obstacle {
    /// What the other server does.
    fn script(self) -> Option<ServerScript> {
        match self {
            Self::Declined => Some(ServerScript::Fail(LinkError::NotRun)),
            Self::Silent => Some(ServerScript::Hang),
            Self::NotReached => Some(ServerScript::Fail(LinkError::NotSent)),
            Self::Broken => Some(ServerScript::Fail(LinkError::Broken)),
            Self::Error => Some(ServerScript::whole(500, "sorry")),
            Self::NoEvents => Some(ServerScript::Answer {
                status: 200,
                pieces: vec![(Duration::ZERO, "no event")],
                end: ScriptEnd::Whole,
            }),
            Self::Absent | Self::NoBudget => None,
        }
    }

    fn site(self) -> TestSite {
        let settings = match self {
            Self::NoBudget => {
                GatewaySettings { retry_share: 0.0, retry_slack: 0.0, ..GatewaySettings::default() }
            }
            _ => GatewaySettings::default(),
        };
        let models: &[&str] = match self {
            Self::Absent => &["m1"],
            _ => &["m1", "m2"],
        };
        TestSite::started_with(settings, models)
    }
}

fn paused(pause_ms: u64, before: &'static str, after: &'static str) -> ServerScript {
    let pause = Duration::from_millis(pause_ms);
    let pieces = match before {
        "" => vec![(pause, after)],
        _ => vec![(Duration::ZERO, before), (pause, after)],
    };
    ServerScript::Answer { status: 200, pieces, end: ScriptEnd::Whole }
}

/// Guards against an answer that is cut while its server still runs it (LOST): the server is silent
/// for a while, and no other one can take the stream over.
#[test]
fn stream_goes_on_after_a_pause_if_no_other_server_takes_it_over() {
    for obstacle in Obstacle::iter() {
        for pause_ms in PAUSES_MS {
            let mut site = obstacle.site();
            site.servers.script_next(paused(pause_ms, BEFORE, AFTER));
            if let Some(script) = obstacle.script() {
                site.servers.script_next(script);
            }
            let answer = site.send_to("/stream/x");
            let events = site.read(answer);
            assert_eq!(events, (format!("{BEFORE}{AFTER}"), true), "{obstacle:?}, {pause_ms} ms");
        }
    }
}

/// Guards against a request that is given up while its server still works on the first event: its
/// caller gets an unknown outcome, though the server answers (LOST).
#[test]
fn stream_whose_first_event_is_late_is_answered_if_no_other_server_takes_it_over() {
    for obstacle in Obstacle::iter() {
        for pause_ms in PAUSES_MS {
            let mut site = obstacle.site();
            site.servers.script_next(paused(pause_ms, "", BEFORE));
            if let Some(script) = obstacle.script() {
                site.servers.script_next(script);
            }
            let answer = site.send_to("/stream/x");
            let is_stream = matches!(answer, ForwardAnswer::Stream { .. });
            assert!(is_stream, "{obstacle:?}, {pause_ms} ms");
            assert_eq!(site.read(answer), (BEFORE.to_owned(), true), "{obstacle:?}, {pause_ms} ms");
        }
    }
}

/// Guards against an idempotent request that is given up while its server still runs it: its caller
/// gets an unknown outcome, though the server answers (LOST).
#[test]
fn whole_answer_that_is_late_is_delivered_if_no_other_server_answers() {
    let obstacles = Obstacle::iter().filter(|obstacle| {
        // Of the plain service there are three servers, and any body is an answer.
        !matches!(obstacle, Obstacle::Absent | Obstacle::NoEvents)
    });
    for obstacle in obstacles {
        for pause_ms in PAUSES_MS {
            let mut site = obstacle.site();
            site.servers.script_next(ServerScript::Late {
                pause: Duration::from_millis(pause_ms),
                answer: Box::new(ServerScript::whole(200, "late")),
            });
            if let Some(script) = obstacle.script() {
                site.servers.script_next(script);
            }
            let answer = site.send_to("/read/x");
            let is_whole = matches!(answer, ForwardAnswer::Whole { .. });
            assert!(is_whole, "{obstacle:?}, {pause_ms} ms");
            assert_eq!(whole(answer), (200, "late".to_owned()), "{obstacle:?}, {pause_ms} ms");
        }
    }
}

/// Guards against callers that wait for a server that died, though another one answers.
#[test]
fn request_of_a_server_that_stays_silent_is_answered_by_another_one() {
    let mut site = TestSite::started();
    site.servers.script_next(ServerScript::Hang);
    site.servers.script_next(ServerScript::whole(200, "other"));
    assert_eq!(whole(site.send_to("/read/x")), (200, "other".to_owned()));
    let mut site = TestSite::started();
    site.servers.script_next(ServerScript::Hang);
    site.servers.script_next(paused(0, BEFORE, AFTER));
    let answer = site.send_to("/stream/x");
    assert_eq!(site.read(answer), (format!("{BEFORE}{AFTER}"), true));
}

/// Guards against events that come twice or are missing (ORDER): two servers run the stream at the
/// same time, and either may be the first to go on.
#[test]
fn events_come_once_whichever_server_goes_on_first() {
    const OTHER: &str = "id: 3\n\nid: 4\ndata: other\n\n";
    for (pause_ms, other_ms, expected) in [(700, 600, AFTER), (1500, 600, OTHER)] {
        let mut site = TestSite::started();
        site.servers.script_next(paused(pause_ms, BEFORE, AFTER));
        site.servers.script_next(paused(other_ms, "", OTHER));
        let answer = site.send_to("/stream/x");
        assert_eq!(site.read(answer), (format!("{BEFORE}{expected}"), true));
        let calls = site.servers.calls();
        assert_eq!(calls.len(), 2);
        assert_eq!(calls[1].resume_after.as_deref(), Some("2"));
        assert_eq!(site.gateway.in_flight(), 0);
    }
}

/// Guards against a slow server that gets new requests after each of its silences, while its streams
/// are kept.
#[test]
fn server_that_goes_on_after_silences_gets_no_new_requests() {
    let mut site = TestSite::started();
    let pause = Duration::from_millis(700);
    let pieces = vec![(Duration::ZERO, BEFORE), (pause, "id: 3\n\n"), (pause, "id: 4\n\n")];
    let slow = ServerScript::Answer { status: 200, pieces, end: ScriptEnd::Whole };
    site.servers.script_next(slow);
    site.servers.script_next(ServerScript::Fail(LinkError::NotRun));
    let answer = site.send_to("/stream/x");
    let ForwardAnswer::Stream { mut body, .. } = answer else { panic!("no stream") };
    LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
        while body.next_events().await.is_ok_and(|events| events.is_some()) {}
    }));
    site.run(500);
    let slow = site.servers.calls()[0].life.clone();
    // Both servers have one stream.
    site.servers.script_next(events(&["id: 1\n\n"], ScriptEnd::Hang));
    let _other = site.send_to("/stream/x");
    site.run(300);
    for _ in 0..10 {
        site.servers.script_next(paused(0, "", BEFORE));
        let answer = site.send_to("/stream/x");
        assert!(site.read(answer).1);
        assert_ne!(site.servers.calls().last().unwrap().life, slow);
    }
}
