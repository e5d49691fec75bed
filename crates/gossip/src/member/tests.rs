use super::*;
use crate::table::Table;
use std::net::Ipv4Addr;

/// Returns an entry with this machine's own address and the identifier as its port.
pub fn entry(id: u64, incarnation: u64, state: State) -> Entry {
    Entry {
        id,
        incarnation,
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, id as u16),
        domain: (id % 2) as u8,
        state,
        suspected_by: 0,
    }
}

#[test]
fn a_replay_is_distinguished_from_a_late_message() {
    let mut table = Table::default();
    table.apply(0, entry(1, 7, State::Alive), Evidence::Itself);
    let member = table.members.get_mut(&1).unwrap();
    // Each case: incarnation, message number, and whether the message is new.
    let cases = [
        (7, 1, true),
        (7, 1, false),
        (7, 5, true),
        (7, 3, true),
        (7, 3, false),
        (7, 200, true),
        (7, 100, false),
        (7, 150, true),
        (8, 1, true),
        (7, 201, false),
    ];
    for (incarnation, number, is_new) in cases {
        assert_eq!(member.accept_number(incarnation, number), is_new, "{incarnation} {number}");
    }
}
