//! What the machine bears, and whether it was short of anything: a verdict on the program is none where the machine
//! failed it.

use std::collections::BTreeMap;
use std::path::Path;

/// The most threads that a node of a calm day was seen to have: one for each connection, and seven.
const THREADS_EACH: usize = 64;
/// Descriptors of the rig for each node: its log, its client's connections, its watch, those to executors.
const DESCRIPTORS_EACH: usize = 16;

fn number(path: &str) -> Option<usize> {
    std::fs::read_to_string(path).ok()?.trim().parse().ok()
}

/// Threads that may exist on this machine, and how many do.
fn threads() -> (usize, usize) {
    let bounds = ["/proc/sys/kernel/pid_max", "/proc/sys/kernel/threads-max", "/sys/fs/cgroup/pids.max"];
    let most = bounds.into_iter().filter_map(number).min().unwrap_or(32_768);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let tasks =
        load.split(' ').nth(3).and_then(|pair| pair.split_once('/')).and_then(|(_, all)| all.parse().ok());
    (most, tasks.unwrap_or(0))
}

/// Whether so many nodes can be played here; the reason where not.
pub fn bears(nodes: usize) -> Result<(), String> {
    let (most, now) = threads();
    let room = most.saturating_sub(now) / THREADS_EACH;
    if nodes > room {
        return Err(format!(
            "{nodes} processes are more than this machine bears: {most} threads may exist, {now} do, and a node may \
             take {THREADS_EACH}: {room} at most"
        ));
    }
    let descriptors = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
    let descriptors = descriptors.map_or(1024, |(soft, _)| soft as usize);
    let room = descriptors.saturating_sub(200) / DESCRIPTORS_EACH;
    if nodes > room {
        return Err(format!(
            "{nodes} processes are more than this machine bears: {descriptors} descriptors for the rig, and a node may \
             take {DESCRIPTORS_EACH}: {room} at most"
        ));
    }
    Ok(())
}

/// What a line of a node's log says that the machine was short of.
pub fn short_of(line: &str) -> Option<&'static str> {
    // The numbers are Linux' own: EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRINUSE, EADDRNOTAVAIL, ENOBUFS.
    const WORDS: [(&str, &str); 7] = [
        ("(os error 11)", "threads"),
        ("(os error 12)", "memory"),
        ("(os error 23)", "descriptors"),
        ("(os error 24)", "descriptors"),
        ("(os error 98)", "ports"),
        ("(os error 99)", "ports"),
        ("(os error 105)", "socket buffers"),
    ];
    // What a node may use is its own bound, and its own to keep to.
    let own = line.contains("no-descriptor") || line.contains("no-buffer");
    WORDS.into_iter().find(|(word, _)| !own && line.contains(word)).map(|(_, what)| what)
}

/// What one process has now: threads by name, and how long its first thread has waited for a core, and how often.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Process {
    pub threads: BTreeMap<String, usize>,
    pub waited_ns: u64,
    pub turns: u64,
}

pub fn look(pid: u32) -> Option<Process> {
    let folder = format!("/proc/{pid}");
    let mut process = Process::default();
    for task in std::fs::read_dir(Path::new(&folder).join("task")).ok()?.flatten() {
        let name = std::fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        *process.threads.entry(name.trim().to_string()).or_default() += 1;
    }
    let stat = std::fs::read_to_string(format!("{folder}/schedstat")).unwrap_or_default();
    let mut fields = stat.split_whitespace().skip(1).filter_map(|field| field.parse().ok());
    (process.waited_ns, process.turns) = (fields.next()?, fields.next()?);
    Some(process)
}

/// All nodes at once, as it was looked at several times.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    most: usize,
    of_one: usize,
    by_name: BTreeMap<String, usize>,
    nodes: usize,
    waited_ns: u64,
    turns: u64,
}

/// A node's first thread waits so long for a core on average: the machine has none to give.
const WAITS_MS: f64 = 8.0;

impl Seen {
    pub fn add(&mut self, all: &[Process]) {
        let sum = |process: &Process| process.threads.values().sum::<usize>();
        let now: usize = all.iter().map(sum).sum();
        self.of_one = self.of_one.max(all.iter().map(sum).max().unwrap_or(0));
        if now > self.most {
            (self.most, self.nodes) = (now, all.len());
            self.by_name = BTreeMap::new();
            for (name, count) in all.iter().flat_map(|process| &process.threads) {
                *self.by_name.entry(name.clone()).or_default() += count;
            }
        }
        self.waited_ns = all.iter().map(|process| process.waited_ns).sum();
        self.turns = all.iter().map(|process| process.turns).sum();
    }

    /// How long a turn of a node's first thread waited for a core, in milliseconds.
    pub fn waits_ms(&self) -> f64 {
        self.waited_ns as f64 / self.turns.max(1) as f64 / 1e6
    }

    pub fn short(&self) -> Option<String> {
        (self.waits_ms() > WAITS_MS)
            .then(|| format!("CPU: the nodes waited {:.1} ms for a core on average", self.waits_ms()))
    }

    pub fn line(&self) -> String {
        let each = |count: usize| count as f64 / self.nodes.max(1) as f64;
        let names: Vec<String> =
            self.by_name.iter().map(|(name, count)| format!("{name} {:.1}", each(*count))).collect();
        format!(
            "threads: {} of {} nodes at most, {:.1} each, {} of one; by name and node: {}; a turn waited {:.2} ms for a core",
            self.most,
            self.nodes,
            each(self.most),
            self.of_one,
            names.join(", "),
            self.waits_ms()
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_the_machine_lacks_is_told_from_what_the_program_did() {
        let cases = [
            ("no thread for a connection: Resource temporarily unavailable (os error 11)", Some("threads")),
            ("listen: 127.0.0.1:9: Address already in use (os error 98)", Some("ports")),
            ("accept: Too many open files (os error 24)", Some("descriptors")),
            ("executor 127.0.0.1:9: connection 3 ended: reset", None),
            ("op 7 nacked: no place", None),
        ];
        for (line, expected) in cases {
            assert_eq!(short_of(line), expected, "{line}");
        }
        assert!(bears(1).is_ok());
        let reason = bears(1_000_000).unwrap_err();
        assert!(reason.contains("more than this machine bears"), "{reason}");
    }

    #[test]
    fn nodes_that_wait_for_a_core_leave_no_verdict() {
        let process = |waited_ns| Process { waited_ns, turns: 100, threads: [("a".to_string(), 3)].into() };
        let mut seen = Seen::default();
        seen.add(&[process(100_000_000), process(100_000_000)]);
        assert!(seen.short().is_none() && seen.line().contains("6 of 2 nodes"), "{}", seen.line());
        seen.add(&[process(3_000_000_000), process(100_000_000)]);
        assert!(seen.short().unwrap().starts_with("CPU"));
    }
}
