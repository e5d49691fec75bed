use super::*;

const STORE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn peer_info(node: Node, name: &str, role: NodeRole, ip: Ipv4Addr) -> PeerInfo {
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
        confirms_departures: false,
    }
}

/// An edge process under test, which is given the first frame of a connection.
struct Edge {
    net: Net,
    links: Links,
}

impl Edge {
    fn new() -> Edge {
        let me = peer_info(1, "edge", NodeRole::Edge, Ipv4Addr::new(10, 0, 0, 1));
        Edge { net: Net::new(16).unwrap().0, links: Links::new(me, (7300, 7309)) }
    }

    fn receives_first(&mut self, dialed_address: Option<SocketAddrV4>, first: &Frame) -> Vec<LinkEvent> {
        let connection = self.net.dial(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9)).unwrap();
        let now = self.net.now();
        self.links.links.insert(connection, Link::new(now, dialed_address));
        let (bytes, mut link_events) = (postcard::to_stdvec(first).unwrap(), Vec::new());
        self.links.handle_event(&mut self.net, Event::PeerFrame { connection, bytes }, &mut link_events);
        link_events
    }
}

#[test]
fn a_dialed_peer_must_belong_to_its_address() {
    let at = SocketAddrV4::new(STORE, 7301);
    let is_accepted = |dialed_address, peer: &PeerInfo| {
        let mut edge = Edge::new();
        let link_events = edge.receives_first(dialed_address, &Frame::Hello(peer.clone()));
        assert_eq!(link_events.is_empty(), edge.links.undecodable_frames == 1);
        !link_events.is_empty()
    };
    let store = peer_info(2, "store", NodeRole::Store, STORE);
    assert!(is_accepted(Some(at), &store) && is_accepted(None, &store));
    // Another process may own the dialed address by now, or a relay may forward the connection to the wrong process.
    assert!(!is_accepted(Some(at), &peer_info(2, "store", NodeRole::Edge, STORE)));
    assert!(!is_accepted(Some(at), &peer_info(3, "other", NodeRole::Store, Ipv4Addr::new(10, 0, 0, 3))));
    // A control node is dialed at its listener for operators' calls, which is the address in the list of seeds.
    let elsewhere = peer_info(4, "core", NodeRole::Control, Ipv4Addr::new(10, 0, 0, 4));
    let core = PeerInfo { control_address: Some(SocketAddrV4::new(STORE, 80)), ..elsewhere.clone() };
    let at = SocketAddrV4::new(STORE, 7300);
    assert!(is_accepted(Some(at), &core) && !is_accepted(Some(at), &elsewhere));
    assert!(!is_accepted(None, &PeerInfo { protocol_version: PROTOCOL_VERSION + 1, ..store.clone() }));
    assert!(
        !is_accepted(None, &peer_info(1, "edge", NodeRole::Edge, STORE)),
        "a peer with this process's own node identifier is rejected"
    );
}

#[test]
fn a_node_id_belongs_to_one_name() {
    let mut edge = Edge::new();
    let store = Frame::Hello(peer_info(2, "store", NodeRole::Store, STORE));
    assert_eq!(edge.receives_first(None, &store).len(), 1);
    // The command line picks a random node identifier. If it collided with a store's identifier and were accepted,
    // the store's connection would be closed.
    let command_line = Frame::Hello(peer_info(2, "visitor", NodeRole::CommandLine, Ipv4Addr::UNSPECIFIED));
    assert!(edge.receives_first(None, &command_line).is_empty());
    assert!(edge.links.is_up(2));
    // A second connection with a known node name is accepted as that node after a restart, and replaces its connection.
    assert!(matches!(edge.receives_first(None, &store)[..], [LinkEvent::Down(2, _), LinkEvent::Up(_)]));
}

#[test]
fn a_frame_before_the_hello_is_not_received() {
    assert!(Edge::new().receives_first(None, &Frame::Draining).is_empty());
}
