//! The encoding of a slot: a checksum, the length of the record, and the record.

/// Size of a slot in bytes.
pub const SLOT_BYTES: usize = 256;
/// Offset of the record length in a slot, in bytes: the checksum comes before it.
const LENGTH_OFFSET: usize = 4;
/// Offset of the record in a slot, in bytes: the checksum and the length come before it.
const RECORD_OFFSET: usize = 8;

/// Maximum length of a record in bytes.
pub const MAX_RECORD_BYTES: usize = SLOT_BYTES - RECORD_OFFSET;

/// Writes a record of at most [`MAX_RECORD_BYTES`] into a slot. The checksum is written last, so that a partly
/// written slot counts as free.
pub fn write(slot: &mut [u8], record: &[u8]) {
    clear(slot);
    let length = (record.len() as u32).to_le_bytes();
    slot[RECORD_OFFSET..RECORD_OFFSET + record.len()].copy_from_slice(record);
    slot[LENGTH_OFFSET..RECORD_OFFSET].copy_from_slice(&length);
    slot[..LENGTH_OFFSET].copy_from_slice(&checksum(length, record).to_le_bytes());
}

/// Frees a slot by zeroing its checksum and length.
pub fn clear(slot: &mut [u8]) {
    slot[..RECORD_OFFSET].fill(0);
}

/// Returns the record of a slot, or `None` if the slot is free or was only partly written.
pub fn read(slot: &[u8]) -> Option<&[u8]> {
    let length = [slot[4], slot[5], slot[6], slot[7]];
    let stored_checksum = u32::from_le_bytes([slot[0], slot[1], slot[2], slot[3]]);
    let end = RECORD_OFFSET.checked_add(u32::from_le_bytes(length) as usize)?;
    let record = slot.get(RECORD_OFFSET..end).filter(|record| !record.is_empty())?;
    (checksum(length, record) == stored_checksum).then_some(record)
}

fn checksum(length: [u8; 4], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(record);
    hasher.finalize()
}
