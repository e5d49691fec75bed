//! The fleet: nine processes of `stilerouted`, or large_fleet and one, and those added later, each a machine of its own on loopback.

use crate::disk_stalls::{self, DiskStall};
use crate::relay::{self, Way, Ways};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

pub const FRONT: u16 = 8260;
pub const READINESS: u16 = 8261;
pub const CONTROL: u16 = 8262;
/// Where stores tell their counters.
const FIGURES: u16 = 8263;
/// The ports for traffic between nodes: so many for each machine, which has those of its place.
const INTERNAL: u16 = 7300;
const PORTS: u16 = 16;
pub const BEAT_MS: u64 = 1200;
pub const GRACE: Duration = Duration::from_secs(6);
pub const EACH: usize = 3;

/// How large a fleet is laid out, and what it is to bear.
#[derive(Clone, Copy)]
pub struct Shape {
    pub cores: usize,
    pub stores: usize,
    pub edges: usize,
    pub losses: usize,
    /// Relays stand between any two, so that ways can be cut: a listener for each pair, too many for a large fleet.
    pub ways: bool,
}

pub const NINE: Shape = Shape { cores: EACH, stores: EACH, edges: EACH, losses: 1, ways: true };
pub const LARGE_FLEET: Shape = Shape { cores: 5, stores: 12, edges: 44, losses: 2, ways: false };

impl Shape {
    pub fn of(&self, role: Role) -> usize {
        match role {
            Role::Core => self.cores,
            Role::Store => self.stores,
            Role::Edge => self.edges,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Core,
    Store,
    Edge,
}

impl Role {
    pub const ALL: [Role; 3] = [Role::Core, Role::Store, Role::Edge];

    fn word(self) -> &'static str {
        match self {
            Role::Core => "core",
            Role::Store => "store",
            Role::Edge => "edge",
        }
    }
    fn number(self) -> u8 {
        match self {
            Role::Core => 1,
            Role::Store => 2,
            Role::Edge => 3,
        }
    }
    fn class(self) -> &'static str {
        match self {
            Role::Core => "core",
            Role::Store => "storage",
            Role::Edge => "edge",
        }
    }
    fn serves(self) -> &'static str {
        match self {
            Role::Core => "control",
            Role::Store => "storage",
            Role::Edge => "edge",
        }
    }
}

/// The direction of a cut, as the machine sees it that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Towards {
    Both,
    /// It hears the others, and they don't hear it.
    Others,
    /// It is heard, and hears nothing.
    Itself,
}

struct Machine {
    /// What it runs from its next start on.
    program: PathBuf,
    role: Role,
    at: usize,
    dir: PathBuf,
    child: Option<Child>,
    /// It starts with the whole system, for the first time.
    first: bool,
    /// It was taken away, and never comes back.
    away: bool,
}

impl Machine {
    /// Where it reads when its disk stalls; beside its disk, and not lost with it.
    fn stall_schedule(&self) -> PathBuf {
        self.dir.join("disk-stalls")
    }
}

/// Where operators and executors find control nodes: it changes when one is replaced.
pub type Controls = Arc<Mutex<Vec<SocketAddrV4>>>;

/// Ends what it started when it is dropped.
pub struct Fleet {
    pub program: PathBuf,
    /// Below this folder all that the fleet writes lies.
    pub home: PathBuf,
    pub shape: Shape,
    /// Disks of stores can stall: the program has to be a build with the feature `stalled-disk`.
    pub has_disk_stalls: bool,
    net: u8,
    machines: Vec<Machine>,
    seeds: Vec<SocketAddrV4>,
    controls: Controls,
    /// By the two places, who says first.
    ways: HashMap<(usize, usize), Way>,
    over: Way,
}

pub type Plain<T> = Result<T, String>;

impl Fleet {
    /// Lays out the machines; none runs yet. All addresses are in 127.`net`.
    pub fn lay_out(program: &Path, home: PathBuf, net: u8, shape: Shape) -> Plain<Fleet> {
        if !program.is_file() {
            return Err(format!("{}: no such program, build it first", program.display()));
        }
        let seeds =
            (0..shape.cores).map(|at| SocketAddrV4::new(address(net, Role::Core, at), CONTROL)).collect();
        let controls = Arc::new(Mutex::new(Vec::new()));
        let (over, ways) = (Way::default(), HashMap::new());
        let program = program.to_path_buf();
        let mut fleet = Fleet {
            program,
            home,
            shape,
            has_disk_stalls: false,
            net,
            machines: Vec::new(),
            seeds,
            controls,
            ways,
            over,
        };
        for role in Role::ALL {
            for at in 0..shape.of(role) {
                fleet.add(role, at, true)?;
            }
        }
        Ok(fleet)
    }

    /// One more machine, with an empty disk; it does not run yet.
    pub fn add(&mut self, role: Role, at: usize, first: bool) -> Plain<()> {
        let dir = self.home.join(self.name(role, at));
        fs::create_dir_all(dir.join("data")).map_err(|e| format!("{}: {e}", dir.display()))?;
        let own = self.internal(self.machines.len(), role, at);
        let port = match role {
            Role::Core => CONTROL,
            Role::Store => own.port(),
            Role::Edge => FRONT,
        };
        let front = SocketAddrV4::new(self.ip(role, at), port);
        TcpListener::bind(front).map_err(|e| format!("{front}: {e}; another fleet may run"))?;
        let here = self.machines.len();
        for there in 0..if self.shape.ways { here } else { 0 } {
            let (other, of) = (self.machines[there].role, self.machines[there].at);
            let ways = Ways { out: Way::default(), back: Way::default() };
            // Nobody dials an edge.
            if other != Role::Edge {
                let to = self.internal(there, other, of);
                relay::stand_in(self.internal(here, other, of), to, &ways, &self.over)?;
            }
            if role != Role::Edge {
                let turned = Ways { out: Arc::clone(&ways.back), back: Arc::clone(&ways.out) };
                relay::stand_in(self.internal(there, role, at), own, &turned, &self.over)?;
            }
            self.ways.insert((here, there), ways.out);
            self.ways.insert((there, here), ways.back);
        }
        let program = self.program.clone();
        self.machines.push(Machine { program, role, at, dir, child: None, first, away: false });
        if role == Role::Core {
            let control = SocketAddrV4::new(self.ip(role, at), CONTROL);
            self.controls.lock().unwrap_or_else(PoisonError::into_inner).push(control);
        }
        Ok(())
    }

    /// Where the machine at a place finds another.
    fn internal(&self, place: usize, role: Role, at: usize) -> SocketAddrV4 {
        let step = u16::from(role.number()) - 1;
        SocketAddrV4::new(self.ip(role, at), self.first_port(place) + step)
    }

    /// With no relays between them all use the same ports, each at its own address.
    fn first_port(&self, place: usize) -> u16 {
        INTERNAL + if self.shape.ways { PORTS * place as u16 } else { 0 }
    }

    fn place(&self, role: Role, at: usize) -> usize {
        self.machines.iter().position(|m| (m.role, m.at) == (role, at)).unwrap_or(0)
    }

    /// Cuts a machine off from all others of some roles, or heals that.
    pub fn cut(&self, role: Role, at: usize, from: &[Role], apart: bool) {
        self.cut_towards(role, at, from, Towards::Both, apart);
    }

    /// The same for one direction alone.
    pub fn cut_towards(&self, role: Role, at: usize, from: &[Role], towards: Towards, apart: bool) {
        let here = self.place(role, at);
        for ((says, hears), way) in &self.ways {
            let (outwards, inwards) = (*says == here, *hears == here);
            let meant = match towards {
                Towards::Both => outwards || inwards,
                Towards::Others => outwards,
                Towards::Itself => inwards,
            };
            let far = if outwards { *hears } else { *says };
            if meant && from.contains(&self.machines[far].role) {
                way.store(apart, Ordering::Relaxed);
            }
        }
    }

    /// All machines of one place lose contact with all others, or get it back.
    pub fn halve(&self, place: usize, apart: bool) {
        for ((says, hears), way) in &self.ways {
            if (self.machines[*says].at == place) != (self.machines[*hears].at == place) {
                way.store(apart, Ordering::Relaxed);
            }
        }
    }

    /// Kills a machine, which never comes back, nor its disk; operators and executors look for it no more.
    pub fn take_away(&mut self, role: Role, at: usize) -> Plain<()> {
        self.kill(role, at);
        self.wipe(role, at)?;
        self.find(role, at).away = true;
        let ip = self.ip(role, at);
        let mut controls = self.controls.lock().unwrap_or_else(PoisonError::into_inner);
        controls.retain(|control| role != Role::Core || *control.ip() != ip);
        Ok(())
    }

    pub fn name(&self, role: Role, at: usize) -> String {
        format!("{}-{}", role.word(), at + 1)
    }
    pub fn ip(&self, role: Role, at: usize) -> Ipv4Addr {
        address(self.net, role, at)
    }
    /// An address for a stand-in.
    pub fn outside(&self, part: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 9, part), port)
    }
    pub fn controls(&self) -> Controls {
        Arc::clone(&self.controls)
    }
    /// How many machines of a role were laid out or added, those that were taken away among them.
    pub fn count(&self, role: Role) -> usize {
        self.machines.iter().filter(|machine| machine.role == role).count()
    }
    /// Machines of a role that were not taken away.
    pub fn here(&self, role: Role) -> Vec<usize> {
        self.machines.iter().filter(|m| m.role == role && !m.away).map(|m| m.at).collect()
    }
    pub fn fronts(&self) -> Vec<SocketAddrV4> {
        (0..self.shape.edges).map(|at| SocketAddrV4::new(self.ip(Role::Edge, at), FRONT)).collect()
    }
    pub fn readiness(&self) -> Vec<SocketAddrV4> {
        (0..self.shape.edges).map(|at| SocketAddrV4::new(self.ip(Role::Edge, at), READINESS)).collect()
    }

    /// Where operators and executors call a control node.
    pub fn control(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Core, at), CONTROL)
    }

    /// The internal address of a control node, for `stilerouted status --at`.
    pub fn status_address(&self) -> SocketAddrV4 {
        self.internal(self.place(Role::Core, 0), Role::Core, 0)
    }
    /// What lies in the data folder of a machine, in bytes.
    pub fn disk_bytes(&self, role: Role, at: usize) -> u64 {
        folder_bytes(&self.home.join(self.name(role, at)).join("data"))
    }

    pub fn figures(&self, store: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(Role::Store, store), FIGURES)
    }

    fn boot(&self, machine: &Machine) -> serde_json::Value {
        let ip = self.ip(machine.role, machine.at);
        let zone = |at: usize| format!("quay-{}", at % EACH + 1);
        let first = self.first_port(self.place(machine.role, machine.at));
        let zones: serde_json::Map<String, serde_json::Value> =
            (0..EACH).map(|at| (zone(at), json!("bay"))).collect();
        let bind = match machine.role {
            Role::Core => json!({"control": format!("{ip}:{CONTROL}")}),
            Role::Store => json!({"figures": format!("{ip}:{FIGURES}")}),
            Role::Edge => json!({"front": format!("{ip}:{FRONT}"), "readiness": format!("{ip}:{READINESS}")}),
        };
        let data = (machine.role != Role::Edge).then(|| machine.dir.join("data"));
        json!({
            "node_name": self.name(machine.role, machine.at),
            "role": machine.role.word(),
            "machine_class": machine.role.class(),
            "serves": [machine.role.serves()],
            "ip": ip.to_string(),
            "zone": zone(machine.at),
            "region": "bay",
            "zones": zones,
            "bind_addresses": bind,
            "internal_ports": [first, first + PORTS - 1],
            "seed_nodes": self.seeds.iter().map(|c| c.to_string()).collect::<Vec<_>>(),
            "first_start": machine.first,
            "counted": machine.role != Role::Edge,
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 256, "max_open_files": 4096,
                       "bandwidth_mbps": 1000.0, "disk_mb": if data.is_some() { 512 } else { 0 }},
            "data_dir": data,
            "beat_interval_ms": BEAT_MS,
            "tolerate": {"machine_losses": self.shape.losses, "zones": 0, "region_losses": 0},
            "bounds": {"grace_s": GRACE.as_secs(), "status_s": 600}
        })
    }

    fn find(&mut self, role: Role, at: usize) -> &mut Machine {
        let place = self.place(role, at);
        &mut self.machines[place]
    }

    /// A machine runs another program from its next start on.
    pub fn set_program(&mut self, role: Role, at: usize, program: &Path) {
        self.find(role, at).program = program.to_path_buf();
    }

    pub fn start(&mut self, role: Role, at: usize) -> Plain<()> {
        let place = self.place(role, at);
        let boot = self.boot(&self.machines[place]);
        let machine = &mut self.machines[place];
        let program = machine.program.clone();
        let stalls = (self.has_disk_stalls && role == Role::Store).then(|| machine.stall_schedule());
        let file = machine.dir.join("node.json");
        let said = |e: std::io::Error| format!("{}: {e}", program.display());
        fs::write(&file, boot.to_string()).map_err(said)?;
        let log = File::options().create(true).append(true).open(machine.dir.join("log")).map_err(said)?;
        let mut command = Command::new(&program);
        command.arg(role.word()).env("STILEROUTE_BOOT", &file).stdin(Stdio::null());
        if let Some(schedule) = stalls {
            if !schedule.exists() {
                disk_stalls::write_none(&schedule)?;
            }
            command.env(disk_stalls::SCHEDULE_VARIABLE, schedule);
        }
        command.stdout(log.try_clone().map_err(said)?).stderr(log);
        // SAFETY: only a system call is made between fork and exec. A process must not outlive who started it.
        unsafe {
            command.pre_exec(|| Ok(nix::sys::prctl::set_pdeathsig(Signal::SIGKILL)?));
        }
        machine.child = Some(command.spawn().map_err(said)?);
        machine.first = false;
        Ok(())
    }

    pub fn start_all(&mut self) -> Plain<()> {
        for role in Role::ALL {
            self.here(role).into_iter().try_for_each(|at| self.start(role, at))?;
        }
        Ok(())
    }

    /// Kills a process; it is gone when this returns.
    pub fn kill(&mut self, role: Role, at: usize) {
        if let Some(mut child) = self.find(role, at).child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a process where it stands, or lets it go on.
    pub fn stall(&mut self, role: Role, at: usize, stands: bool) {
        let signal = if stands { Signal::SIGSTOP } else { Signal::SIGCONT };
        if let Some(child) = &self.find(role, at).child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Disks of stores stall, as it says, from now on.
    pub fn stall_disks(&mut self, stall: &DiskStall) -> Plain<()> {
        stall.stores.iter().try_for_each(|at| stall.write(&self.find(Role::Store, *at).stall_schedule()))
    }

    /// Asks a process to read its settings again.
    pub fn hang_up(&mut self, role: Role, at: usize) {
        if let Some(child) = &self.find(role, at).child {
            let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGHUP);
        }
    }

    pub fn kill_all(&mut self) {
        for child in self.machines.iter_mut().filter_map(|m| m.child.as_mut()) {
            let _ = child.kill();
        }
        for mut child in self.machines.iter_mut().filter_map(|m| m.child.take()) {
            let _ = child.wait();
        }
    }

    pub fn wipe(&mut self, role: Role, at: usize) -> Plain<()> {
        let data = self.find(role, at).dir.join("data");
        fs::remove_dir_all(&data).and_then(|()| fs::create_dir_all(&data)).map_err(|e| e.to_string())
    }

    /// Asks a process to end, and gives how long it took; none where it had to be killed.
    pub fn stop(&mut self, role: Role, at: usize) -> Option<Duration> {
        let mut child = self.find(role, at).child.take()?;
        let begun = Instant::now();
        term(&child);
        while begun.elapsed() < GRACE {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return Some(begun.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        None
    }

    pub fn stop_all(&mut self) {
        self.machines.iter().filter_map(|m| m.child.as_ref()).for_each(term);
        let begun = Instant::now();
        let ended = |m: &mut Machine| m.child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))));
        while begun.elapsed() < GRACE && !self.machines.iter_mut().all(ended) {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill_all();
    }

    /// A process that has ended though nobody asked it to.
    pub fn fallen(&mut self) -> Option<String> {
        for machine in &mut self.machines {
            let Some(child) = &mut machine.child else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                let name = format!("{}-{}", machine.role.word(), machine.at + 1);
                return Some(format!("{name} ended by itself: {status}"));
            }
        }
        None
    }

    /// The control node that leads, as the last of them to take the duty says in its log.
    pub fn primary(&self) -> Option<usize> {
        let mut found: Option<(u64, usize)> = None;
        for at in self.here(Role::Core) {
            let log = self.home.join(self.name(Role::Core, at)).join("log");
            let text = fs::read_to_string(log).unwrap_or_default();
            let became_primary = |line: &&str| BECAME_PRIMARY.iter().any(|words| line.contains(words));
            for line in text.lines().filter(became_primary) {
                let epoch = line.split("epoch=").nth(1).and_then(|rest| rest.split(' ').next());
                let epoch = epoch.and_then(|text| text.parse().ok()).unwrap_or(0);
                found = found.max(Some((epoch, at)));
            }
        }
        found.map(|(_, at)| at)
    }
}

/// What a control node's log says when it becomes primary: by this program, and by those before it, from which a fleet is upgraded.
const BECAME_PRIMARY: [&str; 2] = ["what=\"became primary\"", "what=\"leads\""];

fn address(net: u8, role: Role, at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, role.number(), at as u8 + 1)
}

fn folder_bytes(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let bytes = |entry: fs::DirEntry| match entry.metadata() {
        Ok(about) if about.is_dir() => folder_bytes(&entry.path()),
        Ok(about) => about.len(),
        Err(_) => 0,
    };
    entries.map(bytes).sum()
}

fn term(child: &Child) {
    let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM);
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.kill_all();
    }
}
