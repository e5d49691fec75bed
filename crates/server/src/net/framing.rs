//! Frames between the system's own processes on a byte stream: a length of four bytes, little-endian, and as many bytes.

use crate::protocol::FRAME_LENGTH_BYTES;

/// Longest content of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The length is above [`MAX_FRAME_BYTES`]: the other side speaks another protocol.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("a frame of more than {MAX_FRAME_BYTES} bytes")]
pub struct FrameTooLong;

/// Appends a frame to what is to be written.
pub fn append_frame(output: &mut Vec<u8>, content: &[u8]) {
    output.extend_from_slice(&(content.len() as u32).to_le_bytes());
    output.extend_from_slice(content);
}

/// The content of the frame at the front of `input`; `None` if it has not arrived completely.
///
/// # Errors
///
/// [`FrameTooLong`] as soon as the length has arrived.
pub fn first_frame(input: &[u8]) -> Result<Option<&[u8]>, FrameTooLong> {
    let Some((length, rest)) = input.split_first_chunk::<FRAME_LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameTooLong);
    }
    Ok(rest.get(..length))
}

/// Removes all complete frames from the front of `input`. The frames before one that is too long are returned with the error.
pub fn take_frames(input: &mut Vec<u8>) -> (Vec<Vec<u8>>, Result<(), FrameTooLong>) {
    let mut frames = Vec::new();
    let mut used = 0;
    let end = loop {
        match first_frame(&input[used..]) {
            Ok(Some(content)) => {
                frames.push(content.to_vec());
                used += FRAME_LENGTH_BYTES + content.len();
            }
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    input.drain(..used);
    (frames, end)
}

#[cfg(test)]
mod tests;
