//! Tracks which keys of a text are read. A key that no code reads is a request of the operators that is not carried out.

use jzon::object::Object;
use jzon::JsonValue;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// Maximum number of unread keys that are reported. In a text crafted to hold more, the others would only fill the log.
const MAX_NAMED_KEYS: usize = 32;
/// Maximum number of characters of an unread key that are reported.
const MAX_KEY_CHARACTERS: usize = 60;

/// Record of the keys of one text that were read, each with the key of its object or list of objects.
#[derive(Default)]
pub struct KeyUse {
    read: RefCell<BTreeSet<(&'static str, String)>>,
    /// Objects and lists of objects whose keys are read one by one.
    opened: RefCell<BTreeSet<&'static str>>,
}

impl KeyUse {
    /// Records that a key is read, whether it is present or not.
    pub fn read(&self, section: &'static str, key: &str) {
        self.read.borrow_mut().insert((section, key.to_string()));
    }

    /// Records that the keys of an object, or of the objects in a list, are read one by one.
    pub fn open(&self, section: &'static str) {
        self.opened.borrow_mut().insert(section);
    }

    /// Returns the keys of a text that were not read, each once, such as `customers` or `routes[].public`.
    pub fn unread(&self, root: &Object) -> Vec<String> {
        let mut unread = BTreeSet::new();
        self.add_unread(&mut unread, "", "", root);
        for (key, value) in root.iter() {
            let Some(section) = self.opened.borrow().get(key).copied() else { continue };
            match value {
                JsonValue::Object(object) => {
                    self.add_unread(&mut unread, section, &format!("{key}."), object)
                }
                JsonValue::Array(values) => {
                    let objects = values.iter().filter_map(JsonValue::as_object);
                    objects.for_each(|object| {
                        self.add_unread(&mut unread, section, &format!("{key}[]."), object)
                    });
                }
                _ => {}
            }
        }
        unread.into_iter().take(MAX_NAMED_KEYS).collect()
    }

    fn add_unread(&self, unread: &mut BTreeSet<String>, section: &str, path: &str, object: &Object) {
        let read = self.read.borrow();
        let is_read = |key: &str| read.iter().any(|(of, name)| *of == section && name == key);
        for (key, _) in object.iter().filter(|(key, _)| !is_read(key)) {
            let key: String = key.chars().take(MAX_KEY_CHARACTERS).collect();
            unread.insert(format!("{path}{key}"));
        }
    }
}
