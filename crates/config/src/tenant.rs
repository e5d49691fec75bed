//! The tenants of the operators' configuration, and the look-up of a tenant by its key.
//!
//! Tenants' keys are stored only as digests, so that printing a configuration in force cannot reveal a key.

use crate::reason::FaultReason;
use crate::section::Section;
use crate::values;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of tenants, and of keys of one tenant.
const MAX_TENANTS_AND_KEYS: usize = 200_000;
/// Length, in bytes, of the digest prefix by which a tenant's key is found; the rest of the digest is compared in constant time.
const DIGEST_PREFIX_BYTES: usize = 8;

/// A tenant, as described by an entry of `customers`.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, unique in the configuration; it is sent to executors.
    pub name: Arc<str>,
    /// The key `priority`: read and checked, but no process acts on it.
    pub priority: i64,
    /// Rate limit of the tenant: maximum number of accepted messages per second, over all stores; 0 for no limit.
    pub rate_limit_per_s: f64,
    /// Burst allowance of the tenant: number of accepted messages by which the rate limit may be exceeded at once.
    pub burst: f64,
}

/// All tenants of a configuration.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    /// The tenants, in the order of the configuration.
    pub tenants: Vec<Tenant>,
    /// Every tenant key in force, as a digest with the index of its tenant, by the first bytes of the digest.
    keys: HashMap<[u8; DIGEST_PREFIX_BYTES], Vec<(blake3::Hash, usize)>>,
}

impl TenantTable {
    /// Reads the tenants; `None` if the configuration has no key `customers`, in which case no request needs a tenant's key.
    pub(crate) fn from_root(root: Section) -> Option<TenantTable> {
        if !root.has("customers") {
            return None;
        }
        let mut table = TenantTable::default();
        let mut indices = HashMap::new();
        for (index, section) in root.sections("customers", MAX_TENANTS_AND_KEYS).into_iter().enumerate() {
            let tenant = Tenant::from_section(section);
            let earlier = indices.insert(Arc::clone(&tenant.name), index);
            // An empty tenant name was already reported as a fault.
            if let Some(first) = earlier.filter(|_| !tenant.name.is_empty()) {
                let name = values::quoted(&tenant.name);
                section.fault("name", FaultReason::DuplicateTenant { name, first });
            }
            for key in section.secrets("api_keys", MAX_TENANTS_AND_KEYS) {
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
            // The fault names the tenant that has the key, because the key itself must not be disclosed.
            Some((_, first)) if *first != tenant => {
                section.fault("api_keys", FaultReason::SharedKey { first: *first });
            }
            Some(_) => {}
            None => alike.push((digest, tenant)),
        }
    }

    /// Returns the tenant to which a key belongs.
    pub fn tenant_of(&self, key: &str) -> Option<&Tenant> {
        let digest = blake3::hash(key.as_bytes());
        let alike = self.keys.get(&prefix(&digest))?;
        // `blake3::Hash` compares digests in constant time.
        let (_, tenant) = alike.iter().find(|(other, _)| *other == digest)?;
        self.tenants.get(*tenant)
    }

    /// Returns the number of tenant keys in force.
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

fn prefix(digest: &blake3::Hash) -> [u8; DIGEST_PREFIX_BYTES] {
    let mut prefix = [0; DIGEST_PREFIX_BYTES];
    prefix.copy_from_slice(&digest.as_bytes()[..DIGEST_PREFIX_BYTES]);
    prefix
}
