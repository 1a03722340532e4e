//! How many allocations it takes to say what a request is, by the size of its document.

mod common;

#[global_allocator]
static ALLOC: dhat::Alloc = dhat::Alloc;

fn main() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let reader = common::reader(0);
    println!("{:>8} {:>12} {:>12}", "bytes", "allocations", "bytes in all");
    for fields in common::FIELDS {
        let body = common::body(fields);
        let before = dhat::HeapStats::get();
        assert!(common::read(&reader, &body));
        let after = dhat::HeapStats::get();
        let (blocks, bytes) =
            (after.total_blocks - before.total_blocks, after.total_bytes - before.total_bytes);
        println!("{:>8} {blocks:>12} {bytes:>12}", body.len());
    }
}
