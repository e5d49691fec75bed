//! Routes: which limits hold for an op by path, category, tenant, method and header; whether what they come to is
//! safe for every request that can reach them; retry budgets, places in hand and own running times. No I/O, no clock.
//!
//! A route only narrows what the module may do. `docs/routes.md` tells the order of precedence and why the check at
//! load is enough.

// Not finished yet: the public items are still to be documented.
#![allow(clippy::missing_errors_doc, missing_docs)]

pub mod budget;
pub mod check;
pub mod gate;
pub mod limits;
pub mod pattern;
mod read;
pub mod table;

use stileroute_dispatch::settings::PostedSettings;
use stileroute_dispatch::types::{Category, InstanceSettings, Time};
use thiserror::Error;

/// The dispatcher does not accept the settings, for this reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct SettingsError(String);

/// What the platform's settings say, as far as routes are held against it.
#[derive(Clone, Debug, Default)]
pub struct Ground {
    /// Categories with their names and TTLs (zero: none told).
    pub categories: Vec<(String, Time, Category)>,
    pub kinds: Vec<String>,
    pub domains: Vec<String>,
    pub terms: InstanceSettings,
}

impl Ground {
    /// What the settings object says.
    pub fn of(posted: &PostedSettings) -> Result<Ground, SettingsError> {
        let tariff = posted.dispatch_settings().map_err(SettingsError)?;
        let names = posted.categories().into_iter().zip(posted.ttls());
        let categories = names.zip(tariff.categories).map(|((name, ttl), own)| (name, ttl, own)).collect();
        let (kinds, domains) = (posted.shapes.clone(), posted.failure_domains.clone());
        Ok(Ground { categories, kinds, domains, terms: tariff.terms })
    }

    /// The longest that an op of a category is kept.
    pub fn ttl(&self, category: usize) -> Time {
        match self.categories[category].1 {
            0 => Time::MAX / 4,
            ttl => ttl,
        }
    }
}
