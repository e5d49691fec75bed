use super::*;

/// An edge and those it has dialled, each in a state of its own at first: how many words were said in all, how often the
/// edge woke for them, and the longest silence that any side heard. `speaks`: the others say something by themselves.
fn a_while(others: u64, speaks: Option<Millis>) -> (u64, u64, Millis) {
    let begin = |n: u64| {
        let (one, other) = (n * 37 % WORD, n * 53 % WORD);
        let here = Keepalive { dialled: true, heard: one, said: other, asked: None };
        (here, Keepalive { dialled: false, heard: other, said: one, asked: None })
    };
    let mut ends: Vec<(Keepalive, Keepalive)> = (0..others).map(begin).collect();
    let (mut words, mut wakes, mut longest) = (0, 0, 0);
    for now in WORD..WORD + 20_000 {
        let look = now % WORD == 123;
        let mut woken = look;
        for (at, (here, there)) in ends.iter_mut().enumerate() {
            if look && here.due(now) {
                longest = longest.max(now - there.heard);
                (here.said, there.heard, words) = (now, now, words + 1);
                here.asked.get_or_insert(now);
                if there.answers(now) {
                    (there.said, words) = (now, words + 1);
                    longest = longest.max(now - here.heard);
                    here.hears(now);
                }
            }
            let own = speaks.is_some_and(|every| (now + at as u64 * 7).is_multiple_of(every));
            if there.due(now) || own {
                longest = longest.max(now - here.heard);
                (there.said, here.heard, words, woken) = (now, now, words + 1, true);
            }
        }
        wakes += u64::from(woken);
    }
    (words, wakes, longest)
}

#[test]
fn words_are_said_together_and_nobody_is_silent_for_long() {
    // Each by its own clock the edge woke 4 times a second for each of the others.
    for others in [1, 24, 100] {
        let (words, wakes, longest) = a_while(others, None);
        assert!(words <= others * 20 * 4, "{others}: {words} words");
        assert!(wakes <= 20 * 2 + 2, "{others}: woken {wakes} times");
        assert!(longest <= SILENCE / 2, "{others}: {longest} ms of silence");
    }
    // Where the others say something the edge still lets them hear of it, and is asked for no more.
    for every in [100, 190, 210, 700] {
        let (words, _, longest) = a_while(24, Some(every));
        assert!(longest <= SILENCE / 2, "{every}: {longest} ms of silence");
        assert!(words <= 24 * 20 * (4 + 1000 / every), "{every}: {words} words");
    }
    // One that never answers is asked again and again, and given up all the same.
    let mut mute = Keepalive::new(true, 0);
    for now in (0..3000).step_by(500).filter(|now| *now > 0) {
        assert!(mute.due(now));
        mute.says(now);
    }
    assert_eq!(mute.silent(), SILENCE);
    // After a sleep of its own, in which it has asked nothing, it asks first.
    let mut slept = Keepalive::new(true, 0);
    assert!(slept.silent() > 5000 && slept.due(5000));
    slept.says(5000);
    assert_eq!(slept.silent(), 5000 + SILENCE - WORD);
    slept.hears(5001);
    assert!(slept.silent() > 60_000);
    assert_eq!(Keepalive::new(false, 0).silent(), SILENCE, "who was dialled hears the other's words");
}

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
        self.links.event(&mut self.net, Event::PeerFrame { connection: conn, bytes }, &mut words);
        words
    }
}

#[test]
fn who_answers_at_an_address_has_to_be_of_it() {
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
fn a_number_belongs_to_one_name() {
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
fn before_it_has_said_who_it_is_nothing_is_heard() {
    assert!(End::new().hears(None, &Frame::Draining).is_empty());
}
