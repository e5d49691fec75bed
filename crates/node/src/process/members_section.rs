//! The section `members` of the operators' file: the listening address and the seeds of the membership
//! protocol.

use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_dispatch::types::Time;
use stileroute_gossip::wire::Key;
use stileroute_gossip::Settings;
use stileroute_operator_file::{Located, Position, Section};
use thiserror::Error;

/// Why a key file could not be used.
#[derive(Debug, Error)]
enum KeyFileError {
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    #[error("must hold 64 hex digits")]
    NotHexadecimal,
}

#[derive(Debug)]
pub struct MembersSettings {
    pub listen: SocketAddrV4,
    /// The address that other instances use, if it differs from the listening address.
    pub advertise: Option<SocketAddrV4>,
    pub settings: Settings,
    /// All nodes of the fleet are members, so a node that has not been heard from does not exist.
    pub all: bool,
}

/// Reads the section. Faults are logged with the position of their key.
pub fn read(table: &Section, peers_allowed: bool) -> Option<MembersSettings> {
    let parse_address = |position: Position, text: &str| -> Option<SocketAddrV4> {
        let parsed: Option<SocketAddrV4> = text.parse().ok();
        if parsed.is_none() {
            table.log().add(position, format!("'{text}' is no IPv4 address with a port"), None);
        }
        parsed
    };
    if !peers_allowed {
        table.log().add(
            table.position(),
            "settings.caps.peers does not allow messages among instances",
            None,
        );
    }
    let address = |value: Option<Located<String>>| {
        value.and_then(|setting| parse_address(setting.position, &setting.value))
    };
    let listen_text = table.text("listen");
    let is_missing = listen_text.is_none();
    let listen = address(listen_text);
    let advertise = address(table.text("advertise"));
    if is_missing {
        table.log().add(table.position(), "needs listen, an address for messages of others", None);
    } else if listen.is_some_and(|parse_address| parse_address.ip() == &Ipv4Addr::UNSPECIFIED)
        && advertise.is_none()
    {
        table.log().add(
            table.position(),
            "listens on all hosts: others need to be told one, by advertise",
            None,
        );
    }
    let mut seeds = Vec::new();
    for seed in table.text_list("seeds").map(|setting| setting.value).unwrap_or_default() {
        seeds.extend(parse_address(seed.position, &seed.value));
    }
    let key = table.text("key-file").and_then(|file| match read_key_file(&file.value) {
        Ok(key) => Some(key),
        Err(reason) => {
            table.log().add(file.position, format!("{}: {reason}", file.value), None);
            None
        }
    });
    let mut settings = Settings { seeds, key, ..Settings::default() };
    if let Some(interval) = table.time("every") {
        let minimum: Time = 2_000;
        if (minimum..=600_000).contains(&interval.value) {
            (settings.probe_interval, settings.probe_timeout) = (interval.value, interval.value * 3 / 10);
        } else {
            table.log().add(interval.position, "must be from 200ms to 1m", None);
        }
    }
    let all = table.flag("all").is_some_and(|setting| setting.value);
    Some(MembersSettings { listen: listen?, advertise, settings, all })
}

/// Reads a key of 64 hex digits. Only this program should have read access to the file.
fn read_key_file(path: &str) -> Result<Key, KeyFileError> {
    let text = std::fs::read_to_string(path)?;
    let digits = text.trim();
    let mut key = [0; 32];
    if digits.len() != 64 || !digits.is_ascii() {
        return Err(KeyFileError::NotHexadecimal);
    }
    for (byte, parse_address) in key.iter_mut().zip((0..64).step_by(2)) {
        let parsed_byte = u8::from_str_radix(&digits[parse_address..parse_address + 2], 16);
        *byte = parsed_byte.map_err(|_| KeyFileError::NotHexadecimal)?;
    }
    Ok(key)
}
