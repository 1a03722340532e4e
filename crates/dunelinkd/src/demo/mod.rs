//! `dunelink demo`: stand-in servers, a roster and a node in one process, under a steady mix of requests, while
//! one server stalls, one drains and one starts cold. Everything stays on loopback.

mod board;
mod fleet;
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

use self::board::{Board, Kind};
use self::fleet::{Fleet, WARM_UP};

/// What the demo is told on the command line.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// For how long it runs.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Requests a second.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// Plain lines, on a terminal too.
    #[arg(long)]
    plain: bool,
}

/// Servers at the start; one more comes later.
const SERVERS: usize = 8;
/// How often the view is drawn, and the node asked how it stands.
const FRAME: Duration = Duration::from_millis(200);

/// The classes, and how many of a hundred requests are of each.
const MIX: [(&str, Effect, u32); 4] = [
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
        classes: MIX.map(class).into(),
        tenants: TENANTS.map(tenant).into(),
        ..Config::default()
    };
    config.fleet.cold_from = fleet::COLD_FROM;
    config.fleet.warm_up = WARM_UP;
    config
}

/// Plays the demo. It fails if a rule was broken, which its stand-in servers and clients see for themselves.
pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(options))
}

async fn play(options: &Options) -> anyhow::Result<()> {
    let length = Duration::from_secs(options.seconds);
    let fleet = Rc::new(Fleet::new());
    let mut list = Vec::new();
    for _ in 0..SERVERS {
        list.push(fleet.start(false).await?);
    }
    let (sender, roster) = roster::channel();
    let node = Node::builder(config(options.rate)).roster(roster).start()?;
    sender.send(Update::whole(list)).await?;
    let board = Rc::new(RefCell::new(Board::new(MIX.map(|(name, ..)| name))));
    let (began, end) = (Instant::now(), Instant::now() + length);
    let script = spawn_local(troubles(began, length, fleet.clone(), sender, board.clone()));
    let load = spawn_local(load(node.handle().clone(), options.rate, end, board.clone()));

    let mut view = match std::io::stdout().is_terminal() && !options.plain {
        true => view::View::terminal()?,
        false => view::View::plain(),
    };
    let mut frames = interval(FRAME);
    let mut stopped = false;
    while Instant::now() < end && !stopped {
        frames.tick().await;
        if let Ok(snapshot) = node.handle().snapshot().await {
            board.borrow_mut().take(began.elapsed(), snapshot, &fleet);
        }
        stopped = view.show(&board.borrow())?;
    }
    drop(view);
    script.abort();
    if stopped {
        load.abort();
    } else {
        load.await?;
    }
    let counts = node.shutdown(Duration::from_secs(4)).await;
    println!("{}", board.borrow().summary(&counts));
    let (twice, late) = fleet.broken();
    println!("orders that ran twice: {twice}; requests to a server 1 s after its drain was told: {late}");
    if twice + late > 0 {
        bail!("a rule was broken");
    }
    Ok(())
}

/// Sends a steady mix until the end, and waits for the last answers.
async fn load(node: Handle, rate: u32, end: Instant, board: Rc<RefCell<Board>>) {
    let mut random = fastrand::Rng::with_seed(7);
    let (mut next, mut open) = (Instant::now(), JoinSet::new());
    for number in 0_u64.. {
        // Arrivals are independent of each other, as clerks are.
        next += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / f64::from(rate));
        if next >= end {
            break;
        }
        sleep_until(next).await;
        while open.try_join_next().is_some() {}
        let mut draw = random.u32(..100);
        let class = MIX.iter().position(|(.., part)| {
            let hit = draw < *part;
            draw = draw.saturating_sub(*part);
            hit
        });
        let class = class.unwrap_or(0);
        let (name, effect, _) = MIX[class];
        let path = format!("/{name}/{number}");
        let request = match effect {
            Effect::Safe => Request::get(path),
            Effect::Keyed => Request::post(path).header("idempotency-key", number.to_string()),
            Effect::Unsafe => Request::post(path),
        };
        let body = if effect == Effect::Safe { "" } else { "300 yen" };
        let Ok(mut request) = request.body(body.to_string()) else { continue };
        request.extensions_mut().insert(ext::Tenant::new(TENANTS[random.usize(..TENANTS.len())]));
        let (node, board) = (node.clone(), board.clone());
        open.spawn_local(async move {
            let asked = Instant::now();
            let kind = match node.call(request).await {
                Ok(Answer::Served(_)) => Kind::Served,
                Ok(Answer::Refused { .. }) => Kind::Refused,
                Ok(Answer::Failed { .. }) | Err(_) => Kind::Failed,
            };
            board.borrow_mut().answered(class, kind, asked.elapsed());
        });
    }
    while open.join_next().await.is_some() {}
}

/// One server stalls for a while, one drains and goes, one starts cold.
async fn troubles(
    began: Instant,
    length: Duration,
    fleet: Rc<Fleet>,
    list: RosterSender,
    board: Rc<RefCell<Board>>,
) -> anyhow::Result<()> {
    let at = |part: f64| sleep_until(began + length.mul_f64(part));
    let say = |what: &str| board.borrow_mut().event(began.elapsed(), what);
    say("eight servers, all warm");
    at(0.15).await;
    fleet.stall(2, true);
    say("s-3 stalls: it takes requests and answers nothing; the list still calls it ready");
    at(0.35).await;
    fleet.stall(2, false);
    say("s-3 answers again");
    at(0.45).await;
    let draining = fleet.entry(4).with_state(ServerState::Draining);
    list.send(Update::changes([draining.clone()])).await?;
    fleet.drain(4);
    say("s-5 drains: it finishes what it has and is sent nothing new");
    at(0.6).await;
    list.send(Update::changes([draining.with_state(ServerState::Gone)])).await?;
    say("s-5 is gone");
    at(0.65).await;
    let cold = fleet.start(true).await?;
    list.send(Update::changes([cold])).await?;
    say("s-9 starts cold: an eighth of its capacity, all of it 10 s later");
    Ok(())
}
