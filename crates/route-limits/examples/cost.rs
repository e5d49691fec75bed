//! Measures the cost of matching and admitting a request, and of the check at load, by the number of routes:
//! `cargo run --release --example cost`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;
use stileroute_dispatch::types::{Category, Effect, InstanceSettings, SECOND};
use stileroute_route_limits::admission::{Admission, AdmissionControl};
use stileroute_route_limits::pattern::Request;
use stileroute_route_limits::table::Table;
use stileroute_route_limits::PlatformSettings;

fn main() {
    let category = |name: &str, effect| {
        let category = Category {
            target: SECOND,
            stretch: 0.0,
            effect,
            benefit: 1.0,
            late: 0.0,
            kind: None,
            priority: 0,
        };
        (name.to_string(), 9 * SECOND, category)
    };
    let platform = PlatformSettings {
        categories: vec![category("lookup", Effect::Redeliverable), category("booking", Effect::AtMostOnce)],
        terms: InstanceSettings { max_pushes: 5, ..InstanceSettings::default() },
        ..PlatformSettings::default()
    };
    println!("{:>7} {:>12} {:>12} {:>12}", "routes", "check ms", "match ns", "enter ns");
    for count in [10, 100, 1_000, 10_000] {
        let mut text = "[node]\ntenant-header = 'X-Tenant'\n[defaults]\npushes = 3\nop = '5s'\n".to_string();
        for number in 0..count {
            // A quarter each of exact paths, paths with a wildcard, prefixes and tenants.
            let condition = match number % 4 {
                0 => format!("path = '/api/{number}/run'"),
                1 => format!("path = '/api/{number}/{{x}}', category = 'lookup'"),
                2 => format!("path = '/bulk/{number}/*'"),
                _ => format!("tenant = 't{number}'"),
            };
            text += &format!(
                "[[route]]\nname = 'r{number}'\nmatch = {{ {condition} }}\nno-start = '{}ms'\nop = '{}ms'\n",
                100 + number % 50,
                1000 + number % 500
            );
        }
        let started = Instant::now();
        let table = stileroute_operator_file::read("cost.toml", &text, |keys| Table::read(keys, &platform));
        let check_ms = started.elapsed().as_secs_f64() * 1e3;
        let table = match table {
            Ok(table) => Arc::new(table),
            Err(faults) => panic!("{}", faults[0]),
        };
        let paths: Vec<String> = (0..1024).map(|n| format!("/api/{}/run", (n * 7919) % count)).collect();
        let tenants: Vec<String> = (0..1024).map(|n| format!("t{}", (n * 104_729) % count)).collect();
        let request = |n: usize| (paths[n % 1024].as_str(), Some(tenants[n % 1024].as_str()));
        let iterations = 400_000;
        let mut matching = Vec::new();
        let started = Instant::now();
        for n in 0..iterations {
            let (path, tenant) = request(n);
            let request = Request { path, method: "POST", category: n % 2, tenant, header: &|_| None };
            table.matching(&request, &mut matching);
            black_box(table.effective(&matching).op_timeout.map(|limit| limit.setting.value));
        }
        let match_ns = started.elapsed().as_nanos() as f64 / iterations as f64;
        let mut admission = AdmissionControl::new(table);
        let started = Instant::now();
        for n in 0..iterations {
            let (path, tenant) = request(n);
            let request = Request { path, method: "POST", category: n % 2, tenant, header: &|_| None };
            if let Admission::Admitted(permit) = admission.admit(n as i64, n as u64, &request) {
                black_box(permit);
            }
        }
        let enter_ns = started.elapsed().as_nanos() as f64 / iterations as f64;
        println!("{count:>7} {check_ms:>12.1} {match_ns:>12.0} {enter_ns:>12.0}");
    }
}
