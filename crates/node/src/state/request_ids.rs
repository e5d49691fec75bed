//! The ids of the requests in hand here. Those of other nodes can't be seen.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
pub struct Ids {
    open: Mutex<HashSet<String>>,
}

impl Ids {
    fn open(&self) -> MutexGuard<'_, HashSet<String>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters an id for as long as what is given back lives; none if it is open. Two ops under one id would be
    /// given each other's answers, and one of them taken for a second copy of the other.
    pub fn enter(self: &Arc<Ids>, id: &str) -> Option<Entry> {
        let new = self.open().insert(id.to_string());
        new.then(|| Entry { id: id.to_string(), ids: self.clone() })
    }
}

pub struct Entry {
    id: String,
    ids: Arc<Ids>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.ids.open().remove(&self.id);
    }
}
