//! Framing of messages between the system's own processes on a byte stream: a 4-byte little-endian length, followed
//! by that number of bytes.

use crate::protocol::FRAME_LENGTH_BYTES;

/// Maximum length of a frame's content, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The length prefix exceeds [`MAX_FRAME_BYTES`]: the other side uses a different protocol.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("frame length exceeds the limit of {MAX_FRAME_BYTES} bytes")]
pub struct FrameTooLong;

/// Appends a frame to the output buffer.
pub fn append_frame(output: &mut Vec<u8>, content: &[u8]) {
    output.extend_from_slice(&(content.len() as u32).to_le_bytes());
    output.extend_from_slice(content);
}

/// Returns the content of the frame at the front of `input`; `None` if the frame is still incomplete.
///
/// # Errors
///
/// [`FrameTooLong`] as soon as the length prefix has arrived.
pub fn first_frame(input: &[u8]) -> Result<Option<&[u8]>, FrameTooLong> {
    let Some((length, rest)) = input.split_first_chunk::<FRAME_LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameTooLong);
    }
    Ok(rest.get(..length))
}

/// Removes all complete frames from the front of `input`. Complete frames before a frame that is too long are
/// returned together with the error.
pub fn take_frames(input: &mut Vec<u8>) -> (Vec<Vec<u8>>, Result<(), FrameTooLong>) {
    let mut frames = Vec::new();
    let mut consumed = 0;
    let end = loop {
        match first_frame(&input[consumed..]) {
            Ok(Some(content)) => {
                frames.push(content.to_vec());
                consumed += FRAME_LENGTH_BYTES + content.len();
            }
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    input.drain(..consumed);
    (frames, end)
}

#[cfg(test)]
mod tests;
