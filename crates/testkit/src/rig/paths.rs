//! The paths between processes: relays in user space that lose, delay, overtake, double and cut, by pair and direction.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as Guard};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::time::sleep;

/// The end of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    /// A node's process.
    Node(usize),
    /// A stand-in server.
    Server(usize),
    /// The list of servers.
    List,
}

/// What a path does to what is sent on it, in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    /// The part of packets that get lost; on a stream, of pieces that come late by [`RESENT`].
    pub loss: f64,
    /// The part of packets that come twice.
    pub doubled: f64,
    /// How long it takes, at least and at most: packets overtake each other.
    pub delay: (Duration, Duration),
    /// Nothing passes. What is on a stream waits.
    pub cut: bool,
}

/// What a lost segment of a stream costs.
pub const RESENT: Duration = Duration::from_millis(200);
/// How often a stream that is cut is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// All paths. One that nothing was said of is fair.
#[derive(Clone, Default)]
pub struct Paths {
    weather: Arc<Mutex<HashMap<(End, End), Weather>>>,
}

impl Paths {
    fn all(&self) -> MutexGuard<'_, HashMap<(End, End), Weather>> {
        self.weather.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How it is from one end to the other.
    pub fn of(&self, from: End, to: End) -> Weather {
        self.all().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Changes it, from now on.
    pub fn change(&self, from: End, to: End, change: impl FnOnce(&mut Weather)) {
        change(self.all().entry((from, to)).or_default());
    }

    /// All is fair again.
    pub fn heal(&self) {
        self.all().clear();
    }

    /// For how long something is under way; nothing if it gets lost.
    fn travels(&self, from: End, to: End) -> (Weather, Duration) {
        let weather = self.of(from, to);
        let (least, most) = weather.delay;
        (weather, least + most.saturating_sub(least).mul_f64(fastrand::f64()))
    }
}

/// The loopback addresses of one rig: 127.r.*.*, with an `r` that no other has.
pub struct Net {
    rig: u8,
    _guard: Guard,
}

/// The port of whatever an address is for; each has an address of its own.
const PORT: u16 = 7946;

impl Net {
    /// Addresses that no other rig of this machine uses now.
    pub fn claim() -> Net {
        let first = std::process::id() as u8;
        let claimed = (0..=u8::MAX).map(|next| first.wrapping_add(next)).filter(|rig| (1..255).contains(rig));
        let mut claimed = claimed.filter_map(|rig| {
            let guard = Guard::bind((Ipv4Addr::new(127, rig, 254, 254), PORT)).ok()?;
            Some(Net { rig, _guard: guard })
        });
        claimed.next().expect("a free part of the loopback addresses")
    }

    fn at(&self, kind: u8, which: usize) -> SocketAddr {
        (Ipv4Addr::new(127, self.rig, kind, which as u8 + 1), PORT).into()
    }

    /// Where a node's process is; its ports differ.
    pub fn node(&self, node: usize) -> SocketAddr {
        self.at(1, node)
    }

    /// Where other nodes reach its gossip: a relay.
    pub fn front(&self, node: usize) -> SocketAddr {
        self.at(2, node)
    }

    /// Where the list answers a node, and the relay to it.
    pub fn list(&self, node: usize) -> (SocketAddr, SocketAddr) {
        (self.at(3, node), self.at(4, node))
    }

    /// Where a server is.
    pub fn server(&self, server: usize) -> SocketAddr {
        self.at(5, server)
    }

    /// Where a node reaches a server: a relay.
    pub fn way(&self, node: usize, server: usize) -> SocketAddr {
        self.at(10 + node as u8, server)
    }

    /// Whom a node takes another's packets to be from: a relay.
    fn pair(&self, from: usize, to: usize) -> SocketAddr {
        self.at(100 + from as u8, to)
    }

    /// The node that a connection or packet is from.
    pub fn whose(&self, from: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(from) = from else { return None };
        let [_, _, kind, which] = from.ip().octets();
        (kind == 1).then(|| usize::from(which) - 1)
    }
}

/// Relays all packets between so many nodes.
pub async fn packets(net: Arc<Net>, nodes: usize, paths: Paths) {
    let mut pairs: HashMap<(usize, usize), Arc<UdpSocket>> = HashMap::new();
    for (from, to) in (0..nodes).flat_map(|from| (0..nodes).map(move |to| (from, to))) {
        pairs.insert((from, to), Arc::new(UdpSocket::bind(net.pair(from, to)).await.expect("a socket")));
    }
    let pairs = Arc::new(pairs);
    for to in 0..nodes {
        let front = UdpSocket::bind(net.front(to)).await.expect("a socket");
        let (net, pairs, paths) = (net.clone(), pairs.clone(), paths.clone());
        tokio::spawn(async move {
            let mut bytes = [0; 2048];
            loop {
                let Ok((length, source)) = front.recv_from(&mut bytes).await else { continue };
                if let Some(from) = net.whose(source) {
                    carry(&net, &pairs, &paths, (from, to), &bytes[..length]);
                }
            }
        });
    }
    // What is answered to where it seemed to come from.
    for ((from, to), socket) in pairs.iter() {
        let (from, to, socket) = (*from, *to, socket.clone());
        let (net, pairs, paths) = (net.clone(), pairs.clone(), paths.clone());
        tokio::spawn(async move {
            let mut bytes = [0; 2048];
            loop {
                let Ok((length, source)) = socket.recv_from(&mut bytes).await else { continue };
                if net.whose(source) == Some(to) {
                    carry(&net, &pairs, &paths, (to, from), &bytes[..length]);
                }
            }
        });
    }
}

type Pairs = HashMap<(usize, usize), Arc<UdpSocket>>;

fn carry(net: &Net, pairs: &Pairs, paths: &Paths, (from, to): (usize, usize), bytes: &[u8]) {
    let (Some(socket), target) = (pairs.get(&(from, to)), net.node(to)) else { return };
    let copies = 1 + usize::from(fastrand::f64() < paths.of(End::Node(from), End::Node(to)).doubled);
    for _ in 0..copies {
        let (weather, span) = paths.travels(End::Node(from), End::Node(to));
        if weather.cut || fastrand::f64() < weather.loss {
            continue;
        }
        if span.is_zero() {
            let _ = socket.try_send_to(bytes, target);
            continue;
        }
        let (socket, bytes, paths) = (socket.clone(), bytes.to_vec(), paths.clone());
        tokio::spawn(async move {
            sleep(span).await;
            // A cut takes what is under way, too.
            if !paths.of(End::Node(from), End::Node(to)).cut {
                let _ = socket.send_to(&bytes, target).await;
            }
        });
    }
}

/// Relays connections that come to `at` from a node on to `target`; `passed` sees what the node is handed.
pub async fn streams(
    (at, target): (SocketAddr, SocketAddr),
    (node, from, to): (SocketAddr, End, End),
    paths: Paths,
    passed: impl Fn(&[u8]) + Clone + Send + 'static,
) {
    let listener = TcpListener::bind(at).await.expect("a listener");
    tokio::spawn(async move {
        loop {
            let Ok((near, _)) = listener.accept().await else { continue };
            let (paths, passed) = (paths.clone(), passed.clone());
            tokio::spawn(async move {
                let Ok(far) = connect(node, target).await else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
                tokio::spawn(pass(near_in, far_out, (from, to), paths.clone(), |_: &[u8]| {}));
                pass(far_in, near_out, (to, from), paths, passed).await;
            });
        }
    });
}

/// From the node's own address, so that a server sees whose it is.
async fn connect(node: SocketAddr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((node.ip(), 0).into())?;
    socket.connect(target).await
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (here, there): (End, End),
    paths: Paths,
    passed: impl Fn(&[u8]),
) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        let (weather, mut span) = paths.travels(here, there);
        if fastrand::f64() < weather.loss {
            span += RESENT;
        }
        if !span.is_zero() {
            sleep(span).await;
        }
        while paths.of(here, there).cut {
            sleep(LOOK).await;
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            break;
        }
        passed(&bytes[..length]);
    }
    // Its end is told like any piece.
    while paths.of(here, there).cut {
        sleep(LOOK).await;
    }
    let _ = to.shutdown().await;
}
