//! The library behind `dunelink-fleet`, the command-line tool of the operators of a fleet.
//!
//! - [`check`] validates a settings file or a configuration.
//! - [`api`] calls the operator HTTP interface of the control machines; [`status`] and [`configuration`] use
//!   it.
//! - [`difference`] lists the differences between two configurations.
//! - [`data_folder`] inspects the data folder of a stopped control machine without changing it.
//! - [`demo`] runs a complete small fleet on loopback addresses.
//!
//! The output of these modules never contains API keys, except for the raw bytes of a configuration.

#![forbid(unsafe_code)]

pub mod api;
pub mod check;
pub mod configuration;
pub mod data_folder;
pub mod demo;
pub mod difference;
pub mod error;
pub mod status;

pub use error::OperatorError;
