//! The number and size of the allocations that classify a request, by the size of its document.

mod common;

#[global_allocator]
static ALLOC: dhat::Alloc = dhat::Alloc;

fn main() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let reader = common::reader(0);
    println!("{:>8} {:>12} {:>12}", "bytes", "allocations", "bytes in all");
    for payslips in common::PAYSLIPS {
        let body = common::body(payslips);
        let stats_before = dhat::HeapStats::get();
        assert!(common::is_accepted(&reader, &body));
        let stats_after = dhat::HeapStats::get();
        let (blocks, bytes) = (
            stats_after.total_blocks - stats_before.total_blocks,
            stats_after.total_bytes - stats_before.total_bytes,
        );
        println!("{:>8} {blocks:>12} {bytes:>12}", body.len());
    }
}
