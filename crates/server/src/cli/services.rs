//! Aggregates the state of each service over all stores: queue, requests in flight, executors and rate limit.

use super::discovery::Fleet;
use crate::protocol::NodeRole;
use jzon::JsonValue;
use std::collections::BTreeMap;

/// JSON keys of the retry counters (in the object `repeats`) that are summed over the stores.
const RETRY_COUNTERS: [&str; 5] = ["first", "again", "held_back", "waiting", "most_at_one"];

/// Builds a JSON object with one member for each service.
pub fn services(fleet: &Fleet) -> JsonValue {
    let executors = executors_by_id(fleet);
    let mut services: BTreeMap<String, JsonValue> = BTreeMap::new();
    for store in fleet.reports_of(NodeRole::Store) {
        let store_name = store["node"].to_string();
        for reported in store["services"].members() {
            let total = services.entry(reported["service"].to_string()).or_insert_with(empty_service);
            add_counters(total, reported);
            add_rate_limit(total, reported, &store_name);
            total["stores"][&*store_name] =
                jzon::object! { "waiting" => reported["waiting"].clone(), "out" => reported["out"].clone() };
            for executor in reported["executors"].members() {
                add_executor(&mut total["executors"], executor, &store_name, &executors);
            }
        }
    }
    add_unlisted_executors(&mut services, executors);
    let mut object = JsonValue::new_object();
    services.into_iter().for_each(|(name, service)| object[&*name] = service);
    object
}

/// The entry of each executor from the reports of the control nodes; if several reports have one, the first is used.
fn executors_by_id(fleet: &Fleet) -> BTreeMap<String, JsonValue> {
    let mut executors = BTreeMap::new();
    for report in fleet.reports_of(NodeRole::Control) {
        for executor in report["executors"].members() {
            executors.entry(executor["id"].to_string()).or_insert_with(|| executor.clone());
        }
    }
    executors
}

fn empty_service() -> JsonValue {
    let mut retries = JsonValue::new_object();
    RETRY_COUNTERS.iter().for_each(|counter| retries[*counter] = 0.into());
    jzon::object! {
        "waiting" => 0,
        "out" => 0,
        "oldest_ms" => 0,
        "ceiling" => JsonValue::Null,
        "repeats" => retries,
        "stores" => JsonValue::new_object(),
        "executors" => JsonValue::new_object(),
    }
}

fn sum(left: &JsonValue, right: &JsonValue) -> JsonValue {
    (left.as_u64().unwrap_or(0) + right.as_u64().unwrap_or(0)).into()
}

fn add_counters(total: &mut JsonValue, reported: &JsonValue) {
    total["waiting"] = sum(&total["waiting"], &reported["waiting"]);
    total["out"] = sum(&total["out"], &reported["out"]);
    for counter in RETRY_COUNTERS {
        total["repeats"][counter] = sum(&total["repeats"][counter], &reported["repeats"][counter]);
    }
    total["oldest_ms"] = total["oldest_ms"].as_u64().max(reported["oldest_ms"].as_u64()).into();
}

fn add_rate_limit(total: &mut JsonValue, reported: &JsonValue, store_name: &str) {
    let rate_limit = &reported["ceiling"];
    if rate_limit.is_null() {
        return;
    }
    if total["ceiling"].is_null() {
        let rate = rate_limit["rate_per_s"].clone();
        total["ceiling"] = jzon::object! { "rate_per_s" => rate, "holders" => jzon::array![] };
    }
    if rate_limit["here"] == true {
        // `push` can't fail, because the value was made an array above.
        let _ = total["ceiling"]["holders"].push(store_name);
    }
}

fn add_executor(
    executors: &mut JsonValue,
    reported: &JsonValue,
    store_name: &str,
    executors_by_id: &BTreeMap<String, JsonValue>,
) {
    let id = reported["id"].to_string();
    let executor = &mut executors[&*id];
    if executor.is_null() {
        *executor = executors_by_id.get(&id).cloned().unwrap_or_else(JsonValue::new_object);
        executor["out"] = 0.into();
        executor["shares"] = JsonValue::new_object();
    }
    executor["out"] = sum(&executor["out"], &reported["out"]);
    executor["shares"][store_name] = reported["share"].clone();
}

/// Adds the executors that no store lists, because no configuration names their service or they have just registered.
fn add_unlisted_executors(
    services: &mut BTreeMap<String, JsonValue>,
    executors: BTreeMap<String, JsonValue>,
) {
    for (id, executor) in executors {
        let service = services.entry(executor["service"].to_string()).or_insert_with(|| {
            jzon::object! {
                "waiting" => 0, "out" => 0, "oldest_ms" => 0, "executors" => JsonValue::new_object()
            }
        });
        if service["executors"][&*id].is_null() {
            service["executors"][&*id] = executor;
        }
    }
}
