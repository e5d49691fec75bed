//! The session of an edge or a store with one control node: which node it is, the outstanding poll, and the last
//! update received.
//!
//! A node polls its control node, which answers as soon as there is an update, and otherwise after a time-out. If an
//! answer is late or the connection is lost, the node chooses another control node.

use super::NodeRuntime;
use crate::net::Millis;
use crate::protocol::{Frame, Member, MembershipUpdate, NodeRole, RetirementState};
use std::net::SocketAddrV4;
use std::sync::Arc;
use stileroute_config::Config;
use stileroute_queue::{ControlContact, Node};
use stileroute_registry::SESSION_GRACE;

/// Time without an answer to a poll after which the control node is given up.
const CONTROL_REPLY_TIMEOUT: Millis = 2000;
/// Time after the last answer for which the session still counts as fresh.
const SESSION_FRESHNESS: Millis = 2500;
/// Time for which a control node that is partitioned from its peers is chosen only if there is no other.
const PARTITIONED_BACKOFF: Millis = 1500;
/// Time since the last known contact of the control group after which the group may be lost to this node. A control
/// node that is partitioned together with this node still answers for a while. The other control nodes list this node
/// as gone no sooner than [`SESSION_GRACE`] after they last heard that control node, and other stores take over no
/// sooner than 2 s after their connection to this store broke, which may happen at the instant of the partition.
const GROUP_CONTACT_GRACE: Millis = 1900;
/// Interval at which a node without a control node tries to choose one.
const CHOICE_RETRY_INTERVAL: Millis = 100;

/// A control node that this node knows, connected or not.
struct KnownControlNode {
    /// The address at which the control node accepts calls.
    address: SocketAddrV4,
    /// The control node's zone; empty for a seed of which only the address is known.
    zone: String,
}

/// A control node that reported that it is partitioned from its peers.
struct AvoidedNode {
    node: Node,
    until: Millis,
}

/// The session with a control node.
pub struct Session {
    /// The control node that is polled, if one is connected.
    pub control_node: Option<Node>,
    /// When the session with the control node that answered last began.
    pub established_at: Millis,
    /// When a control node last answered; 0 if none has.
    pub last_update_at: Millis,
    /// The latest time at which a control node that answered knew that it was not partitioned from its peers.
    last_group_contact_at: Millis,
    /// The membership in the last update of a control node.
    pub members: Vec<Member>,
    /// Number of sessions that ended because the control node did not answer or disconnected.
    pub losses: u64,
    known_control_nodes: Vec<KnownControlNode>,
    avoided: Vec<AvoidedNode>,
    /// The control node that answered last, until its session is lost.
    established_with: Option<Node>,
    /// When the poll that still has no answer was sent.
    polled_at: Option<Millis>,
    /// The incarnation of the last update, which each poll repeats together with its version.
    incarnation: u64,
    version: u64,
    /// The progress of this node's own retirement, reported with each poll.
    retirement: RetirementState,
    /// Whether the session was fresh when its freshness was last logged.
    was_fresh: bool,
}

impl Session {
    /// Creates the state without a session; only the seeds are known.
    pub(super) fn new(seeds: &[SocketAddrV4]) -> Session {
        let mut session = Session {
            control_node: None,
            established_at: 0,
            last_update_at: 0,
            last_group_contact_at: 0,
            members: Vec::new(),
            losses: 0,
            known_control_nodes: Vec::new(),
            avoided: Vec::new(),
            established_with: None,
            polled_at: None,
            incarnation: 0,
            version: 0,
            retirement: RetirementState::NotRetiring,
            was_fresh: false,
        };
        session.known_control_nodes.extend(seeds.iter().map(|seed| KnownControlNode::seed(*seed)));
        session
    }

    /// Adds the seeds that are not known yet.
    pub(super) fn add_seeds(&mut self, seeds: &[SocketAddrV4]) {
        for seed in seeds {
            if !self.known_control_nodes.iter().any(|known| known.address == *seed) {
                self.known_control_nodes.push(KnownControlNode::seed(*seed));
            }
        }
    }

    fn learn_control_nodes(&mut self, members: &[Member]) {
        for member in members.iter().filter(|member| member.role == NodeRole::Control) {
            let Some(address) = member.control_address else { continue };
            self.known_control_nodes.retain(|known| known.address != address);
            self.known_control_nodes.push(KnownControlNode { address, zone: member.zone.clone() });
        }
    }

    /// The time until which a control node is avoided; 0 if it is not.
    fn avoided_until(&self, node: Node) -> Millis {
        self.avoided.iter().find(|avoided| avoided.node == node).map_or(0, |avoided| avoided.until)
    }
}

impl KnownControlNode {
    fn seed(address: SocketAddrV4) -> KnownControlNode {
        KnownControlNode { address, zone: String::new() }
    }
}

impl NodeRuntime {
    /// The next time at which [`NodeRuntime::maintain_session`] has to be called.
    pub(super) fn next_session_deadline(&self) -> Millis {
        match self.session.polled_at {
            Some(polled_at) => polled_at + CONTROL_REPLY_TIMEOUT,
            None => self.net.now() + CHOICE_RETRY_INTERVAL,
        }
    }

    /// Maintains a session with one control node, preferably one in this node's own zone.
    pub fn maintain_session(&mut self) {
        let now = self.net.now();
        let is_late = self.session.polled_at.is_some_and(|at| now > at + CONTROL_REPLY_TIMEOUT);
        if self.session.control_node.is_some_and(|node| is_late || !self.links.is_up(node)) {
            self.lose_session();
        }
        if self.session.control_node.is_none() {
            self.session.avoided.retain(|avoided| now < avoided.until);
            self.session.control_node = self.preferred_control_node();
            self.poll_control_node();
        }
        self.log_session_freshness();
    }

    fn lose_session(&mut self) {
        self.session.control_node = None;
        self.session.polled_at = None;
        self.session.losses += 1;
        if self.session.established_with.take().is_some() {
            tracing::warn!("control node did not answer in time or disconnected; choosing another");
        }
    }

    /// Chooses the nearest of the connected control nodes that are not avoided; if all are avoided, the one that is
    /// avoided for the shortest time. Ties are broken by the control node's identifier, rotated by this node's own
    /// identifier so that the nodes of a zone spread over its control nodes.
    fn preferred_control_node(&self) -> Option<Node> {
        let rotation = self.links.local().node & 31;
        let candidates = self.links.peers(NodeRole::Control).map(|peer| {
            let avoided_until = self.session.avoided_until(peer.node);
            (avoided_until, self.boot.distance_to(&peer.zone), peer.node.rotate_left(rotation), peer.node)
        });
        candidates.min().map(|(.., node)| node)
    }

    fn log_session_freshness(&mut self) {
        let is_fresh = self.has_fresh_session();
        if is_fresh == std::mem::replace(&mut self.session.was_fresh, is_fresh) {
            return;
        }
        if is_fresh {
            tracing::info!("control nodes are reachable");
        } else {
            tracing::warn!("no control node is reachable: continues with the last update");
        }
    }

    /// The addresses of the control nodes to connect with: those in this node's own zone while at least one of them
    /// is usable, otherwise all.
    pub fn control_dial_targets(&self) -> Vec<SocketAddrV4> {
        let is_usable = |address| {
            let node = self.links.node_at_control_address(address);
            node.is_some_and(|node| !self.session.avoided.iter().any(|avoided| avoided.node == node))
        };
        let known = &self.session.known_control_nodes;
        let is_near = |control: &&KnownControlNode| control.zone == self.boot.zone;
        let has_usable_near = known.iter().filter(is_near).any(|control| is_usable(control.address));
        let chosen = known.iter().filter(|control| !has_usable_near || is_near(control));
        chosen.map(|control| self.links.listen_address(*control.address.ip(), NodeRole::Control)).collect()
    }

    /// Reports the progress of this node's retirement to the control node, at once if it has changed.
    pub fn report_retirement(&mut self, retirement: RetirementState) {
        if std::mem::replace(&mut self.session.retirement, retirement) != retirement {
            tracing::info!(retiring = %retirement, "retirement");
            self.poll_control_node();
        }
    }

    /// Polls the control node for any update that is newer than the last one received.
    fn poll_control_node(&mut self) {
        let Some(control_node) = self.session.control_node else { return };
        let request = Frame::UpdateRequest {
            incarnation: self.session.incarnation,
            version: self.session.version,
            config_version: self.config.as_ref().map_or(0, |config| config.revision),
            retirement: self.session.retirement,
        };
        if self.links.send(&mut self.net, control_node, &request) {
            self.session.polled_at = Some(self.net.now());
        }
    }

    /// Applies a control node's answer and polls it again. Returns the configuration if it is newer than the one in
    /// force.
    pub fn apply_update(&mut self, from: Node, update: &MembershipUpdate) -> Option<Arc<Config>> {
        if self.session.control_node != Some(from) {
            return None;
        }
        let now = self.net.now();
        if update.is_partitioned {
            // If this is the only control node in reach it will be chosen again, but the answer of a partitioned node
            // does not refresh the session.
            self.session.avoided.push(AvoidedNode { node: from, until: now + PARTITIONED_BACKOFF });
            self.session.control_node = None;
            self.session.polled_at = None;
            return None;
        }
        self.session.last_update_at = now;
        let group_contact_at = now.saturating_sub(update.contact_age_ms);
        self.session.last_group_contact_at = self.session.last_group_contact_at.max(group_contact_at);
        if self.session.established_with.replace(from) != Some(from) {
            self.session.established_at = now;
            let node = self.links.peer(from).map_or("", |peer| peer.name.as_str());
            tracing::info!(node, "session with a control node");
        }
        self.session.incarnation = update.incarnation;
        self.session.version = update.version;
        if let Some(members) = &update.members {
            self.session.members = members.clone();
            self.session.learn_control_nodes(members);
        }
        let new_config = update.config.as_deref().and_then(|body| self.apply_config(body));
        self.poll_control_node();
        new_config
    }

    /// Puts a configuration in force if it is newer than the present one. A process never goes back to an older
    /// configuration.
    fn apply_config(&mut self, body: &[u8]) -> Option<Arc<Config>> {
        let config = match Config::parse(body) {
            Ok(config) => config,
            Err(faults) => {
                tracing::error!(%faults, "invalid configuration received");
                return None;
            }
        };
        if self.config.as_ref().is_some_and(|present| config.revision <= present.revision) {
            return None;
        }
        log_configuration(&config);
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        Some(config)
    }

    /// The state of contact with the control nodes, as a store's queue needs it.
    pub fn control_contact(&self) -> ControlContact {
        let now = self.net.now();
        ControlContact {
            is_reachable: self.has_fresh_session(),
            // Measured from the last update, when the session was certainly alive: other nodes count a session as
            // alive for `SESSION_GRACE` after it ended.
            session_may_have_lapsed: now >= self.session.last_update_at + SESSION_GRACE,
            group_may_be_lost: now >= self.session.last_group_contact_at + GROUP_CONTACT_GRACE,
        }
    }

    /// The latest time at which a control node that answered knew that it was not partitioned from its peers; `None`
    /// if there has been none.
    pub fn group_contact_at(&self) -> Option<Millis> {
        Some(self.session.last_group_contact_at).filter(|at| *at > 0)
    }

    /// Whether a control node has answered recently enough for the session to count as fresh.
    pub fn has_fresh_session(&self) -> bool {
        let last_update_at = self.session.last_update_at;
        last_update_at > 0 && self.net.now() < last_update_at + SESSION_FRESHNESS
    }
}

/// Logs a configuration that has come into force. Because the configuration was acknowledged, any keys that this
/// program does not know or does not carry out are logged as warnings.
pub fn log_configuration(config: &Config) {
    match &config.tenants {
        None => tracing::info!(version = config.revision, "configuration in force"),
        Some(table) => {
            let (tenants, keys) = (table.tenants.len(), table.key_count());
            tracing::info!(version = config.revision, tenants, keys, "configuration in force");
        }
    }
    if !config.unread_keys.is_empty() {
        let keys = config.unread_keys.join(" ");
        tracing::warn!(version = config.revision, keys, "the configuration has keys that nothing here reads");
    }
    let unserved = config.unserved_keys().join(" ");
    if !unserved.is_empty() {
        tracing::warn!(
            version = config.revision,
            keys = unserved,
            "the configuration asks for what is not done here"
        );
    }
}
