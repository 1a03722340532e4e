//! A stand-in server whose connections come up when the test says so, and not before.

use std::io::{BufReader, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::{AddressFamily, SocketType, bind, listen, socket};

use crate::peers::{Message, wait_for};

/// A listener whose queue is full: the kernel drops what knocks, and a connection that was begun comes up at its next
/// knock, some 1 s after its first, once there is room.
pub struct LateServer {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    /// What fills the queue.
    filler: Option<TcpStream>,
}

impl Default for LateServer {
    fn default() -> LateServer {
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        LateServer { address, listener, filler: Some(TcpStream::connect(address).unwrap()) }
    }
}

impl LateServer {
    /// Waits until somebody knocks.
    pub fn knocked(&self) {
        wait_for("a knock", || knocks(self.address));
    }

    /// Lets in whoever knocks, and waits for a request: none comes if no connection does within this time, or if it
    /// ends with nothing said.
    pub fn let_in(&mut self, within: Duration) -> Option<(TcpStream, Message)> {
        let (filled, _) = self.listener.accept().unwrap();
        drop((filled, self.filler.take()));
        self.listener.set_nonblocking(true).unwrap();
        let began = Instant::now();
        while began.elapsed() < within {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(within)).unwrap();
                    let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()))?;
                    return Some((stream, request));
                }
                Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }
}

/// Whether any socket of this machine has sent its first packet there and had no answer.
fn knocks(address: SocketAddr) -> bool {
    sockets().iter().any(|socket| socket.there == written(address) && socket.state == "02")
}

/// Whether the socket at one end of a connection takes part in it still: neither closed nor shut down.
pub fn is_open(here: SocketAddr, there: SocketAddr) -> bool {
    let (here, there) = (written(here), written(there));
    sockets().iter().any(|s| s.here == here && s.there == there && matches!(&*s.state, "01" | "08"))
}

/// A socket as the kernel lists it.
struct Socket {
    here: String,
    there: String,
    state: String,
}

fn sockets() -> Vec<Socket> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let read = |line: &str| {
        let mut words = line.split_whitespace().skip(1).map(str::to_owned);
        Some(Socket { here: words.next()?, there: words.next()?, state: words.next()? })
    };
    table.lines().skip(1).filter_map(read).collect()
}

/// An address as the kernel writes it there.
fn written(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { return String::new() };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}
