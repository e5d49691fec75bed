//! The platform's settings that the tests of routes share, and functions that read a file against them.
#![allow(dead_code)]

use stileroute_dispatch::types::{Category, Effect, InstanceSettings, Scope, SECOND};
use stileroute_operator_file::Fault;
use stileroute_route_limits::table::Table;
use stileroute_route_limits::PlatformSettings;

pub fn platform() -> PlatformSettings {
    let category = |effect, kind| Category {
        target: SECOND,
        stretch: 2.0,
        effect,
        benefit: 1.0,
        late: 0.0,
        kind,
        priority: 0,
    };
    let deduplicated = Effect::Deduplicated { scope: Scope::Domain, window: 3 * SECOND };
    PlatformSettings {
        categories: vec![
            ("lookup".to_string(), 5 * SECOND, category(Effect::Redeliverable, None)),
            ("notice".to_string(), 5 * SECOND, category(deduplicated, Some(0))),
            ("booking".to_string(), 9 * SECOND, category(Effect::AtMostOnce, None)),
        ],
        kinds: vec!["large".to_string(), "small".to_string()],
        domains: vec!["north".to_string(), "south".to_string()],
        terms: InstanceSettings {
            max_pushes: 5,
            hedging: true,
            tick: 20,
            cancel: true,
            retry_after: 2 * SECOND,
            tip_after: SECOND,
            start_share: 0.5,
            warm_within: SECOND,
            ..InstanceSettings::default()
        },
    }
}

pub fn read(text: &str) -> Result<Table, Vec<Fault>> {
    read_on(text, &platform())
}

pub fn read_on(text: &str, platform: &PlatformSettings) -> Result<Table, Vec<Fault>> {
    stileroute_operator_file::read("bad.toml", text, |keys| Table::read(keys, platform))
}
