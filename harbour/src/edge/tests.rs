use super::*;
use crate::signals::{Hello, PROTOCOL};
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use stileroute_charter::{Boot, Config};
use stileroute_hold::Refusal;

const CONFIG: &[u8] =
    br#"{"revision":7,"routes":[{"name":"quick","hostname":"quay.example","path_prefix":"/in/",
    "route_type":"deferred","timeout_ms":1500,"target_ms":80,"priority":1,"backend":"crane","max_tries":4,
    "max_wait_s":60,"run_target_ms":1000}],"backends":[{"name":"crane"}]}"#;
const BOOT: &str = r#"{"node_name":"edge","role":"any","machine_class":"any","serves":["edge"],"ip":"127.0.0.1",
    "zone":"z","region":"r","zones":{"z":"r"},"bind_addresses":{"front":"127.0.0.1:9","readiness":"127.0.0.1:9"},
    "internal_ports":[9,9],"seed_nodes":["127.0.0.1:1"],"first_start":true,"limits":{"disk_mb":64},"data_dir":null,
    "beat_interval_ms":200,"tolerate":{"machine_losses":1},"bounds":{"grace_s":6}}"#;
/// Of the client, which is not there: answers to it are not looked at.
const CLIENT: ConnId = 999;

/// An edge whose connections with stores are played here: what it says on them is counted by `Links`.
struct Played {
    edge: Edge,
}

impl Played {
    fn new(name: &str) -> Played {
        let file = std::env::temp_dir().join(format!("stileroute-edge-{name}-{}.json", std::process::id()));
        std::fs::write(&file, BOOT).unwrap();
        let mut boot = Boot::read(&file).unwrap();
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        (boot.front, boot.readiness, boot.internal_ports) = (Some(any), Some(any), (0, 0));
        std::fs::remove_file(&file).unwrap();
        let mut common = Common::start(boot, Path::new(""), Class::Edge).unwrap();
        common.config = Some(Arc::new(Config::read(CONFIG).unwrap()));
        Played { edge: Edge::new(common).unwrap() }
    }

    fn happens(&mut self, event: Event) {
        let (mut words, common) = (Vec::new(), &mut self.edge.common);
        common.links.event(&mut common.net, event, &mut words);
        words.into_iter().for_each(|word| self.edge.word(word));
    }

    fn says(&mut self, conn: ConnId, signal: &Signal) {
        let bytes = postcard::to_stdvec(signal).unwrap();
        self.happens(Event::Frame { conn, bytes });
    }

    /// A store's connection opens.
    fn up(&mut self, node: Node, conn: ConnId) {
        self.happens(Event::PeerUp { conn });
        let (name, zone, ip) = (node.to_string(), "z".to_string(), Ipv4Addr::LOCALHOST);
        let hello = Hello {
            protocol: PROTOCOL,
            node,
            name,
            class: Class::Store,
            zone,
            ip,
            life: conn,
            control: None,
        };
        self.says(conn, &Signal::Hello(hello));
    }

    /// A client gives a message, and waits for so long.
    fn take(&mut self, left_ms: u64) {
        let (method, target, host) = ("POST".to_string(), "/in/x".to_string(), "quay.example".to_string());
        let request = Request {
            method,
            target,
            host,
            id: "m".to_string(),
            left_ms: Some(left_ms),
            ..Request::default()
        };
        self.edge.take(CLIENT, request);
    }

    fn told(&self, about: &'static str) -> u64 {
        self.edge.common.links.told.get(&(about, false)).map_or(0, |(frames, _)| *frames)
    }

    fn ticket(&self) -> u64 {
        *self.edge.puts.keys().next().expect("a message in hand")
    }
}

#[test]
fn a_message_that_lost_all_its_stores_is_offered_to_the_first_that_is_back() {
    let mut played = Played::new("back");
    played.up(1, 11);
    played.up(2, 12);
    played.take(10_000);
    let first = played.ticket();
    for conn in [12, 11] {
        played.happens(Event::PeerDown { conn });
    }
    assert_eq!(
        (played.told("taking"), played.edge.figures.uncertain),
        (2, 0),
        "both were asked, and it waits"
    );
    played.up(1, 13);
    // What the store may hold of it is dropped first, and it has a ticket of its own.
    assert_eq!((played.told("taking"), played.told("twice")), (3, 1));
    assert_ne!(played.ticket(), first);
    let name = Key { origin: 1, number: 5 }.name(None);
    played.says(13, &Signal::Taken { ticket: first, result: Ok(name.clone()) });
    assert_eq!(played.edge.figures.taken, 0, "an offer that was given up is kept no more");
    let ticket = played.ticket();
    played.says(13, &Signal::Taken { ticket, result: Ok(name) });
    assert_eq!((played.edge.figures.taken, played.told("twice"), played.edge.puts.len()), (1, 2, 0));
}

#[test]
fn a_message_whose_client_waits_no_longer_is_not_held() {
    let mut played = Played::new("short");
    played.up(1, 11);
    played.take(50);
    let ticket = played.ticket();
    // By the clock that the message was taken by, its time is over.
    let put = played.edge.puts.remove(&ticket).unwrap();
    let mut past = Put::new(put.conn, put.cargo, 0, 0);
    past.tried.push(1);
    played.edge.puts.insert(ticket, past);
    played.happens(Event::PeerDown { conn: 11 });
    assert_eq!((played.edge.figures.uncertain, played.edge.puts.len()), (1, 0));
}

#[test]
fn what_no_store_was_offered_or_kept_is_refused_with_a_promise() {
    let mut played = Played::new("none");
    played.take(10_000);
    played.up(1, 11);
    played.take(10_000);
    let ticket = played.ticket();
    played.says(11, &Signal::Taken { ticket, result: Err(Refusal::NotTaken) });
    assert_eq!(
        (played.edge.figures.refused, played.edge.figures.uncertain, played.edge.puts.len()),
        (2, 0, 0)
    );
}

#[test]
fn an_edge_that_is_to_end_holds_no_message_for_a_store() {
    let mut played = Played::new("ends");
    played.up(1, 11);
    played.take(10_000);
    played.edge.common.leaving_since = Some(0);
    played.happens(Event::PeerDown { conn: 11 });
    assert_eq!((played.edge.figures.uncertain, played.edge.puts.len()), (1, 0));
}
