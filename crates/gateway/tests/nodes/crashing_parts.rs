//! Prompts with one part in common that crash each server that begins to answer them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_gateway::ForwardRequest;
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_standin::fakes::{CRASH_HEADER, FixedFeeds};
use comfreyturn_types::{PromptPart, RequestKind, ServerLife, StoreVersion, VmId};
use http::{HeaderMap, HeaderValue};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, address, name},
};

const SIZES: [u16; 3] = [7, 9, 89];

const SERVERS: usize = 40;

/// Events of each answer, one every 40 ms.
const EVENTS: u32 = 20;

/// Pause between two requests, in milliseconds. One of this many has the part that crashes servers.
const REQUEST_PAUSE_MS: u64 = 10;
const CRASHING_SHARE: u64 = 8;

/// A crashed server is back under another id after this time, in milliseconds.
const RESTART_MS: u64 = 1000;

/// The part that all prompts share, the part that crashes servers, and the first of those that some
/// prompts share.
const COMMON_PART: PromptPart = PromptPart(1);
const CRASHING_PART: PromptPart = PromptPart(2);
const FIRST_DOCUMENT: u64 = 100;
const DOCUMENTS: u64 = 12;

/// From this time after this crash, no more than so many requests with the part reach servers.
const STOPPING_CRASH: usize = 5;
const SETTLING_TIME: Duration = Duration::from_secs(3);
const LATE_REQUESTS: usize = 3;

/// Time after which the nodes of a first start know each other and the servers, in milliseconds.
const JOIN_MS: u64 = 6000;

/// Nodes whose callers send some prompts that crash servers.
struct CrashingSite {
    nodes: TestNodes,
    size: u16,
    rng: Xoshiro256PlusPlus,
    servers: Vec<VmId>,
    list_version: u64,

    /// Crashed servers, and when each is replaced.
    ended: HashMap<VmId, Instant>,
    replaced: usize,

    /// Sound requests that callers sent, with the time.
    sound: Vec<Instant>,
}

impl CrashingSite {
    fn started(size: u16) -> Self {
        let servers: Vec<VmId> =
            (0..SERVERS).map(|index| VmId::from(format!("s{index}"))).collect();
        let mut site = Self {
            nodes: TestNodes::first_start(size),
            size,
            rng: Xoshiro256PlusPlus::seed_from_u64(u64::from(size)),
            servers,
            list_version: 1,
            ended: HashMap::new(),
            replaced: 0,
            sound: Vec::new(),
        };
        site.nodes.servers.set_events(EVENTS);
        site.nodes.feeds.values().for_each(|feeds| site.fill(feeds));
        site.nodes.run(JOIN_MS);
        site
    }

    /// Makes the platform return the configuration and the servers.
    fn fill(&self, feeds: &FixedFeeds) {
        feeds.put_config(plain_config(RequestKind::ResumableStream));
        let version = StoreVersion::first_era(self.list_version);
        let changes = self.servers.iter().map(|vm| listed(vm.as_str())).collect();
        feeds.add_reading(ServerReading { is_whole: true, version, changes });
    }

    fn now(&self) -> Instant {
        self.nodes.now(1)
    }

    /// Sends requests to random nodes among some; with `crashing`, some have the part that crashes
    /// servers.
    fn send_for(&mut self, milliseconds: u64, crashing: bool, to: impl Fn(u16) -> bool) {
        let receivers: Vec<u16> = (1..=self.size).filter(|node| to(*node)).collect();
        for index in 0..milliseconds / REQUEST_PAUSE_MS {
            let number = receivers[self.rng.random_range(0..receivers.len())];
            let crashes = crashing && index % CRASHING_SHARE == 0;
            let request = self.request(crashes);
            if !crashes {
                self.sound.push(request.received_at);
            }
            self.nodes.send(number, request);
            self.nodes.run(REQUEST_PAUSE_MS);
            self.replace_ended();
        }
    }

    fn request(&mut self, crashes: bool) -> ForwardRequest {
        let document = PromptPart(FIRST_DOCUMENT + self.rng.random_range(0..DOCUMENTS));
        let mut shared_parts = vec![COMMON_PART, document];
        if crashes {
            shared_parts.push(CRASHING_PART);
        }
        self.request_with(shared_parts)
    }

    /// A request with these parts.
    fn request_with(&mut self, shared_parts: Vec<PromptPart>) -> ForwardRequest {
        let mut headers = HeaderMap::new();
        if shared_parts.contains(&CRASHING_PART) {
            headers.insert(CRASH_HEADER, HeaderValue::from_static("1"));
        }
        ForwardRequest {
            headers,
            body: Bytes::from(self.rng.random::<u64>().to_string()),
            shared_parts,
            ..plain_request(self.now())
        }
    }

    /// Sends requests with these parts, and one that no other has, to random nodes among some: one
    /// after each pause, for a time.
    fn send_with(
        &mut self,
        parts: &[PromptPart],
        pause_ms: u64,
        milliseconds: u64,
        to: impl Fn(u16) -> bool,
    ) {
        let receivers: Vec<u16> = (1..=self.size).filter(|node| to(*node)).collect();
        for _ in 0..milliseconds / pause_ms {
            let own = PromptPart(self.rng.random_range(1 << 32..1 << 48));
            let mut parts = parts.to_vec();
            parts.push(own);
            let request = self.request_with(parts);
            if !request.shared_parts.contains(&CRASHING_PART) {
                self.sound.push(request.received_at);
            }
            let number = receivers[self.rng.random_range(0..receivers.len())];
            self.nodes.send(number, request);
            for _ in 0..pause_ms.div_ceil(REQUEST_PAUSE_MS) {
                self.nodes.run(pause_ms.min(REQUEST_PAUSE_MS));
                self.replace_ended();
            }
        }
    }

    /// Sends requests that crash servers, one a second, after nobody sent any for a while.
    fn crash_after_a_lull(&mut self, parts: &[PromptPart]) {
        self.send_for(3000, false, |_| true);
        self.nodes.run(3000);
        self.send_with(parts, 1000, 8000, |_| true);
        let crashes = self.nodes.servers.crashes().len();
        assert!((3..=5).contains(&crashes), "{} nodes: {crashes} crashes", self.size);
    }

    /// Requests with the part that crashes servers which reached servers later than some time after
    /// the crash after which nodes must stop.
    fn late_crashing(&self) -> usize {
        let crashes = self.nodes.servers.crashes();
        let last = crashes.get(STOPPING_CRASH - 1);
        last.map_or(0, |(_, at)| self.crashing_since(*at + SETTLING_TIME))
    }

    /// Lists crashed servers as gone, and later their successors.
    fn replace_ended(&mut self) {
        let now = self.now();
        for (life, at) in self.nodes.servers.crashes() {
            if self.servers.contains(&life.vm) && !self.ended.contains_key(&life.vm) {
                self.ended.insert(life.vm, at + Duration::from_millis(RESTART_MS));
            }
        }
        let due: Vec<VmId> =
            self.ended.iter().filter(|(_, at)| **at <= now).map(|(vm, _)| vm.clone()).collect();
        for vm in due {
            self.ended.remove(&vm);
            self.replaced += 1;
            let successor = VmId::from(format!("r{}", self.replaced));
            self.servers.retain(|known| *known != vm);
            self.servers.push(successor.clone());
            self.list_version += 1;
            let version = StoreVersion::first_era(self.list_version);
            let changes = vec![ServerChange::Dropped(vm), listed(successor.as_str())];
            for feeds in self.nodes.feeds.values() {
                let changes = changes.clone();
                feeds.add_reading(ServerReading { is_whole: false, version, changes });
            }
        }
    }

    /// Crashes some servers at the same moment, without a request that causes it.
    fn crash_servers(&self, count: usize) {
        for vm in self.servers.iter().take(count) {
            let life = ServerLife { vm: vm.clone(), born: 1 };
            self.nodes.servers.crash(self.now(), &life);
        }
    }

    /// Replaces a node by one that knows nothing.
    fn restart(&mut self, number: u16) {
        self.nodes.restart(number);
        self.fill(&self.nodes.feeds[&number]);
    }

    /// When the crash happened after which nodes must stop.
    fn stopping_crash(&self) -> Instant {
        self.nodes.servers.crashes()[STOPPING_CRASH - 1].1
    }

    /// Requests with the part that crashes servers which reached servers since some time.
    fn crashing_since(&self, since: Instant) -> usize {
        let arrivals = self.nodes.servers.arrivals();
        arrivals.iter().filter(|arrival| arrival.crashes && arrival.at >= since).count()
    }

    /// The share of sound requests since some time that reached servers. Retries count as well.
    fn sound_share(&self, since: Instant) -> f64 {
        let arrivals = self.nodes.servers.arrivals();
        let arrived = arrivals.iter().filter(|arrival| !arrival.crashes && arrival.at >= since);
        let sent = self.sound.iter().filter(|at| **at >= since).count();
        arrived.count() as f64 / sent.max(1) as f64
    }
}

/// Guards against requests that crash server after server because no two of them are alike but for
/// one part of their prompts (BUDGET).
#[test]
fn prompt_part_that_crashes_servers_is_stopped_whatever_else_requests_hold() {
    for size in SIZES {
        let mut site = CrashingSite::started(size);
        site.send_for(3000, false, |_| true);
        site.send_for(12_000, true, |_| true);
        let since = site.stopping_crash() + SETTLING_TIME;
        let late = site.crashing_since(since);
        let ended = site.nodes.servers.crashes().len();
        assert!(late <= LATE_REQUESTS, "{size} nodes: {late} more requests, {ended} servers ended");
        let share = site.sound_share(since);
        assert!(share > 0.9, "{size} nodes: {share} of the sound requests reached servers");
    }
}

/// Guards against nodes that send such requests again after they were restarted, frozen or cut off.
#[test]
fn quarantined_prompt_part_stays_stopped_at_nodes_that_were_away() {
    let mut site = CrashingSite::started(9);
    site.send_for(2000, false, |_| true);
    // Two nodes hear of nothing while the part is found.
    site.nodes.net.cut.borrow_mut().extend([address(1), address(2)]);
    site.nodes.plan.pause(&name(3), Duration::from_secs(6));
    site.send_for(6000, true, |node| node > 3);
    site.nodes.net.cut.borrow_mut().clear();
    site.send_for(1000, false, |node| node > 3);
    let since = site.now();
    site.send_for(5000, true, |_| true);
    assert_eq!(site.crashing_since(since), 0, "nodes that were cut off or frozen");
    for number in [4, 5, 9] {
        site.restart(number);
        site.send_for(3000, true, |node| node != number);
        site.send_for(2000, true, |_| true);
    }
    assert_eq!(site.crashing_since(since), 0, "nodes that were restarted");
}

/// Guards against sound prompts that are refused because servers fail for another reason.
#[test]
fn lost_servers_quarantine_no_prompt_part() {
    let mut site = CrashingSite::started(9);
    site.send_for(2000, false, |_| true);
    for lost in [20, 12, 8] {
        site.crash_servers(lost);
        site.send_for(3000, false, |_| true);
    }
    let since = site.now();
    site.send_for(5000, false, |_| true);
    let share = site.sound_share(since);
    assert!(share > 0.99, "{share} of the sound requests reached servers");
}

/// Guards against nodes that send a request that crashes servers again after they were restarted
/// (BUDGET): its quarantine is known to the others.
#[test]
fn quarantined_request_stays_stopped_at_nodes_that_start_again() {
    let mut site = CrashingSite::started(7);
    let send_to_all = |site: &mut CrashingSite, nodes: std::ops::RangeInclusive<u16>| {
        for number in nodes {
            let mut headers = HeaderMap::new();
            headers.insert(CRASH_HEADER, HeaderValue::from_static("1"));
            let request = ForwardRequest { headers, ..plain_request(site.now()) };
            site.nodes.send(number, request);
            site.send_for(500, false, |_| true);
        }
    };
    send_to_all(&mut site, 1..=7);
    site.send_for(4000, false, |_| true);
    let since = site.now();
    for _ in 0..2 {
        (2..=7).for_each(|number| site.restart(number));
        site.send_for(4000, false, |_| true);
        send_to_all(&mut site, 1..=7);
    }
    let late = site.crashing_since(since);
    assert!(late <= LATE_REQUESTS, "{late} more requests reached servers");
}

/// Guards against sound prompts that are refused until the end of a quarantine: prompts that crash
/// servers came while no sound ones did, so the part that all share was in each of them (LOST).
#[test]
fn part_that_all_prompts_share_is_served_though_it_was_in_each_that_crashed() {
    let other = PromptPart(3);
    let orders = [
        vec![COMMON_PART, CRASHING_PART],
        vec![CRASHING_PART, COMMON_PART],
        vec![COMMON_PART, CRASHING_PART, other],
        vec![COMMON_PART, other, CRASHING_PART],
    ];
    for (size, parts) in SIZES.into_iter().flat_map(|size| orders.iter().map(move |o| (size, o))) {
        let mut site = CrashingSite::started(size);
        site.crash_after_a_lull(parts);
        let sound: Vec<PromptPart> =
            parts.iter().copied().filter(|part| *part != CRASHING_PART).collect();
        let since = site.now();
        for _ in 0..8 {
            site.send_with(parts, REQUEST_PAUSE_MS, REQUEST_PAUSE_MS, |_| true);
            site.send_with(&sound, REQUEST_PAUSE_MS, 1000, |_| true);
        }
        let share = site.sound_share(since);
        assert!(share > 0.5, "{size} nodes, {parts:?}: {share} of the sound requests");
        let late = site.late_crashing();
        assert!(late <= LATE_REQUESTS, "{size} nodes, {parts:?}: {late} more requests");
    }
}

/// Guards against the same at the only node that gets such prompts, which has just started and knows of
/// the quarantine by the others (LOST).
#[test]
fn node_that_is_told_of_a_quarantine_serves_sound_prompts() {
    for size in SIZES {
        let mut site = CrashingSite::started(size);
        site.crash_after_a_lull(&[COMMON_PART, CRASHING_PART]);
        site.nodes.run(3000);
        site.restart(1);
        site.nodes.run(3000);
        let since = site.now();
        site.send_with(&[COMMON_PART], 100, 10_000, |node| node == 1);
        let share = site.sound_share(since);
        assert!(share > 0.5, "{size} nodes: {share} of the sound requests");
    }
}

/// Guards against hundreds of nodes that each try a part that crashes servers (BUDGET).
#[test]
fn prompts_with_the_crashing_part_alone_crash_few_more_servers() {
    for size in SIZES {
        let mut site = CrashingSite::started(size);
        site.crash_after_a_lull(&[COMMON_PART, CRASHING_PART]);
        site.send_with(&[CRASHING_PART], REQUEST_PAUSE_MS, 8000, |_| true);
        let late = site.late_crashing();
        assert!(late <= LATE_REQUESTS, "{size} nodes: {late} more requests");
        let crashes = site.nodes.servers.crashes().len();
        assert!(crashes <= STOPPING_CRASH + LATE_REQUESTS, "{size} nodes: {crashes} crashes");
    }
}
