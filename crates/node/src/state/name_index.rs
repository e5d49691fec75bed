//! Names from outside as small indices.

use std::collections::HashMap;

/// Gives each name its index; known ones keep theirs for good.
#[derive(Default)]
pub struct Indices {
    by_name: HashMap<String, usize>,
}

impl Indices {
    pub fn of(names: &[String]) -> Indices {
        let mut indices = Indices::default();
        names.iter().for_each(|name| {
            indices.index(name);
        });
        indices
    }

    /// The index of a name that has one.
    pub fn known(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.known(name) {
            return index;
        }
        let index = self.by_name.len();
        self.by_name.insert(name.to_string(), index);
        index
    }
}
