//! Inputs of processes and actors: messages of other processes and their own timers.

use grebepin_control::{
    AdminAnswer, AdminRequest, BackEndAnswer, BackEndRequest, CallFailure, CallId, ConnectionId,
    ReplyId,
};
use grebepin_holder::{HandoverFetch, Request};
use grebepin_schema::{
    ApiError, CancelAnswer, CancelRequest, ControlFrame, Epoch, HandoverAnswer, HeldShard,
    MachineList, Outcome, PeerFrame, Refusal, RequestId, RouterFrame, ShardKey,
};

/// The process that sent a request, with its incarnation, so that the response reaches only that start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Index of the process among those of its kind.
    pub number: usize,
    /// Number of its start.
    pub incarnation: u64,
}

/// Result of a request to a back end.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkReply {
    /// A complete response.
    Answered {
        /// Request identifier carried by the response.
        request: RequestId,
    },
    /// The server refused the request without running it.
    Refused(Refusal),
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The connection broke after the request was sent.
    Broken,
}

/// A caller's request to a router.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Identifier chosen by the caller.
    pub request: RequestId,
    /// 1 for the first attempt.
    pub attempt: u32,
    /// Key that the request operates on.
    pub key: String,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Time left until its deadline, in microseconds.
    pub deadline_us: u64,
}

/// A router's answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterAnswer {
    /// Identifier of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Outcome as reported to the caller.
    pub outcome: Outcome,
    /// Request identifier carried by the response; set only for an answered request.
    pub answer_for: Option<RequestId>,
}

/// One input of a process or an actor.
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
    /// The platform takes a snapshot of its machines and publishes a list.
    PlatformTick,
}

/// To a control replica.
#[derive(Clone, Debug)]
pub enum ControlInput {
    /// Its timer fired.
    Wake,
    /// A frame from another replica.
    Peer(PeerFrame),
    /// A call to a back end completed or failed.
    CallEnded {
        /// The call.
        call: CallId,
        /// The response or the failure.
        answer: Result<BackEndAnswer, CallFailure>,
    },
    /// A frame from a router.
    Router {
        /// Router that sent it.
        router: usize,
        /// Its connection.
        connection: ConnectionId,
        /// The frame.
        frame: RouterFrame,
    },
    /// A router's connection was closed.
    RouterClosed(ConnectionId),
    /// A request of an operator.
    Admin {
        /// Identifies the reply.
        reply: ReplyId,
        /// The request.
        request: AdminRequest,
    },
    /// The platform's machine list.
    Machines(MachineList),
}

/// To a server.
#[derive(Clone, Debug)]
pub enum ServerInput {
    /// A call of a control leader.
    Call {
        /// Sender of the request.
        from: Requester,
        /// Identifies the response.
        call: CallId,
        /// The call.
        request: BackEndRequest,
    },
    /// A request sent by a router.
    Work {
        /// Sender of the request.
        from: Requester,
        /// Identifies the response.
        exchange: u64,
        /// The request.
        request: Request,
    },
    /// A router cancels a request.
    Cancel {
        /// Sender of the request.
        from: Requester,
        /// Identifies the response.
        exchange: u64,
        /// The request.
        request: CancelRequest,
        /// Attempt to cancel.
        attempt: u32,
    },
    /// The next owner requests a shard's handover record.
    Handover {
        /// Sender of the request.
        from: Requester,
        /// The shard.
        key: ShardKey,
        /// Epoch at which it was released.
        epoch: Epoch,
        /// Shard and epoch of the next owner.
        granted: HeldShard,
    },
    /// The handover record of a shard, or the failure to fetch it.
    HandedOver {
        /// Shard and epoch of this owner.
        granted: HeldShard,
        /// The record; `None` when the previous owner could not be reached.
        answer: Option<HandoverAnswer>,
    },
    /// The timeout of a handover fetch expired.
    RecordTimeout(HandoverFetch),
    /// The service time of a running request elapsed.
    WorkDone(u64),
}

/// To a router.
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// A request of a caller.
    Request(CallerRequest),
    /// A frame on a connection to a control replica.
    Frame {
        /// The connection.
        connection: u64,
        /// The frame.
        frame: ControlFrame,
    },
    /// A connection to a control replica was closed or could not be made.
    Closed(u64),
    /// The result of a request to a server.
    Replied {
        /// The exchange.
        exchange: u64,
        /// The answer.
        reply: WorkReply,
    },
    /// The result of a cancellation; `None` when the server could not be reached.
    Cancelled {
        /// The exchange.
        exchange: u64,
        /// The answer.
        answer: Option<CancelAnswer>,
    },
    /// The timeout of an exchange expired.
    ExchangeTimeout(u64),
    /// The wait time of a flow expired.
    FlowWake(u64),
    /// The router's periodic timer fired.
    Tick,
}

/// To the callers.
#[derive(Clone, Debug)]
pub enum CallerInput {
    /// It is time to send the next new request.
    Next,
    /// A response of a router.
    Answer(RouterAnswer),
    /// The caller's timeout of an attempt expired.
    Timeout {
        /// Request.
        request: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// The delay before a resend elapsed.
    Resend(RequestId),
}

/// To the operators.
#[derive(Clone, Debug)]
pub enum OperatorInput {
    /// A job is started or retried; a timer with an outdated `try_number` is ignored.
    Try {
        /// The job.
        job: usize,
        /// Number of the try after which the timer was set.
        try_number: u32,
    },
    /// A response of a control replica.
    Reply {
        /// The job.
        job: usize,
        /// Number of the try.
        try_number: u32,
        /// The answer.
        result: Result<AdminAnswer, ApiError>,
    },
    /// Checks whether the draining server of this fault may be stopped.
    WatchLeaving(usize),
}
