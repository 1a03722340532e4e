//! Parsers of the two documents that a process of the fleet reads: its settings file and the operator's
//! configuration.
//!
//! [`BootSettings`] is the settings file (TOML): the identity of the machine, its listen addresses, its
//! limits and the bounds of the contracts in force. [`FleetConfig`] is the operator's configuration (JSON):
//! routes, services, tenants and client limits, with indexes that find the route of a request and the tenant
//! of an API key. Both parsers accept only fully valid documents; an error names the location, the expected
//! value and the remedy.
//!
//! The only I/O in this crate is in [`BootSettings::load`], which reads one file.
#![forbid(unsafe_code)]

pub mod boot;
pub mod fleet_config;

pub use boot::{
    BootSettings, BootSettingsError, CloudApi, ContractBounds, FaultTolerance, ListenAddresses, MachineLimits,
};
pub use fleet_config::{
    ClientLimits, ConfigError, Engine, FleetConfig, QuotaUnit, Route, RouteKind, Service, SplitTarget, Tenant,
};
