//! The catalogue of events.

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal,)+) => {
        /// Everything that is logged, by number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u16)]
        pub enum Event {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Event {
            /// All events by number.
            pub const ALL: &[Event] = &[$(Event::$name,)+];

            /// Returns the number.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Returns the name.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Event::$name => stringify!($name),)+
                }
            }

            /// Returns what the event means and what an operator may do about it.
            pub const fn help(self) -> &'static str {
                match self {
                    $(Event::$name => concat!($($doc),+),)+
                }
            }
        }
    };
}

events! {
    /// The process serves; the fields say where.
    Started = 100,
    /// The process was asked to stop and refuses new work from now on.
    DrainBegun = 101,
    /// The last request in progress is answered and the process is about to exit.
    DrainEnded = 102,
    /// A sealed session table was given to a successor.
    TableHandedOff = 103,
    /// A successor did not take a part of the sealed table; answers may be lost to their callers.
    HandoffFailed = 104,
    /// A sealed session table was taken over from a process that drained.
    TableAdopted = 105,
    /// A newer configuration is in force.
    GenerationAdvanced = 200,
    /// The platform's table can't be read; the configuration in force stays in force.
    TableUnreachable = 201,
    /// The platform's table can be read again.
    TableReachable = 202,
    /// A stored configuration row can't be read; the configuration in force stays in force.
    ConfigurationUnreadable = 203,
    /// The platform's list of VMs can't be read; the known VMs stay in use.
    VmListUnreachable = 204,
    /// The platform's list of VMs can be read again.
    VmListReachable = 205,
    /// A stream to a dispatcher is open.
    DispatcherConnected = 300,
    /// A stream to a dispatcher broke; waiting tasks are offered again elsewhere.
    DispatcherLost = 301,
    /// A home connected to this dispatcher.
    HomeConnected = 302,
    /// A home disconnected or fell silent; its leases are free again.
    HomeLost = 303,
    /// A target was ejected because it fails more than its peers.
    TargetEjected = 400,
    /// A target is leaving and gets no new work.
    TargetLeaving = 401,
    /// The start of a task may have happened and its answer can't be had; its job fails.
    AnswerLost = 402,
    /// The platform's table did not confirm a claim of a business key in time.
    ClaimUnconfirmed = 500,
    /// The outcome of a job could not be written to its claim.
    ClaimOutcomeUnwritten = 501,
}

/// Logs an [`Event`] at a level, with fields and a message as [`tracing`] takes them.
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
