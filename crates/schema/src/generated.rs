//! Generated from the files under `schema/` by `cargo xtask generate`. Do not edit.
#![allow(missing_docs, clippy::all)]

///A bundle with verified signatures.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AcceptBundle {
    pub digest: Digest,
    pub signed: SignedBundle,
}
///The bundle in force.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AcceptedBundle {
    pub record: BundleRecord,
    pub signed: SignedBundle,
}
///JSON body of every error response on the admin address.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ApiError {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub accepted_digest: ::std::option::Option<Digest>,
    ///Version of the accepted bundle.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub accepted_version: ::std::option::Option<u64>,
    pub kind: ApiErrorKind,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub leader_admin_address: ::std::option::Option<SocketAddress>,
    ///Message for human readers; states what to do next.
    pub message: ::std::string::String,
}
///Kind of error.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ApiErrorKind {
    ///The replica is not the leader; the request must be sent to the leader.
    #[serde(rename = "not-leader")]
    NotLeader,
    ///No leader is currently known.
    #[serde(rename = "no-leader")]
    NoLeader,
    ///The group is not founded yet.
    #[serde(rename = "not-founded")]
    NotFounded,
    ///The replica belongs to another founding.
    #[serde(rename = "already-founded")]
    AlreadyFounded,
    ///The request can't be parsed.
    #[serde(rename = "bad-request")]
    BadRequest,
    ///The request is over the limit.
    #[serde(rename = "too-large")]
    TooLarge,
    ///The bundle fails a check.
    #[serde(rename = "invalid-bundle")]
    InvalidBundle,
    ///A signature does not verify.
    #[serde(rename = "bad-signature")]
    BadSignature,
    ///Not enough trusted operators signed.
    #[serde(rename = "too-few-signatures")]
    TooFewSignatures,
    ///Another bundle with this number was accepted.
    #[serde(rename = "version-conflict")]
    VersionConflict,
    ///The bundle does not follow the accepted one.
    #[serde(rename = "parent-mismatch")]
    ParentMismatch,
    ///The server does not exist.
    #[serde(rename = "unknown-server")]
    UnknownServer,
    ///The member does not exist.
    #[serde(rename = "unknown-member")]
    UnknownMember,
    ///Another membership change is in progress, or this one would lose the quorum.
    #[serde(rename = "membership-busy")]
    MembershipBusy,
    ///The outcome is not known; send the same request again.
    #[serde(rename = "lost-leadership")]
    LostLeadership,
    ///The path does not exist.
    #[serde(rename = "not-found")]
    NotFound,
    ///An internal error of the replica.
    #[serde(rename = "internal")]
    Internal,
}
impl ::std::fmt::Display for ApiErrorKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotLeader => f.write_str("not-leader"),
            Self::NoLeader => f.write_str("no-leader"),
            Self::NotFounded => f.write_str("not-founded"),
            Self::AlreadyFounded => f.write_str("already-founded"),
            Self::BadRequest => f.write_str("bad-request"),
            Self::TooLarge => f.write_str("too-large"),
            Self::InvalidBundle => f.write_str("invalid-bundle"),
            Self::BadSignature => f.write_str("bad-signature"),
            Self::TooFewSignatures => f.write_str("too-few-signatures"),
            Self::VersionConflict => f.write_str("version-conflict"),
            Self::ParentMismatch => f.write_str("parent-mismatch"),
            Self::UnknownServer => f.write_str("unknown-server"),
            Self::UnknownMember => f.write_str("unknown-member"),
            Self::MembershipBusy => f.write_str("membership-busy"),
            Self::LostLeadership => f.write_str("lost-leadership"),
            Self::NotFound => f.write_str("not-found"),
            Self::Internal => f.write_str("internal"),
        }
    }
}
impl ::std::str::FromStr for ApiErrorKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not-leader" => Ok(Self::NotLeader),
            "no-leader" => Ok(Self::NoLeader),
            "not-founded" => Ok(Self::NotFounded),
            "already-founded" => Ok(Self::AlreadyFounded),
            "bad-request" => Ok(Self::BadRequest),
            "too-large" => Ok(Self::TooLarge),
            "invalid-bundle" => Ok(Self::InvalidBundle),
            "bad-signature" => Ok(Self::BadSignature),
            "too-few-signatures" => Ok(Self::TooFewSignatures),
            "version-conflict" => Ok(Self::VersionConflict),
            "parent-mismatch" => Ok(Self::ParentMismatch),
            "unknown-server" => Ok(Self::UnknownServer),
            "unknown-member" => Ok(Self::UnknownMember),
            "membership-busy" => Ok(Self::MembershipBusy),
            "lost-leadership" => Ok(Self::LostLeadership),
            "not-found" => Ok(Self::NotFound),
            "internal" => Ok(Self::Internal),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ApiErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ApiErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Log entries that follow the given previous entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AppendRequest {
    pub commit: LogIndex,
    pub entries: ::std::vec::Vec<Entry>,
    pub previous_index: LogIndex,
    pub previous_term: Term,
    ///Number of the leader's heartbeat round, for leader leases and linearizable reads.
    pub round: u64,
}
///Position of the follower's log.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AppendResponse {
    ///Whether the follower's log contains the previous entry.
    pub accepted: bool,
    ///If accepted, the highest index known to match; otherwise the index to try next.
    pub last_index: LogIndex,
    ///Heartbeat round of the request.
    pub round: u64,
}
///New owners of shards.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AssignShards {
    pub assignments: ::std::vec::Vec<Assignment>,
}
///A new owner of one shard; the new epoch is the index of the log entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    ///Epoch that the shard must have; 0 for a shard that never had an owner.
    pub expected_epoch: Epoch,
    ///Whether the current owner released the shard.
    pub released: bool,
    ///New owner; absent for none.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub server: ::std::option::Option<ServerName>,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Owner of a shard.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AssignmentRecord {
    pub epoch: Epoch,
    ///Epoch that this assignment replaced, when the replica applied the entry itself.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub previous: ::std::option::Option<Epoch>,
    pub replica: ReplicaId,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub server: ::std::option::Option<ServerName>,
    pub service: ServiceName,
    pub shard: ShardId,
}
///One version of the complete configuration of a deployment, as decided by operators.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    ///Name of the deployment; never changes.
    pub deployment: DeploymentName,
    ///Reason for this bundle, for other operators.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub note: ::std::option::Option<::std::string::String>,
    ///Digest of the accepted bundle this one follows; absent only for the first.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<Digest>,
    ///Services; their names are unique.
    pub services: ::std::vec::Vec<Service>,
    ///Version number; increases with each accepted bundle.
    pub version: u64,
}
///A bundle in force.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundleRecord {
    pub digest: Digest,
    pub index: LogIndex,
    ///Version.
    pub version: u64,
}
///A shard that accepts no new requests and still has requests running.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BusyShard {
    pub epoch: Epoch,
    ///Number of requests still running.
    pub in_flight: u32,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Result of one attempt.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerAnswer {
    ///Identifier of the request to which the response belongs, as stated in the response.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub answer_for: ::std::option::Option<RequestId>,
    ///Number of the attempt, as sent.
    pub attempt: u32,
    ///Time since the intended start of the attempt.
    pub latency_us: u64,
    ///Outcome stated in the response; absent if the caller received none.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub outcome: ::std::option::Option<Outcome>,
    pub request_id: RequestId,
    ///Whether the response was complete.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub whole: ::std::option::Option<bool>,
}
///One attempt of a caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerAttempt {
    ///Number of the attempt: 1 for the first, 2 and more for resends.
    pub attempt: u32,
    pub class: ClassName,
    ///Key.
    pub key: ::std::string::String,
    ///Whether the request is idempotent and may be run twice.
    pub repeatable: bool,
    pub request_id: RequestId,
    ///Router to which the attempt was sent.
    pub router: ::std::string::String,
    pub service: ServiceName,
}
///Response to a cancel request: the state of the request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CancelAnswer {
    ///Epoch held for the shard; 0 for none.
    pub epoch: Epoch,
    pub state: RequestState,
}
///Body of POST /grebepin/v1/cancel.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CancelRequest {
    pub epoch: Epoch,
    pub request_id: RequestId,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Limits on planned moves of shards.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ChurnPolicy {
    ///Maximum number of planned moves in progress at the same time.
    pub concurrent_moves: ::std::num::NonZeroU32,
    ///Load above the mean, in percent, below which no shard moves for balance.
    pub imbalance_percent: u32,
    ///Maximum number of planned moves started per minute in the whole service.
    pub moves_per_minute: u32,
}
///Name of a class of requests.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ClassName(::std::string::String);
impl ::std::ops::Deref for ClassName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ClassName> for ::std::string::String {
    fn from(value: ClassName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ClassName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ClassName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClassName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ClassName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Identifier of the founding of a control group, by which a repeated request is recognised.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ClusterId(::std::string::String);
impl ::std::ops::Deref for ClusterId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ClusterId> for ::std::string::String {
    fn from(value: ClusterId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ClusterId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[0-9a-f]{32}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[0-9a-f]{32}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ClusterId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClusterId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ClusterId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///A command in a control group's log.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Command {
    ///Puts a signed bundle into force if it follows the one in force.
    #[serde(rename = "accept_bundle")]
    AcceptBundle(AcceptBundle),
    ///Changes the owners of shards, each only if the shard has the expected epoch.
    #[serde(rename = "assign")]
    Assign(AssignShards),
    ///Changes the standing of a server.
    #[serde(rename = "set_standing")]
    SetStanding(SetStanding),
    ///Records a new start of a server and gives each of its shards a fresh epoch.
    #[serde(rename = "register_boot")]
    RegisterBoot(RegisterBoot),
}
impl ::std::convert::From<AcceptBundle> for Command {
    fn from(value: AcceptBundle) -> Self {
        Self::AcceptBundle(value)
    }
}
impl ::std::convert::From<AssignShards> for Command {
    fn from(value: AssignShards) -> Self {
        Self::Assign(value)
    }
}
impl ::std::convert::From<SetStanding> for Command {
    fn from(value: SetStanding) -> Self {
        Self::SetStanding(value)
    }
}
impl ::std::convert::From<RegisterBoot> for Command {
    fn from(value: RegisterBoot) -> Self {
        Self::RegisterBoot(value)
    }
}
///A frame to a router or relay.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ControlFrame {
    ///The whole routing table, from a linearizable read.
    #[serde(rename = "snapshot")]
    Snapshot(TableSnapshot),
    ///Changes that follow the index at the router.
    #[serde(rename = "delta")]
    Delta(TableDelta),
    ///No change; the commit index confirmed by a majority has reached this value.
    #[serde(rename = "current")]
    Current(LogIndex),
    ///Another replica must be asked; no address is given while no leader is known.
    #[serde(rename = "redirect")]
    Redirect(Redirect),
}
impl ::std::convert::From<TableSnapshot> for ControlFrame {
    fn from(value: TableSnapshot) -> Self {
        Self::Snapshot(value)
    }
}
impl ::std::convert::From<TableDelta> for ControlFrame {
    fn from(value: TableDelta) -> Self {
        Self::Delta(value)
    }
}
impl ::std::convert::From<LogIndex> for ControlFrame {
    fn from(value: LogIndex) -> Self {
        Self::Current(value)
    }
}
impl ::std::convert::From<Redirect> for ControlFrame {
    fn from(value: Redirect) -> Self {
        Self::Redirect(value)
    }
}
///Settings of grebepin-control.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    ///Address on which requests of operators, for metrics and for probes are accepted.
    pub admin_address: SocketAddress,
    ///Folder for the log, snapshots and identity.
    pub data_dir: ::std::string::String,
    ///Control group of this replica.
    #[serde(default)]
    pub group: u32,
    pub operators: ::std::vec::Vec<TrustedOperator>,
    ///Address on which connections of other replicas are accepted.
    pub peer_address: SocketAddress,
    ///Peer addresses of the group's other replicas.
    pub peers: ::std::vec::Vec<SocketAddress>,
    ///Address from which the platform's list of machines is read; absent if there is no list.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub platform_address: ::std::option::Option<SocketAddress>,
    ///Number of sign-offs that a bundle needs.
    pub required_signatures: ::std::num::NonZeroU32,
    ///Address on which connections of routers and relays are accepted.
    pub router_address: SocketAddress,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub timing: ::std::option::Option<ControlTiming>,
    pub zone: ZoneName,
}
///Timing of a control group; must be equal on all its replicas.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ControlTiming {
    ///Maximum difference between the rates of two clocks in percent.
    #[serde(default = "defaults::default_u64::<u64, 2>")]
    pub drift_percent: u64,
    ///Minimum time without a message from the leader before a pre-vote; extended at random by up to half. Also the duration of the leader lease.
    #[serde(default = "defaults::default_u64::<u64, 300>")]
    pub election_timeout_ms: u64,
    ///Interval between reads of the platform's list of machines.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub platform_poll_ms: u64,
    ///Interval between the heartbeats of a leader to its followers.
    #[serde(default = "defaults::default_u64::<u64, 60>")]
    pub replica_heartbeat_ms: u64,
    ///Interval between heartbeats to a server.
    #[serde(default = "defaults::default_u64::<u64, 200>")]
    pub server_heartbeat_ms: u64,
    ///Duration of the lease of a server.
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub server_lease_ms: u64,
    ///Number of log entries between two snapshots.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub snapshot_every_entries: u64,
    ///Resolution of all timers.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 10>")]
    pub tick_ms: ::std::num::NonZeroU64,
}
impl ::std::default::Default for ControlTiming {
    fn default() -> Self {
        Self {
            drift_percent: defaults::default_u64::<u64, 2>(),
            election_timeout_ms: defaults::default_u64::<u64, 300>(),
            platform_poll_ms: defaults::default_u64::<u64, 500>(),
            replica_heartbeat_ms: defaults::default_u64::<u64, 60>(),
            server_heartbeat_ms: defaults::default_u64::<u64, 200>(),
            server_lease_ms: defaults::default_u64::<u64, 1000>(),
            snapshot_every_entries: defaults::default_u64::<u64, 2000>(),
            tick_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 10>(),
        }
    }
}
///An interruption of connections that are not closed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    pub process: ProcessName,
    pub traffic: CutTraffic,
}
///Traffic that is interrupted.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum CutTraffic {
    ///All traffic.
    #[serde(rename = "all")]
    All,
    ///Requests of the control replicas.
    #[serde(rename = "control")]
    Control,
    ///Requests of routers.
    #[serde(rename = "requests")]
    Requests,
}
impl ::std::fmt::Display for CutTraffic {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::All => f.write_str("all"),
            Self::Control => f.write_str("control"),
            Self::Requests => f.write_str("requests"),
        }
    }
}
impl ::std::str::FromStr for CutTraffic {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "all" => Ok(Self::All),
            "control" => Ok(Self::Control),
            "requests" => Ok(Self::Requests),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for CutTraffic {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CutTraffic {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Name of a deployment.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct DeploymentName(::std::string::String);
impl ::std::ops::Deref for DeploymentName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<DeploymentName> for ::std::string::String {
    fn from(value: DeploymentName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for DeploymentName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for DeploymentName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DeploymentName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for DeploymentName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///SHA-256 in lower-case hexadecimal.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct Digest(::std::string::String);
impl ::std::ops::Deref for Digest {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Digest> for ::std::string::String {
    fn from(value: Digest) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for Digest {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[0-9a-f]{64}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[0-9a-f]{64}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for Digest {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Digest {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Body of POST /grebepin/v1/drain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    ///true to leave, false to stay.
    pub draining: bool,
}
///Response to a drain request; the change is committed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainServerAnswer {
    pub index: LogIndex,
    ///Number of shards that the server still owns.
    pub shards: u32,
}
///Body of POST /v1/drain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainServerRequest {
    ///true to drain the server, false to cancel the drain.
    pub draining: bool,
    pub server: ServerName,
}
///One request at one server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EffectRecord {
    pub epoch: Epoch,
    ///Key.
    pub key: ::std::string::String,
    ///Whether the request is idempotent and may be run twice.
    pub repeatable: bool,
    pub request_id: RequestId,
    pub server: ServerName,
    pub service: ServiceName,
    pub shard: ShardId,
}
///One entry of the log.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub index: LogIndex,
    pub payload: EntryPayload,
    pub term: Term,
}
///Content of a log entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum EntryPayload {
    ///Empty entry that a new leader appends to commit the entries of earlier terms.
    #[serde(rename = "noop")]
    Noop,
    ///An encoded command of the replicated state machine.
    #[serde(rename = "command")]
    Command(crate::Bytes),
    ///A new membership, which differs from the previous one by one member.
    #[serde(rename = "membership")]
    Membership(Membership),
}
impl ::std::convert::From<crate::Bytes> for EntryPayload {
    fn from(value: crate::Bytes) -> Self {
        Self::Command(value)
    }
}
impl ::std::convert::From<Membership> for EntryPayload {
    fn from(value: Membership) -> Self {
        Self::Membership(value)
    }
}
///Fencing token of one shard's ownership: the log index at which that owner was committed.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct Epoch(pub u64);
impl ::std::ops::Deref for Epoch {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Epoch> for u64 {
    fn from(value: Epoch) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Epoch {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Epoch {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Epoch {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Epoch {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///A run of a whole fleet with faults at given times.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub load: ::std::vec::Vec<ServiceRate>,
    ///Name of the experiment in reports.
    pub name: ExperimentName,
    ///Purpose of the run.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub note: ::std::option::Option<::std::string::String>,
    ///Length of the run, from the first caller's start.
    pub seconds: ::std::num::NonZeroU64,
    pub steps: ::std::vec::Vec<Step>,
}
///Name of the experiment in reports.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ExperimentName(::std::string::String);
impl ::std::ops::Deref for ExperimentName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ExperimentName> for ::std::string::String {
    fn from(value: ExperimentName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ExperimentName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ExperimentName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ExperimentName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ExperimentName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Kind of fault or action.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Fault {
    ///The process is killed.
    #[serde(rename = "kill")]
    Kill(ProcessName),
    ///The process is started again with its data folder unchanged.
    #[serde(rename = "start")]
    Start(ProcessName),
    ///The process is asked to stop and finishes its running requests.
    #[serde(rename = "stop")]
    Stop(ProcessName),
    ///The process is paused and resumed later.
    #[serde(rename = "freeze")]
    Freeze(Freeze),
    ///The process is killed, its data folder is emptied, and it is started again.
    #[serde(rename = "lose_disk")]
    LoseDisk(ProcessName),
    ///The connections of a back end are interrupted without being closed.
    #[serde(rename = "cut")]
    Cut(Cut),
    ///The interruptions of a back end's connections end.
    #[serde(rename = "heal")]
    Heal(ProcessName),
    ///A back end is drained by the operator.
    #[serde(rename = "drain")]
    Drain(ServerName),
    ///The drain of a back end is cancelled by the operator.
    #[serde(rename = "restore")]
    Restore(ServerName),
    ///An operator rolls the deployment's bundle of this version.
    #[serde(rename = "roll")]
    Roll(::std::num::NonZeroU64),
    ///Two operators roll two bundles of the same version at once.
    #[serde(rename = "race")]
    Race(::std::num::NonZeroU64),
    ///Every process of a kind is stopped as planned and started again, one after another.
    #[serde(rename = "rolling_restart")]
    RollingRestart(ProcessKind),
}
impl ::std::convert::From<Freeze> for Fault {
    fn from(value: Freeze) -> Self {
        Self::Freeze(value)
    }
}
impl ::std::convert::From<Cut> for Fault {
    fn from(value: Cut) -> Self {
        Self::Cut(value)
    }
}
impl ::std::convert::From<ProcessKind> for Fault {
    fn from(value: ProcessKind) -> Self {
        Self::RollingRestart(value)
    }
}
///Requests the routing table.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FollowRequest {
    pub group: GroupId,
    ///Log index of the routing table in force at the router; 0 for none.
    pub have_index: LogIndex,
    ///Identifier chosen at each start of the router.
    pub incarnation: u64,
    pub router: RouterName,
    pub zone: ZoneName,
}
///Body of POST /v1/found, sent unchanged to every founding replica.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FoundRequest {
    pub cluster: ClusterId,
    pub members: ::std::vec::Vec<Member>,
}
///A paused process.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Freeze {
    ///Duration of the pause.
    pub for_ms: ::std::num::NonZeroU64,
    pub process: ProcessName,
}
///Ownership of one shard at one epoch.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    pub epoch: Epoch,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub previous: ::std::option::Option<PreviousOwner>,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Response to a grant request: the grants that took effect and those that did not.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GrantAnswer {
    pub accepted: ::std::vec::Vec<HeldShard>,
    ///As in the response to a heartbeat.
    pub boot: u64,
    pub refused: ::std::vec::Vec<GrantRefusal>,
    pub session: Session,
}
///A grant that took no effect.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GrantRefusal {
    pub epoch: Epoch,
    pub reason: GrantRefusalReason,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Why a grant was refused.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum GrantRefusalReason {
    ///A message of a newer leader was received before.
    #[serde(rename = "stale-term")]
    StaleTerm,
    ///The grant belongs to a session that has ended.
    #[serde(rename = "stale-session")]
    StaleSession,
    ///The server released or held this epoch or a later one.
    #[serde(rename = "stale-epoch")]
    StaleEpoch,
    ///The server holds no lease.
    #[serde(rename = "no-lease")]
    NoLease,
    ///The server is leaving.
    #[serde(rename = "draining")]
    Draining,
}
impl ::std::fmt::Display for GrantRefusalReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::StaleTerm => f.write_str("stale-term"),
            Self::StaleSession => f.write_str("stale-session"),
            Self::StaleEpoch => f.write_str("stale-epoch"),
            Self::NoLease => f.write_str("no-lease"),
            Self::Draining => f.write_str("draining"),
        }
    }
}
impl ::std::str::FromStr for GrantRefusalReason {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stale-term" => Ok(Self::StaleTerm),
            "stale-session" => Ok(Self::StaleSession),
            "stale-epoch" => Ok(Self::StaleEpoch),
            "no-lease" => Ok(Self::NoLease),
            "draining" => Ok(Self::Draining),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for GrantRefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for GrantRefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Body of POST /grebepin/v1/grant.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    pub grants: ::std::vec::Vec<Grant>,
    pub group: GroupId,
    pub session: Session,
    pub term: Term,
}
///Number of a control group: the replicas that manage the ownership of a set of shards by consensus.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct GroupId(pub u32);
impl ::std::ops::Deref for GroupId {
    type Target = u32;
    fn deref(&self) -> &u32 {
        &self.0
    }
}
impl ::std::convert::From<GroupId> for u32 {
    fn from(value: GroupId) -> Self {
        value.0
    }
}
impl ::std::convert::From<u32> for GroupId {
    fn from(value: u32) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for GroupId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for GroupId {
    type Err = <u32 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for GroupId {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for GroupId {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Response to GET /grebepin/v1/handover?service=S&shard=N&epoch=E, which the next owner sends to the previous one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HandoverAnswer {
    ///Whether the record holds every request since the shard's first owner, within the retention time.
    pub complete: bool,
    pub entries: ::std::vec::Vec<RecordEntry>,
}
///Consensus state that a replica must keep on disk.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HardState {
    pub commit: LogIndex,
    pub term: Term,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub vote: ::std::option::Option<ReplicaId>,
}
///Response to GET /grebepin/v1/health.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HealthAnswer {
    pub state: HealthState,
}
///Health state reported by the server.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum HealthState {
    ///The server accepts requests.
    #[serde(rename = "ok")]
    Ok,
    ///The server is warming up after its start.
    #[serde(rename = "cold")]
    Cold,
    ///The server is leaving.
    #[serde(rename = "draining")]
    Draining,
    ///The server can't serve requests.
    #[serde(rename = "failing")]
    Failing,
}
impl ::std::fmt::Display for HealthState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Ok => f.write_str("ok"),
            Self::Cold => f.write_str("cold"),
            Self::Draining => f.write_str("draining"),
            Self::Failing => f.write_str("failing"),
        }
    }
}
impl ::std::str::FromStr for HealthState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "ok" => Ok(Self::Ok),
            "cold" => Ok(Self::Cold),
            "draining" => Ok(Self::Draining),
            "failing" => Ok(Self::Failing),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HealthState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HealthState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Response to a heartbeat: the server's session and a summary of the shards it holds.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatAnswer {
    ///Boot identifier, chosen at random at each start of the server.
    pub boot: u64,
    ///Whether the server is leaving.
    pub draining: bool,
    ///Number of shards held for this group.
    pub held: u32,
    ///Sum, modulo 2^64, over held shards of shard_hash(service, shard, epoch).
    pub held_checksum: u64,
    ///Number of requests running now.
    pub in_flight: u32,
    ///Remaining time of the lease; 0 without a lease.
    pub lease_remaining_ms: u64,
    ///Newly issued nonce; the next renewal must return it.
    pub nonce: Nonce,
    ///Whether this request's lease renewal took effect.
    pub renewed: bool,
    pub session: Session,
}
///Body of POST /grebepin/v1/heartbeat, sent by the leader of a control group.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatRequest {
    pub group: GroupId,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<LeaseRenewal>,
    ///Name of the server in the control group.
    pub server: ServerName,
    pub term: Term,
}
///A shard and the epoch at which it is held.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(deny_unknown_fields)]
pub struct HeldShard {
    pub epoch: Epoch,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Kinds of recorded events.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    ///A server began to hold a shard.
    #[serde(rename = "acquired")]
    Acquired(Holding),
    ///A server stopped holding a shard.
    #[serde(rename = "forfeited")]
    Forfeited(Holding),
    ///A server made a request's effect visible.
    #[serde(rename = "effect")]
    Effect(EffectRecord),
    ///A caller sent a request.
    #[serde(rename = "sent")]
    Sent(CallerAttempt),
    ///A caller received a response or gave up.
    #[serde(rename = "finished")]
    Finished(CallerAnswer),
    ///A server started to process a request.
    #[serde(rename = "work_started")]
    WorkStarted(EffectRecord),
    ///A server ended the processing of a request without its effect.
    #[serde(rename = "work_ended")]
    WorkEnded(EffectRecord),
    ///A server was asked to leave, or the platform reported to the control group that it is leaving.
    #[serde(rename = "leaving")]
    Leaving(ServerName),
    ///The drain of a server was cancelled.
    #[serde(rename = "staying")]
    Staying(ServerName),
    ///A server was stopped as planned.
    #[serde(rename = "stopped")]
    Stopped(ServerName),
    ///A server aborted a request in flight during its planned stop.
    #[serde(rename = "cut")]
    Cut(EffectRecord),
    ///A process was killed; it holds no shards from then on.
    #[serde(rename = "killed")]
    Killed(::std::string::String),
    ///A process was paused; it holds its shards until its leases end.
    #[serde(rename = "frozen")]
    Frozen(::std::string::String),
    ///A process was disconnected from some or all other processes.
    #[serde(rename = "cut_off")]
    CutOff(::std::string::String),
    ///A process is running and connected again.
    #[serde(rename = "returned")]
    Returned(::std::string::String),
    ///The control group acknowledged an assignment.
    #[serde(rename = "acknowledged")]
    Acknowledged(AssignmentRecord),
    ///The owner of a shard according to the applied state of a replica.
    #[serde(rename = "believed")]
    Believed(AssignmentRecord),
    ///A bundle was accepted.
    #[serde(rename = "accepted")]
    Accepted(BundleRecord),
    ///A router put a routing table into force.
    #[serde(rename = "in_force")]
    InForce(InForceRecord),
}
impl ::std::convert::From<CallerAttempt> for HistoryEvent {
    fn from(value: CallerAttempt) -> Self {
        Self::Sent(value)
    }
}
impl ::std::convert::From<CallerAnswer> for HistoryEvent {
    fn from(value: CallerAnswer) -> Self {
        Self::Finished(value)
    }
}
impl ::std::convert::From<BundleRecord> for HistoryEvent {
    fn from(value: BundleRecord) -> Self {
        Self::Accepted(value)
    }
}
impl ::std::convert::From<InForceRecord> for HistoryEvent {
    fn from(value: InForceRecord) -> Self {
        Self::InForce(value)
    }
}
///One recorded event with its time.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HistoryRecord {
    ///Time in microseconds on the clock shared by the whole run.
    pub at_us: u64,
    pub event: HistoryEvent,
}
///A shard held by a server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    pub epoch: Epoch,
    pub server: ServerName,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Response to GET /grebepin/v1/holdings?group=G.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HoldingsAnswer {
    pub session: Session,
    pub shards: ::std::vec::Vec<HeldShard>,
}
///Response to GET /v1/identity.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct IdentityAnswer {
    pub admin_address: SocketAddress,
    ///Whether the replica belongs to a founded group.
    pub founded: bool,
    pub group: GroupId,
    pub peer_address: SocketAddress,
    pub replica: ReplicaId,
    pub router_address: SocketAddress,
    pub zone: ZoneName,
}
///The routing table of a router.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InForceRecord {
    ///Version of its bundle.
    pub bundle_version: u64,
    ///Identifier of the router's start.
    pub incarnation: u64,
    pub index: LogIndex,
    pub router: RouterName,
}
///Request to join the group, sent to any member by a replica with an empty data folder.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JoinRequest {
    pub group: GroupId,
    pub member: Member,
}
///Response to a join request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum JoinResponse {
    ///The replica is a learner or will become one.
    #[serde(rename = "joining")]
    Joining,
    ///The leader must be asked, at this peer address.
    #[serde(rename = "try_leader")]
    TryLeader(SocketAddress),
    ///The member belongs to no founded group yet.
    #[serde(rename = "not_founded")]
    NotFounded,
    ///The group refuses the replica.
    #[serde(rename = "refused")]
    Refused(::std::string::String),
}
impl ::std::convert::From<SocketAddress> for JoinResponse {
    fn from(value: SocketAddress) -> Self {
        Self::TryLeader(value)
    }
}
///Renews the lease on all shards that the server holds for the group.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseRenewal {
    ///Duration of the lease, counted by the server from the moment at which it issued the nonce.
    pub duration_ms: u64,
    pub nonce: Nonce,
    pub session: Session,
}
///Response to GET /grebepin/v1/load.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadAnswer {
    ///Number of running requests.
    pub in_flight: u32,
    ///Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    ///Number of waiting requests.
    pub waiting: u32,
}
///Load that a router measured over an interval.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    pub group: GroupId,
    ///Log index of the routing table in force.
    pub in_force: LogIndex,
    ///As in the follow request.
    pub incarnation: u64,
    ///Length of the interval.
    pub interval_ms: u64,
    pub router: RouterName,
    pub servers: ::std::vec::Vec<ServerLoad>,
    ///Shards with the most requests.
    pub shards: ::std::vec::Vec<ShardLoad>,
}
///Position in a control group's log, starting at 1.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);
impl ::std::ops::Deref for LogIndex {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<LogIndex> for u64 {
    fn from(value: LogIndex) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for LogIndex {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for LogIndex {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for LogIndex {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for LogIndex {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for LogIndex {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///One entry of the platform's list of machines, which may be out of date.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub server: ServerName,
    pub state: MachineState,
}
///Response of the platform to GET /machines.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MachineList {
    pub machines: ::std::vec::Vec<Machine>,
}
///State of a machine as reported by the platform.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum MachineState {
    ///Running.
    #[serde(rename = "live")]
    Live,
    ///About to stop.
    #[serde(rename = "leaving")]
    Leaving,
    ///Stopped.
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::fmt::Display for MachineState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for MachineState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MachineState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MachineState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One member of a control group.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub admin_address: SocketAddress,
    pub peer_address: SocketAddress,
    pub replica: ReplicaId,
    pub role: MemberRole,
    pub router_address: SocketAddress,
    pub zone: ZoneName,
}
///Role of a member in the group.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum MemberRole {
    ///Counts in elections and commits.
    #[serde(rename = "voter")]
    Voter,
    ///Receives the log and has no vote.
    #[serde(rename = "learner")]
    Learner,
    ///A learner that never becomes a voter, because its machine may be lost at any time.
    #[serde(rename = "observer")]
    Observer,
}
impl ::std::fmt::Display for MemberRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Voter => f.write_str("voter"),
            Self::Learner => f.write_str("learner"),
            Self::Observer => f.write_str("observer"),
        }
    }
}
impl ::std::str::FromStr for MemberRole {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "voter" => Ok(Self::Voter),
            "learner" => Ok(Self::Learner),
            "observer" => Ok(Self::Observer),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MemberRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MemberRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State of a member as known to the leader.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MemberStatus {
    ///Time since the last message of the member.
    pub last_heard_ms: u64,
    pub match_index: LogIndex,
    pub member: Member,
}
///Members of the group; in force from the moment when the entry is in the log.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    pub members: ::std::vec::Vec<Member>,
}
///A number that a server issues once; the lease counts from the moment of its issue.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct Nonce(pub u64);
impl ::std::ops::Deref for Nonce {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Nonce> for u64 {
    fn from(value: Nonce) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Nonce {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Nonce {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Nonce {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Nonce {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Nonce {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Name of an operator who signs bundles.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct OperatorName(::std::string::String);
impl ::std::ops::Deref for OperatorName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<OperatorName> for ::std::string::String {
    fn from(value: OperatorName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for OperatorName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for OperatorName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OperatorName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for OperatorName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Value of the header Grebepin-Outcome.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Outcome {
    ///The response is the complete response of the owner.
    #[serde(rename = "answered")]
    Answered,
    ///The request was not run.
    #[serde(rename = "not-run")]
    NotRun,
    ///The request may have run; its outcome can be queried.
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Answered => f.write_str("answered"),
            Self::NotRun => f.write_str("not-run"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Outcome {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "answered" => Ok(Self::Answered),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Response to GET /grebepin/v1/outcome?service=S&shard=N&request_id=ID.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OutcomeAnswer {
    pub epoch: Epoch,
    pub state: RequestState,
}
///Response to GET /-/outcome/SERVICE/REQUEST-ID with the header Grebepin-Key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OutcomeLookup {
    pub state: RequestState,
}
///A new owner of one shard.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OwnerChange {
    pub owner: ShardOwner,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Later frame of a snapshot: consecutive shards of one service, stored as columns.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OwnershipChunk {
    pub epochs: ::std::vec::Vec<Epoch>,
    pub first: ShardId,
    ///Slot of the owner plus 1; 0 for none.
    pub owners: ::std::vec::Vec<u32>,
    pub previous_epochs: ::std::vec::Vec<Epoch>,
    ///Slot of the previous owner plus 1; 0 for none.
    pub previous_owners: ::std::vec::Vec<u32>,
    pub previous_released: ::std::vec::Vec<bool>,
    pub service: ServiceName,
}
///First frame of a snapshot of the ownership state.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OwnershipHeader {
    ///Recently accepted bundles, oldest first.
    pub accepted: ::std::vec::Vec<BundleRecord>,
    pub applied: LogIndex,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub bundle: ::std::option::Option<AcceptedBundle>,
    pub group: GroupId,
    ///Servers by slot; a slot without a server is free.
    pub servers: ::std::vec::Vec<ServerSlot>,
    pub services: ::std::vec::Vec<ServiceRecord>,
    pub table_index: LogIndex,
}
///Kinds of messages between replicas.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum PeerBody {
    ///Asks whether a vote would be granted; does not change the term.
    #[serde(rename = "pre_vote_request")]
    PreVoteRequest(VoteRequest),
    ///Response to a pre-vote request.
    #[serde(rename = "pre_vote_response")]
    PreVoteResponse(VoteResponse),
    ///Requests a vote in the term of the message.
    #[serde(rename = "vote_request")]
    VoteRequest(VoteRequest),
    ///Response to a vote request.
    #[serde(rename = "vote_response")]
    VoteResponse(VoteResponse),
    ///Log entries; a heartbeat if there are none.
    #[serde(rename = "append_request")]
    AppendRequest(AppendRequest),
    ///Response to an append request.
    #[serde(rename = "append_response")]
    AppendResponse(AppendResponse),
    ///One chunk of a snapshot.
    #[serde(rename = "snapshot_request")]
    SnapshotRequest(SnapshotRequest),
    ///Response to a chunk of a snapshot.
    #[serde(rename = "snapshot_response")]
    SnapshotResponse(SnapshotResponse),
}
impl ::std::convert::From<AppendRequest> for PeerBody {
    fn from(value: AppendRequest) -> Self {
        Self::AppendRequest(value)
    }
}
impl ::std::convert::From<AppendResponse> for PeerBody {
    fn from(value: AppendResponse) -> Self {
        Self::AppendResponse(value)
    }
}
impl ::std::convert::From<SnapshotRequest> for PeerBody {
    fn from(value: SnapshotRequest) -> Self {
        Self::SnapshotRequest(value)
    }
}
impl ::std::convert::From<SnapshotResponse> for PeerBody {
    fn from(value: SnapshotResponse) -> Self {
        Self::SnapshotResponse(value)
    }
}
///A frame on a connection between control processes.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum PeerFrame {
    ///A consensus message.
    #[serde(rename = "message")]
    Message(PeerMessage),
    ///A join request.
    #[serde(rename = "join_request")]
    JoinRequest(JoinRequest),
    ///Response to a join request.
    #[serde(rename = "join_response")]
    JoinResponse(JoinResponse),
}
impl ::std::convert::From<PeerMessage> for PeerFrame {
    fn from(value: PeerMessage) -> Self {
        Self::Message(value)
    }
}
impl ::std::convert::From<JoinRequest> for PeerFrame {
    fn from(value: JoinRequest) -> Self {
        Self::JoinRequest(value)
    }
}
impl ::std::convert::From<JoinResponse> for PeerFrame {
    fn from(value: JoinResponse) -> Self {
        Self::JoinResponse(value)
    }
}
///A message between replicas.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerMessage {
    pub body: PeerBody,
    pub from: ReplicaId,
    pub group: GroupId,
    pub term: Term,
    pub to: ReplicaId,
}
///Previous owner of the shard.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PreviousOwner {
    pub address: SocketAddress,
    pub epoch: Epoch,
    ///Whether the previous owner released the shard, so that its complete record can be fetched.
    pub released: bool,
    pub server: ServerName,
}
///Kind of process.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ProcessKind {
    ///Control replicas.
    #[serde(rename = "control")]
    Control,
    ///Routers.
    #[serde(rename = "router")]
    Router,
    ///Back ends.
    #[serde(rename = "back-end")]
    BackEnd,
}
impl ::std::fmt::Display for ProcessKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Control => f.write_str("control"),
            Self::Router => f.write_str("router"),
            Self::BackEnd => f.write_str("back-end"),
        }
    }
}
impl ::std::str::FromStr for ProcessKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "control" => Ok(Self::Control),
            "router" => Ok(Self::Router),
            "back-end" => Ok(Self::BackEnd),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProcessKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProcessKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Name of a process of the fleet: control-ZONE, router-ZONE, a back end's name, or leader for the control replica that leads at that time.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ProcessName(::std::string::String);
impl ::std::ops::Deref for ProcessName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ProcessName> for ::std::string::String {
    fn from(value: ProcessName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ProcessName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ProcessName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProcessName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ProcessName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Limits of the queue for one server at one router.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QueuePolicy {
    ///Maximum number of requests waiting for one server.
    pub waiting_per_server: u32,
}
///One request in a shard's record.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordEntry {
    pub request_id: RequestId,
    pub state: RequestState,
}
///Address of the replica to ask instead.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Redirect {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub router_address: ::std::option::Option<SocketAddress>,
}
///Value of the header Grebepin-Refusal in a back end's response; the request was not run.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Refusal {
    ///The server holds the shard at another epoch, or not at all.
    #[serde(rename = "wrong-epoch")]
    WrongEpoch,
    ///The server's lease has ended.
    #[serde(rename = "no-lease")]
    NoLease,
    ///The shard is being released.
    #[serde(rename = "releasing")]
    Releasing,
    ///The server is leaving.
    #[serde(rename = "draining")]
    Draining,
    ///The server is overloaded.
    #[serde(rename = "shed")]
    Shed,
    ///Too little time remains before the deadline.
    #[serde(rename = "deadline")]
    Deadline,
    ///The request was cancelled earlier.
    #[serde(rename = "cancelled")]
    Cancelled,
    ///The same request is already running.
    #[serde(rename = "already-running")]
    AlreadyRunning,
    ///A resend whose first attempt can't be looked up; it may have run earlier.
    #[serde(rename = "record-incomplete")]
    RecordIncomplete,
    ///Headers are missing or invalid.
    #[serde(rename = "bad-request")]
    BadRequest,
}
impl ::std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::WrongEpoch => f.write_str("wrong-epoch"),
            Self::NoLease => f.write_str("no-lease"),
            Self::Releasing => f.write_str("releasing"),
            Self::Draining => f.write_str("draining"),
            Self::Shed => f.write_str("shed"),
            Self::Deadline => f.write_str("deadline"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::AlreadyRunning => f.write_str("already-running"),
            Self::RecordIncomplete => f.write_str("record-incomplete"),
            Self::BadRequest => f.write_str("bad-request"),
        }
    }
}
impl ::std::str::FromStr for Refusal {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "wrong-epoch" => Ok(Self::WrongEpoch),
            "no-lease" => Ok(Self::NoLease),
            "releasing" => Ok(Self::Releasing),
            "draining" => Ok(Self::Draining),
            "shed" => Ok(Self::Shed),
            "deadline" => Ok(Self::Deadline),
            "cancelled" => Ok(Self::Cancelled),
            "already-running" => Ok(Self::AlreadyRunning),
            "record-incomplete" => Ok(Self::RecordIncomplete),
            "bad-request" => Ok(Self::BadRequest),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Refusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Refusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A start of a server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RegisterBoot {
    ///Boot identifier reported in the server's heartbeats.
    pub boot: u64,
    ///Boot identifier recorded before; absent if there is none.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub expected_boot: ::std::option::Option<u64>,
    pub server: ServerName,
}
///JSON body of a response that the router generated itself.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Reject {
    pub kind: RejectKind,
    ///Message for human readers.
    pub message: ::std::string::String,
    pub outcome: Outcome,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request_id: ::std::option::Option<RequestId>,
    ///Time in ms after which the caller may retry.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
}
///Reason why a router rejected a request itself.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RejectKind {
    ///The header Grebepin-Key is missing.
    #[serde(rename = "missing-key")]
    MissingKey,
    ///A header can't be parsed.
    #[serde(rename = "bad-header")]
    BadHeader,
    ///The service does not exist.
    #[serde(rename = "unknown-service")]
    UnknownService,
    ///No class of the service matches the request.
    #[serde(rename = "unknown-class")]
    UnknownClass,
    ///The body is over the limit.
    #[serde(rename = "body-too-large")]
    BodyTooLarge,
    ///Too little time remains before the deadline.
    #[serde(rename = "deadline-too-near")]
    DeadlineTooNear,
    ///The router has no routing table yet.
    #[serde(rename = "no-table")]
    NoTable,
    ///No server currently owns the key.
    #[serde(rename = "no-owner")]
    NoOwner,
    ///Too many requests are waiting.
    #[serde(rename = "queue-full")]
    QueueFull,
    ///The retry budget is exhausted.
    #[serde(rename = "retry-budget")]
    RetryBudget,
    ///The owner refused the request.
    #[serde(rename = "owner-refused")]
    OwnerRefused,
    ///The owner could not be reached.
    #[serde(rename = "owner-lost")]
    OwnerLost,
    ///The connection failed after the request was sent.
    #[serde(rename = "outcome-unknown")]
    OutcomeUnknown,
    ///The router is stopping.
    #[serde(rename = "router-stopping")]
    RouterStopping,
}
impl ::std::fmt::Display for RejectKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::MissingKey => f.write_str("missing-key"),
            Self::BadHeader => f.write_str("bad-header"),
            Self::UnknownService => f.write_str("unknown-service"),
            Self::UnknownClass => f.write_str("unknown-class"),
            Self::BodyTooLarge => f.write_str("body-too-large"),
            Self::DeadlineTooNear => f.write_str("deadline-too-near"),
            Self::NoTable => f.write_str("no-table"),
            Self::NoOwner => f.write_str("no-owner"),
            Self::QueueFull => f.write_str("queue-full"),
            Self::RetryBudget => f.write_str("retry-budget"),
            Self::OwnerRefused => f.write_str("owner-refused"),
            Self::OwnerLost => f.write_str("owner-lost"),
            Self::OutcomeUnknown => f.write_str("outcome-unknown"),
            Self::RouterStopping => f.write_str("router-stopping"),
        }
    }
}
impl ::std::str::FromStr for RejectKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "missing-key" => Ok(Self::MissingKey),
            "bad-header" => Ok(Self::BadHeader),
            "unknown-service" => Ok(Self::UnknownService),
            "unknown-class" => Ok(Self::UnknownClass),
            "body-too-large" => Ok(Self::BodyTooLarge),
            "deadline-too-near" => Ok(Self::DeadlineTooNear),
            "no-table" => Ok(Self::NoTable),
            "no-owner" => Ok(Self::NoOwner),
            "queue-full" => Ok(Self::QueueFull),
            "retry-budget" => Ok(Self::RetryBudget),
            "owner-refused" => Ok(Self::OwnerRefused),
            "owner-lost" => Ok(Self::OwnerLost),
            "outcome-unknown" => Ok(Self::OutcomeUnknown),
            "router-stopping" => Ok(Self::RouterStopping),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RejectKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RejectKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Response to a release request: the state of each shard.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReleaseAnswer {
    pub busy: ::std::vec::Vec<BusyShard>,
    pub released: ::std::vec::Vec<HeldShard>,
}
///Body of POST /grebepin/v1/release; repeated until every shard is released.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReleaseRequest {
    pub group: GroupId,
    pub shards: ::std::vec::Vec<HeldShard>,
    pub term: Term,
}
///Response to a removal request; the removal is committed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RemoveMemberAnswer {
    pub index: LogIndex,
}
///Body of POST /v1/members/remove.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RemoveMemberRequest {
    pub replica: ReplicaId,
}
///Identity of one control replica's data folder; never used again once that folder is lost.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);
impl ::std::ops::Deref for ReplicaId {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<ReplicaId> for u64 {
    fn from(value: ReplicaId) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for ReplicaId {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for ReplicaId {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for ReplicaId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for ReplicaId {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Current role of a replica.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ReplicaRole {
    ///The replica is the leader.
    #[serde(rename = "leader")]
    Leader,
    ///The replica follows a leader.
    #[serde(rename = "follower")]
    Follower,
    ///The replica is a candidate in an election.
    #[serde(rename = "candidate")]
    Candidate,
    ///The replica receives the log and has no vote.
    #[serde(rename = "learner")]
    Learner,
    ///The replica has no copy of the log yet.
    #[serde(rename = "joining")]
    Joining,
}
impl ::std::fmt::Display for ReplicaRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Leader => f.write_str("leader"),
            Self::Follower => f.write_str("follower"),
            Self::Candidate => f.write_str("candidate"),
            Self::Learner => f.write_str("learner"),
            Self::Joining => f.write_str("joining"),
        }
    }
}
impl ::std::str::FromStr for ReplicaRole {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "leader" => Ok(Self::Leader),
            "follower" => Ok(Self::Follower),
            "candidate" => Ok(Self::Candidate),
            "learner" => Ok(Self::Learner),
            "joining" => Ok(Self::Joining),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ReplicaRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ReplicaRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Handling of one class of requests.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    ///Maximum deadline in ms that a caller may request.
    pub deadline_ms: ::std::num::NonZeroU64,
    ///HTTP method; absent for any method.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub method: ::std::option::Option<::std::string::String>,
    pub name: ClassName,
    ///Prefix of the path after the service's name, such as /approve.
    pub path_prefix: ::std::string::String,
    ///Priority; requests with 0 are served first.
    pub priority: u32,
    ///Whether the request is idempotent and may be run twice.
    pub repeatable: bool,
}
///Identifier that a caller gives to one request; the same for all its attempts.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RequestId(::std::string::String);
impl ::std::ops::Deref for RequestId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RequestId> for ::std::string::String {
    fn from(value: RequestId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for RequestId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[A-Za-z0-9._:-]{1,128}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[A-Za-z0-9._:-]{1,128}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RequestId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RequestId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RequestId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///State of a request as recorded by the owner of its shard.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RequestState {
    ///The request did not run, and a tombstone refuses it from now on.
    #[serde(rename = "not-run")]
    NotRun,
    ///The request is running; its effect may still take place.
    #[serde(rename = "running")]
    Running,
    ///The effect of the request took place.
    #[serde(rename = "ran")]
    Ran,
    ///The request was never received, according to a complete record.
    #[serde(rename = "unseen")]
    Unseen,
    ///Not known, because the record is incomplete or the server does not own the shard.
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for RequestState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not-run"),
            Self::Running => f.write_str("running"),
            Self::Ran => f.write_str("ran"),
            Self::Unseen => f.write_str("unseen"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for RequestState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not-run" => Ok(Self::NotRun),
            "running" => Ok(Self::Running),
            "ran" => Ok(Self::Ran),
            "unseen" => Ok(Self::Unseen),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RequestState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RequestState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Limits on retries of requests.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RetryPolicy {
    ///Maximum number of attempts of one request.
    pub attempts: ::std::num::NonZeroU32,
    ///Retry budget in percent of first attempts.
    pub budget_percent: u32,
}
///Response to POST /v1/bundles.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RollAnswer {
    pub digest: Digest,
    pub index: LogIndex,
    ///Whether the same bundle had already been accepted.
    pub repeated: bool,
    ///Version of the accepted bundle.
    pub version: u64,
}
///A frame from a router or relay.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum RouterFrame {
    ///Requests the routing table and all later changes.
    #[serde(rename = "follow")]
    Follow(FollowRequest),
    ///Load measured by the router.
    #[serde(rename = "report")]
    Report(LoadReport),
}
impl ::std::convert::From<FollowRequest> for RouterFrame {
    fn from(value: FollowRequest) -> Self {
        Self::Follow(value)
    }
}
impl ::std::convert::From<LoadReport> for RouterFrame {
    fn from(value: LoadReport) -> Self {
        Self::Report(value)
    }
}
///Limits of one router.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouterLimits {
    ///Maximum size of the body of a request or response.
    #[serde(default = "defaults::default_u64::<u64, 1048576>")]
    pub body_bytes: u64,
    ///Maximum number of concurrent connections of callers.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 512>")]
    pub caller_connections: ::std::num::NonZeroU32,
    ///Maximum time without data from a caller within a request.
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub caller_idle_ms: u64,
    ///Maximum time to connect to a back end.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 250>")]
    pub connect_timeout_ms: ::std::num::NonZeroU64,
    ///Deadline of a request that does not state one.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 2000>")]
    pub default_deadline_ms: ::std::num::NonZeroU64,
    ///Time that a stopping router allows its requests to finish.
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub drain_ms: u64,
    ///Interval between load reports.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub report_ms: u64,
    ///Number of threads that serve callers.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 64>")]
    pub threads: ::std::num::NonZeroU32,
}
impl ::std::default::Default for RouterLimits {
    fn default() -> Self {
        Self {
            body_bytes: defaults::default_u64::<u64, 1048576>(),
            caller_connections: defaults::default_nzu64::<::std::num::NonZeroU32, 512>(),
            caller_idle_ms: defaults::default_u64::<u64, 5000>(),
            connect_timeout_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 250>(),
            default_deadline_ms: defaults::default_nzu64::<
                ::std::num::NonZeroU64,
                2000,
            >(),
            drain_ms: defaults::default_u64::<u64, 5000>(),
            report_ms: defaults::default_u64::<u64, 500>(),
            threads: defaults::default_nzu64::<::std::num::NonZeroU32, 64>(),
        }
    }
}
///Name of a router.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RouterName(::std::string::String);
impl ::std::ops::Deref for RouterName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RouterName> for ::std::string::String {
    fn from(value: RouterName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for RouterName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RouterName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouterName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RouterName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Settings of grebepin-router.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    ///Address on which requests for metrics and probes are accepted.
    pub admin_address: SocketAddress,
    ///Router addresses of the control replicas or relays.
    pub control_addresses: ::std::vec::Vec<SocketAddress>,
    ///Control group whose routing table the router follows.
    #[serde(default)]
    pub group: u32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limits: ::std::option::Option<RouterLimits>,
    ///Address on which connections of callers are accepted.
    pub listen_address: SocketAddress,
    pub name: RouterName,
    pub zone: ZoneName,
}
///State of a router as known to the leader.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouterStatus {
    pub in_force: LogIndex,
    ///Time since the last report of the router.
    pub last_heard_ms: u64,
    pub router: RouterName,
    pub zone: ZoneName,
}
///A back-end server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub address: SocketAddress,
    ///Maximum number of connections that it accepts from all routers together.
    pub connections: ::std::num::NonZeroU32,
    pub name: ServerName,
    pub side: SideName,
    ///Maximum number of requests that the server runs concurrently.
    pub slots: ::std::num::NonZeroU32,
    ///Share of the shards of its side, relative to the other servers of the side.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 100>")]
    pub weight: ::std::num::NonZeroU32,
    pub zone: ZoneName,
}
///Load of one server over the interval.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerLoad {
    ///Sum of times in flight in microseconds.
    pub busy_us: u64,
    ///Number of requests without a complete response.
    pub failed: u64,
    ///Number of requests refused by the server.
    pub refused: u64,
    ///Number of requests sent.
    pub sent: u64,
    pub server: ServerName,
}
///Name of one back-end server, unique in its deployment.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ServerName(::std::string::String);
impl ::std::ops::Deref for ServerName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ServerName> for ::std::string::String {
    fn from(value: ServerName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ServerName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ServerName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServerName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ServerName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Stored state of one server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerRecord {
    ///Boot identifier recorded last.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub boot: ::std::option::Option<u64>,
    pub origin: StandingOrigin,
    ///Whether the bundle in force no longer lists it.
    pub removed: bool,
    pub server: Server,
    pub service: ServiceName,
    pub standing: ServerStanding,
}
///A server or a free slot.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerSlot {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub server: ::std::option::Option<ServerRecord>,
}
///Standing of a server: whether it may receive shards and requests.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ServerStanding {
    ///May receive shards and requests.
    #[serde(rename = "active")]
    Active,
    ///Finishes its requests in flight and receives no new ones.
    #[serde(rename = "draining")]
    Draining,
    ///The server is not in use.
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::fmt::Display for ServerStanding {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Active => f.write_str("active"),
            Self::Draining => f.write_str("draining"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for ServerStanding {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "active" => Ok(Self::Active),
            "draining" => Ok(Self::Draining),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServerStanding {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServerStanding {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State of a server as known to the leader.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerStatus {
    ///Number of shards that the server reported to hold.
    pub held: u32,
    ///Time since the last response of the server.
    pub last_heard_ms: u64,
    ///Minimum remaining time of the granted lease.
    pub lease_remaining_ms: u64,
    pub server: ServerName,
    pub service: ServiceName,
    ///Number of shards that the server owns.
    pub shards: u32,
    pub side: SideName,
    pub standing: ServerStanding,
    pub zone: ZoneName,
}
///A service whose keys are each owned by one server at a time.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub churn: ChurnPolicy,
    ///Classes of requests; the first one whose path prefix and method match applies.
    pub classes: ::std::vec::Vec<RequestClass>,
    pub name: ServiceName,
    pub queue: QueuePolicy,
    pub retry: RetryPolicy,
    ///Back ends that may own shards.
    pub servers: ::std::vec::Vec<Server>,
    ///Number of shards; can't change once the service exists.
    pub shards: ::std::num::NonZeroU32,
    ///Sides of the migration with their target shares.
    pub sides: ::std::vec::Vec<SideShare>,
}
///Name of a service.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ServiceName(::std::string::String);
impl ::std::ops::Deref for ServiceName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ServiceName> for ::std::string::String {
    fn from(value: ServiceName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ServiceName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ServiceName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ServiceName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Open-loop load on one service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceRate {
    ///One-way network delay between callers and routers in ms.
    #[serde(default = "defaults::service_rate_delay_ms")]
    pub delay_ms: f64,
    ///Number of different keys.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 10000>")]
    pub keys: ::std::num::NonZeroU64,
    ///Request rate of all callers together.
    pub requests_per_second: ::std::num::NonZeroU64,
    pub service: ServiceName,
}
///Stored state of one service, apart from its shards.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    ///Whether the bundle in force no longer lists it.
    pub removed: bool,
    ///Slots of its servers, in the order of their positions in the routing table.
    pub servers: ::std::vec::Vec<u32>,
    pub service: Service,
}
///Routing information of one service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceTable {
    ///One owner for each shard, in the order of the shard numbers.
    pub owners: ::std::vec::Vec<ShardOwner>,
    pub service: Service,
    ///One standing for each server of the service, in the order of the bundle.
    pub standings: ::std::vec::Vec<ServerStanding>,
}
///Session of a server: a period without a lapse of its lease. A new session begins at each start and after each lapse.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct Session(pub u64);
impl ::std::ops::Deref for Session {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Session> for u64 {
    fn from(value: Session) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Session {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Session {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Session {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Session {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Session {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///A new standing of one server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SetStanding {
    pub origin: StandingOrigin,
    pub server: ServerName,
    pub standing: ServerStanding,
}
///Number of a shard within its service, starting at 0.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct ShardId(pub u32);
impl ::std::ops::Deref for ShardId {
    type Target = u32;
    fn deref(&self) -> &u32 {
        &self.0
    }
}
impl ::std::convert::From<ShardId> for u32 {
    fn from(value: ShardId) -> Self {
        value.0
    }
}
impl ::std::convert::From<u32> for ShardId {
    fn from(value: u32) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for ShardId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for ShardId {
    type Err = <u32 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for ShardId {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for ShardId {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///One shard of one service.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(deny_unknown_fields)]
pub struct ShardKey {
    pub service: ServiceName,
    pub shard: ShardId,
}
///Load of one shard over the interval.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShardLoad {
    ///Sum of times in flight in microseconds.
    pub busy_us: u64,
    ///Number of requests.
    pub requests: u64,
    pub service: ServiceName,
    pub shard: ShardId,
}
///Owner of one shard.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShardOwner {
    ///Epoch of the ownership; 0 when the shard never had an owner.
    pub epoch: Epoch,
    ///Position in the service's servers; absent while no server owns the shard.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub server: ::std::option::Option<u32>,
}
///Name of one side of a migration, such as a data centre.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct SideName(::std::string::String);
impl ::std::ops::Deref for SideName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<SideName> for ::std::string::String {
    fn from(value: SideName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for SideName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for SideName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SideName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for SideName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Target share of a service's shards for one side.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SideShare {
    ///Share relative to those of the other sides.
    pub share: u32,
    pub side: SideName,
}
///An operator's sign-off.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Signature {
    pub operator: OperatorName,
    ///ed25519 signature over the bundle's digest, hexadecimal.
    pub signature: SignatureSignature,
}
///ed25519 signature over the bundle's digest, hexadecimal.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct SignatureSignature(::std::string::String);
impl ::std::ops::Deref for SignatureSignature {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<SignatureSignature> for ::std::string::String {
    fn from(value: SignatureSignature) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for SignatureSignature {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[0-9a-f]{128}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[0-9a-f]{128}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for SignatureSignature {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SignatureSignature {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for SignatureSignature {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///A bundle with its sign-offs.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    pub bundle: Bundle,
    pub signatures: ::std::vec::Vec<Signature>,
}
///Position of a snapshot in the log.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMeta {
    pub index: LogIndex,
    pub membership: Membership,
    pub term: Term,
}
///One chunk of a snapshot.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRequest {
    ///CRC-32 of the whole snapshot.
    pub checksum: u32,
    pub chunk: crate::Bytes,
    pub meta: SnapshotMeta,
    ///Offset of this chunk in bytes.
    pub offset: u64,
    ///Number of the leader's heartbeat round.
    pub round: u64,
    ///Size of the whole snapshot in bytes.
    pub total: u64,
}
///Progress of a snapshot transfer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SnapshotResponse {
    pub index: LogIndex,
    ///Whether the snapshot is installed and synced to disk.
    pub installed: bool,
    ///Number of bytes received so far, which is the offset of the next chunk.
    pub received: u64,
    ///Heartbeat round of the request.
    pub round: u64,
}
///An IP address and a port, such as 127.0.0.1:7000 or [::1]:7000; host names are not allowed.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct SocketAddress(::std::string::String);
impl ::std::ops::Deref for SocketAddress {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<SocketAddress> for ::std::string::String {
    fn from(value: SocketAddress) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for SocketAddress {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        {
            ::regress::Regex::new(
                    "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$",
                )
                .unwrap()
        });
        if PATTERN.find(value).is_none() {
            return Err(
                "doesn't match pattern \"^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$\""
                    .into(),
            );
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for SocketAddress {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SocketAddress {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for SocketAddress {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///A new standing of one server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StandingChange {
    pub server: ServerName,
    pub service: ServiceName,
    pub standing: ServerStanding,
}
///Who requested a standing.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum StandingOrigin {
    ///The server itself, through its heartbeats.
    #[serde(rename = "server")]
    Server,
    ///An operator; the server is notified.
    #[serde(rename = "operator")]
    Operator,
}
impl ::std::fmt::Display for StandingOrigin {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Server => f.write_str("server"),
            Self::Operator => f.write_str("operator"),
        }
    }
}
impl ::std::str::FromStr for StandingOrigin {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "server" => Ok(Self::Server),
            "operator" => Ok(Self::Operator),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for StandingOrigin {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for StandingOrigin {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Response to GET /v1/status.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Status {
    pub applied: LogIndex,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub bundle_digest: ::std::option::Option<Digest>,
    ///Version of the bundle in force.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub bundle_version: ::std::option::Option<u64>,
    pub commit: LogIndex,
    pub group: GroupId,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub leader: ::std::option::Option<ReplicaId>,
    pub members: ::std::vec::Vec<MemberStatus>,
    ///Number of shards being moved to another server.
    pub moving_shards: u32,
    pub replica: ReplicaId,
    pub role: ReplicaRole,
    pub routers: ::std::vec::Vec<RouterStatus>,
    pub servers: ::std::vec::Vec<ServerStatus>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub slowest_router: ::std::option::Option<RouterStatus>,
    ///Log index of the last change of the routing table.
    pub table_index: LogIndex,
    pub term: Term,
    pub tolerated: ToleratedLosses,
    ///Number of shards without an owner.
    pub unowned_shards: u32,
}
///A fault or an operator's action.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Step {
    ///Time from the first caller's start.
    pub at_ms: u64,
    pub fault: Fault,
}
///Owners of all shards.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub bundle_digest: ::std::option::Option<Digest>,
    ///Version of the bundle in force; 0 before the first.
    pub bundle_version: u64,
    pub services: ::std::vec::Vec<ServiceTable>,
}
///Changes from one index to a later one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TableDelta {
    pub group: GroupId,
    pub index: LogIndex,
    pub owners: ::std::vec::Vec<OwnerChange>,
    pub previous: LogIndex,
    pub standings: ::std::vec::Vec<StandingChange>,
}
///The routing table at one index.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TableSnapshot {
    pub group: GroupId,
    pub index: LogIndex,
    pub table: Table,
}
///Term of a control group's leader.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(transparent)]
pub struct Term(pub u64);
impl ::std::ops::Deref for Term {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Term> for u64 {
    fn from(value: Term) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Term {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Term {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Term {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Term {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Term {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Losses that the group can still tolerate without losing committed decisions.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ToleratedLosses {
    ///Number of voters that may be lost now.
    pub replicas: u32,
    ///Zones any one of which may be lost now.
    pub zones: ::std::vec::Vec<ZoneName>,
}
///An operator whose signatures are accepted.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TrustedOperator {
    pub name: OperatorName,
    ///ed25519 public key, hexadecimal.
    pub public_key: TrustedOperatorPublicKey,
}
///ed25519 public key, hexadecimal.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct TrustedOperatorPublicKey(::std::string::String);
impl ::std::ops::Deref for TrustedOperatorPublicKey {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<TrustedOperatorPublicKey> for ::std::string::String {
    fn from(value: TrustedOperatorPublicKey) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for TrustedOperatorPublicKey {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[0-9a-f]{64}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[0-9a-f]{64}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for TrustedOperatorPublicKey {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TrustedOperatorPublicKey {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for TrustedOperatorPublicKey {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///A candidate's last entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoteRequest {
    pub last_index: LogIndex,
    pub last_term: Term,
}
///Whether the vote is granted.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VoteResponse {
    ///Whether the vote is granted.
    pub granted: bool,
}
///Name of a zone.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ZoneName(::std::string::String);
impl ::std::ops::Deref for ZoneName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ZoneName> for ::std::string::String {
    fn from(value: ZoneName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ZoneName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> = ::std::sync::LazyLock::new(||
        { ::regress::Regex::new("^[a-z0-9][a-z0-9.-]{0,62}$").unwrap() });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9.-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ZoneName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ZoneName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ZoneName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn service_rate_delay_ms() -> f64 {
        0_f64
    }
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
