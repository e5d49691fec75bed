//! Frames that the system's own processes exchange, encoded with `postcard`.
//!
//! `postcard` encodes an enum variant by its position and struct fields in declaration order: names may change,
//! positions may not. Unit tests pin the exact bytes.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_queue::{Key, Message, Node, PeerMessage, PutError};
pub use stileroute_registry::{
    ExecutorState, Heartbeat, Member, MembershipUpdate, NodeRole, RetirementState,
};

/// Version of the frame protocol. A process with another version is rejected as soon as its [`PeerInfo`] arrives.
pub const PROTOCOL_VERSION: u16 = 1;
/// Number of bytes of the little-endian length prefix of each frame.
pub const FRAME_LENGTH_BYTES: usize = 4;

/// Flag in the `request_id` of a `Submit` frame: another store was offered the message, has not replied, and may have
/// accepted it. A store of an earlier release echoes the id unchanged, and starts the message immediately.
pub const RESUBMISSION_FLAG: u64 = 1 << 63;

/// Description of a process that each side sends in the first frame of a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// [`PROTOCOL_VERSION`] of the process.
    pub protocol_version: u16,
    /// Identifier of the node: a hash of its name.
    pub node: Node,
    /// Name of the node in its settings file.
    pub name: String,
    /// Role of the process.
    pub role: NodeRole,
    /// Failure domain in which the process runs.
    pub zone: String,
    /// IP address of the machine that the process runs on.
    pub ip: Ipv4Addr,
    /// Identifier of this run of the process, different for each start.
    pub incarnation: u64,
    /// Address at which a control node accepts heartbeats and operators' calls; `None` for other roles.
    pub control_address: Option<SocketAddrV4>,
    /// Whether the process answers a `Departure` with a `DepartureRecorded`; false if it runs an earlier release, which
    /// does not send this field.
    #[serde(deserialize_with = "default_if_absent")]
    pub confirms_departures: bool,
}

/// Outcome of a message, as far as a store knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageStatus {
    /// The message has not finished yet.
    Pending,
    /// An executor has run the message.
    Complete {
        /// The executor's proof that it ran the message (`X-Server-Seal`).
        seal: String,
    },
    /// The message ended without success and will not be retried.
    Failed,
}

/// Reply of a store about a message that it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMessage {
    /// Current state of the message.
    pub status: MessageStatus,
    /// Body of the message, if the body was requested and is still stored.
    pub body: Option<Vec<u8>>,
    /// Tenant that owns the message; `None` if the sender runs an earlier release, which does not send this field.
    #[serde(deserialize_with = "default_if_absent")]
    pub tenant: Option<String>,
}

/// Deserializes the last field of a frame as its default if it is missing: earlier releases do not send it.
fn default_if_absent<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// One frame between two processes of the system, or between the command line and a process.
///
/// The sender of a request chooses its `request_id`, and the reply repeats it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of each side; any other frame before it closes the connection.
    Hello(PeerInfo),
    /// Keeps alive a connection on which no other frames are sent.
    Ping,
    /// An edge or a store asks its control node for updates, and states which versions it already has.
    UpdateRequest {
        /// Incarnation of the control node that issued `version`.
        incarnation: u64,
        /// Version of the last update that the sender applied.
        version: u64,
        /// Version of the configuration that the sender has; 0 if it has none.
        config_version: u64,
        /// Progress of the sender's own retirement.
        retirement: RetirementState,
    },
    /// Reply of a control node to `UpdateRequest`, sent as soon as the control node has a newer update.
    Update(MembershipUpdate),
    /// An edge asks a store to accept a message.
    Submit {
        /// Request identifier, repeated in the `SubmitResult`.
        request_id: u64,
        /// Message to store and deliver.
        message: Message,
    },
    /// Reply of a store to `Submit`.
    SubmitResult {
        /// Request identifier of the `Submit`.
        request_id: u64,
        /// Name under which the message is stored, or the reason why it was rejected.
        result: Result<String, PutError>,
    },
    /// The sending store is shutting down or retiring and accepts no new messages.
    Draining,
    /// An edge asks a store for the outcome of a message.
    Lookup {
        /// Request identifier, repeated in the `LookupResult`.
        request_id: u64,
        /// Key of the message.
        key: Key,
        /// Whether the reply should include the message's body.
        include_body: bool,
    },
    /// Reply of a store to `Lookup`.
    LookupResult {
        /// Request identifier of the `Lookup`.
        request_id: u64,
        /// State of the message; `None` if the store does not know the message.
        result: Option<KnownMessage>,
    },
    /// Between two stores: replication and ownership of messages.
    Queue(PeerMessage),
    /// Between two control nodes: leases and the replicated configuration.
    ControlGroup(stileroute_control_group::Message),
    /// Between control nodes: the members that have a session with the sender.
    Sessions(Vec<Member>),
    /// Between control nodes: heartbeats of executors.
    Heartbeats(Vec<Heartbeat>),
    /// A control node forwards a call that only the primary can decide.
    Forward {
        /// Request identifier, repeated in the `ForwardResult`.
        request_id: u64,
        /// Forwarded operators' call.
        call: ForwardedCall,
    },
    /// Reply of the primary to `Forward`, which is passed to the caller unchanged.
    ForwardResult {
        /// Request identifier of the `Forward`.
        request_id: u64,
        /// HTTP status of the reply.
        status: u16,
        /// JSON body of the reply.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The command line asks a process for its complete status report.
    ReportRequest {
        /// Request identifier, repeated in the `InspectionReply`.
        request_id: u64,
    },
    /// Reply to `ReportRequest`, `TraceRequest` and `MetricsRequest`.
    InspectionReply {
        /// Request identifier of the request that this frame answers.
        request_id: u64,
        /// JSON, or metrics in the Prometheus text exposition format.
        text: String,
    },
    /// The command line asks a store for everything that it knows about one message.
    TraceRequest {
        /// Request identifier, repeated in the `InspectionReply`.
        request_id: u64,
        /// Key of the message.
        key: Key,
    },
    /// The command line asks a process for its metrics.
    MetricsRequest {
        /// Request identifier, repeated in the `InspectionReply`.
        request_id: u64,
    },
    /// Orders a store to hand all its messages over to other stores; sent by the control node that has the store's
    /// session.
    RetireStore {
        /// Node identifier of the store, so that an order for a previous process at the same address has no effect.
        node: Node,
    },
    /// An edge tells all stores which of them keeps a message that the edge had submitted to several stores.
    Superseded {
        /// The client's identifier of the message.
        message_id: String,
        /// Hash of the message's content.
        fingerprint: u64,
        /// Key of the copy that is kept; `None` if no copy was confirmed.
        kept: Option<Key>,
    },
    /// Between control nodes: executors that send their heartbeats to the sender, which repeats this list rarely and
    /// corrects it immediately. Sent only to a receiver that has announced, by an empty `Heartbeats` frame, that it
    /// relies on the sender's state of these executors.
    HeldExecutors(Vec<Heartbeat>),
    /// Between control nodes: an executor is draining or has deregistered. The receiver records this and sends it to the
    /// control nodes that it is connected to. Sent only to a receiver whose [`PeerInfo`] says that it confirms.
    Departure {
        /// Request identifier, repeated in the `DepartureRecorded`; `None` if no confirmation is wanted.
        request_id: Option<u64>,
        /// The executor's last heartbeat, whose state is draining or offline.
        heartbeat: Heartbeat,
    },
    /// Reply to `Departure`: the sender has recorded that the executor is draining or has deregistered.
    DepartureRecorded {
        /// Request identifier of the `Departure`.
        request_id: u64,
    },
}

impl Frame {
    /// Returns the category under which the metrics count the frame.
    pub fn category(&self) -> &'static str {
        match self {
            Frame::Hello(_) | Frame::Ping => "link",
            Frame::UpdateRequest { .. } | Frame::Update(_) => "session",
            Frame::Sessions(_) => "sessions",
            Frame::Heartbeats(_)
            | Frame::HeldExecutors(_)
            | Frame::Departure { .. }
            | Frame::DepartureRecorded { .. } => "executors",
            Frame::ControlGroup(_) | Frame::Forward { .. } | Frame::ForwardResult { .. } => "control",
            Frame::Submit { .. } | Frame::SubmitResult { .. } => "taking",
            Frame::Lookup { .. } | Frame::LookupResult { .. } => "asking",
            Frame::Superseded { .. } => "twice",
            Frame::Draining | Frame::RetireStore { .. } => "leaving",
            Frame::ReportRequest { .. }
            | Frame::InspectionReply { .. }
            | Frame::TraceRequest { .. }
            | Frame::MetricsRequest { .. } => "operators",
            Frame::Queue(message) => queue_category(message),
        }
    }
}

/// Returns the metrics category of a frame from one store to another.
fn queue_category(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Replicate(_)
        | PeerMessage::ReplicateNew(_)
        | PeerMessage::Replicated(_)
        | PeerMessage::ReplicationRejected(_) => "copies",
        PeerMessage::Ended(_)
        | PeerMessage::CallbacksDelivered(_)
        | PeerMessage::AttemptsFailed(_)
        | PeerMessage::TransferEnds(_)
        | PeerMessage::EndsStored(_) => "ends",
        PeerMessage::Digests { .. }
        | PeerMessage::DiskId(_)
        | PeerMessage::RangeContents { .. }
        | PeerMessage::Reconciled => "comparing",
        PeerMessage::OwnershipChanged(_)
        | PeerMessage::Drop(_)
        | PeerMessage::LostWithDisk(_)
        | PeerMessage::RequestReplicas(_) => "owners",
        PeerMessage::Handover(_) | PeerMessage::HandoverAccepted(_) | PeerMessage::HandoverRejected(_) => {
            "handover"
        }
        PeerMessage::GroupQuery { .. }
        | PeerMessage::GroupQueryReply { .. }
        | PeerMessage::GroupMessagesEnded(_) => "rows",
        PeerMessage::StaleShard { .. }
        | PeerMessage::ClaimShards { .. }
        | PeerMessage::ClaimAnswered { .. }
        | PeerMessage::RequestShardTerms
        | PeerMessage::ShardTerms(_)
        | PeerMessage::UncertainSubmissions(_)
        | PeerMessage::SubmissionVerdicts { .. }
        | PeerMessage::SubmissionsAccepted(_)
        | PeerMessage::RequestRecoveryReport { .. }
        | PeerMessage::RecoveryReport(_)
        | PeerMessage::Recovered => "shards",
        PeerMessage::RequestTokens { .. } | PeerMessage::GrantTokens { .. } => "tokens",
        PeerMessage::Draining | PeerMessage::Retiring | PeerMessage::NoReplicasNeeded => "leaving",
    }
}

/// Operators' call in the form in which a control node forwards it to the primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(ForwardedCallKind),
    doc = "Which call a [`ForwardedCall`] is, without its content."
)]
pub enum ForwardedCall {
    /// Replaces the configuration in force.
    ReplaceConfig {
        /// Revision that is named in `body`.
        version: u64,
        /// Configuration as the operators sent it.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Reads the configuration in force.
    ReadConfig,
    /// Orders the retirement of a store.
    BeginRetirement {
        /// Name of the store to retire.
        node: String,
    },
    /// Reads the progress of a store's retirement.
    ReadRetirement {
        /// Name of the store whose retirement is queried.
        node: String,
    },
}

#[cfg(test)]
mod tests;
