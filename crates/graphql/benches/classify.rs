//! What it costs to say what a request is, by the size of its document.

#![allow(missing_docs)]

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use dunelink_graphql::{Class, Documents, Effect, Limits, Reader, Request, Table, Weights};
use http::{HeaderMap, HeaderValue, Method};

fn reader() -> Reader {
    let class = |index, effect| Class { index, effect };
    Reader {
        table: Table { query: class(0, Effect::Safe), mutation: class(1, Effect::Unsafe), rules: Vec::new() },
        limits: Limits { bytes: 1 << 20, tokens: 1 << 20, fields: 1 << 20, ..Limits::default() },
        weights: Weights::default(),
        documents: Documents::default(),
        passed: Vec::new(),
    }
}

fn classify(criterion: &mut Criterion) {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let reader = reader();
    let mut group = criterion.benchmark_group("classify");
    for fields in [1, 10, 100, 1_000] {
        let document =
            format!("query A {{ bureau(id: 7) {{ {} }} }}", "payslip { id gross } ".repeat(fields));
        let body = Bytes::from(serde_json::json!({"query": document, "variables": {"n": 5}}).to_string());
        group.throughput(Throughput::Bytes(body.len() as u64));
        group.bench_with_input(BenchmarkId::from_parameter(body.len()), &body, |bencher, body| {
            let request =
                Request { method: &Method::POST, query: None, headers: &headers, body, has_key: false };
            bencher.iter(|| reader.read(request).is_ok());
        });
    }
    group.finish();
}

criterion_group!(benches, classify);
criterion_main!(benches);
