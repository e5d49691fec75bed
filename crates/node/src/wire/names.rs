//! All header names, paths and status words of the wire protocols.

pub const READY: &str = "/-/ready";
pub const HEALTHY: &str = "/-/healthy";
pub const ADMIN_READY: &str = "/ready";
pub const ADMIN_METRICS: &str = "/metrics";
pub const ADMIN_MEMBERS: &str = "/members";
pub const ADMIN_DISABLE: &str = "/executors/disable/";
pub const ADMIN_ENABLE: &str = "/executors/enable/";
pub const PUT: &str = "PUT";
pub const GET: &str = "GET";
pub const TARGETS: &str = "/api/targets";

pub const CALL_ID: &str = "X-Call-Id";
pub const CATEGORY: &str = "X-Call-Class";
pub const BUDGET: &str = "X-Budget-Ms";
pub const COST: &str = "X-Call-Cost";
pub const CALL_INFO: &str = "X-Call-Info";
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
pub const REJECTED_UNSTARTED: &str = "X-Rejected";
pub const LOAD: &str = "X-Load-Report";

pub const SLOTS: &str = "slots";
pub const MEMORY: &str = "memory";

pub const JOB_STARTED: &str = "started";
pub const JOB_RUNNING: &str = "running";
pub const JOB_DONE: &str = "done";
pub const JOB_FAILED: &str = "failed";
pub const JOB_RETURNED: &str = "returned";
pub const JOB_LOST: &str = "lost";

pub const ACTIVE: &str = "Ready";
pub const REMOVED: &str = "Gone";

/// Names of a gauge in load reports, each with its name in the settings.
const GAUGE_ALIASES: [(&str, &str); 7] = [
    ("inflight", "rif"),
    ("queue", "q"),
    ("util", "busy"),
    ("cpu_utilization", "busy"),
    ("latency_ms", "lat_ms"),
    ("qps", "rate"),
    ("eps", "fail_rate"),
];

/// Whether `name` in a load report is the gauge that the settings call `gauge`.
pub fn is_gauge(name: &str, gauge: &str) -> bool {
    let name = name.strip_prefix("named_metrics.").unwrap_or(name);
    name == gauge || GAUGE_ALIASES.contains(&(name, gauge))
}
