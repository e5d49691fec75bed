//! The tenants of the operators' configuration, and which of them a key belongs to.
//!
//! Keys are kept as digests alone: nothing that prints a configuration in force can print a key.

use crate::reason::FaultReason;
use crate::section::Section;
use crate::values;
use std::collections::HashMap;
use std::sync::Arc;

/// Most tenants, and most keys of one tenant.
const MAX_ENTRIES: usize = 200_000;
/// Bytes of a key's digest by which it is found; the rest is compared in constant time.
const PREFIX_BYTES: usize = 8;

/// A tenant, as an entry of `customers` describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique among the tenants; what executors are told.
    pub name: Arc<str>,
    /// The key `priority`: read and checked, but nothing acts on it.
    pub priority: i64,
    /// Most accepted messages a second, over all stores; 0 for no limit.
    pub rate_limit_per_s: f64,
    /// Accepted messages by which it may be exceeded at once.
    pub burst: f64,
}

/// All tenants of a configuration.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    /// The tenants, as listed.
    pub tenants: Vec<Tenant>,
    /// By the first bytes of its digest: each key that is in force, with the index of its tenant.
    keys: HashMap<[u8; PREFIX_BYTES], Vec<(blake3::Hash, usize)>>,
}

impl TenantTable {
    /// Reads the tenants; `None` where the configuration has no key `customers`, and so asks for no keys of anybody.
    pub(crate) fn from_root(root: Section) -> Option<TenantTable> {
        if !root.has("customers") {
            return None;
        }
        let mut table = TenantTable::default();
        let mut indices = HashMap::new();
        for (index, section) in root.sections("customers", MAX_ENTRIES).into_iter().enumerate() {
            let tenant = Tenant::from_section(section);
            let earlier = indices.insert(Arc::clone(&tenant.name), index);
            // An empty name is a fault already.
            if let Some(first) = earlier.filter(|_| !tenant.name.is_empty()) {
                let name = values::quoted(&tenant.name);
                section.fault("name", FaultReason::DuplicateTenant { name, first });
            }
            for key in section.secrets("api_keys", MAX_ENTRIES) {
                table.add_key(section, &key, index);
            }
            table.tenants.push(tenant);
        }
        Some(table)
    }

    fn add_key(&mut self, section: Section, key: &str, tenant: usize) {
        let digest = blake3::hash(key.as_bytes());
        let alike = self.keys.entry(prefix(&digest)).or_default();
        match alike.iter().find(|(other, _)| *other == digest) {
            // Named by the tenant that has it: the key itself is told nobody.
            Some((_, first)) if *first != tenant => {
                section.fault("api_keys", FaultReason::SharedKey { first: *first });
            }
            Some(_) => {}
            None => alike.push((digest, tenant)),
        }
    }

    /// The tenant whose key this is.
    pub fn tenant_of(&self, key: &str) -> Option<&Tenant> {
        let digest = blake3::hash(key.as_bytes());
        let alike = self.keys.get(&prefix(&digest))?;
        // `blake3::Hash` compares in constant time.
        let (_, tenant) = alike.iter().find(|(other, _)| *other == digest)?;
        self.tenants.get(*tenant)
    }

    /// How many keys are in force.
    pub fn key_count(&self) -> usize {
        self.keys.values().map(Vec::len).sum()
    }
}

impl Tenant {
    fn from_section(section: Section) -> Tenant {
        let name = section.value("name", None, "text that can stand in a header", |value| {
            values::text(value).filter(|name| !name.chars().any(char::is_control))
        });
        Tenant {
            name: name.into(),
            priority: section.value("priority", Some(0), "a whole number", values::signed),
            rate_limit_per_s: section.non_negative("rate_per_s", 0.0),
            burst: section.non_negative("burst", 0.0),
        }
    }
}

fn prefix(digest: &blake3::Hash) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&digest.as_bytes()[..PREFIX_BYTES]);
    prefix
}
