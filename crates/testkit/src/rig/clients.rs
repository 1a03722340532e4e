//! Clients that ask nodes of the rig, and take down what they are told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::record::{Class, Record, What};
use super::stands::name;

/// A client's connection is given up this long after it has asked.
const GIVE_UP: Duration = Duration::from_secs(15);
/// How often one whose node is down looks again.
const LOOK: Duration = Duration::from_millis(20);

/// What clients of a node do.
#[derive(Clone, Debug)]
pub struct Load {
    /// How many at each node.
    pub clients: usize,
    /// How long each waits between an answer and its next request.
    pub pause: Duration,
    /// What is asked, each as often as any other.
    pub classes: Vec<Class>,
    /// How long they say that they wait.
    pub deadline: Duration,
}

/// Whether a node is to be asked.
pub(super) type Open = Arc<AtomicBool>;

/// One client of a node, until told that all is over.
pub(super) async fn client(
    (node, address): (usize, SocketAddr),
    load: Load,
    (open, over): (Open, Open),
    record: Record,
) {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let mut connection: Option<BufReader<TcpStream>> = None;
    while !over.load(Ordering::SeqCst) {
        if !open.load(Ordering::SeqCst) {
            connection = None;
            sleep(LOOK).await;
            continue;
        }
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(address).await {
                Ok(stream) => BufReader::new(stream),
                Err(_) => {
                    sleep(LOOK).await;
                    continue;
                }
            },
        };
        let _ = stream.get_ref().set_nodelay(true);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let class = load.classes[fastrand::usize(..load.classes.len())];
        // Told to be closed meanwhile, nothing is written.
        if !open.load(Ordering::SeqCst) {
            continue;
        }
        record.note(What::Asked { node, id, class });
        let request = request(class, id, load.deadline);
        let status = match stream.write_all(request.as_bytes()).await {
            Ok(()) => timeout(GIVE_UP, answer(&mut stream)).await.ok().flatten(),
            Err(_) => None,
        };
        let (status, keep) = status.unwrap_or((0, false));
        record.note(What::Answered { id, status });
        connection = keep.then_some(stream);
        sleep(load.pause).await;
    }
}

fn request(class: Class, id: u64, deadline: Duration) -> String {
    let (method, more) = match class {
        Class::View => ("GET", String::new()),
        Class::Submit => ("POST", format!("Idempotency-Key: {id:x}\r\nContent-Length: 5\r\n")),
        Class::Order => ("POST", "Content-Length: 3\r\n".to_owned()),
    };
    let body = match class {
        Class::View => "",
        Class::Submit => "hours",
        Class::Order => "yen",
    };
    format!(
        "{method} /{}/7 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id:016x}\r\nReq-Owner: acme\r\n\
         Req-Deadline: {}\r\n{more}\r\n{body}",
        name(class),
        deadline.as_secs_f64()
    )
}

/// The status of the next answer, and whether the connection stays.
async fn answer(from: &mut BufReader<TcpStream>) -> Option<(u16, bool)> {
    let mut line = String::new();
    let mut read = async |line: &mut String| {
        line.clear();
        from.read_line(line).await.ok().filter(|length| *length > 0).map(|_| ())
    };
    read(&mut line).await?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut keep) = (0, true);
    loop {
        read(&mut line).await?;
        let Some((name, value)) = line.split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "connection" => keep = !value.trim().eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    from.read_exact(&mut vec![0; length]).await.ok()?;
    Some((status, keep))
}
