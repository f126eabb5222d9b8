//! The catalogue of log events.
//!
//! Numbers: 1xx control replicas, 2xx routers, 3xx stand-ins, 4xx shared by all daemons. A number is
//! never used again for another meaning.

use log::Level;

macro_rules! catalogue {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// Every event, in the order of the catalogue.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Number of the event.
            pub fn number(self) -> u32 {
                match self { $(Event::$name => $number,)* }
            }

            /// Level the event is logged at.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Text of the event.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

catalogue! {
    // Control replicas.
    ControlStarted = 100, Info, "control replica started";
    GroupFounded = 101, Info, "the group was founded here";
    BecameLeader = 102, Info, "this replica leads";
    LostLeadership = 103, Info, "this replica leads no more";
    Joining = 104, Info, "the group takes this replica in as a learner";
    JoinRefused = 105, Warn, "the group refuses this replica";
    MembershipCommitted = 106, Info, "a new membership is committed";
    BundleAccepted = 107, Info, "a bundle is in force";
    SnapshotSaved = 108, Info, "a snapshot was saved or installed";
    TornTailCut = 109, Warn, "an unfinished write was cut off the log";
    ReplicaFailed = 110, Error, "the replica can't go on";
    PeerReachable = 111, Info, "another replica is reached again";
    PeerUnreachable = 112, Warn, "another replica can't be reached";
    RouterTooSlow = 113, Warn, "a router took frames too slowly and was cut off";
    PlatformUnreachable = 114, Warn, "the platform's list of machines can't be read";
    TableTooLarge = 115, Error, "the table is too large for one frame";
    // Routers.
    RouterStarted = 200, Info, "router started";
    TableInForce = 201, Info, "routing table of another bundle in force";
    ControlFollowed = 202, Info, "following a control replica";
    ControlLost = 203, Warn, "connection to the control replica ended";
    TableRefused = 204, Warn, "routing table refused";
    ServerEjected = 205, Warn, "server ejected after failures";
    ServerReadmitted = 206, Info, "ejected server answers again";
    AnswerMismatched = 207, Warn, "answer of another request, connection closed";
    CallersCutOff = 208, Warn, "callers cut off at the end of the drain time";
    // Stand-ins.
    BackEndStarted = 300, Info, "stand-in back end started";
    HistoryNotWritten = 301, Error, "a record of the history could not be written";
    PlatformStarted = 302, Info, "stand-in platform list started";
    CallerStarted = 303, Info, "stand-in caller started";
    CallerFinished = 304, Info, "stand-in caller finished";
    // All daemons.
    StopRequested = 400, Info, "stop requested";
    Stopped = 401, Info, "stopped";
}
