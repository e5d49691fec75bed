//! The section `members` of the operators' file: where this instance hears others, and where it looks for them first.

use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_dispatch::types::Time;
use stileroute_gossip::wire::Key;
use stileroute_gossip::Settings;
use stileroute_operator_file::{Located, Position, Section};
use thiserror::Error;

/// Why a key file can't be used.
#[derive(Debug, Error)]
enum KeyFileError {
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    #[error("must hold 64 hex digits")]
    NotHexadecimal,
}

#[derive(Debug)]
pub struct MembersAt {
    pub listen: SocketAddrV4,
    /// Where others find it, if that is not where it listens.
    pub advertise: Option<SocketAddrV4>,
    pub settings: Settings,
    /// Every node of the fleet is a member, so who has not been heard of is not there.
    pub all: bool,
}

/// Reads the section; the faults are told by the keys.
pub fn read(table: &Section, may_talk: bool) -> Option<MembersAt> {
    let at = |place: Position, text: &str| -> Option<SocketAddrV4> {
        let found: Option<SocketAddrV4> = text.parse().ok();
        if found.is_none() {
            table.log().add(place, format!("'{text}' is no IPv4 address with a port"), None);
        }
        found
    };
    if !may_talk {
        table.log().add(
            table.position(),
            "settings.caps.peers does not allow messages among instances",
            None,
        );
    }
    let address = |given: Option<Located<String>>| given.and_then(|set| at(set.position, &set.value));
    let listen_text = table.text("listen");
    let missing = listen_text.is_none();
    let listen = address(listen_text);
    let advertise = address(table.text("advertise"));
    if missing {
        table.log().add(table.position(), "needs listen, an address for messages of others", None);
    } else if listen.is_some_and(|at| at.ip() == &Ipv4Addr::UNSPECIFIED) && advertise.is_none() {
        table.log().add(
            table.position(),
            "listens on all hosts: others need to be told one, by advertise",
            None,
        );
    }
    let mut seeds = Vec::new();
    for seed in table.texts("seeds").map(|set| set.value).unwrap_or_default() {
        seeds.extend(at(seed.position, &seed.value));
    }
    let key = table.text("key-file").and_then(|file| match key_of(&file.value) {
        Ok(key) => Some(key),
        Err(reason) => {
            table.log().add(file.position, format!("{}: {reason}", file.value), None);
            None
        }
    });
    let mut settings = Settings { seeds, key, ..Settings::default() };
    if let Some(every) = table.time("every") {
        let least: Time = 2_000;
        if (least..=600_000).contains(&every.value) {
            (settings.probe_interval, settings.probe_timeout) = (every.value, every.value * 3 / 10);
        } else {
            table.log().add(every.position, "must be from 200ms to 1m", None);
        }
    }
    let all = table.flag("all").is_some_and(|set| set.value);
    Some(MembersAt { listen: listen?, advertise, settings, all })
}

/// A key of 64 hex digits, in a file that only this program should read.
fn key_of(path: &str) -> Result<Key, KeyFileError> {
    let text = std::fs::read_to_string(path)?;
    let digits = text.trim();
    let mut key = [0; 32];
    if digits.len() != 64 || !digits.is_ascii() {
        return Err(KeyFileError::NotHexadecimal);
    }
    for (byte, at) in key.iter_mut().zip((0..64).step_by(2)) {
        let pair = u8::from_str_radix(&digits[at..at + 2], 16);
        *byte = pair.map_err(|_| KeyFileError::NotHexadecimal)?;
    }
    Ok(key)
}
