//! The two inputs of operators: the settings file of each process, and the configuration that all processes share.
//!
//! [`NodeSettings`] describes a process and its machine, [`Config`] which routes and services there are. Both
//! are read from JSON by hand, field by field: unknown fields are ignored, missing ones get a default or are a fault, and all
//! faults of a text are reported at once in a [`ConfigError`]. Whatever the bytes, reading ends in a value or in faults, never
//! in a panic.

mod config;
mod document;
mod error;
mod fault_collector;
mod fault_tolerance;
mod host_name;
mod key_use;
mod node_settings;
mod reason;
mod route;
mod route_table;
mod section;
mod service;
mod tenant;
mod time_bounds;
mod values;

pub use config::{Config, HttpLimits};
pub use error::{ConfigError, SettingsFault};
pub use fault_tolerance::FaultTolerance;
pub use node_settings::{NodeSettings, PortRange, ResourceLimits, ZoneDistance};
pub use reason::FaultReason;
pub use route::{Route, RouteKind};
pub use service::Service;
pub use tenant::{Tenant, TenantTable};
pub use time_bounds::TimeBounds;
