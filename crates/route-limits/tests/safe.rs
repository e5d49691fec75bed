//! Tests that the safety check at load rejects exactly the unsafe files: random files for a small platform are compared with the
//! limits of every possible request, and files that load never lead the dispatcher to a forbidden push, whatever the outcomes of
//! earlier pushes.

// The long tests below are not divided yet.
#![allow(clippy::too_many_lines)]

mod common;
use common::{platform, read_on};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use stileroute_dispatch::policy::Dispatcher;
use stileroute_dispatch::types::{
    DispatchSettings, Effect, ListedExecutor, OpRequest, Outcome, Scope, Step, Time, SECOND,
};
use stileroute_route_limits::admission::{Admission, AdmissionControl};
use stileroute_route_limits::limits::{narrowness, EffectOverride};
use stileroute_route_limits::pattern::{Path, Pattern, Request};
use stileroute_route_limits::table::{EffectiveLimits, Table};
use stileroute_route_limits::PlatformSettings;

const PATHS: [&str; 9] = ["/a", "/b", "/a/b", "/a/{x}", "/{x}/b", "/{x}/{y}", "/a/*", "/b/*", "/a/b/*"];
/// Every path that the patterns above can tell apart: up to four segments, each of them a, b or another (c).
fn paths() -> Vec<String> {
    let mut all = vec![String::new()];
    let mut last = all.clone();
    for _ in 0..4 {
        last = last.iter().flat_map(|p| ["a", "b", "c"].map(|s| format!("{p}/{s}"))).collect();
        all.extend(last.clone());
    }
    all.into_iter().filter(|path| !path.is_empty()).collect()
}

/// A random file, with defaults, categories, and routes that inherit and overlap, each with random limits.
fn random_file(rng: &mut Pcg64Mcg) -> String {
    let mut text = "[node]\ntenant-header = 'X-Tenant'\n".to_string();
    let keys = |rng: &mut Pcg64Mcg| {
        let mut lines = String::new();
        let times = ["100ms", "400ms", "1s", "3s"];
        for key in ["connect", "no-start", "no-progress", "op", "pause"] {
            if rng.random_bool(0.25) {
                lines += &format!("{key} = '{}'\n", times.choose(rng).unwrap());
            }
        }
        if rng.random_bool(0.3) {
            lines += &format!("pushes = {}\n", rng.random_range(1..=6));
        }
        if rng.random_bool(0.15) {
            lines += "copy-after = 0.9\n";
        }
        if rng.random_bool(0.15) {
            let effects = ["redeliverable", "deduplicated", "at-most-once"];
            lines += &format!("effect = '{}'\n", effects.choose(rng).unwrap());
        }
        if rng.random_bool(0.15) {
            lines += &format!("resend-within = '{}'\n", ["500ms", "4s"].choose(rng).unwrap());
        }
        if rng.random_bool(0.1) {
            lines += &format!("resend-group = '{}'\n", ["cell", "domain", "all"].choose(rng).unwrap());
        }
        if rng.random_bool(0.1) {
            lines += &format!("kinds = ['{}']\n", ["large", "small"].choose(rng).unwrap());
        }
        lines
    };
    for section in ["[defaults]", "[category.lookup]", "[category.notice]", "[category.booking]"] {
        if rng.random_bool(0.3) {
            text += &format!("{section}\n{}", keys(rng));
        }
    }
    let count = rng.random_range(0..4);
    for number in 0..count {
        text += &format!("[[route]]\nname = 'r{number}'\n{}", keys(rng));
        if number > 0 && rng.random_bool(0.3) {
            text += &format!("inherits = 'r{}'\n", number - 1);
        }
        text += "[route.match]\n";
        if rng.random_bool(0.8) {
            text += &format!("path = '{}'\n", PATHS.choose(rng).unwrap());
        }
        if rng.random_bool(0.4) {
            text += &format!("category = '{}'\n", ["lookup", "notice", "booking"].choose(rng).unwrap());
        }
        if rng.random_bool(0.3) {
            text += &format!("tenant = '{}'\n", ["s", "t"].choose(rng).unwrap());
        }
        if rng.random_bool(0.2) {
            text += "header = { x = '1' }\n";
        }
    }
    text
}

/// The first unsafe limit of one request, found without the code under test, from the limits and the platform's settings alone.
fn violation(
    platform: &PlatformSettings,
    category: usize,
    effective: &EffectiveLimits,
) -> Option<&'static str> {
    let (_, _, own) = &platform.categories[category];
    let (ttl, category_effect) = (platform.ttl(category), own.effect);
    let time = |limit: &Option<stileroute_route_limits::table::EffectiveLimit<Time>>| {
        limit.as_ref().map(|limit| limit.setting.value)
    };
    let to = effective.effect.as_ref().map(|limit| limit.setting.value);
    let base = narrowness(category_effect);
    let set = match to {
        None => base,
        Some(EffectOverride::Redeliverable) => 0,
        Some(EffectOverride::Deduplicated) => 1,
        Some(EffectOverride::AtMostOnce) => 2,
    };
    let pushes = effective.max_pushes.as_ref().map_or(platform.terms.max_pushes, |limit| limit.setting.value);
    let op = time(&effective.op_timeout);
    let times = [
        &effective.connect_timeout,
        &effective.start_timeout,
        &effective.progress_timeout,
        &effective.retry_backoff,
        &effective.max_queue_wait,
    ];
    if set < base || (set == 1 && base == 0) {
        return Some("effect");
    }
    if effective.hedge_quantile.is_some() && (set == 2 || base == 2 || pushes < 2) {
        return Some("copy");
    }
    if pushes > platform.terms.max_pushes {
        return Some("pushes");
    }
    if times.iter().chain([&&effective.op_timeout]).any(|t| time(t).is_some_and(|t| t > ttl)) {
        return Some("ttl");
    }
    if op.is_some_and(|op| times.iter().any(|t| time(t).is_some_and(|t| t >= op))) {
        return Some("op");
    }
    if let (Some(connect), Some(start)) = (time(&effective.connect_timeout), time(&effective.start_timeout)) {
        if connect > start {
            return Some("connect");
        }
    }
    if let Effect::Deduplicated { window, .. } = category_effect {
        if time(&effective.resend_window).is_some_and(|within| within > window) {
            return Some("window");
        }
    }
    if let (Effect::Deduplicated { scope, .. }, Some(limit)) = (category_effect, &effective.resend_scope) {
        // The test platform's cells span failure domains, and its domains span cells, so neither is within the other.
        if scope != Scope::All && limit.setting.value != scope {
            return Some("group");
        }
    }
    let kinds = effective.kinds.as_ref().map_or(u64::MAX, |limit| limit.setting.value);
    own.kind.is_some_and(|kind| kinds >> kind & 1 == 0).then_some("kind")
}

/// Reads a file into a table and ignores the faults that the check finds.
fn read_unchecked(text: &str, platform: &PlatformSettings) -> Option<Table> {
    let mut table = None;
    let _ = stileroute_operator_file::read("f.toml", text, |keys| {
        table = Table::read(keys, platform);
        table.as_ref().map(|_| ())
    });
    table
}

#[test]
fn a_file_loads_if_and_only_if_every_request_is_safe() {
    let (platform, paths) = (platform(), paths());
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let (mut loaded, mut rejected, mut requests) = (0, 0, 0);
    for _ in 0..1500 {
        let text = random_file(&mut rng);
        let Some(table) = read_unchecked(&text, &platform) else { continue };
        let faults = read_on(&text, &platform).err().unwrap_or_default();
        // Files that cannot be read, or have a rule that never applies, are rejected for reasons other than safety: skip them.
        if faults.iter().any(|fault| !fault.reason.contains("(category ")) {
            continue;
        }
        let mut found = None;
        let mut matching = Vec::new();
        for path in &paths {
            for category in 0..3 {
                for tenant in [None, Some("s"), Some("t"), Some("u")] {
                    for value in [None, Some("1"), Some("2")] {
                        let header = |name: &str| value.filter(|_| name == "x");
                        let request = Request { path, method: "POST", category, tenant, header: &header };
                        table.matching(&request, &mut matching);
                        requests += 1;
                        // The index finds the same rules as a linear search.
                        let plain: Vec<u32> = (0..table.rules.len() as u32)
                            .filter(|n| table.rules[*n as usize].pattern.matches(&request))
                            .collect();
                        assert_eq!(matching, plain, "{text}\n{path}");
                        let violation = violation(&platform, category, &table.effective(&matching));
                        found =
                            found
                                .or(violation
                                    .map(|violation| (violation, path.clone(), category, tenant, value)));
                    }
                }
            }
        }
        assert_eq!(found.is_some(), !faults.is_empty(), "{text}\n{found:?}\n{faults:#?}");
        if found.is_some() {
            rejected += 1;
        } else {
            loaded += 1;
        }
    }
    assert!(loaded > 150 && rejected > 300, "{loaded} loaded, {rejected} refused");
    println!("routes: {loaded} random files loaded and {rejected} refused, each as {requests} requests say");
}

#[test]
fn files_that_load_never_lead_to_a_forbidden_push() {
    let platform = platform();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let tariff = DispatchSettings {
        terms: platform.terms.clone(),
        categories: platform.categories.iter().map(|(_, _, own)| own.clone()).collect(),
        overload_factor: 50.0,
        ..DispatchSettings::default()
    };
    let (mut files, mut retries, mut hedged) = (0, 0, 0);
    while files < 300 {
        let text = random_file(&mut rng);
        let Ok(table) = read_on(&text, &platform) else { continue };
        files += 1;
        let mut admission = AdmissionControl::new(Arc::new(table));
        let mut dispatcher = Dispatcher::new(&tariff, files);
        let endpoint = |executor: usize| ListedExecutor {
            name_hash: 0,
            executor,
            domain: executor % 2,
            kind: executor / 4,
            cell: executor / 2,
            active: true,
            weight: 1.0,
            started: None,
        };
        dispatcher.list(0, true, &(0..8).map(endpoint).collect::<Vec<_>>());
        let paths = paths();
        for ticket in 0..30 {
            let now = ticket * SECOND / 4;
            let category = rng.random_range(0..3);
            let path = paths.choose(&mut rng).unwrap();
            let header = |name: &str| (name == "x").then_some("1");
            let request = Request { path, method: "POST", category, tenant: Some("t"), header: &header };
            let Admission::Admitted(mut permit) = admission.admit(now, ticket as u64, &request) else {
                continue;
            };
            let effect = platform.categories[category].2.effect;
            let deadline = now + platform.ttl(category).min(permit.op_timeout);
            let ask = OpRequest {
                category,
                slots: 1.0,
                memory: 0.0,
                hint: None,
                deadline,
                limits: permit.limits,
                tenant: 0,
                key: 0,
            };
            (0..8).for_each(|n| permit.record_run_time(SECOND / 20 + n));
            let mut op = dispatcher.arrive(now, ask);
            let mut at = now;
            // For each push: when it was sent, its executor, and whether it may have run.
            let mut sent: Vec<(Time, usize, bool)> = Vec::new();
            let mut step = dispatcher.place(at, &mut op);
            for _ in 0..60 {
                match step {
                    Step::Push { executor } => {
                        assert!(sent.len() < platform.terms.max_pushes.min(permit.limits.pushes), "{text}");
                        for (came, before, _) in sent.iter().filter(|s| s.2) {
                            match effect {
                                Effect::AtMostOnce => panic!(
                                    "at-most-once request pushed again: {text} {sent:?} {:?}",
                                    op.pushes
                                ),
                                Effect::Deduplicated { scope, window } => {
                                    assert!(
                                        at <= came + window,
                                        "resent after the deduplication window: {text}"
                                    );
                                    assert!(scope != Scope::Domain || before % 2 == executor % 2, "{text}");
                                }
                                Effect::Redeliverable => retries += 1,
                            }
                        }
                        hedged += usize::from(op.pushes.iter().filter(|p| p.outcome.is_none()).count() > 1);
                        assert!(permit.limits.kinds >> (executor / 4) & 1 == 1, "{text}");
                        sent.push((at, executor, true));
                        permit.record_push(at);
                    }
                    Step::Cancel { push } => {
                        // A cancelled push may still have run.
                        step = dispatcher.settle(at, &mut op, push, Outcome::Cancelled, &[]);
                        continue;
                    }
                    Step::Nack { .. } => {
                        let ran = sent.iter().any(|s| s.2);
                        assert!(
                            !ran || effect != Effect::AtMostOnce,
                            "at-most-once request nacked after it may have run: {text}"
                        );
                        break;
                    }
                    Step::DeadLetter => break,
                    Step::Wait if op.closed => break,
                    Step::Wait => {
                        let out = op.pushes.iter().position(|p| p.outcome.is_none());
                        at = dispatcher.wait(at, &op).min(at + SECOND / 3).min(deadline);
                        let Some(push) = out.filter(|_| rng.random_bool(0.4)) else {
                            step = dispatcher.place(at, &mut op);
                            continue;
                        };
                        let outcomes = [
                            Outcome::Error,
                            Outcome::Full,
                            Outcome::NotConnected,
                            Outcome::Reset,
                            Outcome::Cut,
                            Outcome::Broken,
                            Outcome::NeverStarted,
                            Outcome::Acked,
                        ];
                        let outcome = *outcomes.choose(&mut rng).unwrap();
                        sent[push].2 = !outcome.never_ran();
                        op.limits.over_budget = permit.retry_delay(at);
                        step = dispatcher.settle(at, &mut op, push, outcome, &[]);
                        continue;
                    }
                }
                step = dispatcher.place(at, &mut op);
            }
        }
    }
    assert!(retries > 500 && hedged > 0, "{retries} {hedged}");
    println!(
        "routes: {files} random files, {retries} further pushes after one that may have run, {hedged} copies, none forbidden"
    );
}

#[test]
fn covering_patterns_never_take_precedence_and_overlaps_are_exact() {
    let paths = paths();
    let all: Vec<Path> = PATHS.iter().map(|text| Path::parse(text).unwrap()).collect();
    for a in &all {
        for b in &all {
            let both = paths.iter().any(|path| a.matches(path) && b.matches(path));
            assert_eq!(a.overlaps(b), both, "{a:?} {b:?}");
            let (one, two) = (
                Pattern { path: a.clone(), ..Pattern::default() },
                Pattern { path: b.clone(), ..Pattern::default() },
            );
            let within = paths.iter().filter(|path| b.matches(path)).all(|path| a.matches(path));
            assert_eq!(a.overlaps(b) && one.covers_overlap(&two, &two, 0), within, "{a:?} {b:?}");
            assert!(!within || one.precedence() <= two.precedence(), "{a:?} {b:?}");
        }
    }
}
