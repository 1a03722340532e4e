//! The two documents that a process of the fleet reads: its own settings file and the operator's
//! configuration.
//!
//! [`BootSettings`] is the settings file (TOML): who the process is, where it listens, its limits and the bounds that
//! hold. [`FleetConfig`] is the operator's configuration (JSON): routes, services, tenants and client limits,
//! with indexes that find the route of a request and the tenant of a key. Both are checked as a whole; an error
//! names the place, what was expected there and the remedy.
//!
//! The only input or output in this crate is [`BootSettings::load`], which reads one file.
#![forbid(unsafe_code)]

pub mod boot;
pub mod fleet_config;

pub use boot::{
    BootSettings, BootSettingsError, CloudApi, ContractBounds, FaultTolerance, ListenAddresses, MachineLimits,
};
pub use fleet_config::{
    ClientLimits, ConfigError, Engine, FleetConfig, QuotaUnit, Route, RouteKind, Service, SplitTarget, Tenant,
};
