//! The ids of the requests in flight at this node. Requests at other nodes are not visible here.

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

    /// Reserves an id until the returned guard is dropped, or returns `None` if the id is in use. Two
    /// concurrent ops with one id could receive each other's responses, and one could be mistaken for a hedged
    /// request of the other.
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
