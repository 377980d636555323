//! Conversion between what nodes tell each other and the messages of the peer schema.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ColdStatement, LEAST_PACE, LONGEST_COLD_TIME, LimitStatement, MOST_PACE};
use comfreyturn_proto::peer;
use comfreyturn_types::{
    FabricDomain, FailureDomain, FleetServer, GroupId, GroupMembership, Incarnation, ModelName,
    NodeId, RequestRate, ServerLife, ServiceName, StoreVersion, VmId,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    LoggedChange, ModelRate, PartReport, RefusalReport, ViewReport,
    node_snapshot::whole_ms,
    part_report::{decode_requests, encode_requests},
    peer_table::PeerStatus,
};

/// Data heard from a server longer ago than this is not reported.
const HEARD_MAX_AGE: Duration = Duration::from_secs(2);

/// Upper bound on the number of waiting requests of a model that nodes report.
const MAX_WAITING: f64 = 1e6;

/// A short hash of a server's life. Two servers with the same tag, one pair in some millions, share
/// their counts; that misleads the choice of a server but breaks nothing.
pub(crate) fn server_tag(life: &ServerLife) -> u32 {
    let [first, second, third, fourth, ..] = xxh3_64(life.to_string().as_bytes()).to_le_bytes();
    u32::from_le_bytes([first, second, third, fourth])
}

/// Encodes an age: milliseconds plus one, or zero for `None`.
pub(crate) fn encode_age(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1)
}

/// Decodes an age written by [`encode_age`].
pub(crate) fn decode_age(encoded: u64) -> Option<Duration> {
    encoded.checked_sub(1).map(Duration::from_millis)
}

// -------------------------------------------------------------------------------------------
// Reports

/// Writes a report into a message.
pub(crate) fn encode_report(now: Instant, report: &ViewReport, beat: &mut peer::GatewayBeat) {
    let age = |life: &ServerLife| {
        let age = report.seen.get(life).map(|at| now.saturating_duration_since(*at));
        let age = encode_age(age.filter(|age| *age < HEARD_MAX_AGE));
        u32::try_from(age).unwrap_or(u32::MAX)
    };
    let mut loads = peer::ServerLoads::default();
    for (life, running) in &report.loads {
        if *running > 0 {
            loads.servers.push(server_tag(life));
            loads.running.push(*running);
            loads.heard_age_ms.push(age(life));
            loads.unread_tokens.push(report.unread.get(life).copied().unwrap_or(0));
            loads.pace_milli.push(report.paces.get(life).map_or(0, |pace| encode_pace(*pace)));
        }
    }
    if loads.unread_tokens.iter().chain(&loads.pace_milli).all(|number| *number == 0) {
        loads.unread_tokens.clear();
        loads.pace_milli.clear();
    }
    beat.loads = Some(loads);
    beat.stalls = report.stalls.iter().map(server_tag).collect();
    beat.rates = report.rates.iter().map(|(model, rate)| encode_rate(model, *rate)).collect();
    let death = |(fingerprint, death): &(u64, u64)| peer::RequestDeath {
        fingerprint: *fingerprint,
        death: *death,
    };
    beat.deaths = report.crashes.iter().map(death).collect();
    beat.quarantined_requests = encode_requests(now, &report.quarantined);
    report.parts.encode(now, beat);
    beat.refusals = report.refusals.encode(now);
    let unanswered_age = report.unanswered_join.map(|at| now.saturating_duration_since(at));
    beat.unanswered_join_age_ms = encode_age(unanswered_age);
    beat.limits = (!report.limits.is_empty()).then(|| encode_limits(now, &report.limits));
    beat.cold_servers = (!report.cold.is_empty()).then(|| encode_cold(now, &report.cold));
}

fn encode_pace(pace: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a pace is positive and bounded"
    )]
    let milli = (pace * 1000.0).round() as u32;
    milli
}

fn encode_limits(
    now: Instant,
    statements: &HashMap<ServerLife, LimitStatement>,
) -> peer::ServerLimits {
    let mut limits = peer::ServerLimits::default();
    for (life, statement) in statements {
        let age = now.saturating_duration_since(statement.at).as_millis();
        limits.servers.push(server_tag(life));
        limits.limits.push(statement.rate.map_or(0, |rate| u64::from(rate.milli) + 1));
        limits.ages_ms.push(u32::try_from(age).unwrap_or(u32::MAX));
    }
    limits
}

fn decode_limits(
    now: Instant,
    limits: &peer::ServerLimits,
    find: impl Fn(u32) -> Option<ServerLife>,
) -> HashMap<ServerLife, LimitStatement> {
    let entries = limits.servers.iter().zip(&limits.limits).zip(&limits.ages_ms);
    let decoded = entries.filter_map(|((tag, limit), age)| {
        let rate = match limit.checked_sub(1) {
            Some(milli) => Some(RequestRate { milli: u32::try_from(milli).ok()? }),
            None => None,
        };
        let at = now.checked_sub(Duration::from_millis(u64::from(*age)))?;
        Some((find(*tag)?, LimitStatement { rate, at }))
    });
    decoded.collect()
}

fn encode_cold(now: Instant, statements: &HashMap<ServerLife, ColdStatement>) -> peer::ColdServers {
    let milliseconds = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let mut cold = peer::ColdServers::default();
    for (life, statement) in statements {
        let left = if statement.is_cold() {
            statement.until.saturating_duration_since(now)
        } else {
            Duration::ZERO
        };
        cold.servers.push(server_tag(life));
        cold.left_ms.push(milliseconds(left));
        cold.ages_ms.push(milliseconds(now.saturating_duration_since(statement.at)));
    }
    cold
}

fn decode_cold(
    now: Instant,
    cold: &peer::ColdServers,
    find: impl Fn(u32) -> Option<ServerLife>,
) -> HashMap<ServerLife, ColdStatement> {
    let entries = cold.servers.iter().zip(&cold.left_ms).zip(&cold.ages_ms);
    let decoded = entries.filter_map(|((tag, left), age)| {
        let at = now.checked_sub(Duration::from_millis(u64::from(*age)))?;
        let left = Duration::from_millis(u64::from(*left));
        let until = if left.is_zero() { at } else { now + left.min(LONGEST_COLD_TIME) };
        Some((find(*tag)?, ColdStatement { until, at }))
    });
    decoded.collect()
}

fn encode_rate(model: &ModelName, rate: ModelRate) -> peer::ModelRates {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate of requests is small and not negative"
    )]
    let milli = |rate: f64| (rate * 1000.0) as u64;
    peer::ModelRates {
        model: model.to_string(),
        refused_milli: milli(rate.refused),
        arrived_milli: milli(rate.arrived),
        waiting_milli: milli(rate.waiting.min(MAX_WAITING)),
        finished_milli: milli(rate.finished),
    }
}

/// Reads the report in a message. Servers that `find` doesn't know are left out.
pub(crate) fn decode_report(
    now: Instant,
    beat: &peer::GatewayBeat,
    find: impl Fn(u32) -> Option<ServerLife>,
) -> ViewReport {
    let mut report = ViewReport::default();
    if let Some(loads) = &beat.loads {
        let entries = loads.servers.iter().zip(&loads.running).zip(&loads.heard_age_ms);
        for (index, ((tag, running), age)) in entries.enumerate() {
            let Some(life) = find(*tag) else { continue };
            // Older builds send neither.
            if let Some(tokens) = loads.unread_tokens.get(index).filter(|tokens| **tokens > 0) {
                report.unread.insert(life.clone(), *tokens);
            }
            if let Some(pace) = loads.pace_milli.get(index).filter(|pace| **pace > 0) {
                let pace = f64::from(*pace) / 1000.0;
                report.paces.insert(life.clone(), pace.clamp(LEAST_PACE, MOST_PACE));
            }
            let heard_at = decode_age(u64::from(*age)).and_then(|age| now.checked_sub(age));
            if let Some(at) = heard_at {
                report.seen.insert(life.clone(), at);
            }
            report.loads.insert(life, *running);
        }
    }
    report.stalls = beat.stalls.iter().filter_map(|tag| find(*tag)).collect();
    let rate = |rates: &peer::ModelRates| {
        let refused = rates.refused_milli as f64 / 1000.0;
        let arrived = rates.arrived_milli as f64 / 1000.0;
        let finished = rates.finished_milli as f64 / 1000.0;
        let waiting = (rates.waiting_milli as f64 / 1000.0).min(MAX_WAITING);
        let rate = ModelRate { refused, arrived, finished, waiting };
        (ModelName::from(rates.model.as_str()), rate)
    };
    report.rates = beat.rates.iter().map(rate).collect();
    report.quarantined = decode_requests(now, &beat.quarantined_requests);
    report.parts = PartReport::decode(now, beat);
    let unanswered_age = decode_age(beat.unanswered_join_age_ms);
    report.unanswered_join = unanswered_age.and_then(|age| now.checked_sub(age));
    if let Some(refusals) = &beat.refusals {
        report.refusals = RefusalReport::decode(now, refusals, &find);
    }
    if let Some(limits) = &beat.limits {
        report.limits = decode_limits(now, limits, &find);
    }
    if let Some(cold) = &beat.cold_servers {
        report.cold = decode_cold(now, cold, &find);
    }
    report.crashes = beat.deaths.iter().map(|death| (death.fingerprint, death.death)).collect();
    report
}

// -------------------------------------------------------------------------------------------
// Nodes

/// Writes the status of the sender into a message.
pub(crate) fn encode_sender(node: &NodeId, status: &PeerStatus, beat: &mut peer::GatewayBeat) {
    beat.node = node.to_string();
    beat.incarnation = status.incarnation.0;
    beat.peer_address = status.peer_address.to_string();
    beat.caller_address = status.caller_address.to_string();
    beat.failure_domain = status.failure_domain.to_string();
    beat.capacity = status.capacity;
    beat.ready = status.ready;
    beat.lease = status.lease_fencing;
}

/// The status of the sender; `None` if an address is malformed.
pub(crate) fn decode_sender(beat: &peer::GatewayBeat) -> Option<PeerStatus> {
    Some(PeerStatus {
        incarnation: Incarnation(beat.incarnation),
        peer_address: beat.peer_address.parse().ok()?,
        caller_address: beat.caller_address.parse().ok()?,
        failure_domain: FailureDomain::from(beat.failure_domain.as_str()),
        capacity: beat.capacity,
        ready: beat.ready && !beat.leaving,
        lease_fencing: beat.lease,
    })
}

/// The message about another node.
pub(crate) fn encode_node(node: &NodeId, status: &PeerStatus) -> peer::NodeStatus {
    peer::NodeStatus {
        node: node.to_string(),
        incarnation: status.incarnation.0,
        peer_address: status.peer_address.to_string(),
        caller_address: status.caller_address.to_string(),
        failure_domain: status.failure_domain.to_string(),
        capacity: status.capacity,
        ready: status.ready,
        lease: status.lease_fencing,
    }
}

/// The status of another node; `None` if an address is malformed.
pub(crate) fn decode_node(message: &peer::NodeStatus) -> Option<(NodeId, PeerStatus)> {
    let status = PeerStatus {
        incarnation: Incarnation(message.incarnation),
        peer_address: message.peer_address.parse().ok()?,
        caller_address: message.caller_address.parse().ok()?,
        failure_domain: FailureDomain::from(message.failure_domain.as_str()),
        capacity: message.capacity,
        ready: message.ready,
        lease_fencing: message.lease,
    };
    Some((NodeId::from(message.node.as_str()), status))
}

// -------------------------------------------------------------------------------------------
// The list of servers

pub(crate) fn encode_version(version: StoreVersion) -> peer::ListVersion {
    peer::ListVersion { era: version.era, number: version.number }
}

pub(crate) fn decode_version(message: Option<&peer::ListVersion>) -> StoreVersion {
    let version =
        |message: &peer::ListVersion| StoreVersion { era: message.era, number: message.number };
    message.map(version).unwrap_or_default()
}

pub(crate) fn encode_change(change: &LoggedChange) -> peer::ListedServer {
    peer::ListedServer {
        vm: change.vm.to_string(),
        version: Some(encode_version(change.version)),
        description: change.server.as_ref().map(encode_server),
    }
}

fn encode_server(server: &FleetServer) -> peer::ServerDescription {
    let membership = |membership: &GroupMembership| peer::ServerMembership {
        group: membership.group.to_string(),
        epoch: membership.epoch,
        rank: membership.rank,
        phase: membership.phase.to_string(),
    };
    peer::ServerDescription {
        born: server.life.born,
        service: server.service.to_string(),
        address: server.address.to_string(),
        failure_domain: server.failure_domain.to_string(),
        slots: server.slots,
        leaving: server.leaving,
        fabric_domain: server.fabric_domain.as_ref().map(ToString::to_string),
        model: server.model.as_ref().map(ToString::to_string),
        staged: server.staged.iter().map(ToString::to_string).collect(),
        membership: server.membership.as_ref().map(membership),
        cold_left_ms: whole_ms(server.cold_left),
    }
}

/// A change of the list; `None` if it is malformed.
pub(crate) fn decode_change(message: &peer::ListedServer) -> Option<LoggedChange> {
    let vm = VmId::from(message.vm.as_str());
    let server = match &message.description {
        Some(description) => Some(decode_server(&vm, description)?),
        None => None,
    };
    Some(LoggedChange { vm, version: decode_version(message.version.as_ref()), server })
}

fn decode_server(vm: &VmId, message: &peer::ServerDescription) -> Option<FleetServer> {
    let membership = match &message.membership {
        Some(membership) => Some(GroupMembership {
            group: GroupId::from(membership.group.as_str()),
            epoch: membership.epoch,
            rank: membership.rank,
            phase: membership.phase.parse().ok()?,
        }),
        None => None,
    };
    Some(FleetServer {
        life: ServerLife { vm: vm.clone(), born: message.born },
        service: ServiceName::from(message.service.as_str()),
        address: message.address.parse().ok()?,
        failure_domain: FailureDomain::from(message.failure_domain.as_str()),
        slots: message.slots,
        leaving: message.leaving,
        fabric_domain: message.fabric_domain.as_deref().map(FabricDomain::from),
        model: message.model.as_deref().map(ModelName::from),
        staged: message.staged.iter().map(|model| ModelName::from(model.as_str())).collect(),
        membership,
        cold_left: Duration::from_millis(message.cold_left_ms),
    })
}
