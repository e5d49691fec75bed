//! Frames between own processes: a length of four bytes, little-endian, and as many bytes. No I/O.

/// Longest frame.
pub const LONGEST: usize = 16 << 20;
const LENGTH: usize = 4;

/// A length beyond `LONGEST`: the other side speaks another protocol.
#[derive(Debug, PartialEq)]
pub struct TooLong;

/// Puts a frame behind what waits to be written.
pub fn append(out: &mut Vec<u8>, frame: &[u8]) {
    out.extend_from_slice(&(frame.len() as u32).to_le_bytes());
    out.extend_from_slice(frame);
}

/// Takes the next whole frame off the front of what was read.
pub fn next(input: &[u8]) -> Result<Option<&[u8]>, TooLong> {
    let Some((length, rest)) = input.split_first_chunk::<LENGTH>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > LONGEST {
        return Err(TooLong);
    }
    Ok(rest.get(..length))
}

/// Takes all whole frames off, and tells whether one is too long.
pub fn take(input: &mut Vec<u8>) -> (Vec<Vec<u8>>, Result<(), TooLong>) {
    let (mut used, mut frames) = (0, Vec::new());
    let end = loop {
        match next(&input[used..]) {
            Ok(Some(frame)) => {
                frames.push(frame.to_vec());
                used += LENGTH + frame.len();
            }
            Ok(None) => break Ok(()),
            Err(fault) => break Err(fault),
        }
    };
    input.drain(..used);
    (frames, end)
}

#[cfg(test)]
mod tests;
