//! Maps external names to small integer indices.

use std::collections::HashMap;

/// Assigns an index to each name; an assigned index never changes.
#[derive(Default)]
pub struct NameIndex {
    by_name: HashMap<String, usize>,
}

impl NameIndex {
    pub fn of(names: &[String]) -> NameIndex {
        let mut name_index = NameIndex::default();
        names.iter().for_each(|name| {
            name_index.get_or_insert(name);
        });
        name_index
    }

    /// The index of a name that already has one.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn get_or_insert(&mut self, name: &str) -> usize {
        if let Some(index) = self.get(name) {
            return index;
        }
        let index = self.by_name.len();
        self.by_name.insert(name.to_string(), index);
        index
    }
}
