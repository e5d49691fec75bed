//! The two inputs of operators: the settings file of each process, and the configuration that all processes share.
//!
//! [`NodeSettings`] describes a process and its machine, [`Config`] the routes and services. Both are read from JSON field by
//! field, without derived code: unknown fields are ignored, a missing field gets a default or is a fault, and all faults of a
//! text are reported at once in a [`ConfigError`]. Whatever the bytes, reading returns a value or faults and never panics.

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
