//! The catalogue of events.

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal,)+) => {
        /// Events that are logged, in ascending order of their numbers.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u16)]
        pub enum Event {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Event {
            /// All events, in ascending order of their numbers.
            pub const ALL: &[Event] = &[$(Event::$name,)+];

            /// Returns the number, which identifies the event in log lines.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Returns the name, which log lines contain besides the number.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Event::$name => stringify!($name),)+
                }
            }

            /// Returns the description of the event for operators.
            pub const fn help(self) -> &'static str {
                match self {
                    $(Event::$name => concat!($($doc),+),)+
                }
            }
        }
    };
}

events! {
    /// The process accepts requests; the fields contain its addresses.
    Started = 100,
    /// The process was asked to stop; it finishes open requests and stops accepting new work.
    DrainBegun = 101,
    /// The process has drained and is about to exit.
    DrainEnded = 102,
    /// A draining process has handed off its sealed session table to the listed successors.
    TableHandedOff = 103,
    /// No successor accepted the sealed session table; callers may not get their answers.
    HandoffFailed = 104,
    /// This process accepted sealed sessions of a draining process and serves their answers.
    TableAdopted = 105,
    /// A newer configuration was applied.
    GenerationAdvanced = 200,
    /// The platform's configuration table can't be read; the current configuration stays active.
    TableUnreachable = 201,
    /// The platform's configuration table can be read again.
    TableReachable = 202,
    /// The stored configuration or a request to evacuate a zone is invalid and ignored.
    ConfigurationUnreadable = 203,
    /// The platform's list of VMs can't be read; the known VMs stay in use.
    VmListUnreachable = 204,
    /// The platform's list of VMs can be read again.
    VmListReachable = 205,
    /// An entry of the list of VMs can't be decoded and is ignored.
    VmEntryInvalid = 206,
    /// A stream to a dispatcher was opened.
    DispatcherConnected = 300,
    /// A stream to a dispatcher was lost; waiting tasks are requested from another dispatcher.
    DispatcherLost = 301,
    /// A home connected to this dispatcher.
    HomeConnected = 302,
    /// A home disconnected or timed out; its leases are released.
    HomeLost = 303,
    /// A target was ejected since it fails too many tasks; it gets no new work for some time.
    TargetEjected = 400,
    /// A target is leaving and gets no new work.
    TargetLeaving = 401,
    /// An attempt to run a task got no answer, so the task may have run; its job fails.
    AnswerLost = 402,
    /// The claim of a business key was not confirmed in time; its job was not started.
    ClaimUnconfirmed = 500,
    /// The outcome of a job could not be written to the claim of its business key.
    ClaimOutcomeUnwritten = 501,
    /// A job was admitted; its tasks start when targets have free capacity.
    JobAdmitted = 600,
    /// A job was refused before any of its tasks was started; the fields contain the reason.
    JobRefused = 601,
    /// All tasks of a job have completed.
    JobCompleted = 602,
    /// A task of a job failed the maximum number of times of its queue; the job fails.
    JobFailed = 603,
    /// No caller waits for a job any more; its runs are stopped.
    JobAbandoned = 604,
    /// A repeated request for a finished job got the stored answer.
    AnswerRepeated = 605,
    /// A caller's request ended; the fields contain the outcome and the duration.
    RequestAnswered = 606,
    /// Contact with the owner that had a job or part was lost; a job is sent to the next owner.
    RequestResumed = 607,
    /// A request is invalid and was rejected; no task was started.
    RequestInvalid = 608,
    /// A part of a job is offloaded to the owner of another availability zone.
    JobLent = 609,
    /// The outcome of an offloaded part is known.
    PartSettled = 610,
    /// A job was requested of which a different part runs here; the request was not admitted.
    RivalPart = 611,
    /// The process exits before a request has an answer; tasks of its job may have run.
    RequestCutOff = 612,
    /// A job that may have started can't complete before its caller's deadline; it is answered and stopped.
    JobGivenUp = 613,
    /// A queued job was refused before any of its tasks was started, so that the job in `shed_for` starts in time; the fields contain the inputs of the decision.
    JobDisplaced = 614,
    /// A request to start a run of a task is sent to a target.
    TaskStarted = 620,
    /// A target did not start a run; the task is queued again.
    StartRefused = 621,
    /// A start request got no answer; listings of the target show whether the run was started.
    StartUnanswered = 622,
    /// A run has ended.
    RunEnded = 623,
    /// A run is being stopped; the fields contain the reason.
    RunStopped = 624,
    /// A run that an earlier dispatcher started was adopted by this one.
    RunAdopted = 625,
    /// A target was unreachable until its lease expired; its runs have ended.
    LeaseLapsed = 626,
    /// A run ended without a listed end: its target restarted, no longer lists it, or was
    /// unreachable until its lease expired.
    RunLost = 627,
    /// Another process reported a target that was lost while it ran a task, or what became of it.
    TargetLossLearned = 628,
    /// A target became several times slower than expected, or recovered.
    TargetSpeedChanged = 629,
    /// A target sent its first listing to this dispatcher and now rejects lower fencing tokens.
    TargetOwned = 640,
    /// A target does not answer requests for a listing.
    TargetUnreachable = 641,
    /// A target answers requests for a listing again.
    TargetReachable = 642,
    /// An entry of the list of targets can't be decoded and is ignored.
    TargetEntryInvalid = 643,
    /// A target was added to the list of targets, changed in it or removed from it.
    TargetListed = 644,
    /// The whole list of targets was read; targets that it adds are not logged one by one.
    TargetListLoaded = 645,
    /// The answer to a start request shows that a target has restarted; a listing is requested.
    TargetRestartSeen = 646,
    /// A listing is the first one of a new incarnation of a target.
    TargetRestarted = 647,
    /// A request for a listing failed whose target has answered a later one.
    ListingFailureIgnored = 648,
    /// This process became the owner of the targets of its availability zone.
    OwnershipTaken = 660,
    /// This process released the ownership of the targets of its availability zone.
    OwnershipReleased = 661,
    /// Another process became the owner of the targets of an availability zone.
    OwnerChanged = 662,
    /// The readiness of the process changed.
    ReadinessChanged = 663,
    /// The process was paused for so long that its targets may have another owner.
    ProcessPaused = 664,
    /// Another process claims the targets that this one owns; the fields contain both tokens.
    RivalOwner = 665,
    /// A peer listed processes of this availability zone that were not known; heartbeats go to them now.
    PeersLearned = 667,
    /// Peers report an owner of this availability zone that this process does not hear; while they do, it makes no claim.
    OwnerReported = 668,
    /// An operator asked to evacuate an availability zone; no task starts there from now on.
    ZoneEvacuated = 670,
    /// No task runs in the evacuated zone of this owner any more; the fields contain how long that took.
    ZoneEmpty = 671,
    /// The evacuation of an availability zone has ended; new tasks may start there.
    ZoneReturned = 672,
    /// The platform's store can't be read; the known configuration and targets stay in use.
    StoreUnreachable = 680,
    /// The platform's store can be read again.
    StoreReachable = 681,
    /// The store no longer has all changes since the last read; the table is read in full.
    HistoryLost = 682,
    /// The settings file was reloaded.
    SettingsReloaded = 683,
    /// The settings file is invalid; the current settings stay active.
    SettingsInvalid = 684,
    /// A message of a peer can't be decoded and is ignored.
    PeerMessageInvalid = 685,
    /// A job of a peer may be older than its sender waits and was not taken; the sender, if it still waits, sends it again.
    PeerMessageLate = 686,
    /// A newer configuration could not be fetched from the peer that reported it.
    PeerConfigurationMissing = 687,
    /// A read of a table of the store failed; the fields contain its duration and the time since the last successful one.
    StoreReadFailed = 688,
    /// Reads from an address got no answer on an open connection, but on a new one.
    ConnectionSilent = 689,
    /// Number of log lines that were dropped to limit their volume.
    LinesDropped = 690,
    /// The age of a job of a peer is not known, so that it was not taken; the sender, if it still waits, sends it again.
    PeerMessageUndated = 691,
}

/// Logs an [`Event`] of a job, at level `info` if the job is sampled and at `debug` otherwise.
///
/// All processes sample the same jobs, so that all events of a sampled job are logged.
#[macro_export]
macro_rules! log_job_event {
    ($sampled:expr, $event:ident $(, $($rest:tt)+)?) => {
        match $sampled {
            true => $crate::log_event!(info, $event $(, $($rest)+)?),
            false => $crate::log_event!(debug, $event $(, $($rest)+)?),
        }
    };
}

/// Logs an [`Event`] at the given level, with fields and a message in the syntax of [`tracing`].
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:ident $(, $($rest:tt)+)?) => {
        $crate::tracing::$level!(
            event = $crate::Event::$event.number(),
            name = $crate::Event::$event.name()
            $(, $($rest)+)?
        )
    };
}
