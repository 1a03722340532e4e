//! The time to classify a request, by the size of its document, without and with a cache of documents.

#![allow(missing_docs)] // `criterion_group!` generates a public function.

mod common;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};

fn classify(criterion: &mut Criterion) {
    for (name, cache_bytes) in [("new", 0), ("known", 1 << 20)] {
        let reader = common::reader(cache_bytes);
        let mut group = criterion.benchmark_group(name);
        for payslips in common::PAYSLIPS {
            let body = common::body(payslips);
            group.throughput(Throughput::Bytes(body.len() as u64));
            group.bench_with_input(BenchmarkId::from_parameter(body.len()), &body, |bencher, body| {
                bencher.iter(|| common::is_accepted(&reader, body));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, classify);
criterion_main!(benches);
