//! The fleet: nine processes of `harbour`, each a machine of its own on loopback.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const FRONT: u16 = 8260;
pub const READINESS: u16 = 8261;
pub const CONTROL: u16 = 8262;
const INTERNAL: (u16, u16) = (7300, 7315);
pub const BEAT_MS: u64 = 1200;
pub const GRACE: Duration = Duration::from_secs(6);
pub const EACH: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Core,
    Store,
    Edge,
}

impl Role {
    const ALL: [Role; 3] = [Role::Core, Role::Store, Role::Edge];

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

struct Machine {
    role: Role,
    at: usize,
    dir: PathBuf,
    child: Option<Child>,
    lives: u32,
}

/// Ends what it started when it is dropped.
pub struct Fleet {
    program: PathBuf,
    /// Below this folder all that the fleet writes lies.
    pub home: PathBuf,
    net: u8,
    machines: Vec<Machine>,
}

pub type Plain<T> = Result<T, String>;

impl Fleet {
    /// Lays out nine machines; none runs yet. All addresses are in 127.`net`.
    pub fn lay_out(program: &Path, home: PathBuf, net: u8) -> Plain<Fleet> {
        if !program.is_file() {
            return Err(format!("{}: no such program, build it first", program.display()));
        }
        let mut fleet = Fleet { program: program.to_path_buf(), home, net, machines: Vec::new() };
        for role in Role::ALL {
            for at in 0..EACH {
                let dir = fleet.home.join(fleet.name(role, at));
                fs::create_dir_all(dir.join("data")).map_err(|e| format!("{}: {e}", dir.display()))?;
                fleet.machines.push(Machine { role, at, dir, child: None, lives: 0 });
                let port = match role {
                    Role::Core => CONTROL,
                    Role::Store => INTERNAL.0 + 1,
                    Role::Edge => FRONT,
                };
                let address = SocketAddrV4::new(fleet.ip(role, at), port);
                TcpListener::bind(address).map_err(|e| format!("{address}: {e}; another fleet may run"))?;
            }
        }
        Ok(fleet)
    }

    fn name(&self, role: Role, at: usize) -> String {
        format!("{}-{}", role.word(), at + 1)
    }
    pub fn ip(&self, role: Role, at: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, role.number(), at as u8 + 1)
    }
    /// An address for a stand-in.
    pub fn outside(&self, part: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 9, part), port)
    }
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (0..EACH).map(|at| SocketAddrV4::new(self.ip(Role::Core, at), CONTROL)).collect()
    }
    pub fn fronts(&self) -> Vec<SocketAddrV4> {
        (0..EACH).map(|at| SocketAddrV4::new(self.ip(Role::Edge, at), FRONT)).collect()
    }
    pub fn readiness(&self) -> Vec<SocketAddrV4> {
        (0..EACH).map(|at| SocketAddrV4::new(self.ip(Role::Edge, at), READINESS)).collect()
    }

    fn boot(&self, machine: &Machine) -> serde_json::Value {
        let ip = self.ip(machine.role, machine.at);
        let zone = |at: usize| format!("quay-{}", at + 1);
        let zones: serde_json::Map<String, serde_json::Value> =
            (0..EACH).map(|at| (zone(at), json!("bay"))).collect();
        let bind = match machine.role {
            Role::Core => json!({"control": format!("{ip}:{CONTROL}")}),
            Role::Store => json!({}),
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
            "internal_ports": [INTERNAL.0, INTERNAL.1],
            "seed_nodes": self.controls().iter().map(|c| c.to_string()).collect::<Vec<_>>(),
            "first_start": machine.lives == 0,
            "counted": machine.role != Role::Edge,
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 256, "max_open_files": 4096,
                       "bandwidth_mbps": 1000.0, "disk_mb": if data.is_some() { 512 } else { 0 }},
            "data_dir": data,
            "beat_interval_ms": BEAT_MS,
            "tolerate": {"machine_losses": 1, "zones": 0, "region_losses": 0},
            "bounds": {"grace_s": GRACE.as_secs(), "status_s": 600}
        })
    }

    fn find(&mut self, role: Role, at: usize) -> &mut Machine {
        let place = self.machines.iter().position(|m| (m.role, m.at) == (role, at));
        &mut self.machines[place.unwrap_or(0)]
    }

    pub fn start(&mut self, role: Role, at: usize) -> Plain<()> {
        let program = self.program.clone();
        let place = self.machines.iter().position(|m| (m.role, m.at) == (role, at)).unwrap_or(0);
        let boot = self.boot(&self.machines[place]);
        let machine = &mut self.machines[place];
        let file = machine.dir.join("node.json");
        let said = |e: std::io::Error| format!("{}: {e}", program.display());
        fs::write(&file, boot.to_string()).map_err(said)?;
        let log = File::options().create(true).append(true).open(machine.dir.join("log")).map_err(said)?;
        let mut command = Command::new(&program);
        command.arg(role.word()).env("STILEROUTE_BOOT", &file).stdin(Stdio::null());
        command.stdout(log.try_clone().map_err(said)?).stderr(log);
        // SAFETY: only a system call is made between fork and exec. A process must not outlive who started it.
        unsafe {
            command.pre_exec(|| Ok(nix::sys::prctl::set_pdeathsig(Signal::SIGKILL)?));
        }
        machine.child = Some(command.spawn().map_err(said)?);
        machine.lives += 1;
        Ok(())
    }

    pub fn start_all(&mut self) -> Plain<()> {
        Role::ALL.into_iter().try_for_each(|role| (0..EACH).try_for_each(|at| self.start(role, at)))
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
        for at in 0..EACH {
            let log = self.home.join(self.name(Role::Core, at)).join("log");
            let text = fs::read_to_string(log).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains("what=\"leads\"")) {
                let epoch = line.split("epoch=").nth(1).and_then(|rest| rest.split(' ').next());
                let epoch = epoch.and_then(|text| text.parse().ok()).unwrap_or(0);
                found = found.max(Some((epoch, at)));
            }
        }
        found.map(|(_, at)| at)
    }
}

fn term(child: &Child) {
    let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM);
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}
