//! What it costs to say what a request is, by the size of its document.

#![allow(missing_docs)] // The macro makes a public function.

mod common;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};

fn classify(criterion: &mut Criterion) {
    for (name, known) in [("new", 0), ("known", 1 << 20)] {
        let reader = common::reader(known);
        let mut group = criterion.benchmark_group(name);
        for fields in common::FIELDS {
            let body = common::body(fields);
            group.throughput(Throughput::Bytes(body.len() as u64));
            group.bench_with_input(BenchmarkId::from_parameter(body.len()), &body, |bencher, body| {
                bencher.iter(|| common::read(&reader, body));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, classify);
criterion_main!(benches);
