//! The lab: a discrete-event simulation of clients, nodes, servers, the server list and the network. Each
//! node hosts the real decision module, unchanged, or one of the baseline policies that it is compared with.
//!
//! Nothing here does I/O or reads a clock. The same experiment, policy and seed give the same run, to the
//! byte: all random numbers come from seeded generators, one for each purpose, so that all policies handle
//! the same requests.
//!
//! ```
//! use dunelink_lab::{Experiment, run};
//!
//! let experiment = Experiment::from_toml(
//!     r#"
//!     name = "two servers"
//!     span = "2s"
//!     settle = "0s"
//!     clients.rate = 50.0
//!     servers.count = 2
//!     [[compare]]
//!     policy = "p2c"
//!     "#,
//! )?;
//! let case = &experiment.cases()?[0];
//! let metrics = run(case, &mut |_| true)?;
//! assert!(metrics.violations.is_empty());
//! assert_eq!(metrics.asked, metrics.served);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod baselines;
pub mod experiment;
mod intervals;
mod invariants;
mod metrics;
pub mod report;
mod shrink;
pub mod simulation;

pub use experiment::{Case, Experiment, ExperimentError};
pub use intervals::{Estimate, estimate};
pub use invariants::{Invariant, Violation};
pub use metrics::{RunMetrics, TimelinePoint};
pub use shrink::shrink_case;
pub use simulation::{run, run_with_policies};

/// A point in simulated time, or a span of it, in microseconds.
pub type Micros = u64;
