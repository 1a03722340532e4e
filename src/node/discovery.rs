//! Discovery: the list of servers and the watch that keeps it current.

use std::collections::HashMap;
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherryusher::{Discovery, Event, ServerEntry, ServerState};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::config::Config;
use crate::engine::{Happening, Mailbox};
use crate::servers::Servers;

/// A watch that says nothing for this long is dead: a line comes every 2 s. A change counts as told after
/// 6 s at the latest, so a second watch has to be up by then.
const SILENCE: Duration = Duration::from_millis(3200);
/// How long a connection, and the head of its answer, may take. After a move to another address the watch
/// has to be up within 4 s, a second try included.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// The wait before a watch is begun anew lies between this and twice this, times the failures so far.
const AGAIN: Duration = Duration::from_millis(150);
/// The most failures that the wait grows with.
const AGAIN_MOST: u32 = 4;
/// The longest line; a list of some thousand servers.
const LONGEST_LINE: usize = 1 << 20;

/// What discovery says on one line.
#[derive(Default, Deserialize)]
pub struct Update {
    rev: u64,
    /// Whether it is the whole list, not changes.
    all: bool,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    state: State,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
    Gone,
}

/// Turns discovery's entries into the module's.
struct Reader {
    zones: HashMap<String, u8>,
    kinds: HashMap<String, u8>,
}

impl Reader {
    fn new(config: &Config) -> Reader {
        let numbered = |names: &[String]| names.iter().cloned().zip(0..u8::MAX).collect();
        Reader { zones: numbered(&config.zones), kinds: numbered(&config.kinds) }
    }

    fn entry(&self, target: &Target) -> ServerEntry {
        ServerEntry {
            // A fixed hash of the uid: every node, and this one after a restart, must build the same pools.
            id: xxhash_rust::xxh3::xxh3_64(target.uid.as_bytes()),
            state: match target.state {
                State::Ready => ServerState::Ready,
                State::Draining => ServerState::Draining,
                State::Gone => ServerState::Gone,
            },
            ready_at: target.boot_ms.saturating_mul(1000),
            zone: self.zones.get(&target.az).copied().unwrap_or(u8::MAX),
            cell: target.pod_group,
            weight: target.capacity_hint.max(0.0),
            kind: self.kinds.get(&target.model).copied().unwrap_or(u8::MAX),
        }
    }

    /// Passes a list on: addresses and states to the servers' side at once, then the rest to the engine.
    fn tell(&self, update: &Update, cached: bool, servers: &Servers, engine: &Mailbox) {
        let list: Vec<ServerEntry> = update.targets.iter().map(|t| self.entry(t)).collect();
        servers.list_changed(list.iter().zip(&update.targets).map(|(e, t)| (*e, t.endpoint)), update.all);
        engine.send(Happening::Module(match (cached, update.all) {
            (true, _) => Event::CachedList(list),
            (_, true) => Event::ServerList(list),
            _ => Event::ServerChanges(list),
        }));
    }
}

/// Starts from the list that the configuration holds and watches from there on, for ever; when discovery
/// moves, it does so at the new address, from where it was.
pub async fn follow(
    config: Rc<Config>,
    mut address: watch::Receiver<SocketAddr>,
    servers: Rc<Servers>,
    engine: Mailbox,
    subscribe: Rc<Notify>,
) {
    let reader = Reader::new(&config);
    reader.tell(&config.known, true, &servers, &engine);
    let mut rev = config.known.rev;
    let mut failures = 0;
    let mut random = fastrand::Rng::with_seed(config.seed);
    let asked = config.settings.discovery != Discovery::Pushed;
    let mut moved = false;
    loop {
        if asked && !moved {
            subscribe.notified().await;
        }
        let at = *address.borrow_and_update();
        let heard = |update: &Update| {
            failures = 0;
            reader.tell(update, false, &servers, &engine);
        };
        let why = tokio::select! {
            biased;
            // The old address takes no new watch and ends the one it has.
            true = changed(&mut address) => {
                moved = true;
                failures = 0;
                continue;
            }
            Err(why) = watch_at(at, &mut rev, heard) => why,
        };
        moved = false;
        failures += 1;
        // A line for each try of a long outage would say nothing new.
        if failures == 1 {
            eprintln!("dunelink: discovery: {why}; watching anew from {rev}");
        }
        if asked {
            // When to ask again is the module's to say.
            engine.send(Happening::Module(Event::DiscoveryFailed));
        } else {
            let longer = AGAIN * failures.min(AGAIN_MOST);
            // A move must not wait for what befell the old address.
            let _ = timeout(longer + longer.mul_f64(random.f64()), changed(&mut address)).await;
        }
    }
}

/// Waits until discovery has moved; for ever, if nothing can move it any more.
async fn changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    match address.changed().await {
        Ok(()) => true,
        Err(_) => std::future::pending().await,
    }
}

/// One watch, until it fails.
async fn watch_at(
    address: SocketAddr,
    rev: &mut u64,
    mut tell: impl FnMut(&Update),
) -> Result<Infallible, Box<dyn Error>> {
    let stream = timeout(ANSWER_WITHIN, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDropHandle::new(tokio::task::spawn_local(connection));
    let request = Request::get(format!("/catalog/members?watch=1&from={rev}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(ANSWER_WITHIN, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("it answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut line = Vec::new();
    loop {
        let frame = timeout(SILENCE, body.frame()).await.map_err(|_| "the watch fell silent")?;
        let Ok(data) = frame.ok_or("the watch ended")??.into_data() else { continue };
        let mut rest = &data[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            if !line.trim_ascii().is_empty() {
                let update: Update = serde_json::from_slice(&line)?;
                *rev = update.rev;
                tell(&update);
            }
            line.clear();
        }
        line.extend_from_slice(rest);
        if line.len() > LONGEST_LINE {
            return Err("a line without end".into());
        }
    }
}
