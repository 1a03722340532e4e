//! `dunelink demo`: simulated servers, a server list and a node in one process, under a steady mix of
//! requests, while one server stalls, one drains and one starts cold. All connections are on loopback.

mod dashboard;
mod servers;
mod view;

use std::cell::RefCell;
use std::io::IsTerminal;
use std::rc::Rc;
use std::time::Duration;

use anyhow::bail;
use dunelink::config::{Class, Dedup, DedupGroup, Effect, Tenant};
use dunelink::roster::{self, RosterSender};
use dunelink::{Answer, Config, Handle, Node, ServerState, Update, ext};
use hyper::Request;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep_until};

use self::dashboard::{Dashboard, Outcome};
use self::servers::{DemoServers, WARM_UP};

/// Options of the demo.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Duration of the demo in seconds.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Requests per second.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// Print plain lines, even on a terminal.
    #[arg(long)]
    plain: bool,
}

/// Number of servers at the start; one more is added later.
const INITIAL_SERVERS: usize = 8;
/// Interval between updates of the display with the node's current state.
const FRAME_INTERVAL: Duration = Duration::from_millis(200);

/// The request classes, with the effect of each and its percentage of all requests.
const REQUEST_MIX: [(&str, Effect, u32); 4] = [
    ("payslip-view", Effect::Safe, 50),
    ("pay-preview", Effect::Safe, 20),
    ("timesheet-submit", Effect::Keyed, 20),
    ("transfer-order", Effect::Unsafe, 10),
];

const TENANTS: [&str; 3] = ["ishikari-kyuyo", "asahikawa-jimu", "hakodate-keiri"];

fn config(rate: u32) -> Config {
    let millis = Duration::from_millis;
    let class = |(name, effect, _): (&str, Effect, u32)| {
        let (aim, deadline) = match effect {
            Effect::Safe => (300, 1500),
            Effect::Keyed => (1000, 3000),
            Effect::Unsafe => (600, 2500),
        };
        Class {
            aim: Some(millis(aim)),
            late_worth: 0.2,
            dedup: (effect == Effect::Keyed)
                .then_some(Dedup { group: DedupGroup::All, window: millis(4000) }),
            ..Class::new(name, effect, millis(deadline))
        }
    };
    let share = 1.0 / TENANTS.len() as f64;
    let quota_per_s = f64::from(rate) * 2.0 * share;
    let tenant = |name: &str| Tenant { name: name.into(), quota_per_s, share };
    let mut config = Config {
        name: "demo".into(),
        over_share_worth: 0.05,
        classes: REQUEST_MIX.map(class).into(),
        tenants: TENANTS.map(tenant).into(),
        ..Config::default()
    };
    config.fleet.cold_from = servers::COLD_CAPACITY;
    config.fleet.warm_up = WARM_UP;
    config
}

/// Runs the demo. It fails if a rule was broken, which the simulated servers and clients check.
pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_demo(options))
}

async fn run_demo(options: &Options) -> anyhow::Result<()> {
    let duration = Duration::from_secs(options.seconds);
    let servers = Rc::new(DemoServers::new());
    let mut list = Vec::new();
    for _ in 0..INITIAL_SERVERS {
        list.push(servers.start(false).await?);
    }
    let (list_sender, roster) = roster::channel();
    let node = Node::builder(config(options.rate)).roster(roster).start()?;
    list_sender.send(Update::whole(list)).await?;
    let dashboard = Rc::new(RefCell::new(Dashboard::new(REQUEST_MIX.map(|(name, ..)| name))));
    let (start, end) = (Instant::now(), Instant::now() + duration);
    let script = spawn_local(run_script(start, duration, servers.clone(), list_sender, dashboard.clone()));
    let load = spawn_local(send_requests(node.handle().clone(), options.rate, end, dashboard.clone()));

    let mut view = match std::io::stdout().is_terminal() && !options.plain {
        true => view::View::terminal()?,
        false => view::View::plain(),
    };
    let mut frames = interval(FRAME_INTERVAL);
    let mut interrupted = false;
    while Instant::now() < end && !interrupted {
        frames.tick().await;
        if let Ok(snapshot) = node.handle().snapshot().await {
            dashboard.borrow_mut().update(start.elapsed(), snapshot, &servers);
        }
        interrupted = view.show(&dashboard.borrow())?;
    }
    drop(view);
    script.abort();
    if interrupted {
        load.abort();
    } else {
        load.await?;
    }
    let counts = node.shutdown(Duration::from_secs(4)).await;
    println!("{}", dashboard.borrow().summary(&counts));
    let (duplicate_orders, requests_after_drain) = servers.violations();
    println!(
        "orders that ran twice: {duplicate_orders}; requests to a server more than 1 s after its drain \
         began: {requests_after_drain}"
    );
    if duplicate_orders + requests_after_drain > 0 {
        bail!("a rule was broken");
    }
    Ok(())
}

/// Sends a steady mix of requests until the end, and waits for the last answers.
async fn send_requests(node: Handle, rate: u32, end: Instant, dashboard: Rc<RefCell<Dashboard>>) {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut next, mut open_requests) = (Instant::now(), JoinSet::new());
    for number in 0_u64.. {
        // Arrivals are independent of each other, as with many separate clients.
        next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / f64::from(rate));
        if next >= end {
            break;
        }
        sleep_until(next).await;
        while open_requests.try_join_next().is_some() {}
        let mut draw = rng.u32(..100);
        let class = REQUEST_MIX.iter().position(|(.., percentage)| {
            let hit = draw < *percentage;
            draw = draw.saturating_sub(*percentage);
            hit
        });
        let class = class.unwrap_or(0);
        let (name, effect, _) = REQUEST_MIX[class];
        let path = format!("/{name}/{number}");
        let request = match effect {
            Effect::Safe => Request::get(path),
            Effect::Keyed => Request::post(path).header("idempotency-key", number.to_string()),
            Effect::Unsafe => Request::post(path),
        };
        let body = if effect == Effect::Safe { "" } else { "300 yen" };
        let Ok(mut request) = request.body(body.to_string()) else { continue };
        request.extensions_mut().insert(ext::Tenant::new(TENANTS[rng.usize(..TENANTS.len())]));
        let (node, dashboard) = (node.clone(), dashboard.clone());
        open_requests.spawn_local(async move {
            let sent_at = Instant::now();
            let outcome = match node.call(request).await {
                Ok(Answer::Served(_)) => Outcome::Served,
                Ok(Answer::Refused { .. }) => Outcome::Refused,
                Ok(Answer::Failed { .. }) | Err(_) => Outcome::Failed,
            };
            dashboard.borrow_mut().record_answer(class, outcome, sent_at.elapsed());
        });
    }
    while open_requests.join_next().await.is_some() {}
}

/// The events of the demo: one server stalls for a while, one drains and ends, and one starts cold.
async fn run_script(
    start: Instant,
    duration: Duration,
    servers: Rc<DemoServers>,
    list: RosterSender,
    dashboard: Rc<RefCell<Dashboard>>,
) -> anyhow::Result<()> {
    let at_fraction = |fraction: f64| sleep_until(start + duration.mul_f64(fraction));
    let show_event = |what: &str| dashboard.borrow_mut().add_event(start.elapsed(), what);
    show_event("eight servers, all warm");
    at_fraction(0.15).await;
    servers.stall(2, true);
    show_event("s-3 stalls: it accepts requests and answers none; it is still listed as ready");
    at_fraction(0.35).await;
    servers.stall(2, false);
    show_event("s-3 answers again");
    at_fraction(0.45).await;
    let draining = servers.entry(4).with_state(ServerState::Draining);
    list.send(Update::changes([draining.clone()])).await?;
    servers.drain(4);
    show_event("s-5 drains: it finishes its requests and is sent no new ones");
    at_fraction(0.6).await;
    list.send(Update::changes([draining.with_state(ServerState::Gone)])).await?;
    show_event("s-5 is gone");
    at_fraction(0.65).await;
    let cold = servers.start(true).await?;
    list.send(Update::changes([cold])).await?;
    show_event("s-9 starts cold: an eighth of its capacity, rising to all of it within 10 s");
    Ok(())
}
