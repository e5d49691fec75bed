//! The settings object that a plan's nodes are given: the platform's form, read by the module's own reader, for
//! simulated and for real nodes alike.

use crate::plan::{EffectName, GaugeName, Group, Order, Plan};
use serde_json::{json, Value};
use std::sync::Arc;
use stileroute_dispatch::settings::PostedSettings;
use stileroute_route_limits::table::Table;
use stileroute_route_limits::PlatformSettings;

fn ns_of_ms(ms: f64) -> i64 {
    (ms * 1e6).round() as i64
}

fn ns_of_s(s: f64) -> i64 {
    ns_of_ms(s * 1000.0)
}

/// The settings for one node.
pub fn settings(plan: &Plan, node: usize) -> Value {
    let fleet = &plan.fleet;
    let kind = |name: &Option<String>| -> i64 {
        let at = name.as_ref().and_then(|name| fleet.kind.iter().position(|kind| kind.name == *name));
        at.map_or(-1, |at| at as i64)
    };
    let categories: Vec<Value> = plan
        .category
        .iter()
        .map(|category| {
            json!({
                "name": category.name,
                "target-latency-ns": ns_of_ms(category.target_ms),
                "aim-stretch": category.stretch,
                "ttl-ns": ns_of_ms(category.ttl_ms),
                "benefit": category.benefit,
                "late-benefit": category.late,
                "semantics": match category.effect {
                    EffectName::Redeliverable => "repeatable",
                    EffectName::Deduplicated => "by_key",
                    EffectName::AtMostOnce => "once",
                },
                "key-scope": match category.group {
                    Group::All => "all",
                    Group::Domain => "zone",
                    Group::Cell => "cell",
                },
                "window-ns": ns_of_ms(category.window_ms),
            })
        })
        .collect();
    let names: Vec<&str> = fleet
        .report
        .gauges
        .iter()
        .map(|gauge| match gauge {
            GaugeName::Held => "rif",
            GaugeName::Waiting => "q",
            GaugeName::Busy => "busy",
            GaugeName::Free => "x0",
        })
        .collect();
    let by_priority = fleet.kind.iter().any(|kind| kind.queue == Order::Priority);
    json!({
        "balancers": plan.nodes.count,
        "caps": {
            "cancel": fleet.cancel,
            "peers": plan.nodes.talk || plan.nodes.members_ms > 0.0,
            "parallel-tries": fleet.second_copies,
            "retry-after": fleet.come_back_ms > 0.0,
            "max-retry-after-ns": ns_of_ms(fleet.come_back_ms),
            "max-pushes": fleet.max_pushes,
            "dial-timeout-ns": ns_of_ms(fleet.dial_ms),
            "keepalive-ns": ns_of_s(fleet.kind.iter().map(|kind| kind.idle_close_s).fold(f64::INFINITY, f64::min)),
        },
        "categories": categories,
        "discovery": "automatic",
        "extra": {
            "class-kind": plan.category.iter().map(|category| kind(&category.kind)).collect::<Vec<_>>(),
            "class-priority": plan.category.iter().map(|category| category.priority).collect::<Vec<_>>(),
            "progress-ns": ns_of_ms(fleet.progress_ms),
            "queue-order": if by_priority { "priority" } else { "" },
            "report-x0": "free slots",
            "tells-start": fleet.tells_start,
        },
        "failure-domains": fleet.domains,
        "shapes": fleet.kind.iter().map(|kind| kind.name.as_str()).collect::<Vec<_>>(),
        "granularity-ns": 2_000_000,
        "me": if plan.nodes.talk { node } else { 0 },
        "my-zone": plan.domain_of_node(node),
        "prices": { "cross-zone": fleet.cross },
        "report": { "names": names, "source": "piggyback" },
        "rules": {
            "overload-factor": fleet.cold.overload_factor,
            "start-capacity": fleet.cold.start_share,
            "tip-after-ns": ns_of_s(fleet.cold.tip_after_s),
            "warm-within-ns": ns_of_s(fleet.cold.warm_within_s),
        },
        "weight-kind": if fleet.list.live_weights_s > 0.0 { "live" } else { "fixed" },
    })
}

/// Routes in force, if any, and those that replace them in turn.
pub type Routes = (Option<Arc<Table>>, Vec<Arc<Table>>);

/// The routes of a plan, and those that replace them in turn; texts with faults are left out, as a node does.
pub fn routes(plan: &Plan) -> Result<Routes, String> {
    let Some(text) = &plan.operator else { return Ok((None, Vec::new())) };
    let posted: PostedSettings =
        serde_json::from_value(settings(plan, 0)).map_err(|error| error.to_string())?;
    let ground = PlatformSettings::from_posted(&posted).map_err(|error| error.to_string())?;
    let read =
        |text: &str| stileroute_operator_file::read("operator", text, |keys| Table::read(keys, &ground));
    let first =
        read(text).map_err(|faults| faults.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("; "))?;
    let next = plan.operator_next.iter().filter_map(|text| read(text).ok()).map(Arc::new).collect();
    Ok((Some(Arc::new(first)), next))
}

/// A line of the list, in discovery's form.
pub fn endpoint(
    name: &str,
    at: &str,
    zone: &str,
    kind: &str,
    group: usize,
    status: &str,
    since_ms: i64,
) -> Value {
    json!({
        "name": name, "address": at, "zone": zone, "type": kind, "group": group, "status": status,
        "weight": 1.0, "since_ms": since_ms,
    })
}
