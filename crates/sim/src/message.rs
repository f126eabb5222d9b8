//! What reaches processes and actors: messages of others and their own timers.

use grebepin_control::{
    AdminAnswer, AdminRequest, BackEndAnswer, BackEndRequest, CallFailure, CallId, ConnectionId,
    ReplyId,
};
use grebepin_holder::{HandoverFetch, Request};
use grebepin_schema::{
    ApiError, CancelAnswer, CancelRequest, ControlFrame, Epoch, HandoverAnswer, HeldShard,
    MachineList, Outcome, PeerFrame, Refusal, RequestId, RouterFrame, ShardKey,
};

/// Who asked, so that the answer finds the very start of the process that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asker {
    /// Position of the process among those of its kind.
    pub number: usize,
    /// Number of its start.
    pub incarnation: u64,
}

/// How a back end answered a request.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkReply {
    /// The whole answer; `request` is the one it says it belongs to.
    Answered {
        /// Request named by the answer.
        request: RequestId,
    },
    /// It was not run.
    Refused(Refusal),
    /// No connection; nothing was sent.
    NotSent,
    /// The connection broke after the request was sent.
    Broken,
}

/// A caller's request to a router.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// The caller's identifier.
    pub request: RequestId,
    /// 1 for the first attempt.
    pub attempt: u32,
    /// Key.
    pub key: String,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Time to its deadline in microseconds.
    pub deadline_us: u64,
}

/// A router's answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterAnswer {
    /// Request that was asked.
    pub request: RequestId,
    /// Attempt that was asked.
    pub attempt: u32,
    /// Outcome.
    pub outcome: Outcome,
    /// Request that the answer says it belongs to.
    pub answer_for: Option<RequestId>,
}

/// One thing that reaches a process or an actor.
#[derive(Clone, Debug)]
pub enum Input {
    /// To a control replica.
    Control(ControlInput),
    /// To a server.
    Server(ServerInput),
    /// To a router.
    Router(RouterInput),
    /// To the callers.
    Callers(CallerInput),
    /// To the operators.
    Operators(OperatorInput),
    /// The platform looks at its machines.
    PlatformTick,
}

/// To a control replica.
#[derive(Clone, Debug)]
pub enum ControlInput {
    /// Its timer.
    Wake,
    /// A frame of another replica.
    Peer(PeerFrame),
    /// A call to a back end ended.
    CallEnded {
        /// The call.
        call: CallId,
        /// Its answer, or why there is none.
        answer: Result<BackEndAnswer, CallFailure>,
    },
    /// A frame of a router.
    Router {
        /// Router that sent it.
        router: usize,
        /// Its connection.
        connection: ConnectionId,
        /// The frame.
        frame: RouterFrame,
    },
    /// A router's connection ended.
    RouterClosed(ConnectionId),
    /// An operator asks.
    Admin {
        /// Names the reply.
        reply: ReplyId,
        /// The request.
        request: AdminRequest,
    },
    /// The platform's list.
    Machines(MachineList),
}

/// To a server.
#[derive(Clone, Debug)]
pub enum ServerInput {
    /// A control leader calls.
    Call {
        /// Who asks.
        from: Asker,
        /// Names the answer.
        call: CallId,
        /// The call.
        request: BackEndRequest,
    },
    /// A router sends a request.
    Work {
        /// Who asks.
        from: Asker,
        /// Names the answer.
        exchange: u64,
        /// The request.
        request: Request,
    },
    /// A router cancels a request.
    Cancel {
        /// Who asks.
        from: Asker,
        /// Names the answer.
        exchange: u64,
        /// The request.
        request: CancelRequest,
        /// Attempt that the router sent.
        attempt: u32,
    },
    /// The next owner asks for a shard's record.
    Handover {
        /// Who asks.
        from: Asker,
        /// The shard.
        key: ShardKey,
        /// Epoch at which it was released.
        epoch: Epoch,
        /// Shard and epoch of the next owner.
        granted: HeldShard,
    },
    /// The record of a shard, or that it could not be had in time.
    HandedOver {
        /// Shard and epoch of this owner.
        granted: HeldShard,
        /// The record.
        answer: Option<HandoverAnswer>,
    },
    /// A record that was asked for should have come by now.
    RecordTimeout(HandoverFetch),
    /// A request has been worked on for its service time.
    WorkDone(u64),
}

/// To a router.
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// A caller asks.
    Asked(CallerRequest),
    /// A frame on a connection to a control replica.
    Frame {
        /// The connection.
        connection: u64,
        /// The frame.
        frame: ControlFrame,
    },
    /// A connection to a control replica ended or could not be made.
    Closed(u64),
    /// The answer to an exchange with a server.
    Replied {
        /// The exchange.
        exchange: u64,
        /// The answer.
        reply: WorkReply,
    },
    /// The answer to a cancellation.
    Cancelled {
        /// The exchange.
        exchange: u64,
        /// The answer.
        answer: Option<CancelAnswer>,
    },
    /// The time for an exchange ended.
    ExchangeTimeout(u64),
    /// A flow that waits wakes up.
    FlowWake(u64),
    /// The router's timer.
    Tick,
}

/// To the callers.
#[derive(Clone, Debug)]
pub enum CallerInput {
    /// The next new request.
    Next,
    /// A router answered.
    Answer(RouterAnswer),
    /// The caller gives up waiting for an attempt.
    Timeout {
        /// Request.
        request: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// The caller sends a request again.
    Resend(RequestId),
}

/// To the operators.
#[derive(Clone, Debug)]
pub enum OperatorInput {
    /// A job is begun or tried again; `try_number` tells an old timer from a new one.
    Try {
        /// The job.
        job: usize,
        /// Number of the try that this timer follows.
        try_number: u32,
    },
    /// A control replica answered.
    Reply {
        /// The job.
        job: usize,
        /// Number of the try.
        try_number: u32,
        /// The answer.
        result: Result<AdminAnswer, ApiError>,
    },
    /// Looks whether a leaving server may be stopped.
    WatchLeaving(usize),
}
