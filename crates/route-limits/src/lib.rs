//! Routes: the limits that apply to a request by its path, category, tenant, method and headers; a check at load that these
//! limits are safe for every possible request; retry budgets, in-flight limits and recorded run times. The crate does no I/O and
//! reads no clock.
//!
//! A route can only narrow what the dispatcher may do. `docs/routes.md` has the order of precedence, and the proof that the check
//! at load is sufficient.

// Not every public item has documentation, or its errors described, yet.
#![allow(clippy::missing_errors_doc, missing_docs)]

pub mod admission;
pub mod budget;
pub mod check;
pub mod limits;
pub mod pattern;
mod read;
pub mod table;

use stileroute_dispatch::settings::PostedSettings;
use stileroute_dispatch::types::{Category, InstanceSettings, Time};
use thiserror::Error;

/// The reason why the dispatcher rejects the platform's settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct SettingsError(String);

/// The parts of the platform's settings that routes are checked against.
#[derive(Clone, Debug, Default)]
pub struct PlatformSettings {
    /// The name, TTL (zero if none is set) and settings of each category.
    pub categories: Vec<(String, Time, Category)>,
    pub kinds: Vec<String>,
    pub domains: Vec<String>,
    pub terms: InstanceSettings,
}

impl PlatformSettings {
    /// Takes these parts from the platform's settings object.
    pub fn from_posted(posted: &PostedSettings) -> Result<PlatformSettings, SettingsError> {
        let tariff = posted.dispatch_settings().map_err(SettingsError)?;
        let names = posted.categories().into_iter().zip(posted.ttls());
        let categories = names.zip(tariff.categories).map(|((name, ttl), own)| (name, ttl, own)).collect();
        let (kinds, domains) = (posted.shapes.clone(), posted.failure_domains.clone());
        Ok(PlatformSettings { categories, kinds, domains, terms: tariff.terms })
    }

    /// The longest that a request of a category is kept; without a TTL in the settings, longer than any time that can be set.
    pub fn ttl(&self, category: usize) -> Time {
        match self.categories[category].1 {
            0 => Time::MAX / 4,
            ttl => ttl,
        }
    }
}
