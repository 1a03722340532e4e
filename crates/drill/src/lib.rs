//! The simulator's side of the decision module: frames on standard input become events, actions become
//! frames on standard output. Nothing is decided here.

pub mod wire;
