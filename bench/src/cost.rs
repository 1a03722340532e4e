//! The same requests by three ways to the same servers, taking turns.

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

use crate::children::{addresses, config, daemon};
use crate::usage::cpu;

/// What is measured.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Requests a second, evenly spaced with some chance.
    #[arg(long, default_value_t = 2000)]
    rate: u32,
    /// So many clients that ask as soon as they are answered, in place of a rate.
    #[arg(long)]
    clients: Option<usize>,
    /// Seconds that each way is used for in each round.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Rounds; medians over them are told.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Stand-in servers.
    #[arg(long, default_value_t = 8)]
    servers: usize,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
    /// Another build of the daemon, to compare with.
    #[arg(long)]
    before: Option<PathBuf>,
    /// Compare POSTs of one body instead: to a class by its path, and as a query and a mutation to a GraphQL endpoint.
    #[arg(long, conflicts_with = "before")]
    graphql: bool,
}

/// The body of all POSTs: a query as clients send it, or a mutation of the same size.
const DOCUMENT: &str = "PaySlips($bureau: ID!, $first: Int) { bureau(id: $bureau) { name payslips(first: $first) \
    { id month gross net lines { kind amount } } } }";

/// What one way showed in one round.
#[derive(Clone, Copy)]
struct Figures {
    median: Duration,
    p99: Duration,
    /// Requests a second.
    rate: f64,
    /// CPU time for each request, of the caller and the daemon together; servers aside.
    cpu: Duration,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, measure(options))
}

/// Keep-alive connections to one address.
#[derive(Clone)]
struct Pool {
    to: Vec<SocketAddr>,
    turn: Rc<RefCell<usize>>,
    idle: Rc<RefCell<Vec<VecDeque<Sender>>>>,
}

type Sender = SendRequest<Full<Bytes>>;

impl Pool {
    fn new(to: Vec<SocketAddr>) -> Pool {
        let idle = to.iter().map(|_| VecDeque::new()).collect();
        Pool { to, turn: Rc::default(), idle: Rc::new(RefCell::new(idle)) }
    }

    /// A request to the next address in turn.
    async fn ask(&self, request: Request<Full<Bytes>>) -> anyhow::Result<()> {
        let at = {
            let mut turn = self.turn.borrow_mut();
            *turn = (*turn + 1) % self.to.len();
            *turn
        };
        let kept = self.idle.borrow_mut()[at].pop_back();
        let mut sender = match kept {
            Some(sender) if sender.is_ready() => sender,
            _ => {
                let stream = TcpStream::connect(self.to[at]).await?;
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
            self.idle.borrow_mut()[at].push_back(sender);
        }
        Ok(())
    }
}

/// One way to the servers.
#[derive(Clone)]
enum Way {
    Pool(Pool),
    Library(Handle),
    /// A POST to this path, of this kind of operation.
    Post(Pool, &'static str, &'static str),
}

impl Way {
    async fn ask(&self, number: u64) -> anyhow::Result<()> {
        if let Way::Post(pool, path, kind) = self {
            let body = format!(
                r#"{{"query":"{kind} {DOCUMENT}","variables":{{"bureau":"{number}","first":12}},"operationName":"PaySlips"}}"#
            );
            // Requests of one key may go to few servers: each has its own, as far as a path tells it.
            let path = if path.ends_with('/') { format!("{path}{number}") } else { path.to_string() };
            let request = Request::post(path)
                .header("host", "origin.svc")
                .header("content-type", "application/json")
                .header("req-id", format!("{number:016x}"))
                .header("req-deadline", "2.000")
                .body(Full::new(Bytes::from(body)))?;
            return pool.ask(request).await;
        }
        let request = Request::get(format!("/view/{number}"))
            .header("host", "origin.svc")
            .header("req-id", format!("{number:016x}"))
            .header("req-deadline", "2.000")
            .body(Full::new(Bytes::new()))?;
        match self {
            Way::Pool(pool) | Way::Post(pool, ..) => pool.ask(request).await,
            Way::Library(node) => match node.call(request).await? {
                Answer::Served(_) => Ok(()),
                other => bail!("answered {other:?}"),
            },
        }
    }
}

/// Starts the servers' process.
async fn servers(count: usize) -> anyhow::Result<(Child, Vec<SocketAddr>)> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["servers", &count.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let there = addresses(&mut child).await?;
    Ok((child, there))
}

async fn measure(options: &Options) -> anyhow::Result<()> {
    let (_servers, addresses) = servers(options.servers).await?;
    let list: Vec<Server> =
        addresses.iter().enumerate().map(|(i, a)| Server::new(format!("s-{i}"), *a)).collect();
    let programs = options.before.iter().map(|p| ("daemon before", p)).chain([("daemon", &options.daemon)]);
    if options.graphql {
        return measure_graphql(options, addresses, list).await;
    }
    let mut ways = vec![("no balancer", Way::Pool(Pool::new(addresses)))];
    let mut daemons = Vec::new();
    for (name, program) in programs {
        let (child, front) = daemon(Command::new(program), &config("daemon", list.clone())).await?;
        ways.push((name, Way::Pool(Pool::new(vec![front]))));
        daemons.push(child);
    }
    let processes: Vec<u32> = daemons.iter().filter_map(Child::id).chain([std::process::id()]).collect();
    let node =
        Node::builder(config("library", list.clone())).roster(roster::Fixed::new(list.clone())).start()?;
    ways.push(("library", Way::Library(node.handle().clone())));
    play_all(options, &ways, &processes).await?;
    node.shutdown(Duration::from_secs(1)).await;
    Ok(())
}

/// What reading GraphQL adds to a POST.
async fn measure_graphql(
    options: &Options,
    addresses: Vec<SocketAddr>,
    list: Vec<Server>,
) -> anyhow::Result<()> {
    let mut config = config("daemon", list);
    config.classes.push(Class::new("order", Effect::Unsafe, Duration::from_secs(2)));
    config.graphql = Some(GraphQl::new("/graphql", "view", "order"));
    let (child, front) = daemon(Command::new(&options.daemon), &config).await?;
    let post = |path, kind| Way::Post(Pool::new(vec![front]), path, kind);
    let ways = [
        ("no balancer", Way::Post(Pool::new(addresses), "/order/", "query")),
        ("POST to a class", post("/order/", "query")),
        ("GraphQL mutation", post("/graphql", "mutation")),
        ("GraphQL query", post("/graphql", "query")),
    ];
    let processes: Vec<u32> = child.id().into_iter().chain([std::process::id()]).collect();
    play_all(options, &ways, &processes).await
}

/// Plays all ways in turn, and prints the table.
async fn play_all(options: &Options, ways: &[(&str, Way)], processes: &[u32]) -> anyhow::Result<()> {
    let mut rounds: Vec<Vec<Figures>> = vec![Vec::new(); ways.len()];
    let mut number = 0;
    for round in 0..=options.rounds {
        for ((_, way), all) in ways.iter().zip(&mut rounds) {
            let figures = play(way, options, &mut number, processes).await?;
            // The first round opens connections and warms up.
            if round > 0 {
                all.push(figures);
            }
        }
    }
    let names: Vec<&str> = ways.iter().map(|(name, _)| *name).collect();
    report(options, &names, &rounds);
    Ok(())
}

/// Sends requests one way for some seconds.
async fn play(way: &Way, options: &Options, number: &mut u64, processes: &[u32]) -> anyhow::Result<Figures> {
    let times = Rc::new(RefCell::new(Vec::new()));
    let mut random = fastrand::Rng::with_seed(*number);
    let mut tasks = JoinSet::new();
    let used = || processes.iter().map(|process| cpu(*process)).sum::<anyhow::Result<Duration>>();
    let (began, before) = (Instant::now(), used()?);
    let (mut next, end) = (began, began + Duration::from_secs(options.seconds));
    for client in 0..options.clients.unwrap_or(0) as u64 {
        let (way, times, mut number) = (way.clone(), times.clone(), *number + (client << 32));
        tasks.spawn_local(async move {
            while Instant::now() < end {
                let asked = Instant::now();
                number += 1;
                way.ask(number).await?;
                times.borrow_mut().push(asked.elapsed());
            }
            anyhow::Ok(())
        });
    }
    while options.clients.is_none() && next < end {
        next += Duration::from_secs_f64((0.5 + random.f64()) / f64::from(options.rate));
        sleep_until(next).await;
        *number += 1;
        let (way, times, number) = (way.clone(), times.clone(), *number);
        tasks.spawn_local(async move {
            let asked = Instant::now();
            way.ask(number).await?;
            times.borrow_mut().push(asked.elapsed());
            anyhow::Ok(())
        });
        while let Some(done) = tasks.try_join_next() {
            done??;
        }
    }
    while let Some(done) = tasks.join_next().await {
        done??;
    }
    let used = used()? - before;
    let lasted = began.elapsed();
    let mut times = times.take();
    *number += if options.clients.is_some() { times.len() as u64 } else { 0 };
    times.sort_unstable();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    let rate = times.len() as f64 / lasted.as_secs_f64();
    Ok(Figures { rate, median: at(0.5), p99: at(0.99), cpu: used / times.len() as u32 })
}

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
    let middle = |of: &dyn Fn(&Figures) -> Duration, way: usize| {
        let mut all: Vec<f64> = rounds[way].iter().map(|f| micros(of(f))).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let figures = |way| [middle(&|f| f.median, way), middle(&|f| f.p99, way), middle(&|f| f.cpu, way)];
    let rate = |way: usize| {
        let mut all: Vec<f64> = rounds[way].iter().map(|figures| figures.rate).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let base = figures(0);
    for (way, name) in names.iter().enumerate() {
        let [median, p99, cpu] = figures(way);
        println!(
            "| {name} | {:.0} | {median:.0} us | {:+.0} us | {p99:.0} us | {:+.0} us | {cpu:.0} us | {:.2} |",
            rate(way),
            median - base[0],
            p99 - base[1],
            cpu / base[2]
        );
    }
}
