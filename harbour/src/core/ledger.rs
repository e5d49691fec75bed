//! The control node's records on disk. The log bounds a record; a configuration may be longer, so a long record is written as
//! several pieces in one append, which is on the disk whole or not at all.

use stileroute_logbook::Fold;
use stileroute_pilotage::{Kept, Record};

/// Longest piece, with its head.
const PIECE: usize = 512 << 10;
/// Begins a piece: no record does, for their kinds count up from nought.
const MARK: u8 = 0xFF;
/// After the mark: more pieces follow, or this is the last.
const MORE: u8 = 0;
const LAST: u8 = 1;
const HEAD: usize = 2;

/// A record as the log takes it: one piece without a head, or several with.
pub fn pieces(record: &Record) -> Vec<Vec<u8>> {
    let bytes = postcard::to_stdvec(record).unwrap_or_default();
    if bytes.len() <= PIECE {
        return vec![bytes];
    }
    let count = bytes.len().div_ceil(PIECE - HEAD);
    let piece = |(at, part): (usize, &[u8])| {
        let end = if at + 1 == count { LAST } else { MORE };
        [&[MARK, end], part].concat()
    };
    bytes.chunks(PIECE - HEAD).enumerate().map(piece).collect()
}

/// Puts pieces together.
#[derive(Default)]
pub struct Joiner(Vec<u8>);

impl Joiner {
    /// The record that this piece completes, if it does.
    pub fn push(&mut self, piece: &[u8]) -> Option<Result<Record, postcard::Error>> {
        match piece {
            [MARK, end, part @ ..] => {
                self.0.extend_from_slice(part);
                (*end == LAST).then(|| postcard::from_bytes(&std::mem::take(&mut self.0)))
            }
            whole => {
                self.0.clear();
                Some(postcard::from_bytes(whole))
            }
        }
    }
}

/// What all records amount to.
#[derive(Default)]
pub struct Ledger {
    pub kept: Kept,
    joiner: Joiner,
}

impl Fold for Ledger {
    fn apply(&mut self, piece: &[u8]) {
        match self.joiner.push(piece) {
            Some(Ok(record)) => self.kept.apply(record),
            Some(Err(error)) => tracing::error!(%error, "a record that can't be read"),
            None => {}
        }
    }
    fn snapshot(&self, out: &mut dyn FnMut(&[u8])) {
        for record in self.kept.records() {
            pieces(&record).iter().for_each(|piece| out(piece));
        }
    }
}
