//! The addresses of a rig are free once it is gone.

use std::sync::Arc;

use testkit::rig::close;
use testkit::rig::paths::{Net, Paths, packets};
use tokio::runtime::Builder;

const NODE_COUNT: usize = 6;
const ROUNDS: usize = 300;

/// Guards against a failure to bind (`AddrInUse`): the next rig claimed the addresses of the one before while that
/// one's sockets were still being closed.
#[test]
fn next_rig_binds_the_addresses_of_the_one_before() {
    for _ in 0..ROUNDS {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        runtime.block_on(packets(Arc::new(Net::claim()), NODE_COUNT, Paths::default()));
        close(runtime);
    }
}
