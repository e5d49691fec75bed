//! The control node: executors' and operators' calls, sessions of nodes, the configuration with the others, and news.

mod disk_records;
mod pending_calls;
mod report;
mod retirement;
#[cfg(test)]
mod tests;

use crate::calls::{
    self, Acknowledged, ActiveConfig, BeginRetirement, Call, CallHandler, Dispatched, HeartbeatCall,
    HeartbeatReply, LeaveCall, ReadConfig, ReadConfigReply, ReadRetirement, ReplaceConfig, ReplaceOutcome,
};
use crate::links::LinkEvent;
use crate::net::{ConnectionId, Event, Millis, Request, RequestLimits, Response};
use crate::node::{random_seed, NodeRuntime};
use crate::protocol::{
    ExecutorState, ForwardedCall, ForwardedCallKind, Frame, Heartbeat, Member, NodeRole, PeerInfo,
    RetirementState,
};
use crate::report::Told;
use disk_records::Ledger;
use pending_calls::{InHand, Origin};
use std::net::SocketAddrV4;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use stileroute_config::Config;
use stileroute_control_group::{ControlGroup, Effect, GroupSettings, Verdict};
use stileroute_registry::{Registry, RegistryEffect};
use stileroute_wal::{AppendError, Options, Wal};

pub struct Core {
    common: NodeRuntime,
    control: usize,
    group: ControlGroup,
    disk: Wal,
    disk_said: Receiver<(u64, Result<(), AppendError>)>,
    registry: Registry,
    in_hand: InHand,
    told: retirement::Told,
    released: Option<Millis>,
    heard_at: Millis,
}

impl Core {
    pub fn new(mut common: NodeRuntime) -> miette::Result<Core> {
        let boot = &common.boot;
        let at = boot
            .control
            .ok_or_else(|| miette::miette!("settings: bind_addresses.control: missing for this role"))?;
        let dir = boot
            .data_dir
            .clone()
            .ok_or_else(|| miette::miette!("settings: data_dir: missing for a control node"))?;
        let dir = dir.join("watch");
        std::fs::create_dir_all(&dir).map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let (said, disk_said) = std::sync::mpsc::channel();
        let waker = std::sync::Arc::clone(&common.waker);
        let done = move |ticket, result| {
            let _ = said.send((ticket, result));
            let _ = waker.wake();
        };
        let options = Options {
            capacity_bytes: boot.means.disk_mb << 20,
            checkpoint_after_bytes: 4 << 20,
            max_sync_delay: Duration::from_millis(200),
            ..Options::new("watch")
        };
        let (disk, ledger) = Wal::open::<Ledger>(&dir, options, done)
            .map_err(|e| miette::miette!("{}: {e}", dir.display()))?;
        let losses = boot.losses.machines;
        let settings = GroupSettings::new(at, boot.seeds.clone(), boot.first_start, losses, random_seed());
        let settings = GroupSettings { survives_domain_loss: boot.losses.places(), ..settings };
        let bounds = RequestLimits { max_body_bytes: LARGEST_BODY, ..RequestLimits::default() };
        let control =
            common.net.listen(at, Some(bounds)).map_err(|e| miette::miette!("control address: {e}"))?;
        let now = common.net.now();
        let me = member_of(common.links.local(), 0);
        let registry = Registry::new(me, random_seed(), common.boot.beat_interval_ms, now);
        let group = ControlGroup::new(settings, ledger.0, now);
        tracing::info!(
            blank = group.is_awaiting_view(),
            epoch = group.view().map_or(0, |w| w.epoch),
            "disk read"
        );
        Ok(Core {
            control,
            group,
            disk,
            disk_said,
            registry,
            in_hand: InHand::new(random_seed()),
            told: retirement::Told::default(),
            released: None,
            heard_at: 0,
            common,
        })
    }

    pub fn run(mut self) -> miette::Result<()> {
        loop {
            let now = self.common.net.now();
            let until = self.group.next_tick(now).min(self.registry.next_deadline());
            let (link_events, events) = self.common.poll(until);
            link_events.into_iter().for_each(|link_event| self.link_event(link_event));
            events.into_iter().for_each(|event| self.event(event));
            self.inquiries();
            let now = self.common.net.now();
            self.group.tick(now);
            self.carry_out();
            self.connect();
            self.tell(now);
            self.look_after_retirements(now);
            self.give_up_overdue(now);
            if self.common.take_shutdown_request() {
                self.group.shut_down(now);
                self.carry_out();
            }
            if self.may_end(now) {
                self.common.net.flush();
                self.disk.close();
                return Ok(());
            }
        }
    }

    /// The duty is with another, and calls that are in hand have been answered.
    fn may_end(&mut self, now: Millis) -> bool {
        let Some(since) = self.common.draining_since else { return false };
        let released = self.released.is_some_and(|at| now > at + 400);
        if now > since + 300 {
            self.common.net.stop_listening(self.control);
        }
        (released && self.common.net.requests_in_flight() == 0 && self.in_hand.len() == 0)
            || now > since + self.common.boot.bounds.grace_ms.saturating_sub(1500)
    }

    /// Of two control nodes the one with the lower address opens the connection.
    fn connect(&mut self) {
        if !self.common.take_topology_change() {
            return;
        }
        let me = self.common.boot.ip;
        let mut all: Vec<std::net::Ipv4Addr> = self.common.boot.seeds.iter().map(|s| *s.ip()).collect();
        all.extend(self.group.view().iter().flat_map(|w| w.voters.iter().map(|v| *v.ip())));
        all.extend(self.registry.members.iter().filter(|m| m.role == NodeRole::Control).map(|m| m.ip));
        // One that is no seed is not known to the others: it opens the connections itself.
        let seed = self.common.boot.seeds.iter().any(|s| *s.ip() == me);
        let wanted: Vec<SocketAddrV4> = all
            .into_iter()
            .filter(|ip| {
                *ip > me
                    || (!seed && *ip != me && self.common.links.peers(NodeRole::Control).all(|h| h.ip != *ip))
            })
            .map(|ip| self.common.links.listen_address(ip, NodeRole::Control))
            .collect();
        let now = self.common.net.now();
        self.common.links.set_dial_targets(now, wanted);
    }

    // ---- What is said ----

    fn link_event(&mut self, link_event: LinkEvent) {
        let now = self.common.net.now();
        match link_event {
            LinkEvent::Up(hello) if hello.role == NodeRole::Control => {
                if let Some(control) = hello.control_address {
                    self.group.peer_connected(now, control);
                    self.group.add_learner(control);
                }
                self.registry.peer_connected(now, member_of(&hello, 0));
            }
            LinkEvent::Up(_) => {}
            LinkEvent::Down(node, NodeRole::Control) => {
                let control =
                    self.registry.members.iter().find(|m| m.node == node).and_then(|m| m.control_address);
                if let Some(control) = control {
                    self.group.peer_disconnected(now, control);
                }
                // It may have settled what was passed to it.
                for (place, kind) in self.in_hand.lost(node) {
                    self.said(place, kind.uncertain());
                }
                self.registry.peer_disconnected(node);
            }
            LinkEvent::Down(node, _) => self.registry.session_disconnected(now, node),
            LinkEvent::Received(
                from,
                class,
                Frame::UpdateRequest {
                    incarnation: life,
                    version,
                    config_version: config,
                    retirement: retiring,
                },
            ) if class != NodeRole::Control => {
                if let Some(hello) = self.common.links.peer(from) {
                    let member = Member { retirement: retiring, ..member_of(hello, config) };
                    self.registry.record_poll(now, member, life, version);
                }
            }
            LinkEvent::Received(from, NodeRole::Control, Frame::ControlGroup(signal)) => {
                if let Some(voter) = self.common.links.peer(from).and_then(|h| h.control_address) {
                    self.group.handle_message(now, voter, signal);
                }
            }
            LinkEvent::Received(from, NodeRole::Control, Frame::Sessions(members)) => {
                self.registry.record_peer_sessions(now, from, members)
            }
            LinkEvent::Received(_, NodeRole::Control, Frame::Heartbeats(heartbeats)) => {
                self.registry.merge_peer_heartbeats(now, heartbeats)
            }
            LinkEvent::Received(from, NodeRole::Control, Frame::Forward { request_id: ticket, call }) => {
                let place = self.in_hand.open(now, Origin::Core(from, ticket));
                if let Some(answer) = self.settle_passed(place, call) {
                    self.said(place, answer);
                }
            }
            LinkEvent::Received(
                from,
                NodeRole::Control,
                Frame::ForwardResult { request_id: ticket, status, body },
            ) if self.in_hand.waits_for(ticket, from) => {
                let retry = if status == 503 { vec![("Retry-After", "1".to_string())] } else { Vec::new() };
                self.said(
                    ticket,
                    Response { status, is_json: true, body, headers: retry, close_connection: false },
                );
            }
            LinkEvent::Received(..) => {}
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.common.net.now();
        match event {
            Event::WakeUp => {
                while let Ok((ticket, result)) = self.disk_said.try_recv() {
                    if let Err(error) = &result {
                        tracing::error!(%error, "disk refuses");
                    }
                    self.group.persisted(now, ticket, result.is_ok());
                }
            }
            Event::Request { connection: conn, request, .. } => self.request(conn, &request),
            _ => {}
        }
    }

    fn request(&mut self, conn: ConnectionId, request: &Request) {
        let place = self.in_hand.open(self.common.net.now(), Origin::Client(conn));
        let answer = calls::dispatch::<HeartbeatCall, _>(self, place, request)
            .or_else(|| calls::dispatch::<LeaveCall, _>(self, place, request))
            .or_else(|| calls::dispatch::<ReplaceConfig, _>(self, place, request))
            .or_else(|| calls::dispatch::<ReadConfig, _>(self, place, request))
            .or_else(|| calls::dispatch::<BeginRetirement, _>(self, place, request))
            .or_else(|| calls::dispatch::<ReadRetirement, _>(self, place, request));
        match answer {
            Some(Dispatched::Answered(answer)) => self.said(place, answer),
            Some(Dispatched::Pending) => {}
            None => self.said(place, Response::empty(404)),
        }
    }

    /// A call that another control node passed on.
    fn settle_passed(&mut self, place: u64, call: ForwardedCall) -> Option<Response> {
        match call {
            ForwardedCall::ReplaceConfig { body, .. } => match ReplaceConfig::parse("", &body) {
                Ok(call) => self.handle_call(place, call).map(Response::from),
                Err(reason) => Some(calls::error_response(400, &reason)),
            },
            ForwardedCall::ReadConfig => self.handle_call(place, ReadConfig).map(Response::from),
            ForwardedCall::BeginRetirement { node } => {
                self.handle_call(place, BeginRetirement { node }).map(Response::from)
            }
            ForwardedCall::ReadRetirement { node } => {
                self.handle_call(place, ReadRetirement { node }).map(Response::from)
            }
        }
    }

    fn said(&mut self, place: u64, answer: Response) {
        match self.in_hand.close(place) {
            Some(Origin::Client(conn)) => {
                let close = self.common.draining_since.is_some();
                self.common.net.respond(conn, Response { close_connection: close, ..answer });
            }
            Some(Origin::Core(node, ticket)) => {
                let signal =
                    Frame::ForwardResult { request_id: ticket, status: answer.status, body: answer.body };
                self.common.links.send(&mut self.common.net, node, &signal);
            }
            None => {}
        }
    }

    /// What this node can't settle goes to the one that can, if it is known and there.
    fn pass(&mut self, place: u64, primary: Option<SocketAddrV4>) {
        let to = primary.and_then(|p| self.common.links.node_at_control_address(p));
        let call = to.and_then(|to| self.in_hand.pass(place, to));
        let sent = to.zip(call).is_some_and(|(to, call)| {
            self.common.links.send(&mut self.common.net, to, &Frame::Forward { request_id: place, call })
        });
        if let Some(kind) = self.in_hand.kind(place).filter(|_| !sent) {
            self.said(place, kind.not_now());
        }
    }

    /// The one that was to settle them has said nothing for too long.
    fn give_up_overdue(&mut self, now: Millis) {
        for (place, kind) in self.in_hand.overdue(now) {
            self.said(place, kind.uncertain());
        }
    }

    fn carry_out(&mut self) {
        loop {
            let effects = self.group.take_effects();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.effect(effect));
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Some(node) = self.common.links.node_at_control_address(to) {
                    self.common.links.send(&mut self.common.net, node, &Frame::ControlGroup(message));
                }
            }
            Effect::Persist { ticket, record } => {
                self.disk.append(ticket, vec![disk_records::bytes(&record)], true);
            }
            Effect::Answer { ticket, verdict } => self.answered(ticket, verdict),
            Effect::ReadAnswer { ticket, state } => {
                let settings =
                    state.map_or(ReadConfigReply::Missing, |state| ReadConfigReply::Active(state.body));
                self.said(ticket, settings.into());
            }
            Effect::Committed { .. } => self.committed(),
            Effect::RoleChanged { epoch, change } => {
                tracing::info!(epoch, what = change.as_str(), "control duty")
            }
            Effect::ReadyToExit => self.released = Some(self.common.net.now()),
        }
    }

    /// How an order to the primary ended.
    fn answered(&mut self, place: u64, verdict: Verdict) {
        let Some(kind) = self.in_hand.kind(place) else { return };
        match verdict {
            Verdict::NotPrimary { primary } => self.pass(place, primary),
            Verdict::Uncertain => self.said(place, kind.uncertain()),
            Verdict::NotCommitted => self.said(place, kind.not_now()),
            Verdict::Accepted | Verdict::Unchanged if kind == ForwardedCallKind::BeginRetirement => {
                self.in_hand.await_store(place);
            }
            Verdict::Accepted | Verdict::Unchanged => {
                let answer =
                    self.acknowledged(place, verdict).map_or_else(|| kind.uncertain(), Response::from);
                self.said(place, answer);
            }
        }
    }

    /// What is in force as a change is acknowledged: the one that was sent, or the one by which it was found to be none.
    fn acknowledged(&self, place: u64, verdict: Verdict) -> Option<ReplaceOutcome> {
        let (version, body) = self.in_hand.configuration(place)?;
        if verdict == Verdict::Accepted {
            return Some(ReplaceOutcome::Active(ActiveConfig::new(version, body, true)));
        }
        let held = self.group.state();
        Some(ReplaceOutcome::Active(ActiveConfig::new(held.version, &held.body, body == held.body)))
    }

    /// The replicated value changed: the configuration may have, or which stores are retired.
    fn committed(&mut self) {
        let Some(state) = self.group.committed() else { return };
        let known = self.common.config.as_ref().map_or(0, |config| config.revision);
        if state.version > 0 && state.version != known {
            tracing::info!(version = state.version, "configuration in force");
            self.common.config = Config::read(&state.body).ok().map(std::sync::Arc::new);
        }
    }

    /// A control node in an executor's own zone, where this one is in another: a heartbeat there crosses none. Bare, as an address
    /// and port; a URL is not followed.
    fn near_core(&self, zone: &str) -> Option<String> {
        if self.common.boot.zone == zone {
            return None;
        }
        let near = self.common.links.peers(NodeRole::Control).find(|h| h.zone == zone)?;
        near.control_address.map(|at| at.to_string())
    }

    /// Who is there, and who is told of it.
    fn tell(&mut self, now: Millis) {
        let in_touch = self.group.is_in_contact(now);
        if now >= self.heard_at {
            self.heard_at = now + HEARD;
            for core in self.common.links.nodes_with_role(NodeRole::Control) {
                if let Some(at) = self.common.links.last_heard_at(core) {
                    self.registry.peer_heard(core, at);
                }
            }
        }
        let force = self.group.committed().filter(|state| state.version > 0);
        let force = force.map(|state| (state.version, state.body.as_slice()));
        self.registry.tick(now, in_touch, force);
        for effect in self.registry.take_effects() {
            let (to, signal) = match effect {
                RegistryEffect::SendUpdate { to, update } => (vec![to], Frame::Update(update)),
                RegistryEffect::SendHeartbeats { to, heartbeats } => {
                    (vec![to], Frame::Heartbeats(heartbeats))
                }
                RegistryEffect::BroadcastHeartbeats(heartbeats) => {
                    (self.common.links.nodes_with_role(NodeRole::Control), Frame::Heartbeats(heartbeats))
                }
                RegistryEffect::BroadcastSessions(all) => {
                    (self.common.links.nodes_with_role(NodeRole::Control), Frame::Sessions(all))
                }
            };
            for node in to {
                self.common.links.send(&mut self.common.net, node, &signal);
            }
        }
    }
}

/// Longest body of a call that is read at all; each kind of call has a bound of its own below it.
const LARGEST_BODY: usize = 8 << 20;
/// How often it is looked when other control nodes were heard.
const HEARD: Millis = 200;

fn member_of(hello: &PeerInfo, config: u64) -> Member {
    Member {
        node: hello.node,
        name: hello.name.clone(),
        role: hello.role,
        zone: hello.zone.clone(),
        ip: hello.ip,
        incarnation: hello.incarnation,
        control_address: hello.control_address,
        config_version: config,
        retirement: RetirementState::NotRetiring,
    }
}

impl CallHandler<HeartbeatCall> for Core {
    fn handle_call(&mut self, _: u64, call: HeartbeatCall) -> Option<HeartbeatReply> {
        let now = self.common.net.now();
        let heartbeat_url = self.near_core(&call.zone);
        self.registry.record_heartbeat(
            now,
            Heartbeat {
                id: call.id,
                backend: call.backend,
                address: call.address,
                zone: call.zone,
                capacity: call.capacity,
                state: if call.is_draining { ExecutorState::Draining } else { ExecutorState::Serving },
                warmup_left_ms: call.warmup_left_ms,
                sequence: call.sequence,
                age_ms: 0,
            },
        );
        // Cut off from the others it could not tell them: the executor is to tell another as well.
        let is_recorded = self.group.is_in_contact(now) || !self.registry.is_ready;
        Some(if is_recorded {
            HeartbeatReply::Recorded { heartbeat_url }
        } else {
            HeartbeatReply::Partitioned
        })
    }
}

impl CallHandler<LeaveCall> for Core {
    fn handle_call(&mut self, _: u64, call: LeaveCall) -> Option<Acknowledged> {
        self.registry.deregister_executor(&call.id);
        Some(Acknowledged)
    }
}

impl CallHandler<ReplaceConfig> for Core {
    fn handle_call(&mut self, place: u64, call: ReplaceConfig) -> Option<ReplaceOutcome> {
        let now = self.common.net.now();
        self.in_hand
            .keep(place, ForwardedCall::ReplaceConfig { version: call.version, body: call.body.clone() });
        self.group.replace_configuration(now, place, call.version, call.body);
        self.carry_out();
        None
    }
}

impl CallHandler<ReadConfig> for Core {
    fn handle_call(&mut self, place: u64, _: ReadConfig) -> Option<ReadConfigReply> {
        let now = self.common.net.now();
        self.in_hand.keep(place, ForwardedCall::ReadConfig);
        self.group.read_configuration(now, place);
        self.carry_out();
        None
    }
}
