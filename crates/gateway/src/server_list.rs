//! The list of servers, as read by this node or told by others.

use std::time::{Duration, Instant};

use comfreyturn_policy::{StaleCause, newest_places};
use comfreyturn_ports::{ReportedPlace, ServerChange, ServerReading};
use comfreyturn_types::{
    FleetGroupRecord, FleetServer, GroupMembership, MemberPhase, ServerLife, StoreVersion,
};

use crate::{
    AppliedReading, KeptEntries, LoggedChange, RegressedEntry, gateway_metrics,
    gateway_state::GatewayState,
};

/// How long servers that left the list are kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(20);

/// Groups are not planned if the list of servers was not read within this time.
const LIST_MAX_AGE: Duration = Duration::from_secs(2);

impl GatewayState {
    /// Applies a reading of the list.
    pub(crate) fn apply_reading(&self, now: Instant, reading: ServerReading, kept: KeptEntries) {
        let version = reading.version;
        if version < self.list_version() {
            // Changes that other nodes sent are newer than this answer of the platform.
            return;
        }
        let first = self.first_listing();
        let known = self.list_version();
        let applied = self.servers.borrow_mut().apply(reading, kept);
        if known != StoreVersion::default() && version.era != known.era {
            log_restored_list(known, version, &applied);
        }
        let servers = self.servers.borrow();
        let mut log = self.list_log.borrow_mut();
        for vm in &applied.changed {
            let server = servers.by_vm(vm).cloned();
            log.push(LoggedChange { vm: vm.clone(), version, server });
        }
        log.complete_at(version);
        drop((servers, log));
        self.record_sightings(now, &applied);
        self.observe_list_era(now, known, version.era);
        self.mark_regressed(now, &applied);
        self.record_cold_entries(now, first, &applied);
        self.record_dropped(now, applied.dropped);
    }

    /// Applies changes of the list that another node sent. They are complete up to `complete`.
    pub(crate) fn apply_listed(
        &self,
        now: Instant,
        mut changes: Vec<LoggedChange>,
        complete: Option<StoreVersion>,
    ) {
        let log = self.list_log.borrow();
        changes.retain(|change| change.version > log.version_of(&change.vm));
        drop(log);
        let server_change = |change: &LoggedChange| match &change.server {
            Some(server) => ServerChange::Listed(Box::new(server.clone())),
            None => ServerChange::Dropped(change.vm.clone()),
        };
        let reading = ServerReading {
            is_whole: false,
            version: StoreVersion::default(),
            changes: changes.iter().map(server_change).collect(),
        };
        let first = self.first_listing();
        let known = self.list_version();
        let newest = changes.iter().map(|change| change.version).chain(complete).max();
        let is_restored =
            known != StoreVersion::default() && newest.is_some_and(|newest| newest.era > known.era);
        let kept = KeptEntries { missing: false, known: is_restored };
        let applied = self.servers.borrow_mut().apply(reading, kept);
        self.record_sightings(now, &applied);
        if let Some(newest) = newest {
            self.observe_list_era(now, known, newest.era);
        }
        self.mark_regressed(now, &applied);
        let mut log = self.list_log.borrow_mut();
        for change in changes.into_iter().filter(|change| applied.changed.contains(&change.vm)) {
            log.push(change);
        }
        if let Some(complete) = complete {
            log.complete_at(complete);
        }
        drop(log);
        self.record_cold_entries(now, first, &applied);
        self.record_dropped(now, applied.dropped);
    }

    fn record_sightings(&self, now: Instant, applied: &AppliedReading) {
        let servers = self.servers.borrow();
        let mut sightings = self.sightings.borrow_mut();
        let changed = applied.changed.iter().filter_map(|vm| servers.by_vm(vm));
        changed.for_each(|server| sightings.record(now, server));
    }

    /// Marks the places of all listed servers as stale when the list is of another era than before,
    /// and until it is whole. A process that starts doesn't know whether the store was restored just
    /// before, unless the whole deployment starts for the first time.
    fn observe_list_era(&self, now: Instant, known: StoreVersion, era: u64) {
        let is_first = known == StoreVersion::default();
        let is_new = self.list_era.get().is_none_or(|seen| era > seen);
        if !is_new && !is_first && known.era >= era {
            return;
        }
        self.list_era.set(Some(era));
        let cause = match is_first {
            true if self.is_first_start => return,
            true => StaleCause::FirstReading,
            false => StaleCause::Contradicted,
        };
        let mut places = self.stale_places.borrow_mut();
        for server in self.servers.borrow().all().filter(|server| server.fabric_domain.is_some()) {
            places.mark(now, &server.life, cause);
        }
    }

    /// Marks the places of servers whose entries show an older group or none any more.
    fn mark_regressed(&self, now: Instant, applied: &AppliedReading) {
        let mut places = self.stale_places.borrow_mut();
        for RegressedEntry { life, known_group, is_free } in &applied.regressed {
            if *is_free {
                places.mark_group_missing(now, life, known_group);
            } else {
                places.mark(now, life, StaleCause::Contradicted);
            }
        }
    }

    /// Records where a server says that it is, asked at `asked_at`.
    pub(crate) fn record_place(&self, life: &ServerLife, asked_at: Instant, place: ReportedPlace) {
        let mut places = self.stale_places.borrow_mut();
        let place = match place {
            ReportedPlace::Unstated => return places.record_answer(life, asked_at),
            ReportedPlace::Free => None,
            ReportedPlace::Member(membership) => Some(membership),
        };
        if places.record_report(life, asked_at) {
            let group = place.as_ref().map(|place| place.group.to_string());
            if self.servers.borrow_mut().set_place(life, place) {
                log::info!(server:% = life, group = group; "servers: place differs from the list.");
            }
        }
    }

    /// The version up to which this node has the list of servers.
    pub(crate) fn list_version(&self) -> StoreVersion {
        self.list_log.borrow().complete()
    }

    /// How long ago the list of servers was last read.
    pub(crate) fn list_age(&self, now: Instant) -> Option<Duration> {
        self.list_reads.get().map(|(_, last)| now.saturating_duration_since(last))
    }

    /// Records that the list of servers was read from the platform at `read_at`.
    pub(crate) fn record_list_read(&self, read_at: Instant) {
        let (first, last) = self.list_reads.get().unwrap_or((read_at, read_at));
        self.list_reads.set(Some((first, last.max(read_at))));
    }

    /// Whether the list of servers is complete enough to plan: it was read recently, and, if groups
    /// were `restored`, it has been read for long enough that servers whose entries expired have
    /// registered again.
    pub(crate) fn list_is_settled(&self, now: Instant, restored: bool) -> bool {
        let Some((first, last)) = self.list_reads.get() else { return false };
        let fresh = now.saturating_duration_since(last) < LIST_MAX_AGE;
        let settled = now.saturating_duration_since(first) >= self.settings.outage_grace;
        fresh && (settled || !restored)
    }

    /// Keeps members of groups that left the list, and forgets stalled and lost servers that are
    /// neither listed nor kept.
    pub(crate) fn record_dropped(&self, now: Instant, dropped: Vec<FleetServer>) {
        let mut unlisted = self.unlisted.borrow_mut();
        let members = dropped.into_iter().filter(|server| server.membership.is_some());
        for server in members {
            let group = server.membership.as_ref().map(|membership| membership.group.to_string());
            log::info!(
                server:% = server.life, group = group, list_version:% = self.list_version();
                "servers: member of a group left the list."
            );
            unlisted.insert(server.life.clone(), (now, server));
        }
        let servers = self.servers.borrow();
        unlisted.retain(|life, (at, _)| {
            servers.get(life).is_none() && now.saturating_duration_since(*at) < UNLISTED_RETENTION
        });
        let known = |life: &ServerLife| servers.get(life).is_some() || unlisted.contains_key(life);
        self.stalls.borrow_mut().retain(known);
        let mut limits = self.limits.borrow_mut();
        limits.retain(now, UNLISTED_RETENTION, known);
        self.leaving_servers.borrow_mut().retain(known);
        self.rooms.borrow_mut().retain(known);
        self.waits.borrow_mut().retain(now, known);
        self.quotas.borrow_mut().retain(|life| limits.limit(life).is_some());
        self.cold_quotas.borrow_mut().retain(known);
        self.stale_places.borrow_mut().retain(now, known);
        self.sightings.borrow_mut().retain(known);
        self.lost.borrow_mut().retain(known);
    }

    /// Keeps the members that rows of groups name but the list doesn't. They may still serve if they
    /// lost their connection to the platform before this node read the list.
    pub(crate) fn add_unlisted_members(&self, now: Instant, records: &[FleetGroupRecord]) {
        let servers = self.servers.borrow();
        let mut unlisted = self.unlisted.borrow_mut();
        for (life, (record, rank)) in newest_places(records) {
            if servers.get(life).is_none() && !unlisted.contains_key(life) {
                unlisted.insert(life.clone(), (now, recorded_server(record, rank)));
            }
        }
    }
}

/// Builds a server from the row of its group. The head is assumed to be open until it reports
/// another phase.
fn recorded_server(record: &FleetGroupRecord, rank: usize) -> FleetServer {
    let member = &record.members[rank];
    let phase = if rank == 0 { MemberPhase::Open } else { MemberPhase::Ready };
    FleetServer {
        life: member.life.clone(),
        service: record.service.clone(),
        address: member.address,
        failure_domain: member.failure_domain.clone(),
        slots: 0,
        leaving: false,
        fabric_domain: None,
        model: Some(record.model.clone()),
        staged: Vec::new(),
        membership: Some(GroupMembership {
            group: record.group.clone(),
            epoch: record.epoch,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            phase,
        }),
        cold_left: Duration::ZERO,
    }
}

fn log_restored_list(known: StoreVersion, version: StoreVersion, applied: &AppliedReading) {
    gateway_metrics::count_regressed_entries(applied.regressed.len());
    log::warn!(
        list_version:% = version,
        earlier:% = known,
        changed = applied.changed.len(),
        regressed = applied.regressed.len();
        "servers: list restored from an older copy."
    );
}
