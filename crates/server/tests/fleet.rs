//! A small system on loopback addresses: one core, two stores, one edge, and an executor played here. Each command that
//! docs/server.md shows is tried on it, as it stands there.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::too_many_lines)]

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

const DOCS: &str = include_str!("../../../docs/server.md");
const CONFIG: &str = r#"{"revision":7,"routes":[
 {"name":"quick","hostname":"quay.example","path_prefix":"/in/","route_type":"deferred","timeout_ms":1500,
  "target_ms":80,"priority":1,"backend":"crane","max_tries":4,"max_wait_s":60,"run_target_ms":1000},
 {"name":"stuck","hostname":"quay.example","path_prefix":"/stuck/","route_type":"deferred","timeout_ms":1500,
  "target_ms":80,"priority":1,"backend":"lock","max_tries":4,"max_wait_s":60,"run_target_ms":1000}],
 "backends":[{"name":"crane"},{"name":"lock","rate_per_s":5}],"limits":{"header_timeout_ms":1000}}"#;

fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    static BEGAN: OnceLock<Instant> = OnceLock::new();
    // For all of it together: where the disk stalls, a sync takes seconds.
    let end = *BEGAN.get_or_init(Instant::now) + Duration::from_secs(28);
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::park_timeout(Duration::from_millis(15));
    }
}

/// Status, head and body of an answer, if there is one.
fn http(at: &str, method: &str, path: &str, headers: &str, body: &str) -> Option<(u16, String, String)> {
    let address: SocketAddr = at.parse().unwrap();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: quay.example\r\nConnection: close\r\n{headers}")
        .ok()?;
    write!(stream, "Content-Length: {length}\r\n\r\n{body}").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, head.to_string(), body.to_string()))
}

/// The folder, the processes and the executor of one test; all of it ends with it.
struct Fleet {
    dir: PathBuf,
    net: String,
    children: Vec<(String, Child)>,
    over: Arc<AtomicBool>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if std::thread::panicking() {
            let status = program().args(["status", "--at", &self.at(1, 17300)]).output().unwrap();
            eprintln!("{}", texts(&status).0);
            self.children.iter().for_each(|(name, _)| eprintln!("{name}:\n{}", self.log(name)));
        }
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stilerouted"));
    command.env_remove("STILEROUTE_BOOT").env_remove("STILEROUTE_LOG").stdin(Stdio::null());
    command
}

fn texts(out: &Output) -> (String, String) {
    (String::from_utf8(out.stdout.clone()).unwrap(), String::from_utf8(out.stderr.clone()).unwrap())
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("stilerouted-{name}-{pid}"));
        fs::create_dir_all(&dir).unwrap();
        let net = format!("127.{}.{}", 64 + pid / 250 % 128, 1 + pid % 250);
        Fleet { dir, net, children: Vec::new(), over: Arc::default() }
    }

    fn at(&self, host: u8, port: u16) -> String {
        format!("{}.{host}:{port}", self.net)
    }

    fn boot(&self, name: &str, host: u8, serves: &str) -> PathBuf {
        let data = self.dir.join(name);
        let bind = match serves {
            "edge" => format!(r#""front":"{}","readiness":"{}""#, self.at(host, 18263), self.at(host, 18268)),
            "control" => format!(r#""control":"{}""#, self.at(host, 18262)),
            _ => String::new(),
        };
        let data = if serves == "edge" { "null".to_string() } else { format!("{data:?}") };
        let text = format!(
            r#"{{"node_name":"{name}","role":"any","machine_class":"any","serves":["{serves}"],"ip":"{}.{host}",
            "zone":"z1","region":"r","zones":{{"z1":"r"}},"bind_addresses":{{{bind}}},"internal_ports":[17300,17315],
            "seed_nodes":["{}"],"first_start":true,"limits":{{"disk_mb":64}},"data_dir":{data},
            "beat_interval_ms":200,"tolerate":{{"machine_losses":1}},"bounds":{{"grace_s":6}}}}"#,
            self.net,
            self.at(1, 18262),
        );
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, text).unwrap();
        path
    }

    fn start(&mut self, name: &str, boot: &Path, words: &[&str]) {
        let log = File::create(self.dir.join(format!("{name}.log"))).unwrap();
        let mut command = program();
        command.arg("--boot").arg(boot).args(words).stdout(Stdio::null()).stderr(log);
        self.children.push((name.to_string(), command.spawn().unwrap()));
    }

    fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap()
    }

    /// Serves the service `crane`, and says so again and again.
    fn executor(&self) {
        let at = self.at(9, 18080);
        let listener = TcpListener::bind(&at).unwrap();
        let serve = move |mut stream: TcpStream| {
            let (mut bytes, mut some) = (Vec::new(), [0; 4096]);
            while let Ok(read) =
                stream.read(&mut some).map_err(drop).and_then(|n| (n > 0).then_some(n).ok_or(()))
            {
                bytes.extend_from_slice(&some[..read]);
                let text = String::from_utf8_lossy(&bytes).to_string();
                let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
                let value = |name: &str| {
                    let line = head.lines().find(|line| line.starts_with(name))?;
                    Some(line.split_once(": ")?.1.to_string())
                };
                let length: usize = value("Content-Length").map_or(0, |n| n.parse().unwrap());
                if body.len() < length {
                    continue;
                }
                bytes.clear();
                let id = value("X-Request-Id").unwrap_or_default();
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nX-Server-Seal: s-{id}\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
            }
        };
        std::thread::spawn(move || {
            listener.incoming().flatten().for_each(|stream| drop(std::thread::spawn(move || serve(stream))));
        });
        let (control, over) = (self.at(1, 18262), Arc::clone(&self.over));
        std::thread::spawn(move || {
            for count in 1.. {
                let body = format!(
                    r#"{{"backend":"crane","address":"{at}","zone":"z1","revision":"v1","capacity":4,
                    "state":"serving","cold_left_ms":0,"call_count":{count}}}"#
                );
                let _ = http(&control, "POST", "/v1/servers/i-crane-1/heartbeat", "", &body);
                if over.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::park_timeout(Duration::from_millis(150));
            }
        });
    }

    /// A line of the docs, with what this fleet has in the place of the examples.
    fn try_line(&self, line: &str, message: &str) -> Output {
        let line = self.own(line, message);
        program().args(line.split(' ').skip(1)).output().unwrap()
    }

    fn own(&self, line: &str, message: &str) -> String {
        line.replace("10.1.0.14:7300", &self.at(1, 17300))
            .replace("10.1.0.12:7301", &self.at(2, 17301))
            .replace("/etc/stileroute/node.json", self.dir.join("store-1.json").to_str().unwrap())
            .replace("/var/lib/stilerouted", self.dir.join("store-1").to_str().unwrap())
            .replace("config.json", self.dir.join("config.json").to_str().unwrap())
            .replace("10.1.0.14:8262", &self.at(1, 18262))
            .replace("9c41d07b.655f3c0000002.2b1f8e06", message)
    }
}

/// The commands in the docs' blocks.
fn shown() -> Vec<&'static str> {
    let mut inside = false;
    let mut lines = Vec::new();
    for line in DOCS.lines() {
        if line.starts_with("```") {
            inside = !inside;
        } else if inside {
            lines.push(line);
        }
    }
    lines
}

#[test]
fn a_system_is_started_asked_and_stopped() {
    let mut fleet = Fleet::new("whole");
    let nodes = [("core-1", 1, "control", "core"), ("store-1", 2, "storage", "store")];
    let nodes = nodes.into_iter().chain([("store-2", 3, "storage", "store"), ("edge-1", 4, "edge", "edge")]);
    let scrape = fleet.at(4, 18299);
    for (name, host, serves, role) in nodes {
        let boot = fleet.boot(name, host, serves);
        let checked = program().args(["check", "boot"]).arg(&boot).output().unwrap();
        assert!(checked.status.success(), "{checked:?}");
        let mut words = if role == "edge" { vec!["--figures", scrape.as_str()] } else { Vec::new() };
        words.push(role);
        fleet.start(name, &boot, &words);
    }
    fleet.executor();
    fs::write(fleet.dir.join("config.json"), CONFIG).unwrap();
    let (control, front, ready) = (fleet.at(1, 18262), fleet.at(4, 18263), fleet.at(4, 18268));
    let is = |status: u16, answer: Option<(u16, String, String)>| answer.filter(|a| a.0 == status);
    let replace = || http(&control, "POST", "/v1/settings/replace", "", CONFIG);
    until("the configuration is taken", || is(200, replace()));
    until("the edge is ready", || is(200, http(&ready, "GET", "/v1/readiness", "", "")));

    // One that runs, and one whose service has no executor.
    let name = |head: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix("X-Queue-Message-Id: "));
        line.unwrap().to_string()
    };
    let send = |path: &str, id: &str| {
        let id = format!("X-Request-Id: {id}\r\n");
        until("a message is taken", || is(202, http(&front, "POST", path, &id, "heavy"))).1
    };
    let (done, stuck) = (name(&send("/in/1", "m-1")), name(&send("/stuck/1", "m-2")));
    let state =
        |id: &str| http(&front, "GET", &format!("/v1/message/{id}"), "", "").map_or(String::new(), |a| a.2);
    until("the message has run", || state(&done).contains("s-m-1").then_some(()));

    // A long configuration is taken; a body beyond the bounds is refused, however fast it comes.
    let long = format!("{}{}", " ".repeat(2 << 20), CONFIG);
    until("a long configuration is taken", || {
        is(200, http(&control, "POST", "/v1/settings/replace", "", &long))
    });
    let told = http(&front, "POST", "/in/1", "X-Request-Id: m-3\r\n", &long);
    assert_eq!(told.map(|answer| answer.0), Some(413));

    // A request that stops half-way is answered, and so is the one behind it in the same bytes.
    let mut slow = TcpStream::connect(&front).unwrap();
    slow.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    slow.write_all(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\nPOST /in/1 HTTP/1.1\r\nHost: qu").unwrap();
    let mut said = String::new();
    slow.read_to_string(&mut said).unwrap();
    assert!(said.starts_with("HTTP/1.1 404 ") && said.contains("HTTP/1.1 408 "), "{said}");

    // Changes of state are logged, messages are not.
    let lines = || ["store-1", "store-2", "edge-1"].map(|name| fleet.log(name).lines().count());
    let before = lines();
    (0..30).for_each(|n| drop(send("/in/more", &format!("n-{n}"))));
    // Where the machine stalls, links break and are logged; thirty messages would be many more lines.
    let more = lines().into_iter().zip(before).map(|(after, before)| after - before).max();
    assert!(more < Some(25), "{}", fleet.log("store-1"));
    assert!(fleet.log("edge-1").contains("control nodes are reachable"), "{}", fleet.log("edge-1"));

    // What the status says, as text and as JSON.
    let text = until("all has run", || {
        let text = texts(&fleet.try_line("stilerouted status --at 10.1.0.14:7300", "")).0;
        let run = text.contains("crane: 0 waiting, 0 out") && text.matches("version 7").count() == 4;
        (run && !text.contains("HEARS NOTHING") && !text.contains("SILENT")).then_some(text)
    });
    for part in
        ["epoch 1", "core-1 leads", "store store-1 in z1", "store store-2", "edge edge-1", "version 7"]
    {
        assert!(text.contains(part), "{part}: {text}");
    }
    for part in ["lock: ", "at most 5/s, tokens by store-", "i-crane-1 at"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let json = texts(&fleet.try_line("stilerouted status --json --at 10.1.0.12:7301", "")).0;
    let json = jzon::parse(&json).unwrap();
    assert_eq!((json["nodes"].len(), json["silent"].len()), (4, 0), "{json}");
    assert!(json["nodes"].members().all(|node| node["version"] == 7), "{json}");
    assert_eq!(json["control"]["epoch"], 1);
    assert!(!json["services"]["crane"]["executors"]["i-crane-1"]["shares"].is_empty(), "{json}");
    assert!(json["services"]["crane"]["repeats"]["first"].as_u64().is_some_and(|n| n > 0), "{json}");

    let traced =
        |id: &str| {
            texts(&fleet.try_line(
                "stilerouted message 9c41d07b.655f3c0000002.2b1f8e06 --at 10.1.0.14:7300 --json",
                id,
            ))
            .0
        };
    until("the end is told to the copy", || {
        let json = jzon::parse(&traced(&done)).unwrap();
        let ends = json["stores"].entries().filter(|(_, t)| t["end"]["seal"] == "s-m-1").count();
        (ends == 2).then_some(())
    });
    let json = jzon::parse(&traced(&stuck)).unwrap();
    let stages: BTreeSet<String> = json["stores"].entries().map(|(_, t)| t["stage"].to_string()).collect();
    assert_eq!(stages, BTreeSet::from(["copy".to_string(), "waiting".to_string()]), "{json}");

    // Orders from the command line: each end has its exit code.
    let file = |name: &str, text: &str| {
        let path = fleet.dir.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let own = file("own.json", CONFIG);
    let other = file("other.json", &CONFIG.replacen("\"max_wait_s\":60", "\"max_wait_s\":61", 1));
    let lower = file("lower.json", &CONFIG.replacen("\"revision\":7", "\"revision\":6", 1));
    let broken = file("broken.json", "{\"routes\":7}");
    let order = |words: &[&str]| {
        let out = program().args(words).args(["--at", &fleet.at(1, 17300)]).output().unwrap();
        (out.status.code(), texts(&out).0)
    };
    for (words, code, part) in [
        (&["apply", &own][..], 0, "revision 7 is in force"),
        (&["apply", &other], 3, "CONFLICT"),
        (&["apply", &lower], 3, "revision 7 is in force, not 6"),
        (&["apply", &broken], 2, ""),
        (&["apply", "/nowhere.json"], 2, ""),
        (&["diff", &own], 0, "revision 7 is in force"),
        (&["diff", &other], 3, "route quick: differs"),
        (&["read"], 0, CONFIG),
        (&["retire", "store-1"], 3, "too few would be left"),
        (&["retire", "store-9"], 2, ""),
        (&["retire", "store-9", "--status"], 2, ""),
        (&["retire", "../x"], 2, ""),
    ] {
        let (told, text) = order(words);
        assert_eq!((told, text.contains(part)), (Some(code), true), "{words:?}: {text}");
    }
    // What the answer of the control node itself says, and the command's JSON.
    let sent = |text: &str| {
        let answer = http(&control, "POST", "/v1/settings/replace", "", text).unwrap();
        assert_eq!(answer.0, 200, "acknowledged, as the operators' pages want it");
        jzon::parse(&answer.2).unwrap()
    };
    let (same, different) = (sent(CONFIG), sent(&fs::read_to_string(&other).unwrap()));
    assert_eq!((same["applied"] == true, different["applied"] == false), (true, true));
    assert_eq!((&same["revision"], &same["digest"]), (&different["revision"], &different["digest"]));
    let json = jzon::parse(&order(&["apply", &other, "--json"]).1).unwrap();
    assert!(
        json["ok"] == false && json["digest"] == same["digest"] && json["sent"] != json["digest"],
        "{json}"
    );

    // The figures of each role, and that the docs explain each of them.
    let mut figures = http(&scrape, "GET", "/metrics", "", "").unwrap().2;
    assert_eq!(http(&scrape, "GET", "/", "", "").unwrap().0, 404);
    for (host, port) in [(1, 17300), (2, 17301), (3, 17301), (4, 17302)] {
        let out = program().args(["figures", "--at", &fleet.at(host, port)]).output().unwrap();
        assert!(out.status.success(), "{out:?}");
        figures += &texts(&out).0;
    }
    let names = figures.lines().filter_map(|line| line.strip_prefix("# HELP ")?.split(' ').next());
    for name in names.collect::<BTreeSet<_>>() {
        assert!(DOCS.contains(&format!("`{name}`")), "docs/server.md says nothing of {name}");
    }
    for part in
        ["stileroute_control_heard 1", "door=\"front\",status=\"202\"} 3", "stileroute_config_version 7"]
    {
        assert!(figures.contains(part), "{part}: {figures}");
    }
    assert!(figures.contains("stileroute_deliveries_total{outcome=\"done\"}"), "{figures}");

    // Each command of the docs: those that ask the system, those that read a file, and the starts that were made above.
    let (mut offline, mut starts) = (Vec::new(), 0);
    for line in shown() {
        match line.split(' ').collect::<Vec<_>>()[..] {
            ["stilerouted", "state", ..] => offline.push(line),
            ["stilerouted", "--boot", _, "core" | "store" | "edge"] => starts += 1,
            ["stilerouted", ..] => {
                let out = fleet.try_line(line, &done);
                assert!(out.status.success(), "{line}: {out:?}");
            }
            ["curl", ref words @ .., url] => {
                let own = fleet.own(url, &done);
                let (at, path) = own.strip_prefix("http://").unwrap().split_once('/').unwrap();
                let method = if words == ["--data-binary", "@config.json"] { "POST" } else { "GET" };
                let (status, _, body) = http(at, method, &format!("/{path}"), "", CONFIG).unwrap();
                assert_eq!((status, body == CONFIG), (200, path.ends_with("read")), "{line}: {body}");
            }
            _ => panic!("not tried: {line}"),
        }
    }
    assert_eq!((offline.len(), starts), (2, 3));

    // A node that hears nothing says so; then all end in order.
    let end = |fleet: &mut Fleet, name: &str| {
        let at = fleet.children.iter().position(|(n, _)| n == name).unwrap();
        let (_, mut child) = fleet.children.swap_remove(at);
        let told = Command::new("kill").arg(child.id().to_string()).status().unwrap();
        assert!(told.success());
        let code = until("the process ends", || child.try_wait().unwrap());
        assert!(code.success(), "{name}: {code}: {}", fleet.log(name));
    };
    end(&mut fleet, "core-1");
    until("the edge hears nothing", || {
        let figures = http(&scrape, "GET", "/metrics", "", "")?.2;
        figures.contains("stileroute_control_heard 0").then_some(())
    });
    // Nobody can say what is in force.
    let out = program().args(["apply", &own, "--at", &fleet.at(4, 17302)]).output().unwrap();
    assert_eq!(out.status.code(), Some(4), "{out:?}");
    ["edge-1", "store-2", "store-1"].into_iter().for_each(|name| end(&mut fleet, name));

    for line in offline {
        let out = fleet.try_line(line, &done);
        assert!(out.status.success(), "{line}: {out:?}");
    }
    let verify = |name: &str| {
        program().args(["state", "verify", "--json"]).arg(fleet.dir.join(name)).output().unwrap()
    };
    let hold = jzon::parse(&texts(&verify("store-1")).0).unwrap();
    let hold = &hold["hold"];
    // With a slow disk an edge may have asked a second store, and a message is there twice.
    let (live, complete) = (hold["live"].as_u64().unwrap(), hold["complete"].as_u64().unwrap());
    assert!(hold["opens"] == true && live >= 1 && complete >= 31, "{hold}");
    let watch = jzon::parse(&texts(&verify("core-1")).0).unwrap();
    assert_eq!((watch["watch"]["epoch"] == 1, watch["watch"]["version"] == 7), (true, true), "{watch}");
    assert_eq!(verify("nothing").status.code(), Some(2));

    // A byte in the midst of what was synced: said, and left as it is.
    let folder = fleet.dir.join("store-1/hold");
    let log = fs::read_dir(&folder).unwrap().flatten().map(|e| e.path());
    let log = log.filter(|p| p.file_name().unwrap().to_string_lossy().starts_with("log-")).max().unwrap();
    let mut bytes = fs::read(&log).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    fs::write(&log, &bytes).unwrap();
    let out = verify("store-1");
    assert_eq!((out.status.code(), fs::read(&log).unwrap() == bytes), (Some(1), true), "{out:?}");
}

#[test]
fn unusable_settings_end_with_2_and_a_line_for_each() {
    let fleet = Fleet::new("settings");
    let boot = fleet.boot("store-1", 2, "storage");
    let good = fs::read_to_string(&boot).unwrap();
    let rows = [
        ("17315", "17301", "internal_ports: must span three ports"),
        ("\"disk_mb\":64", "\"disk_mb\":3", "limits.disk_mb: must be"),
        ("\"machine_losses\":1", "\"machine_losses\":9", "tolerate.machine_losses: must be"),
        ("\"tolerate\":{", "\"tolerate\":{\"zones\":1,", "tolerate.zones: must be less"),
        ("\"data_dir\":\"", "\"data_dir_\":\"", "data_dir: missing, and a store needs it"),
        ("\"beat_interval_ms\":200", "\"beat_interval_ms\":0", "beat_interval_ms: must be"),
        ("\"bounds\":{", "\"bounds\":{\"ceiling_window_s\":0,", "bounds.ceiling_window_s: must be"),
        ("\"limits\":{", "\"limits\":{\"max_open_files\":100,", "limits.max_open_files: must be"),
        ("\"seed_nodes\":[\"", "\"seed_nodes\":[],\"x\":[\"", "seed_nodes: must name"),
        (
            "addresses\":{",
            "addresses\":{\"figures\":\"10.0.0.1:9\"",
            "bind_addresses.figures: must be a loopback",
        ),
        ("\"zone\":\"z1\"", "\"zone\":7", "zone: must be text"),
    ];
    for (of, with, told) in rows {
        assert!(good.contains(of), "{of}");
        fs::write(&boot, good.replacen(of, with, 1)).unwrap();
        let line = format!("{}: {told}", boot.display());
        let run = program().arg("--boot").arg(&boot).arg("store").output().unwrap();
        let (_, said) = texts(&run);
        assert_eq!(
            (run.status.code(), said.starts_with(&line), said.lines().count()),
            (Some(2), true, 1),
            "{said}"
        );
        let check = program().args(["check", "boot"]).arg(&boot).output().unwrap();
        assert_eq!((check.status.code(), texts(&check).0.starts_with(&line)), (Some(2), true), "{check:?}");
    }
    fs::write(&boot, "{}").unwrap();
    let check = program().args(["check", "boot", "--json"]).arg(&boot).output().unwrap();
    assert!(jzon::parse(&texts(&check).0).unwrap()["faults"].len() > 5, "{check:?}");
    fs::write(&boot, CONFIG.replace("\"lock\",\"max", "\"dock\",\"max").replacen("1500", "0", 1)).unwrap();
    let check = program().args(["check", "config"]).arg(&boot).output().unwrap();
    let said = texts(&check).0;
    assert_eq!((check.status.code(), said.lines().count()), (Some(2), 2), "{said}");
    for told in ["routes[0].timeout_ms: must be", "routes[1].backend: no service has the name"] {
        assert!(said.contains(&format!("{}: {told}", boot.display())), "{said}");
    }
    for words in [
        &["--log", "loud", "core"][..],
        &["core"],
        &["status"],
        &["message", "x"],
        &["nonsense"],
        &["--boot", "x", "--figures", "10.0.0.1:1", "edge"],
    ] {
        let out = program().args(words).output().unwrap();
        assert_eq!((out.status.code(), texts(&out).1.is_empty()), (Some(2), false), "{words:?}: {out:?}");
    }
    let nobody = program().args(["status", "--at", &fleet.at(200, 17300)]).output().unwrap();
    assert_eq!((nobody.status.code(), texts(&nobody).1.lines().count()), (Some(1), 1), "{nobody:?}");
}
