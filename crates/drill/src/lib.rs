//! The adapter between the simulator and the decision module: frames on standard input become events, and
//! actions become frames on standard output. Nothing is decided here.

pub mod wire;
