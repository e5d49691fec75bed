//! The session of an edge or a store with one control node: which one it is, what it was asked, and what it last told.
//!
//! A node polls its control node, which answers as soon as there is something new, and otherwise after a while. If an answer is
//! late, or the connection is lost, another control node is chosen.

use super::NodeRuntime;
use crate::net::Millis;
use crate::protocol::{Frame, Member, MembershipUpdate, NodeRole, RetirementState};
use std::net::SocketAddrV4;
use std::sync::Arc;
use stileroute_config::Config;
use stileroute_queue::{ControlContact, Node};
use stileroute_registry::SESSION_GRACE;

/// A control node that has not answered a poll for so long is given up.
const CONTROL_REPLY_TIMEOUT: Millis = 2000;
/// How long after the last answer the session still counts as fresh.
const SESSION_FRESHNESS: Millis = 2500;
/// How long a control node that is partitioned from the others is chosen only if there is no other.
const PARTITIONED_BACKOFF: Millis = 1500;
/// A control node that is cut off together with this node goes on answering for a while. The others list this node as gone no sooner
/// than [`SESSION_GRACE`] after they last heard that control node, and other stores take over no sooner than 2 s after they have missed
/// the connection to this one, which may break in the instant of the cut.
const GROUP_CONTACT_GRACE: Millis = 1900;
/// How soon a control node is looked for while there is none.
const CHOICE_RETRY_INTERVAL: Millis = 100;

/// A control node, connected or not.
struct KnownControlNode {
    /// Where it takes calls.
    address: SocketAddrV4,
    /// Empty for a seed of which nothing else is known.
    zone: String,
}

/// A control node that said that it is partitioned from the others.
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
    /// When the control nodes that answered last knew that they were not cut off from the others.
    last_group_contact_at: Millis,
    /// The members that a control node last told of.
    pub members: Vec<Member>,
    /// How many sessions ended because the control node did not answer or was not connected any more.
    pub losses: u64,
    known_control_nodes: Vec<KnownControlNode>,
    avoided: Vec<AvoidedNode>,
    /// The control node that answered last, until its session is lost.
    established_with: Option<Node>,
    /// When the poll was sent that has no answer yet.
    polled_at: Option<Millis>,
    /// The incarnation and the version of the last update, repeated in each poll.
    incarnation: u64,
    version: u64,
    /// How far this node's own retirement has come, told with each poll.
    retirement: RetirementState,
    /// Whether the session was fresh when that was last logged.
    was_fresh: bool,
}

impl Session {
    /// No session yet: only the seeds are known.
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

    /// Until when a control node is avoided; 0 if it is not.
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
    /// When [`NodeRuntime::maintain_session`] has something to do.
    pub(super) fn next_session_deadline(&self) -> Millis {
        match self.session.polled_at {
            Some(polled_at) => polled_at + CONTROL_REPLY_TIMEOUT,
            None => self.net.now() + CHOICE_RETRY_INTERVAL,
        }
    }

    /// Keeps up a session with one control node, in this node's own zone if there is one.
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
            tracing::warn!("the control node does not answer");
        }
    }

    /// Of the connected control nodes one that is not avoided, the nearest. Among equals the identifier decides, rotated by
    /// this node's own so that the nodes of a zone spread over its control nodes.
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

    /// The addresses of the control nodes to be connected with: those in this node's own zone while one of them is usable,
    /// otherwise all.
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

    /// Tells the control node, at once if it is a change, how far this node's retirement has come.
    pub fn report_retirement(&mut self, retirement: RetirementState) {
        if std::mem::replace(&mut self.session.retirement, retirement) != retirement {
            tracing::info!(retiring = %retirement, "retirement");
            self.poll_control_node();
        }
    }

    /// Asks the control node for whatever is newer than what this node has.
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

    /// Applies a control node's answer and polls it again. Returns the configuration if there is a newer one.
    pub fn apply_update(&mut self, from: Node, update: &MembershipUpdate) -> Option<Arc<Config>> {
        if self.session.control_node != Some(from) {
            return None;
        }
        let now = self.net.now();
        if update.is_partitioned {
            // It may be the only one that can be reached: then it is chosen again, but this does not count as an answer.
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

    /// Puts a configuration in force if it is newer than the present one: a process never goes back to an older one.
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

    /// What is known of the control nodes, as a store's queue asks for it.
    pub fn control_contact(&self) -> ControlContact {
        let now = self.net.now();
        ControlContact {
            is_reachable: self.has_fresh_session(),
            // Counted from the last update: the session was alive then, and other nodes count it for so long after its end.
            session_may_have_lapsed: now >= self.session.last_update_at + SESSION_GRACE,
            group_may_be_lost: now >= self.session.last_group_contact_at + GROUP_CONTACT_GRACE,
        }
    }

    /// When the control nodes that answered last knew that they were not cut off from the others; `None` if none has known it.
    pub fn group_contact_at(&self) -> Option<Millis> {
        Some(self.session.last_group_contact_at).filter(|at| *at > 0)
    }

    /// Whether a control node has answered lately.
    pub fn has_fresh_session(&self) -> bool {
        let last_update_at = self.session.last_update_at;
        last_update_at > 0 && self.net.now() < last_update_at + SESSION_FRESHNESS
    }
}

/// A configuration has come into force. What it asks for and this program does not know of is not carried out: that is said, for
/// the configuration was acknowledged.
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
