//! Checks of the other members of a group, made by its first VM.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr};

use comfreyturn_types::{GroupAssignment, VmId, VmPhase, VmRecord, VmReport};
use futures_util::future::join_all;
use http::Method;

use crate::{EngineSettings, http_client::json_call};

/// Checks whether the other members of a group are ready, for its first VM.
pub(crate) struct MemberChecker {
    /// Known addresses, from the settings and the platform's list.
    addresses: RefCell<BTreeMap<VmId, SocketAddr>>,
}

impl MemberChecker {
    /// Starts with the addresses in the settings.
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self { addresses: RefCell::new(settings.members.clone()) }
    }

    /// Whether all other members answer, are ready and report the same group and generation.
    pub(crate) async fn is_whole(
        &self,
        settings: &EngineSettings,
        assignment: &GroupAssignment,
    ) -> bool {
        let others = assignment.members.iter().filter(|member| **member != settings.vm);
        let checks = others.map(|member| self.is_member_ready(settings, assignment, member));
        join_all(checks).await.into_iter().all(|is_ready| is_ready)
    }

    async fn is_member_ready(
        &self,
        settings: &EngineSettings,
        assignment: &GroupAssignment,
        member: &VmId,
    ) -> bool {
        let Some(address) = self.address(settings, member).await else {
            return false;
        };
        let report = json_call::<VmReport>(
            address,
            Method::GET,
            "/control/report",
            &(),
            settings.member_timeout,
        );
        let Ok(report) = report.await else {
            self.forget(settings, member);
            return false;
        };
        report.vm == *member
            && report.phase == VmPhase::Ready
            && report.assignment.is_some_and(|place| {
                place.group == assignment.group && place.generation == assignment.generation
            })
    }

    async fn address(&self, settings: &EngineSettings, member: &VmId) -> Option<SocketAddr> {
        let known = self.addresses.borrow().get(member).copied();
        if known.is_some() {
            return known;
        }
        let platform = settings.platform?;
        let list =
            json_call::<Vec<VmRecord>>(platform, Method::GET, "/vms", &(), settings.member_timeout);
        let list = list.await.ok()?;
        let address = list.into_iter().find(|record| record.vm == *member)?.address;
        self.addresses.borrow_mut().insert(member.clone(), address);
        Some(address)
    }

    /// Drops an address that came from the platform's list, because a restarted member may listen
    /// on another one.
    fn forget(&self, settings: &EngineSettings, member: &VmId) {
        if !settings.members.contains_key(member) {
            self.addresses.borrow_mut().remove(member);
        }
    }
}
