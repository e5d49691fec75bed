//! The ids of the requests in hand here. Those of other nodes can't be seen.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
pub struct RequestIds {
    in_use: Mutex<HashSet<String>>,
}

impl RequestIds {
    fn in_use(&self) -> MutexGuard<'_, HashSet<String>> {
        self.in_use.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters an id for as long as what is given back lives; none if it is open. Two ops under one id would be
    /// given each other's answers, and one of them taken for a second copy of the other.
    pub fn reserve(self: &Arc<RequestIds>, id: &str) -> Option<RequestIdGuard> {
        let new = self.in_use().insert(id.to_string());
        new.then(|| RequestIdGuard { id: id.to_string(), ids: self.clone() })
    }
}

pub struct RequestIdGuard {
    id: String,
    ids: Arc<RequestIds>,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.ids.in_use().remove(&self.id);
    }
}
