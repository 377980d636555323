//! The named points of all protocols.

/// The protocol that a step belongs to.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// A change of the configuration.
    Config,
    /// Membership of the roster.
    Roster,
    /// A lease.
    Lease,
    /// Forming, maintaining and retiring groups.
    Group,
    /// Watching backend servers.
    Watch,
    /// A request that may be repeated.
    Request,
    /// A request that runs at most once.
    Claim,
    /// Lending parts of customers' limits.
    Limit,
    /// Shutting a node down.
    Shutdown,
    /// A request that may crash backend servers.
    Suspect,
}

/// A point of a protocol at which an external system is called. Tests inject faults here.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// Reads the head of the configuration log.
    ConfigReadHead,
    /// Reads log entries or the whole configuration from the table.
    ConfigReadEntries,
    /// Writes a change.
    ConfigCommit,
    /// Reads back a change whose write got no response.
    ConfigReadBack,
    /// Pushes a change to a peer and awaits its acknowledgement.
    ConfigPush,
    /// Fetches log entries from a peer.
    ConfigFetch,
    /// Requests from a peer the version that it knows and the state that it watches.
    PeerHeartbeat,
    /// Records that a roster change was confirmed by its majorities.
    RosterConfirm,
    /// Reads a lease.
    LeaseRead,
    /// Acquires a lease.
    LeaseAcquire,
    /// Renews a lease.
    LeaseRenew,
    /// Releases a lease.
    LeaseRelease,
    /// Reads the rows of groups and VMs.
    GroupReadRows,
    /// Writes the rows of a group and its VMs.
    GroupCommit,
    /// Reads back a group's rows after a write that got no response.
    GroupReadBack,
    /// Orders a VM to join a group.
    GroupOrder,
    /// Orders a VM to leave a group.
    GroupRelease,
    /// Requests the report of a backend server.
    WatchPoll,
    /// Notifies peers of a loss immediately.
    WatchNotify,
    /// Reads the platform's list of VMs.
    WatchDirectory,
    /// Sends an attempt to a backend server.
    RequestDispatch,
    /// Awaits the next part of a response.
    RequestStream,
    /// Resumes a stream whose connection broke.
    RequestResume,
    /// Cancels a stream whose output is no longer needed.
    RequestCancel,
    /// Inserts a claim.
    ClaimInsert,
    /// Reads back a claim whose insertion got no response.
    ClaimReadBack,
    /// Sends a claimed request to a backend server.
    ClaimDispatch,
    /// Records the outcome of a claimed request.
    ClaimOutcome,
    /// Reads a claim that another submission with the same idempotency key holds.
    ClaimJoin,
    /// Requests a loan of a part of a peer's share of a customer's limit.
    LimitLoan,
    /// Notifies peers that the node is leaving.
    ShutdownAnnounce,
    /// Notifies peers of a suspect request.
    SuspectNotify,
    /// Runs a suspect request again.
    SuspectRetry,
    /// Acquires or releases the right to run a suspect request at a group.
    SuspectSlot,
}

impl Step {
    /// The protocol that the step belongs to.
    pub fn protocol(self) -> Protocol {
        match self {
            Self::ConfigReadHead
            | Self::ConfigReadEntries
            | Self::ConfigCommit
            | Self::ConfigReadBack
            | Self::ConfigPush
            | Self::ConfigFetch => Protocol::Config,
            Self::PeerHeartbeat | Self::RosterConfirm => Protocol::Roster,
            Self::LeaseRead | Self::LeaseAcquire | Self::LeaseRenew | Self::LeaseRelease => {
                Protocol::Lease
            }
            Self::GroupReadRows
            | Self::GroupCommit
            | Self::GroupReadBack
            | Self::GroupOrder
            | Self::GroupRelease => Protocol::Group,
            Self::WatchPoll | Self::WatchNotify | Self::WatchDirectory => Protocol::Watch,
            Self::RequestDispatch
            | Self::RequestStream
            | Self::RequestResume
            | Self::RequestCancel => Protocol::Request,
            Self::ClaimInsert
            | Self::ClaimReadBack
            | Self::ClaimDispatch
            | Self::ClaimOutcome
            | Self::ClaimJoin => Protocol::Claim,
            Self::LimitLoan => Protocol::Limit,
            Self::ShutdownAnnounce => Protocol::Shutdown,
            Self::SuspectNotify | Self::SuspectRetry | Self::SuspectSlot => Protocol::Suspect,
        }
    }
}
