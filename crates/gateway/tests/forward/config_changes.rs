//! Requests that run or wait while the operators' configuration or the list of servers changes.

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreyturn_gateway::{ForwardAnswer, ForwardRequest, GatewaySettings, NotRunReason};
use comfreyturn_ports::{ServerChange, ServerReading, Spawner as _};
use comfreyturn_standin::fakes::{LocalSpawner, ScriptEnd, ServerScript};
use comfreyturn_types::{GatewayConfig, ServiceName, StoreVersion, VmId};
use strum::IntoEnumIterator as _;

use crate::test_site::{TestSite, config, events, listed};

/// What changes while a request runs or waits.
#[derive(Clone, Copy, Debug, PartialEq, strum::EnumIter)]
enum Change {
    RouteRemoved,
    RouteMoved,
    TimeoutShortened,
    TimeoutLengthened,
    AttemptsReduced,
    KeyRemoved,
    CustomerRemoved,
    KeysRequiredNoMore,
    ServiceRemoved,
    ServerLeaves,
    ServersGone,
}

/// Versions that follow each other, and the time until one is in force, in milliseconds.
const VERSIONS: u64 = 3;
const VERSION_PAUSE_MS: u64 = 700;

/// When a server begins and ends its answer: after the last change.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const RUN_PAUSE: Duration = Duration::from_millis(2300);

/// Time within which a request that waits in vain has an answer, and the timeout of its route, in
/// milliseconds.
const ANSWER_MS: u64 = 100;
const TIMEOUT_MS: u64 = 4000;

impl Change {
    /// The configuration after this change.
    fn config(self, version: u64) -> GatewayConfig {
        let mut config = config(version, if self == Self::KeyRemoved { &[] } else { &["k"] });
        match self {
            Self::RouteRemoved => config.routes.clear(),
            Self::RouteMoved => {
                for route in &mut config.routes {
                    let is_plain = route.targets[0].service.as_str() == "plain";
                    let other = if is_plain { "models" } else { "plain" };
                    route.targets[0].service = ServiceName::from(other);
                }
            }
            Self::TimeoutShortened | Self::TimeoutLengthened => {
                let is_shorter = self == Self::TimeoutShortened;
                let timeout = Duration::from_millis(if is_shorter { 500 } else { 9000 });
                config.routes.iter_mut().for_each(|route| route.timeout = timeout);
            }
            Self::AttemptsReduced => {
                config.routes.iter_mut().for_each(|route| route.max_attempts = 1);
            }
            Self::CustomerRemoved => config.customers = Some(Vec::new()),
            Self::KeysRequiredNoMore => config.customers = None,
            Self::ServiceRemoved => {
                config.routes.clear();
                config.services.clear();
            }
            Self::KeyRemoved | Self::ServerLeaves | Self::ServersGone => {}
        }
        config
    }

    /// The list of servers after this change.
    fn servers(self) -> Vec<ServerChange> {
        let all = [("p1", "plain"), ("p2", "plain"), ("p3", "plain"), ("m1", "models")];
        match self {
            Self::ServerLeaves => all.map(|(vm, service)| listed(vm, service, true)).into(),
            Self::ServersGone => all.map(|(vm, _)| ServerChange::Dropped(VmId::from(vm))).into(),
            _ => Vec::new(),
        }
    }

    /// Makes this change and the opposite one in turn.
    fn make(self, site: &mut TestSite, versions: u64) {
        let known = site.gateway.config_version().unwrap();
        for version in known + 1..=known + versions {
            let is_change = (version - known) % 2 == 1;
            let config = if is_change { self.config(version) } else { config(version, &["k"]) };
            site.feeds.put_config(config);
            if is_change {
                site.feeds.add_reading(ServerReading {
                    is_whole: false,
                    version: StoreVersion::first_era(version),
                    changes: self.servers(),
                });
            }
            site.run(VERSION_PAUSE_MS);
            assert_eq!(site.gateway.config_version(), Some(version));
        }
    }
}

/// How a request ended.
#[derive(Debug, PartialEq)]
enum End {
    /// With an answer, and whether it is complete.
    Answered(String, bool),

    NotRun(NotRunReason),
    Other,
}

/// A request whose answer is read while the test goes on.
#[derive(Clone, Default)]
struct Running(Rc<RefCell<Option<End>>>);

impl Running {
    fn start(site: &mut TestSite, target: &str) -> Self {
        let running = Self::default();
        let (gateway, answer) = (site.gateway.clone(), running.0.clone());
        let request = ForwardRequest { deadline: None, ..site.request(target) };
        LocalSpawner::new(&site.pool).spawn(Box::pin(async move {
            let end = match gateway.forward(request).await {
                ForwardAnswer::Whole { body, .. } => {
                    End::Answered(String::from_utf8(body.into()).unwrap(), true)
                }
                ForwardAnswer::Stream { mut body, .. } => {
                    let (mut text, mut events) = (String::new(), body.next_events().await);
                    while let Ok(Some(bytes)) = events {
                        text.push_str(std::str::from_utf8(&bytes).unwrap());
                        events = body.next_events().await;
                    }
                    End::Answered(text, events.is_ok())
                }
                ForwardAnswer::NotRun { reason, .. } => End::NotRun(reason),
                ForwardAnswer::Denied(_) | ForwardAnswer::Unknown(_) => End::Other,
            };
            *answer.borrow_mut() = Some(end);
        }));
        site.run(10);
        running
    }

    fn end(&self) -> Option<End> {
        self.0.borrow_mut().take()
    }
}

/// An objective that a request can meet after it waited.
const OBJECTIVE: Duration = Duration::from_millis(3500);

fn site() -> TestSite {
    TestSite::started_with(GatewaySettings::default(), &["m1"])
}

fn stream() -> ServerScript {
    let pieces = vec![(FIRST_PAUSE, "id: 1\n\n"), (Duration::from_millis(100), "id: 2\n\n")];
    let steps = (1..20).map(|_| (RUN_PAUSE / 20, ": \n\n"));
    let pieces = pieces.into_iter().chain(steps).chain([(FIRST_PAUSE, "id: 3\n\n")]).collect();
    ServerScript::Answer { status: 200, pieces, end: ScriptEnd::Whole }
}

/// Guards against a change of the configuration, or several, that ends a request that
/// a server runs (LOST).
#[test]
fn change_ends_no_request_that_runs() {
    for change in Change::iter() {
        for versions in [1, VERSIONS] {
            let mut site = site();
            site.servers.script_next(ServerScript::Late {
                pause: RUN_PAUSE,
                answer: Box::new(ServerScript::whole(200, "ok")),
            });
            let write = Running::start(&mut site, "/write/x");
            site.servers.script_next(stream());
            let once = Running::start(&mut site, "/once/x");
            change.make(&mut site, versions);
            site.run(3000);
            let whole = Some(End::Answered("ok".to_owned(), true));
            assert_eq!(write.end(), whole, "{change:?}, {versions}");
            let Some(End::Answered(text, true)) = once.end() else {
                panic!("{change:?}, {versions}")
            };
            assert!(text.ends_with("id: 3\n\n"), "{change:?}, {versions}: {text}");
        }
    }
}

/// Guards against a request that waits for a place in vain until its time is over: its service is
/// removed. Servers that leave may be followed by others, but the request must be answered in time.
#[test]
fn request_that_waits_for_what_is_removed_is_answered() {
    for change in [Change::ServiceRemoved, Change::ServersGone, Change::ServerLeaves] {
        let mut site = site();
        let mut config = config(2, &["k"]);
        config.routes.iter_mut().for_each(|route| route.objective = OBJECTIVE);
        site.feeds.put_config(config);
        site.run(VERSION_PAUSE_MS);
        // Requests that finish show the node that places become free.
        let waiting = (0..100).find_map(|number| {
            site.servers.script_next(events(&["id: 1\n\n"; 4], ScriptEnd::Whole));
            let before = site.servers.calls().len();
            let running = Running::start(&mut site, "/stream/x");
            let is_waiting = site.servers.calls().len() == before && running.0.borrow().is_none();
            site.run(30);
            (number > 20 && is_waiting).then_some(running)
        });
        let waiting = waiting.expect("a request that waits");
        change.make(&mut site, 1);
        let is_removed = change == Change::ServiceRemoved;
        site.run(if is_removed { ANSWER_MS } else { TIMEOUT_MS });
        match waiting.end() {
            Some(End::NotRun(NotRunReason::NoServer)) if is_removed => {}
            Some(End::NotRun(NotRunReason::WaitEnded)) if !is_removed => {}
            end => panic!("{change:?}: {end:?}"),
        }
    }
}
