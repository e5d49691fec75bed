use super::super::random::SeededRandom;
use super::*;

#[test]
fn frames_are_reassembled_from_any_split() {
    for seed in 0..2000 {
        let mut random = SeededRandom::new(seed);
        let frames: Vec<Vec<u8>> =
            (0..random.below(6)).map(|index| vec![index as u8; random.below(40)]).collect();
        let mut bytes = Vec::new();
        frames.iter().for_each(|frame| append_frame(&mut bytes, frame));
        let received_length = if random.once_in(2) { bytes.len() } else { random.below(bytes.len() + 1) };
        let (mut input, mut seen) = (Vec::new(), Vec::new());
        for piece in random.split(&bytes[..received_length]) {
            input.extend_from_slice(piece);
            let (taken, end) = take_frames(&mut input);
            assert_eq!(end, Ok(()), "seed {seed}");
            seen.extend(taken);
        }
        // Expect all complete frames in order; the remaining input is the beginning of the next frame.
        let mut end_offset = 0;
        let complete = frames.iter().take_while(|frame| {
            end_offset += FRAME_LENGTH_BYTES + frame.len();
            end_offset <= received_length
        });
        assert_eq!(seen, complete.cloned().collect::<Vec<_>>(), "seed {seed}");
        let consumed: usize = seen.iter().map(|frame| FRAME_LENGTH_BYTES + frame.len()).sum();
        assert_eq!(input, bytes[consumed..received_length], "seed {seed}");
    }
}

#[test]
fn a_length_prefix_over_the_limit_is_an_error() {
    let mut input = Vec::new();
    append_frame(&mut input, b"first");
    input.extend_from_slice(b"GET / HTTP/1.1\r\n");
    let (frames, end) = take_frames(&mut input);
    assert_eq!((frames, end), (vec![b"first".to_vec()], Err(FrameTooLong)));
}

#[test]
fn a_frame_has_a_four_byte_little_endian_length_prefix() {
    let mut out = b"before".to_vec();
    append_frame(&mut out, b"");
    append_frame(&mut out, &[0xAB; 258]);
    let mut pinned = b"before\0\0\0\0\x02\x01\0\0".to_vec();
    pinned.extend_from_slice(&[0xAB; 258]);
    assert_eq!(out, pinned);
    assert_eq!(MAX_FRAME_BYTES, 16 << 20);
    let longest = (MAX_FRAME_BYTES as u32).to_le_bytes();
    assert_eq!(first_frame(&longest), Ok(None));
    assert_eq!(first_frame(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes()), Err(FrameTooLong));
}
