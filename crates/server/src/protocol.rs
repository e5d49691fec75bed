//! The frames that the system's own processes send to one another, encoded with `postcard`.
//!
//! `postcard` writes a variant by its position and a field by its order: names may change, positions may not. The exact bytes
//! are pinned by the unit tests.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_queue::{Key, Message, Node, PeerMessage, PutError};
pub use stileroute_registry::{
    ExecutorState, Heartbeat, Member, MembershipUpdate, NodeRole, RetirementState,
};

/// The version of this protocol. A process of another version is rejected as soon as it says so in its [`PeerInfo`].
pub const PROTOCOL_VERSION: u16 = 1;
/// Each frame on a connection is preceded by its length in so many bytes, little-endian.
pub const FRAME_LENGTH_BYTES: usize = 4;

/// Set in the `request_id` of a `Submit` whose message another store may have accepted: it was offered it, and has not answered.
/// A store of an earlier version repeats the id as it is, and starts the message at once.
pub const RESUBMISSION_FLAG: u64 = 1 << 63;

/// What a process says of itself in the first frame of a connection, in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The [`PROTOCOL_VERSION`] that the process speaks.
    pub protocol_version: u16,
    /// The node's identifier, a hash of its name.
    pub node: Node,
    /// The name in the node's settings file.
    pub name: String,
    /// What the process does.
    pub role: NodeRole,
    /// The failure domain that the process runs in.
    pub zone: String,
    /// The address of its machine.
    pub ip: Ipv4Addr,
    /// Distinguishes this start of the process from earlier and later ones.
    pub incarnation: u64,
    /// Where a control node takes heartbeats and operators' calls; `None` for other roles.
    pub control_address: Option<SocketAddrV4>,
}

/// What a store knows of the fate of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageStatus {
    /// It has not ended yet.
    Pending,
    /// An executor has run it.
    Complete {
        /// The executor's proof of the run (`X-Server-Seal`).
        seal: String,
    },
    /// It ended without success and will not be tried again.
    Failed,
}

/// A store's answer about a message that it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMessage {
    /// How far the message has come.
    pub status: MessageStatus,
    /// Its body, if that was asked for and is still there.
    pub body: Option<Vec<u8>>,
    /// The tenant whose message it is. Earlier releases don't say: then none.
    #[serde(deserialize_with = "none_if_absent")]
    pub tenant: Option<String>,
}

/// Reads the last field of a frame, which earlier releases don't send.
fn none_if_absent<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// One frame between two processes of the system, or between the command line and a process.
///
/// A `request_id` is chosen by the sender of a request and repeated in the answer to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of each side; any other frame before it closes the connection.
    Hello(PeerInfo),
    /// Keeps a connection alive on which nothing else is sent.
    Ping,
    /// An edge or a store polls its control node, and names what it already has.
    UpdateRequest {
        /// The control node's incarnation that `version` belongs to.
        incarnation: u64,
        /// The version of the last update that was applied.
        version: u64,
        /// The version of the configuration that the node has; 0 if it has none.
        config_version: u64,
        /// How far the sender's own retirement has come.
        retirement: RetirementState,
    },
    /// A control node's answer to `UpdateRequest`, sent as soon as it has anything newer.
    Update(MembershipUpdate),
    /// An edge asks a store to take a message.
    Submit {
        /// Repeated in the `SubmitResult`.
        request_id: u64,
        /// The message to be stored and delivered.
        message: Message,
    },
    /// A store's answer to `Submit`.
    SubmitResult {
        /// That of the `Submit`.
        request_id: u64,
        /// The name under which the message is stored, or why it was rejected.
        result: Result<String, PutError>,
    },
    /// The store is shutting down or retiring: it takes no new messages.
    Draining,
    /// An edge asks a store what became of a message.
    Lookup {
        /// Repeated in the `LookupResult`.
        request_id: u64,
        /// The message.
        key: Key,
        /// Whether the message's body is wanted as well.
        include_body: bool,
    },
    /// A store's answer to `Lookup`.
    LookupResult {
        /// That of the `Lookup`.
        request_id: u64,
        /// `None` if the store does not know the message.
        result: Option<KnownMessage>,
    },
    /// Between two stores: replication and ownership of messages.
    Queue(PeerMessage),
    /// Between two control nodes: leases and the replicated configuration.
    ControlGroup(stileroute_control_group::Message),
    /// Between control nodes: the members with a session at the sender.
    Sessions(Vec<Member>),
    /// Between control nodes: executors that sent heartbeats.
    Heartbeats(Vec<Heartbeat>),
    /// A control node forwards a call that only the primary can decide.
    Forward {
        /// Repeated in the `ForwardResult`.
        request_id: u64,
        /// The operators' call.
        call: ForwardedCall,
    },
    /// The primary's answer to `Forward`, to be given to the caller unchanged.
    ForwardResult {
        /// That of the `Forward`.
        request_id: u64,
        /// The HTTP status.
        status: u16,
        /// The JSON body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The command line asks a process for all that it can report of itself.
    ReportRequest {
        /// Repeated in the `InspectionReply`.
        request_id: u64,
    },
    /// The answer to `ReportRequest`, `TraceRequest` and `MetricsRequest`.
    InspectionReply {
        /// That of the request.
        request_id: u64,
        /// JSON, or the metrics in the text exposition format.
        text: String,
    },
    /// The command line asks a store for all that it knows of one message.
    TraceRequest {
        /// Repeated in the `InspectionReply`.
        request_id: u64,
        /// The message.
        key: Key,
    },
    /// The command line asks a process for its metrics.
    MetricsRequest {
        /// Repeated in the `InspectionReply`.
        request_id: u64,
    },
    /// A store is to hand all its messages to others: from the control node that it has its session with.
    RetireStore {
        /// The store, so that an order for a former owner of the address has no effect.
        node: Node,
    },
    /// An edge tells all stores which of them keeps a message that it had submitted to several.
    Superseded {
        /// The client's identifier of the message.
        message_id: String,
        /// A hash of the message's content.
        fingerprint: u64,
        /// The one that is kept; `None` if none was confirmed.
        kept: Option<Key>,
    },
    /// Between control nodes: executors that send the sender their heartbeats, which it repeats seldom and corrects at once. Only for
    /// a receiver that has said, by an empty `Heartbeats`, that it takes the sender's word for them.
    HeldExecutors(Vec<Heartbeat>),
}

impl Frame {
    /// The category under which the frame is counted in the metrics.
    pub fn category(&self) -> &'static str {
        match self {
            Frame::Hello(_) | Frame::Ping => "link",
            Frame::UpdateRequest { .. } | Frame::Update(_) => "session",
            Frame::Sessions(_) => "sessions",
            Frame::Heartbeats(_) | Frame::HeldExecutors(_) => "executors",
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

/// The category of what one store sends to another.
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

/// An operators' call as one control node forwards it to the primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(ForwardedCallKind),
    doc = "Which call a [`ForwardedCall`] is, without its content."
)]
pub enum ForwardedCall {
    /// Put another configuration in force.
    ReplaceConfig {
        /// The revision that `body` names.
        version: u64,
        /// The configuration, as the operators sent it.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Read the configuration in force.
    ReadConfig,
    /// Order the retirement of a store.
    BeginRetirement {
        /// The store's name.
        node: String,
    },
    /// Ask how far the retirement of a store has come.
    ReadRetirement {
        /// The store's name.
        node: String,
    },
}

#[cfg(test)]
mod tests;
