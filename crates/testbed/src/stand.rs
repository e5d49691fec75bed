//! Stand-ins for tests of the node as a process: executors that follow a script, discovery that tells what it is
//! told to, and the process itself. Plain threads, a few of each; a day under load is played by `play`.

use nix::sys::signal::kill;
pub use nix::sys::signal::Signal;
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a stand-in executor does with a push.
#[derive(Clone, Copy)]
pub enum Act {
    /// Answers with these lines, a piece at a time, after so many milliseconds.
    Lines(u64, &'static [&'static str]),
    /// Answers with this text and keeps the connection.
    Text(&'static str),
    /// The same, and closes it a little later without having said so.
    TextThenClose(&'static str),
    Close,
    Silent,
}

/// What they all do, by the number of the push.
pub type Script = fn(usize) -> Act;

/// One push as an executor has seen it.
pub struct Push {
    pub executor: usize,
    pub connection: usize,
    pub text: String,
}

/// Some executors; all follow one script, by the number of the push over all of them.
#[derive(Default)]
pub struct Fleet {
    pub pushes: Mutex<Vec<Push>>,
    pub connections: AtomicUsize,
    /// Pushes met with silence whose connection the node has ended.
    pub given_up: AtomicUsize,
    /// Connections that are over, by number.
    pub over: Mutex<Vec<usize>>,
}

impl Fleet {
    pub fn start(count: usize, script: Script) -> (Arc<Fleet>, Vec<SocketAddr>) {
        let fleet = Arc::new(Fleet::default());
        let open = |executor| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let (address, fleet) = (listener.local_addr().unwrap(), fleet.clone());
            spawn(move || {
                for stream in listener.incoming() {
                    let (fleet, stream) = (fleet.clone(), stream.unwrap());
                    spawn(move || {
                        let connection = fleet.connections.fetch_add(1, Ordering::SeqCst);
                        fleet.serve(executor, connection, stream, script);
                        fleet.over.lock().unwrap().push(connection);
                    });
                }
            });
            address
        };
        let addresses = (0..count).map(open).collect();
        (fleet, addresses)
    }

    fn serve(&self, executor: usize, connection: usize, mut stream: TcpStream, script: Script) {
        stream.set_nodelay(true).unwrap();
        while let Some((head, body)) = read_message(&mut stream) {
            let number = {
                let mut pushes = self.pushes.lock().unwrap();
                pushes.push(Push { executor, connection, text: format!("{head}{body}") });
                pushes.len() - 1
            };
            match script(number) {
                Act::Lines(after, lines) => {
                    sleep(ms(after));
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for line in lines {
                        let _ = stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes());
                        sleep(ms(2));
                    }
                    let _ = stream.write_all(b"0\r\n\r\n");
                }
                Act::Text(text) => stream.write_all(text.as_bytes()).unwrap(),
                Act::TextThenClose(text) => {
                    stream.write_all(text.as_bytes()).unwrap();
                    return sleep(ms(20));
                }
                Act::Close => return,
                Act::Silent => {
                    let ended = at_end(&mut stream);
                    self.given_up.fetch_add(usize::from(ended), Ordering::SeqCst);
                    return;
                }
            }
        }
    }

    pub fn count(&self) -> usize {
        self.pushes.lock().unwrap().len()
    }
}

/// Reads a head and a body framed by its length; none at the end of the connection.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut held = Vec::new();
    let mut byte = [0];
    while !held.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => held.push(byte[0]),
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
    let head = String::from_utf8(held).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).unwrap()))
}

/// Waits for the other side to end the connection; false if it says something instead, or nothing at all.
pub fn at_end(stream: &mut TcpStream) -> bool {
    loop {
        match stream.read(&mut [0; 16]) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
            Ok(read) => return read == 0,
        }
    }
}

/// A stand-in for discovery: what it tells can be changed while it runs.
#[derive(Default)]
pub struct Discovery {
    /// Version, entries that changed last, and whether they are the whole list.
    told: Mutex<(i64, String, bool)>,
    pub silent: Mutex<bool>,
    pub calls: Mutex<Vec<String>>,
}

impl Discovery {
    pub fn start(entries: String) -> (Arc<Discovery>, SocketAddr) {
        let discovery = Arc::new(Discovery { told: Mutex::new((5, entries, true)), ..Discovery::default() });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, own) = (listener.local_addr().unwrap(), discovery.clone());
        spawn(move || {
            for stream in listener.incoming() {
                let (own, stream) = (own.clone(), stream.unwrap());
                spawn(move || own.serve(stream));
            }
        });
        (discovery, address)
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some((head, _)) = read_message(&mut stream) {
            let path = head.split(' ').nth(1).unwrap().to_string();
            let since = path.split_once("since=").map(|(_, rest)| rest.split('&').next().unwrap());
            let since: i64 = since.map_or(-1, |since| since.parse().unwrap());
            self.calls.lock().unwrap().push(path);
            let start = Instant::now();
            while *self.silent.lock().unwrap()
                || (self.told.lock().unwrap().0 == since && start.elapsed() < ms(300))
            {
                sleep(ms(5));
            }
            let (index, entries, whole) = self.told.lock().unwrap().clone();
            let (entries, whole) = if index == since { (String::new(), false) } else { (entries, whole) };
            let body = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{entries}]}}"#);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn tell(&self, index: i64, whole: bool, entries: String) {
        *self.told.lock().unwrap() = (index, entries, whole);
    }

    pub fn calls(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// A line of the list in domain `a`, of kind `m`.
pub fn entry(name: usize, address: &SocketAddr, status: &str) -> String {
    let address = address.to_string();
    crate::settings::endpoint(&format!("s-{name}"), &address, "a", "m", name, status, 0).to_string()
}

pub fn entries(addresses: &[SocketAddr]) -> String {
    let all: Vec<String> = addresses.iter().enumerate().map(|(n, at)| entry(n, at, "Ready")).collect();
    all.join(",")
}

/// An address where nobody listens. No other listener may be given its port, so it is on a host of its own.
pub fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.2:0").unwrap().local_addr().unwrap()
}

/// Writes a file beside its place and renames it there, so that nobody reads half of it.
fn write_whole(path: &Path, text: &str) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, path)
}

/// The most lines of a log that are kept.
const LOG_LINES: usize = 20_000;

/// A node as a process, ended when it is dropped.
pub struct NodeProcess {
    child: Child,
    operator: Option<PathBuf>,
    pub config: PathBuf,
    pub at: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        if let Some(path) = &self.operator {
            let _ = std::fs::remove_file(path);
        }
    }
}

impl NodeProcess {
    /// The same with an operators' file.
    pub fn start_with(binary: &Path, config: &str, operator: &str) -> Result<NodeProcess, String> {
        NodeProcess::begin_with(Command::new(binary), config, Some(operator), &[])
    }

    /// Starts the program with a configuration of this text, and these variables beside it, and waits until it serves; its log, or
    /// the reason, where it does not.
    pub fn start(binary: &Path, config: &str, env: &[(&str, String)]) -> Result<NodeProcess, String> {
        NodeProcess::begin(Command::new(binary), config, env)
    }

    /// The same with a socket, or any other file, handed in as descriptor 3.
    pub fn inherit(
        binary: &Path,
        config: &str,
        env: &[(&str, String)],
        file: OwnedFd,
    ) -> Result<NodeProcess, String> {
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 3<&0 </dev/null"]).arg(binary);
        command.env("BALANCER_PASSED_SOCKET", "3").stdin(Stdio::from(file));
        NodeProcess::begin(command, config, env)
    }

    /// The same with all that may be had together: an operators' file, a file handed in, and a bound on the files that
    /// it writes, beyond which a write fails. That bound can be set and lifted while it runs.
    pub fn with(
        binary: &Path,
        config: &str,
        operator: Option<&str>,
        env: &[(&str, String)],
        file: Option<OwnedFd>,
        longest_file: Option<u64>,
    ) -> Result<NodeProcess, String> {
        let mut command = Command::new("sh");
        // The signal would end it where a full disk only fails a write.
        let take = if file.is_some() { "exec \"$0\" 3<&0 </dev/null" } else { "exec \"$0\"" };
        let bound = longest_file.map_or(String::new(), |bytes| format!("ulimit -S -f {}; ", bytes / 512));
        command.args(["-c", &format!("trap '' XFSZ; {bound}{take}")]).arg(binary);
        if let Some(file) = file {
            command.env("BALANCER_PASSED_SOCKET", "3").stdin(Stdio::from(file));
        }
        NodeProcess::begin_with(command, config, operator, env)
    }

    fn begin_with(
        command: Command,
        config: &str,
        operator: Option<&str>,
        env: &[(&str, String)],
    ) -> Result<NodeProcess, String> {
        let Some(operator) = operator else { return NodeProcess::begin(command, config, env) };
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let first =
            std::env::temp_dir().join(format!("stileroute-first-{}-{number}.toml", std::process::id()));
        write_whole(&first, operator).map_err(|error| format!("{}: {error}", first.display()))?;
        let mut env = env.to_vec();
        env.push(("STILEROUTE_OPERATOR", first.display().to_string()));
        // One that does not serve leaves no file behind.
        let mut node = NodeProcess::begin(command, config, &env).inspect_err(|_| {
            let _ = std::fs::remove_file(&first);
        })?;
        // From here on the file belongs to the process that reads it.
        node.operator = Some(first);
        Ok(node)
    }

    fn begin(mut command: Command, config: &str, env: &[(&str, String)]) -> Result<NodeProcess, String> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("stileroute-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config).map_err(|error| format!("{}: {error}", path.display()))?;
        let mut child = command
            .env("BALANCER_CONFIG", &path)
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_LISTEN")
            .env_remove("STILEROUTE_OPERATOR")
            .envs(env.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| format!("{}: {error}", command.get_program().to_string_lossy()))?;
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let mut before = Vec::new();
        let serves = lines.find_map(|line| {
            let at = line.split_once(" serves at ").and_then(|(_, rest)| rest.split_once(": "));
            let at = at.and_then(|(at, _)| at.parse().ok());
            before.push(line);
            at
        });
        let at = match serves {
            Some(at) => at,
            None => {
                let _ = child.kill();
                let _ = child.wait();
                let _ = std::fs::remove_file(&path);
                return Err(format!("the node does not serve: {}", before.join("; ")));
            }
        };
        let log = Arc::new(Mutex::new(before));
        let kept = log.clone();
        spawn(move || {
            lines.for_each(|line| {
                if let Ok(mut kept) = kept.lock() {
                    if kept.len() < LOG_LINES {
                        kept.push(line);
                    }
                }
            });
        });
        Ok(NodeProcess { child, operator: None, config: path, at, log })
    }

    /// Sends it a signal; only ever the process that was started here.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(|error| error.to_string())
    }

    /// Replaces a part of its configuration, and has it read again.
    pub fn reload(&self, from: &str, to: &str) -> Result<(), String> {
        let text = std::fs::read_to_string(&self.config).map_err(|error| error.to_string())?;
        if !text.contains(from) {
            return Err(format!("the configuration does not hold '{from}'"));
        }
        std::fs::write(&self.config, text.replacen(from, to, 1)).map_err(|error| error.to_string())?;
        self.signal(Signal::SIGHUP)
    }

    /// Replaces the operators' file by a rename, and has both files read again.
    pub fn replace_operator(&self, text: &str) -> Result<(), String> {
        let path = self.operator.as_ref().ok_or("it has no operators' file")?;
        write_whole(path, text).map_err(|error| error.to_string())?;
        self.signal(Signal::SIGHUP)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The word after some text in its log, if that was logged.
    pub fn said(&self, text: &str) -> Option<String> {
        let log = self.log.lock().ok()?;
        let rest = log.iter().find_map(|line| line.split_once(text).map(|(_, rest)| rest))?;
        rest.split_whitespace().next().map(str::to_string)
    }

    /// Sets or lifts the bound on the files that it writes.
    pub fn bound_files(&self, bytes: Option<u64>) -> Result<(), String> {
        let pid = rustix::process::Pid::from_raw(self.child.id() as i32);
        let limit = rustix::process::Rlimit { current: bytes, maximum: None };
        rustix::process::prlimit(pid, rustix::process::Resource::Fsize, limit)
            .map(|_| ())
            .map_err(|error| format!("its bound on files can't be set: {error}"))
    }

    pub fn logged(&self, word: &str) -> bool {
        self.log.lock().is_ok_and(|log| log.iter().any(|line| line.contains(word)))
    }

    /// Descriptors that it holds now.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end, so long at the most.
    pub fn wait(&mut self, most: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            match self.ended() {
                None if start.elapsed() < most => sleep(ms(5)),
                ended => return ended,
            }
        }
    }
}
