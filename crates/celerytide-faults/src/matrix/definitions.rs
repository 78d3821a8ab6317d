//! Steps and faults of the matrix, with their names and descriptions.

/// A step in the handling of a request or of a configuration change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// An entry has accepted the connection and received a part of the request head.
    Accepted,
    /// The permit request is on its way to the pool's owner.
    Classified,
    /// The permit request waits in the owner's queue.
    Queued,
    /// The permit is on its way to the entry.
    Permitted,
    /// The entry waits for a connection to the endpoint.
    Connecting,
    /// The endpoint has received a part of the request head.
    HeadWritten,
    /// The endpoint has received the whole request; no byte of its response has been forwarded.
    BodyWritten,
    /// The first bytes of the response have reached the entry.
    FirstByte,
    /// A part of the response body has reached the entry.
    MidAnswer,
    /// All but the last byte of the response has reached the entry.
    LastByte,
    /// The entry has sent the response; no byte has reached the caller.
    AnswerToCaller,
    /// The configuration service has answered a watch; no byte has arrived.
    VersionSeen,
    /// A part of the new configuration version has arrived.
    Fetched,
    /// The new version is invalid and is rejected by the checks.
    Checked,
    /// One instance has applied the new version; the other has no way to learn of it.
    Applied,
    /// The new version is being sent from peer to peer.
    Spread,
}

impl Step {
    /// All values, in table order.
    pub const ALL: [Step; 16] = [
        Step::Accepted,
        Step::Classified,
        Step::Queued,
        Step::Permitted,
        Step::Connecting,
        Step::HeadWritten,
        Step::BodyWritten,
        Step::FirstByte,
        Step::MidAnswer,
        Step::LastByte,
        Step::AnswerToCaller,
        Step::VersionSeen,
        Step::Fetched,
        Step::Checked,
        Step::Applied,
        Step::Spread,
    ];

    /// Name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Step::Accepted => "accepted",
            Step::Classified => "classified",
            Step::Queued => "queued",
            Step::Permitted => "permitted",
            Step::Connecting => "connecting",
            Step::HeadWritten => "head-written",
            Step::BodyWritten => "body-written",
            Step::FirstByte => "first-byte",
            Step::MidAnswer => "mid-answer",
            Step::LastByte => "last-byte",
            Step::AnswerToCaller => "answer-to-caller",
            Step::VersionSeen => "version-seen",
            Step::Fetched => "fetched",
            Step::Checked => "checked",
            Step::Applied => "applied",
            Step::Spread => "spread",
        }
    }

    /// One-sentence description for the report.
    pub fn description(self) -> &'static str {
        match self {
            Step::Accepted => "An entry has taken the connection and a part of the head.",
            Step::Classified => "The ask for a permit is on its way to the owner.",
            Step::Queued => "The ask waits in the owner's queue.",
            Step::Permitted => "The permit is on its way to the entry.",
            Step::Connecting => "The entry waits for a connection to the endpoint.",
            Step::HeadWritten => "The endpoint has a part of the request's head.",
            Step::BodyWritten => "The endpoint has the whole request; nothing of its answer has left.",
            Step::FirstByte => "The first bytes of the answer have reached the entry.",
            Step::MidAnswer => "A part of the answer has reached the entry.",
            Step::LastByte => "All but the last byte of the answer has reached the entry.",
            Step::AnswerToCaller => "The entry has sent the answer; nothing has reached the caller.",
            Step::VersionSeen => "The service has answered a watch; nothing has arrived.",
            Step::Fetched => "A part of the new version has arrived.",
            Step::Checked => "The new version is one that the checks refuse.",
            Step::Applied => "One instance has applied the new version; the other can't learn of it.",
            Step::Spread => "The new version is on its way from peer to peer.",
        }
    }
}

/// A fault that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Kills the entry and restarts it afterwards.
    KillEntry,
    /// Kills the dispatches that own pools and restarts them afterwards.
    KillDispatch,
    /// Kills the endpoints that hold requests and restarts them afterwards.
    KillEndpoint,
    /// Pauses the entry for longer than every timeout, then resumes it.
    PauseEntry,
    /// Pauses the dispatches that own pools for longer than every timeout, then resumes them.
    PauseDispatch,
    /// Pauses the endpoints that hold requests for longer than every timeout, then resumes them.
    PauseEndpoint,
    /// Resets the connections that are held at the step.
    Reset,
    /// Carries nothing more over the connections held at the step; new connections work.
    Silent,
    /// Drops all replies on the links of the step for longer than every timeout.
    CutOneWay,
    /// Blocks the links of the step in both directions for longer than every timeout.
    CutBoth,
    /// The configuration service closes each connection without a response.
    ServiceDown,
    /// The configuration service responds as if nothing had changed.
    ServiceStale,
    /// Only one instance learns that the other was removed from the instance list.
    ListLagging,
    /// The same request or change arrives a second time by another path.
    Duplicate,
    /// The later request or change arrives before the earlier one.
    Reordered,
    /// Holds everything at the step for longer than every timeout, then lets it continue.
    Late,
    /// Engines become cold without reporting it while more work arrives.
    Cold,
}

impl Fault {
    /// All values, in table order.
    pub const ALL: [Fault; 17] = [
        Fault::KillEntry,
        Fault::KillDispatch,
        Fault::KillEndpoint,
        Fault::PauseEntry,
        Fault::PauseDispatch,
        Fault::PauseEndpoint,
        Fault::Reset,
        Fault::Silent,
        Fault::CutOneWay,
        Fault::CutBoth,
        Fault::ServiceDown,
        Fault::ServiceStale,
        Fault::ListLagging,
        Fault::Duplicate,
        Fault::Reordered,
        Fault::Late,
        Fault::Cold,
    ];

    /// Name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Fault::KillEntry => "entry killed",
            Fault::KillDispatch => "dispatch killed",
            Fault::KillEndpoint => "endpoint killed",
            Fault::PauseEntry => "entry paused",
            Fault::PauseDispatch => "dispatch paused",
            Fault::PauseEndpoint => "endpoint paused",
            Fault::Reset => "reset",
            Fault::Silent => "silent",
            Fault::CutOneWay => "cut one way",
            Fault::CutBoth => "cut both ways",
            Fault::ServiceDown => "service down",
            Fault::ServiceStale => "service stale",
            Fault::ListLagging => "list lagging",
            Fault::Duplicate => "duplicate",
            Fault::Reordered => "reordered",
            Fault::Late => "late",
            Fault::Cold => "cold",
        }
    }

    /// One-sentence description for the report.
    pub fn description(self) -> &'static str {
        match self {
            Fault::KillEntry => "The entry is killed, and started again afterwards.",
            Fault::KillDispatch => "The owners' dispatches are killed, and started again afterwards.",
            Fault::KillEndpoint => "The endpoints that hold requests are killed, and started again afterwards.",
            Fault::PauseEntry => "The entry is paused for longer than each bound, and woken.",
            Fault::PauseDispatch => "The owners' dispatches are paused for longer than each bound, and woken.",
            Fault::PauseEndpoint => {
                "The endpoints that hold requests are paused for longer than each bound, and woken."
            }
            Fault::Reset => "The connections of the step are reset.",
            Fault::Silent => "The connections of the step are silent for good; new ones work.",
            Fault::CutOneWay => "Nothing comes back over the links of the step for longer than each bound.",
            Fault::CutBoth => "Nothing passes the links of the step for longer than each bound.",
            Fault::ServiceDown => "The configuration service ends each connection without an answer.",
            Fault::ServiceStale => "The configuration service answers as if nothing had changed.",
            Fault::ListLagging => "One instance alone learns that the other has left the list.",
            Fault::Duplicate => "The same comes a second time, by another way.",
            Fault::Reordered => "The later one arrives first.",
            Fault::Late => "All waits at the step for longer than each bound, and goes on.",
            Fault::Cold => "Engines turn cold without a sign while more work arrives.",
        }
    }
}

impl Step {
    /// Whether the step belongs to a configuration change rather than to a request.
    pub fn is_change(self) -> bool {
        matches!(
            self,
            Step::VersionSeen | Step::Fetched | Step::Checked | Step::Applied | Step::Spread
        )
    }
}
