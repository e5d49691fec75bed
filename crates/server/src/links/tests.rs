use super::*;

const STORE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn hello(node: Node, name: &str, role: NodeRole, ip: Ipv4Addr) -> PeerInfo {
    let (name, zone) = (name.to_string(), String::new());
    PeerInfo {
        protocol_version: PROTOCOL_VERSION,
        node,
        name,
        role,
        zone,
        ip,
        incarnation: 1,
        control_address: None,
    }
}

/// An edge that has a connection, and what it makes of the first thing that is said on it.
struct End {
    net: Net,
    links: Links,
}

impl End {
    fn new() -> End {
        let me = hello(1, "edge", NodeRole::Edge, Ipv4Addr::new(10, 0, 0, 1));
        End { net: Net::new(16).unwrap().0, links: Links::new(me, (7300, 7309)) }
    }

    fn hears(&mut self, dialled: Option<SocketAddrV4>, first: &Frame) -> Vec<LinkEvent> {
        let conn = self.net.dial(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9)).unwrap();
        let now = self.net.now();
        self.links.links.insert(conn, Link::new(now, dialled));
        let (bytes, mut words) = (postcard::to_stdvec(first).unwrap(), Vec::new());
        self.links.handle_event(&mut self.net, Event::PeerFrame { connection: conn, bytes }, &mut words);
        words
    }
}

#[test]
fn a_dialed_peer_must_belong_to_its_address() {
    let at = SocketAddrV4::new(STORE, 7301);
    let is_taken = |dialled, said: &PeerInfo| {
        let mut end = End::new();
        let words = end.hears(dialled, &Frame::Hello(said.clone()));
        assert_eq!(words.is_empty(), end.links.undecodable_frames == 1);
        !words.is_empty()
    };
    let store = hello(2, "store", NodeRole::Store, STORE);
    assert!(is_taken(Some(at), &store) && is_taken(None, &store));
    // Another process that has the address by now, or a relay that leads elsewhere.
    assert!(!is_taken(Some(at), &hello(2, "store", NodeRole::Edge, STORE)));
    assert!(!is_taken(Some(at), &hello(3, "other", NodeRole::Store, Ipv4Addr::new(10, 0, 0, 3))));
    // A control node is dialled at the address of its listener for calls, as the seeds tell it.
    let elsewhere = hello(4, "core", NodeRole::Control, Ipv4Addr::new(10, 0, 0, 4));
    let core = PeerInfo { control_address: Some(SocketAddrV4::new(STORE, 80)), ..elsewhere.clone() };
    let at = SocketAddrV4::new(STORE, 7300);
    assert!(is_taken(Some(at), &core) && !is_taken(Some(at), &elsewhere));
    assert!(!is_taken(None, &PeerInfo { protocol_version: PROTOCOL_VERSION + 1, ..store.clone() }));
    assert!(!is_taken(None, &hello(1, "edge", NodeRole::Edge, STORE)), "its own number");
}

#[test]
fn a_node_id_belongs_to_one_name() {
    let mut end = End::new();
    let store = Frame::Hello(hello(2, "store", NodeRole::Store, STORE));
    assert_eq!(end.hears(None, &store).len(), 1);
    // A visitor draws its number; were it taken for the store, the store's connection would end.
    let visitor = Frame::Hello(hello(2, "visitor", NodeRole::CommandLine, Ipv4Addr::UNSPECIFIED));
    assert!(end.hears(None, &visitor).is_empty());
    assert!(end.links.is_up(2));
    // The same name again is the same node, started anew.
    assert!(matches!(end.hears(None, &store)[..], [LinkEvent::Down(2, _), LinkEvent::Up(_)]));
}

#[test]
fn a_frame_before_the_hello_is_not_received() {
    assert!(End::new().hears(None, &Frame::Draining).is_empty());
}
