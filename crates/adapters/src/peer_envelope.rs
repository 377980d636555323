//! Converts messages between nodes to and from envelopes.

use std::time::Duration;

use comfreyturn_ports::{
    PeerAnswer, PeerIdentity, PeerNotice, PeerQuestion, RelayedReport, UnchangedReports,
    WatchCursor, WatchUpdate,
};
use comfreyturn_proto::peer::{self, Envelope, envelope::Body};
use comfreyturn_types::{
    ConfigEntry, ConfigVersion, FencingNumber, GroupAssignment, GroupGeneration, Incarnation, VmId,
    VmLoad, VmPhase, VmReport,
};

/// Why an envelope cannot be decoded or encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub(crate) enum EnvelopeError {
    /// The envelope is empty, or contains another kind of message than expected.
    #[display("unexpected kind of message")]
    UnexpectedKind,

    /// A VM is in a phase that this release does not know.
    #[display("unknown phase of a VM")]
    UnknownPhase,

    /// A configuration entry cannot be decoded or encoded.
    #[display("malformed configuration entry")]
    MalformedEntry,
}

/// Result of reading or writing an envelope.
pub(crate) type EnvelopeResult<T, E = EnvelopeError> = std::result::Result<T, E>;

/// A message that a node receives without having asked.
pub(crate) enum PeerMessage {
    Question(PeerQuestion),
    Notice(PeerNotice),
}

const PHASE_IDLE: u32 = 0;
const PHASE_LOADING: u32 = 1;
const PHASE_READY: u32 = 2;

/// Creates an envelope.
pub(crate) fn make_envelope(
    from: &PeerIdentity,
    uptime: Duration,
    number: u64,
    body: Body,
) -> Envelope {
    Envelope {
        number,
        cell: from.cell.as_str().to_owned(),
        node: from.node.as_str().to_owned(),
        incarnation: from.incarnation.0,
        uptime_ms: whole_millis(uptime),
        body: Some(body),
    }
}

/// The sender of an envelope.
pub(crate) fn sender(envelope: &Envelope) -> PeerIdentity {
    PeerIdentity {
        cell: envelope.cell.as_str().into(),
        node: envelope.node.as_str().into(),
        incarnation: Incarnation(envelope.incarnation),
    }
}

/// Encodes a question.
pub(crate) fn question_body(question: &PeerQuestion) -> EnvelopeResult<Body> {
    Ok(match question {
        PeerQuestion::Heartbeat { config, cursor } => {
            Body::Heartbeat(peer::Heartbeat { config: config.0, cursor: cursor.sequence })
        }
        PeerQuestion::ConfigPush { entries } => {
            Body::ConfigPush(peer::ConfigPush { entries_json: write_entries(entries)? })
        }
        PeerQuestion::ConfigFetch { after } => {
            Body::ConfigFetch(peer::ConfigFetch { after: after.0 })
        }
        PeerQuestion::ShareLoan { customer, number, wanted } => {
            Body::ShareQuestion(peer::ShareQuestion {
                customer: customer.as_str().to_owned(),
                number: *number,
                wanted: *wanted,
            })
        }
    })
}

/// Encodes an answer.
pub(crate) fn answer_body(answer: &PeerAnswer) -> EnvelopeResult<Body> {
    Ok(match answer {
        PeerAnswer::Heartbeat { config, leaving, in_flight, watch } => {
            Body::HeartbeatAnswer(write_heartbeat(*config, *leaving, *in_flight, watch))
        }
        PeerAnswer::ConfigKnown { config } => {
            Body::ConfigKnown(peer::ConfigKnown { config: config.0 })
        }
        PeerAnswer::ConfigEntries { entries } => {
            Body::ConfigEntries(peer::ConfigEntries { entries_json: write_entries(entries)? })
        }
        PeerAnswer::ShareLoan { customer, number, lent } => Body::ShareAnswer(peer::ShareAnswer {
            customer: customer.as_str().to_owned(),
            number: *number,
            lent: *lent,
        }),
    })
}

/// Encodes a notice.
pub(crate) fn notice_body(notice: &PeerNotice) -> Body {
    match notice {
        PeerNotice::VmLeaving { vm, incarnation } => Body::VmLeaving(peer::VmLeaving {
            vm: vm.as_str().to_owned(),
            incarnation: incarnation.0,
        }),
        PeerNotice::VmLost { vm } => Body::VmLost(peer::VmLost { vm: vm.as_str().to_owned() }),
        PeerNotice::NodeLeaving => Body::NodeLeaving(peer::NodeLeaving {}),
        PeerNotice::Suspect { fingerprint, death } => {
            Body::Suspect(peer::Suspect { fingerprint: *fingerprint, death: *death })
        }
        PeerNotice::SuspectCleared { fingerprint } => {
            Body::SuspectCleared(peer::SuspectCleared { fingerprint: *fingerprint })
        }
    }
}

/// Decodes a question or a notice.
pub(crate) fn read_message(body: Option<Body>) -> EnvelopeResult<PeerMessage> {
    let Some(body) = body else { return Err(EnvelopeError::UnexpectedKind) };
    Ok(match body {
        Body::Heartbeat(heartbeat) => PeerMessage::Question(PeerQuestion::Heartbeat {
            config: ConfigVersion(heartbeat.config),
            cursor: WatchCursor { sequence: heartbeat.cursor },
        }),
        Body::ConfigPush(push) => PeerMessage::Question(PeerQuestion::ConfigPush {
            entries: read_entries(&push.entries_json)?,
        }),
        Body::ConfigFetch(fetch) => {
            PeerMessage::Question(PeerQuestion::ConfigFetch { after: ConfigVersion(fetch.after) })
        }
        Body::ShareQuestion(question) => PeerMessage::Question(PeerQuestion::ShareLoan {
            customer: question.customer.into(),
            number: question.number,
            wanted: question.wanted,
        }),
        Body::VmLeaving(leaving) => PeerMessage::Notice(PeerNotice::VmLeaving {
            vm: leaving.vm.into(),
            incarnation: Incarnation(leaving.incarnation),
        }),
        Body::VmLost(lost) => PeerMessage::Notice(PeerNotice::VmLost { vm: lost.vm.into() }),
        Body::NodeLeaving(_) => PeerMessage::Notice(PeerNotice::NodeLeaving),
        Body::Suspect(suspect) => PeerMessage::Notice(PeerNotice::Suspect {
            fingerprint: suspect.fingerprint,
            death: suspect.death,
        }),
        Body::SuspectCleared(cleared) => {
            PeerMessage::Notice(PeerNotice::SuspectCleared { fingerprint: cleared.fingerprint })
        }
        Body::HeartbeatAnswer(_)
        | Body::ConfigKnown(_)
        | Body::ConfigEntries(_)
        | Body::ShareAnswer(_) => {
            return Err(EnvelopeError::UnexpectedKind);
        }
    })
}

/// Decodes the answer to `question`.
pub(crate) fn read_answer(
    question: &PeerQuestion,
    body: Option<Body>,
) -> EnvelopeResult<PeerAnswer> {
    match (question, body) {
        (PeerQuestion::Heartbeat { .. }, Some(Body::HeartbeatAnswer(answer))) => {
            read_heartbeat(answer)
        }
        (PeerQuestion::ConfigPush { .. }, Some(Body::ConfigKnown(answer))) => {
            Ok(PeerAnswer::ConfigKnown { config: ConfigVersion(answer.config) })
        }
        (PeerQuestion::ConfigFetch { .. }, Some(Body::ConfigEntries(answer))) => {
            Ok(PeerAnswer::ConfigEntries { entries: read_entries(&answer.entries_json)? })
        }
        (PeerQuestion::ShareLoan { .. }, Some(Body::ShareAnswer(answer))) => {
            Ok(PeerAnswer::ShareLoan {
                customer: answer.customer.into(),
                number: answer.number,
                lent: answer.lent,
            })
        }
        _ => Err(EnvelopeError::UnexpectedKind),
    }
}

fn write_heartbeat(
    config: ConfigVersion,
    leaving: bool,
    in_flight: u32,
    watch: &WatchUpdate,
) -> peer::HeartbeatAnswer {
    peer::HeartbeatAnswer {
        config: config.0,
        leaving,
        in_flight,
        cursor: watch.cursor.sequence,
        changed: watch.changed.iter().map(write_relayed).collect(),
        unchanged_age_ms: age_millis(watch.unchanged.age),
        unchanged_except: names(&watch.unchanged.except, VmId::as_str),
    }
}

fn read_heartbeat(answer: peer::HeartbeatAnswer) -> EnvelopeResult<PeerAnswer> {
    let changed: EnvelopeResult<_> = answer.changed.into_iter().map(read_relayed).collect();
    let unchanged = UnchangedReports {
        age: Duration::from_millis(answer.unchanged_age_ms),
        except: answer.unchanged_except.into_iter().map(VmId::from).collect(),
    };
    let cursor = WatchCursor { sequence: answer.cursor };
    Ok(PeerAnswer::Heartbeat {
        config: ConfigVersion(answer.config),
        leaving: answer.leaving,
        in_flight: answer.in_flight,
        watch: WatchUpdate { cursor, changed: changed?, unchanged },
    })
}

fn write_relayed(relayed: &RelayedReport) -> peer::RelayedReport {
    peer::RelayedReport {
        vm: relayed.vm.as_str().to_owned(),
        report: relayed.report.as_ref().map(write_report),
        age_ms: age_millis(relayed.age),
    }
}

fn read_relayed(relayed: peer::RelayedReport) -> EnvelopeResult<RelayedReport> {
    let vm = VmId::from(relayed.vm);
    let report = relayed.report.map(|report| read_report(vm.clone(), report)).transpose()?;
    Ok(RelayedReport { vm, report, age: Duration::from_millis(relayed.age_ms) })
}

fn write_report(report: &VmReport) -> peer::VmReport {
    peer::VmReport {
        incarnation: report.incarnation.0,
        phase: write_phase(report.phase),
        leaving: report.leaving,
        assignment: report.assignment.as_ref().map(write_assignment),
        fencing: report.fencing.unwrap_or_default().0,
        checks_fencing: report.fencing.is_some(),
        running: report.load.running,
        queued: report.load.queued,
        capacity: report.load.capacity,
        load_age_ms: age_millis(report.load.age),
    }
}

fn read_report(vm: VmId, report: peer::VmReport) -> EnvelopeResult<VmReport> {
    let load = VmLoad {
        running: report.running,
        queued: report.queued,
        capacity: report.capacity,
        age: Duration::from_millis(report.load_age_ms),
    };
    Ok(VmReport {
        vm,
        incarnation: Incarnation(report.incarnation),
        phase: read_phase(report.phase)?,
        leaving: report.leaving,
        assignment: report.assignment.map(read_assignment),
        fencing: report.checks_fencing.then_some(FencingNumber(report.fencing)),
        load,
    })
}

fn write_phase(phase: VmPhase) -> u32 {
    match phase {
        VmPhase::Idle => PHASE_IDLE,
        VmPhase::Loading => PHASE_LOADING,
        VmPhase::Ready => PHASE_READY,
    }
}

fn read_phase(phase: u32) -> EnvelopeResult<VmPhase> {
    match phase {
        PHASE_IDLE => Ok(VmPhase::Idle),
        PHASE_LOADING => Ok(VmPhase::Loading),
        PHASE_READY => Ok(VmPhase::Ready),
        _ => Err(EnvelopeError::UnknownPhase),
    }
}

fn write_assignment(assignment: &GroupAssignment) -> peer::Assignment {
    peer::Assignment {
        group: assignment.group.as_str().to_owned(),
        generation: assignment.generation.0,
        service: assignment.service.as_str().to_owned(),
        model: assignment.model.as_str().to_owned(),
        version: assignment.version.as_str().to_owned(),
        adapters: names(&assignment.adapters, |adapter| adapter.as_str()),
        members: names(&assignment.members, VmId::as_str),
    }
}

fn read_assignment(assignment: peer::Assignment) -> GroupAssignment {
    GroupAssignment {
        group: assignment.group.into(),
        generation: GroupGeneration(assignment.generation),
        service: assignment.service.into(),
        model: assignment.model.into(),
        version: assignment.version.into(),
        adapters: assignment.adapters.into_iter().map(Into::into).collect(),
        members: assignment.members.into_iter().map(Into::into).collect(),
    }
}

fn write_entries(entries: &[ConfigEntry]) -> EnvelopeResult<Vec<String>> {
    let texts: Result<_, _> = entries.iter().map(serde_json::to_string).collect();
    texts.map_err(|_| EnvelopeError::MalformedEntry)
}

fn read_entries(texts: &[String]) -> EnvelopeResult<Vec<ConfigEntry>> {
    let entries: Result<_, _> = texts.iter().map(|text| serde_json::from_str(text)).collect();
    entries.map_err(|_| EnvelopeError::MalformedEntry)
}

fn names<T>(items: &[T], name: impl Fn(&T) -> &str) -> Vec<String> {
    items.iter().map(|item| name(item).to_owned()).collect()
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// An age in milliseconds, rounded up so that evidence never appears more recent than it is.
fn age_millis(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(NANOS_PER_MILLI)).unwrap_or(u64::MAX)
}

const NANOS_PER_MILLI: u128 = 1_000_000;
