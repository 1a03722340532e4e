//! The operators' side of the fleet, behind the command `dunelink-fleet`.
//!
//! - [`check`] reads a settings file or a configuration and says whether it can be used.
//! - [`api`] calls the operator's HTTP interface of the control machines; [`status`] and [`configuration`] use it.
//! - [`difference`] compares two configurations.
//! - [`data_folder`] looks at the data folder of a control machine that is not running, without changing it.
//! - [`demo`] plays a whole small fleet on loopback.
//!
//! API keys are never part of what these modules give out, but for the configuration's own bytes.

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
