//! The stand-ins' messages: all about one follows from its id.

/// What its executors are to make of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Fine,
    /// Its first run ends with 500.
    FailsOnce,
    /// Every run ends with 500.
    Fails,
    /// 422.
    Impossible,
}

const LARGE: char = 'L';

/// Stands between the id of a first try and the number of a further one.
const RETRY_SEPARATOR: char = '-';

/// A mixer of numbers.
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn id(lot: u64, number: u64) -> String {
    format!("{:08x}{number:08x}", mix(lot) as u32)
}

/// The id of one with a large body.
pub fn large(id: &str) -> String {
    format!("{LARGE}{id}")
}

/// The id of a further try with the key of a message.
pub fn retry_id(first: &str, number: u64) -> String {
    format!("{first}{RETRY_SEPARATOR}{number:x}")
}

/// The id of the first try, which is the key of all: what they are about follows from it.
pub fn first_id(id: &str) -> &str {
    id.split(RETRY_SEPARATOR).next().unwrap_or(id)
}

fn digest(id: &str) -> u64 {
    first_id(id).bytes().fold(0xcbf2_9ce4_8422_2325, |sum, b| mix(sum ^ u64::from(b)))
}

pub fn fate(id: &str) -> Fate {
    match digest(id) % 100 {
        0 => Fate::Fails,
        1..=2 => Fate::Impossible,
        3..=8 => Fate::FailsOnce,
        _ => Fate::Fine,
    }
}

pub fn body(id: &str) -> Vec<u8> {
    let mut state = digest(id) ^ 0x5eed;
    let length = if id.starts_with(LARGE) {
        200_000
    } else if state.is_multiple_of(50) {
        30_000
    } else {
        state % 1500
    };
    let mut body = Vec::with_capacity(length as usize + 8);
    while (body.len() as u64) < length {
        state = mix(state);
        body.extend_from_slice(&state.to_le_bytes());
    }
    body.truncate(length as usize);
    body
}
