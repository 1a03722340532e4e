//! Sends the same requests to the same servers by several routes in turn (without a balancer, through the
//! daemon, through the library), and compares latency and CPU time.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use anyhow::bail;
use bytes::Bytes;
use dunelink::config::{Class, Effect, GraphQl};
use dunelink::{Answer, Handle, Node, Server, roster};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

use crate::children::{node_config, read_addresses, start_daemon};
use crate::usage::cpu_time;

/// Options of `cost`.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Requests per second; the gaps between them vary at random, from half to one and a half times the mean.
    #[arg(long, default_value_t = 2000)]
    rate: u32,
    /// Number of clients that each send the next request as soon as the last one is answered, in place of a
    /// fixed rate.
    #[arg(long)]
    clients: Option<usize>,
    /// Seconds for which each route is used in each round.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Number of rounds; the report shows the medians over them.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Number of stand-in servers.
    #[arg(long, default_value_t = 8)]
    servers: usize,
    /// Path of the daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
    /// Path of another build of the daemon to compare with.
    #[arg(long)]
    before: Option<PathBuf>,
    /// Compare POSTs with a body of the same size instead: to a class by its path, and as a query and as a
    /// mutation to the GraphQL endpoint.
    #[arg(long, conflicts_with = "before")]
    graphql: bool,
}

/// The GraphQL operation in the body of all POSTs, without its leading `query` or `mutation`.
const OPERATION: &str = "PaySlips($bureau: ID!, $first: Int) { bureau(id: $bureau) { name payslips(first: $first) \
    { id month gross net lines { kind amount } } } }";

/// Results of one route in one round.
#[derive(Clone, Copy)]
struct Figures {
    /// Median latency.
    median: Duration,
    /// 99th percentile of the latency.
    p99: Duration,
    /// Answered requests per second.
    rate: f64,
    /// CPU time per request of the caller and all daemons together, without the servers.
    cpu_per_request: Duration,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, measure(options))
}

/// A pool of keep-alive connections to several addresses, used in rotation.
#[derive(Clone)]
struct Pool {
    addresses: Vec<SocketAddr>,
    /// Index of the address that was used last.
    last_used: Rc<RefCell<usize>>,
    /// Idle connections of each address.
    idle: Rc<RefCell<Vec<VecDeque<Sender>>>>,
}

type Sender = SendRequest<Full<Bytes>>;

impl Pool {
    fn new(addresses: Vec<SocketAddr>) -> Pool {
        let idle = addresses.iter().map(|_| VecDeque::new()).collect();
        Pool { addresses, last_used: Rc::default(), idle: Rc::new(RefCell::new(idle)) }
    }

    /// Sends a request to the next address in rotation; an error unless the status is 200.
    async fn send(&self, request: Request<Full<Bytes>>) -> anyhow::Result<()> {
        let index = {
            let mut last_used = self.last_used.borrow_mut();
            *last_used = (*last_used + 1) % self.addresses.len();
            *last_used
        };
        let idle_sender = self.idle.borrow_mut()[index].pop_back();
        let mut sender = match idle_sender {
            Some(sender) if sender.is_ready() => sender,
            _ => {
                let stream = TcpStream::connect(self.addresses[index]).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await?;
                spawn_local(connection);
                sender
            }
        };
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        if status != 200 {
            bail!("answered {status}");
        }
        if sender.ready().await.is_ok() {
            self.idle.borrow_mut()[index].push_back(sender);
        }
        Ok(())
    }
}

/// A route by which requests reach the servers.
#[derive(Clone)]
enum Route {
    /// GETs over plain connections, either to the servers or to a daemon.
    Pool(Pool),
    /// GETs by a node in this process.
    Library(Handle),
    /// POSTs to this path, with this kind of GraphQL operation, `query` or `mutation`.
    Post(Pool, &'static str, &'static str),
}

impl Route {
    async fn send(&self, number: u64) -> anyhow::Result<()> {
        if let Route::Post(pool, path, kind) = self {
            let body = format!(
                r#"{{"query":"{kind} {OPERATION}","variables":{{"bureau":"{number}","first":12}},"operationName":"PaySlips"}}"#
            );
            // Requests with one key may go to only a few servers, so each request gets a key of its own where
            // the path carries the key.
            let path = if path.ends_with('/') { format!("{path}{number}") } else { path.to_string() };
            let request = Request::post(path)
                .header("host", "origin.svc")
                .header("content-type", "application/json")
                .header("req-id", format!("{number:016x}"))
                .header("req-deadline", "2.000")
                .body(Full::new(Bytes::from(body)))?;
            return pool.send(request).await;
        }
        let request = Request::get(format!("/view/{number}"))
            .header("host", "origin.svc")
            .header("req-id", format!("{number:016x}"))
            .header("req-deadline", "2.000")
            .body(Full::new(Bytes::new()))?;
        match self {
            Route::Pool(pool) | Route::Post(pool, ..) => pool.send(request).await,
            Route::Library(node) => match node.call(request).await? {
                Answer::Served(_) => Ok(()),
                other => bail!("answered {other:?}"),
            },
        }
    }
}

/// Starts the process of stand-in servers. Returns it and the servers' addresses.
async fn start_servers(count: usize) -> anyhow::Result<(Child, Vec<SocketAddr>)> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["servers", &count.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let addresses = read_addresses(&mut child).await?;
    Ok((child, addresses))
}

async fn measure(options: &Options) -> anyhow::Result<()> {
    let (_servers, addresses) = start_servers(options.servers).await?;
    let server_list: Vec<Server> =
        addresses.iter().enumerate().map(|(i, a)| Server::new(format!("s-{i}"), *a)).collect();
    let programs = options.before.iter().map(|p| ("daemon before", p)).chain([("daemon", &options.daemon)]);
    if options.graphql {
        return measure_graphql(options, addresses, server_list).await;
    }
    let mut routes = vec![("no balancer", Route::Pool(Pool::new(addresses)))];
    let mut daemons = Vec::new();
    for (name, program) in programs {
        let (child, address) =
            start_daemon(Command::new(program), &node_config("daemon", server_list.clone())).await?;
        routes.push((name, Route::Pool(Pool::new(vec![address]))));
        daemons.push(child);
    }
    let processes: Vec<u32> = daemons.iter().filter_map(Child::id).chain([std::process::id()]).collect();
    let node = Node::builder(node_config("library", server_list.clone()))
        .roster(roster::Fixed::new(server_list.clone()))
        .start()?;
    routes.push(("library", Route::Library(node.handle().clone())));
    measure_routes(options, &routes, &processes).await?;
    node.shutdown(Duration::from_secs(1)).await;
    Ok(())
}

/// Measures what the parsing of GraphQL adds to a POST.
async fn measure_graphql(
    options: &Options,
    addresses: Vec<SocketAddr>,
    server_list: Vec<Server>,
) -> anyhow::Result<()> {
    let mut config = node_config("daemon", server_list);
    config.classes.push(Class::new("order", Effect::Unsafe, Duration::from_secs(2)));
    config.graphql = Some(GraphQl::new("/graphql", "view", "order"));
    let (child, address) = start_daemon(Command::new(&options.daemon), &config).await?;
    let post = |path, kind| Route::Post(Pool::new(vec![address]), path, kind);
    let routes = [
        ("no balancer", Route::Post(Pool::new(addresses), "/order/", "query")),
        ("POST to a class", post("/order/", "query")),
        ("GraphQL mutation", post("/graphql", "mutation")),
        ("GraphQL query", post("/graphql", "query")),
    ];
    let processes: Vec<u32> = child.id().into_iter().chain([std::process::id()]).collect();
    measure_routes(options, &routes, &processes).await
}

/// Measures all routes in turn, round by round, and prints the table.
async fn measure_routes(
    options: &Options,
    routes: &[(&str, Route)],
    processes: &[u32],
) -> anyhow::Result<()> {
    let mut rounds: Vec<Vec<Figures>> = vec![Vec::new(); routes.len()];
    let mut number = 0;
    for round in 0..=options.rounds {
        for ((_, route), all) in routes.iter().zip(&mut rounds) {
            let figures = run_round(route, options, &mut number, processes).await?;
            // The first round opens connections and warms up; its figures are dropped.
            if round > 0 {
                all.push(figures);
            }
        }
    }
    let names: Vec<&str> = routes.iter().map(|(name, _)| *name).collect();
    report(options, &names, &rounds);
    Ok(())
}

/// Sends requests by one route for `options.seconds`.
async fn run_round(
    route: &Route,
    options: &Options,
    number: &mut u64,
    processes: &[u32],
) -> anyhow::Result<Figures> {
    let latencies = Rc::new(RefCell::new(Vec::new()));
    let mut random = fastrand::Rng::with_seed(*number);
    let mut tasks = JoinSet::new();
    let cpu_used = || processes.iter().map(|process| cpu_time(*process)).sum::<anyhow::Result<Duration>>();
    let (started, cpu_before) = (Instant::now(), cpu_used()?);
    let (mut next, end) = (started, started + Duration::from_secs(options.seconds));
    for client in 0..options.clients.unwrap_or(0) as u64 {
        let (route, latencies, mut number) = (route.clone(), latencies.clone(), *number + (client << 32));
        tasks.spawn_local(async move {
            while Instant::now() < end {
                let sent_at = Instant::now();
                number += 1;
                route.send(number).await?;
                latencies.borrow_mut().push(sent_at.elapsed());
            }
            anyhow::Ok(())
        });
    }
    while options.clients.is_none() && next < end {
        next += Duration::from_secs_f64((0.5 + random.f64()) / f64::from(options.rate));
        sleep_until(next).await;
        *number += 1;
        let (route, latencies, number) = (route.clone(), latencies.clone(), *number);
        tasks.spawn_local(async move {
            let sent_at = Instant::now();
            route.send(number).await?;
            latencies.borrow_mut().push(sent_at.elapsed());
            anyhow::Ok(())
        });
        while let Some(result) = tasks.try_join_next() {
            result??;
        }
    }
    while let Some(result) = tasks.join_next().await {
        result??;
    }
    let cpu_used = cpu_used()? - cpu_before;
    let elapsed = started.elapsed();
    let mut latencies = latencies.take();
    *number += if options.clients.is_some() { latencies.len() as u64 } else { 0 };
    latencies.sort_unstable();
    let at = |quantile: f64| latencies[((latencies.len() - 1) as f64 * quantile) as usize];
    let rate = latencies.len() as f64 / elapsed.as_secs_f64();
    Ok(Figures { rate, median: at(0.5), p99: at(0.99), cpu_per_request: cpu_used / latencies.len() as u32 })
}

/// Prints the table; the added latency and the ratio of CPU time are relative to the first route.
fn report(options: &Options, names: &[&str], rounds: &[Vec<Figures>]) {
    let load = match options.clients {
        Some(clients) => format!("{clients} clients that ask again at once"),
        None => format!("{} requests a second", options.rate),
    };
    println!(
        "{load}, {} servers that answer at once, {} rounds of {} s for each way, taking turns; \
         medians over the rounds",
        options.servers, options.rounds, options.seconds
    );
    println!("\n| way | a second | median | added | p99 | added | CPU a request | ratio |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let micros = |time: Duration| time.as_secs_f64() * 1e6;
    let median_us = |value: &dyn Fn(&Figures) -> Duration, route: usize| {
        let mut all: Vec<f64> = rounds[route].iter().map(|f| micros(value(f))).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let figures = |route| {
        [
            median_us(&|f| f.median, route),
            median_us(&|f| f.p99, route),
            median_us(&|f| f.cpu_per_request, route),
        ]
    };
    let rate = |route: usize| {
        let mut all: Vec<f64> = rounds[route].iter().map(|figures| figures.rate).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let base = figures(0);
    for (route, name) in names.iter().enumerate() {
        let [median, p99, cpu] = figures(route);
        println!(
            "| {name} | {:.0} | {median:.0} us | {:+.0} us | {p99:.0} us | {:+.0} us | {cpu:.0} us | {:.2} |",
            rate(route),
            median - base[0],
            p99 - base[1],
            cpu / base[2]
        );
    }
}
