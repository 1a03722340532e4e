//! Bodies over what a node holds: passed on as they come, in either direction, by every front.

use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::conformance::{Node, Subject};
use crate::peers::*;

/// Some bytes that tell if one is missing or out of place.
fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at / 251 + at) as u8).collect()
}

/// In chunks of these sizes, over and over.
fn chunked(body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let (mut wire, mut rest) = (Vec::new(), body);
    for size in sizes.iter().cycle() {
        let (chunk, more) = rest.split_at((*size).min(rest.len()));
        if chunk.is_empty() {
            break;
        }
        wire.extend(format!("{:x};n=1\r\n", chunk.len()).bytes());
        wire.extend([chunk, b"\r\n"].concat());
        rest = more;
    }
    wire.extend(b"0\r\nX-Trailer: 1\r\n\r\n");
    wire
}

/// Reads a body to the end that its head states; nothing if it is not whole.
pub fn read_body(head: &Message, from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.header("content-length") {
        body.resize(length.parse().ok()?, 0);
        from.read_exact(&mut body).ok()?;
        return Some(body);
    }
    assert_eq!(head.header("transfer-encoding"), Some("chunked"), "{}", head.first);
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let began = body.len();
        body.resize(began + size + 2, 0);
        from.read_exact(&mut body[began..]).ok()?;
        body.truncate(began + size);
        if size == 0 {
            return Some(body);
        }
    }
}

/// Answers of several megabytes come whole, however they are framed, and their connections go on where they can.
pub fn a_long_answer_is_passed_on_whole_whatever_its_form<S: Subject>() {
    let body = bytes(4 << 20);
    let head = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}\r\n").into_bytes();
    let counted = [head(&format!("Content-Length: {}\r\n", body.len())), body.clone()].concat();
    let pieces = [head("Transfer-Encoding: chunked\r\n"), chunked(&body, &[1, 70_000, 3000])].concat();
    let closed = [head("Connection: close\r\n"), body.clone()].concat();
    let acts = [Act::Say(counted), Act::Say(pieces), Act::SayAndClose(closed)];
    let server = Server::new(move |count, _| acts[count % 3].clone());
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut client = node.client();
    for round in 0..6 {
        client.send(&view());
        let (head, got) = client.long_answer();
        assert_eq!(head.status(), 200, "{round}");
        assert!(got.expect("a whole body") == body, "{round}");
        rested();
    }
    let connections = (0..6).map(|_| server.request().0).max().unwrap();
    assert_eq!(connections, 1, "one for three, as the third closes it");
}

/// Its first bytes are passed on before its server has given the rest, and nothing cuts it off while there is more.
pub fn a_long_answer_is_not_held_back_nor_cut_off<S: Subject>() {
    let body = bytes(300_000);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    let (first, rest) = (body[..100_000].to_vec(), body[100_000..].to_vec());
    let server = Server::new(move |_, _| {
        Act::SayMore([&head[..], &first].concat(), Duration::from_millis(1500), rest.clone())
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut client = node.client();
    let began = Instant::now();
    // Its deadline is past long before its end.
    client.send(&request("GET", "/view/1", "1.0", "", ""));
    let mut got = vec![0; 90_000];
    let head = client.head();
    client.read(&mut got);
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    assert_eq!(head.header("content-length"), Some("300000"));
    got.resize(body.len(), 0);
    client.read(&mut got[90_000..]);
    client.count_served();
    assert!(got == body);
}

/// A short answer that comes slowly, but comes, is served.
pub fn a_short_answer_may_come_slowly<S: Subject>() {
    let server = Server::new(|_, _| {
        let whole = answer(200, "", "slip");
        let (one, two) = whole.split_at(whole.len() - 2);
        Act::SayMore(one.to_vec(), Duration::from_millis(400), two.to_vec())
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    assert_eq!(node.client().ask(&order()).body, b"slip");
}

/// A long answer that breaks off does not look whole, and is not asked for again.
pub fn a_long_answer_that_breaks_off_does_not_look_whole<S: Subject>() {
    let head = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}\r\n").into_bytes();
    let counted = [head("Content-Length: 900000\r\n"), bytes(400_000)].concat();
    let whole = chunked(&bytes(400_000), &[9000]);
    let pieces = [head("Transfer-Encoding: chunked\r\n"), whole[..whole.len() - 40].to_vec()].concat();
    for wire in [counted, pieces] {
        let server = Server::new(move |_, _| Act::SayAndClose(wire.clone()));
        let node = Node::<S>::with(&[ready("a", &server)], "");
        let mut client = node.client();
        client.send(&view());
        let (head, body) = client.long_answer();
        assert_eq!((head.status(), body), (200, None));
        assert_eq!(server.count(), 1);
    }
}

/// A client that reads slowly holds its server back, not the node's memory, and gets all.
pub fn a_slow_reader_holds_its_server_back<S: Subject>() {
    let (body, written) = (Arc::new(bytes(30 << 20)), Arc::new(AtomicUsize::new(0)));
    let (whole, count) = (body.clone(), written.clone());
    let write = Arc::new(move |stream: &mut TcpStream| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
        let _ = stream.write_all(head.as_bytes());
        for part in whole.chunks(1 << 16) {
            let _ = stream.write_all(part);
            count.fetch_add(part.len(), Ordering::SeqCst);
        }
    });
    let server = Server::new(move |_, _| Act::Write(write.clone()));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut client = node.client();
    client.send(&view());
    let head = client.head();
    let mut stood = 0;
    while written.load(Ordering::SeqCst) != stood {
        stood = written.load(Ordering::SeqCst);
        sleep(Duration::from_millis(300));
    }
    assert!(stood < body.len(), "all {stood} bytes were taken although nobody reads");
    assert!(client.body(&head).expect("all of it") == *body);
}

/// An unsafe request of this length, without its body.
fn long_order(deadline: &str, framing: &str) -> Vec<u8> {
    let text = String::from_utf8(request("POST", "/order/7f3a", deadline, "", "")).unwrap();
    text.replace("Content-Length: 0\r\n", &format!("{framing}\r\n")).into_bytes()
}

/// Requests of several megabytes go on whole, whatever their form, and run once.
pub fn a_long_request_is_passed_on_whole_whatever_its_form<S: Subject>() {
    let server = Server::new(|_, request| ok(&request.body.len().to_string()));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let body = bytes(3 << 20);
    let counted = [long_order("9", &format!("Content-Length: {}", body.len())), body.clone()].concat();
    let pieces = [long_order("9", "Transfer-Encoding: chunked"), chunked(&body, &[1, 200_000, 77])].concat();
    for wire in [counted, pieces] {
        let answer = node.client().ask(&wire);
        assert_eq!((answer.status(), &answer.body[..]), (200, body.len().to_string().as_bytes()));
        assert!(server.request().1.body == body);
    }
    assert_eq!(server.count(), 2);
}

/// Its client waits from its last byte on.
pub fn a_long_requests_time_counts_from_its_last_byte<S: Subject>() {
    let server = Server::new(|_, _| {
        let (none, late) = (Vec::new(), answer(200, "", "paid"));
        Act::SayMore(none, Duration::from_millis(400), late)
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    let body = bytes(200_000);
    let mut client = node.client();
    client.send(&long_order("0.8", "Content-Length: 200000"));
    client.send(&body[..100_000]);
    sleep(Duration::from_millis(600));
    client.send(&body[100_000..]);
    assert_eq!(client.answer().body, b"paid");
    // And no longer.
    let silent = Server::new(|_, _| Act::Wait);
    let node = Node::<S>::new(&[ready("a", &silent)]);
    let mut client = node.client();
    client.send(&[&long_order("0.8", "Content-Length: 200000")[..], &body].concat());
    silent.request();
    let began = Instant::now();
    assert_eq!(client.answer().status(), 504);
    assert!(began.elapsed() < Duration::from_millis(1000), "{:?}", began.elapsed());
}

/// One that its client breaks off does not look whole to its server, and nobody else is sent it.
pub fn a_long_request_that_breaks_off_has_not_run<S: Subject>() {
    let server = Server::new(|_, _| ok("paid"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let heads = [long_order("9", "Content-Length: 400000"), long_order("9", "Transfer-Encoding: chunked")];
    for head in heads {
        let mut client = node.client();
        let chunk = chunked(&bytes(150_000), &[150_000]);
        client.send(&[&head[..], &chunk[..chunk.len() - 30]].concat());
        rested();
        drop(client);
        server.ended();
    }
    assert_eq!(node.client().ask(&view()).status(), 200);
    assert_eq!(server.count(), 1, "the last one alone was whole");
}

/// More bytes than fit into the socket buffers between a node and [`listener_that_buffers_little`], so that a node can't
/// have written all of them: 4 MB is the most that the kernel takes from a sender by itself.
const LONGER_THAN_BUFFERS: usize = 6 << 20;

/// A listener whose connections take in no more than some hundred kilobytes that are not read.
fn listener_that_buffers_little() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(64 * 1024).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(128).unwrap();
    socket.into()
}

/// A server that can't be reached is passed over; one that breaks off has taken a part that can't be sent again, and
/// has not run it.
pub fn a_long_request_goes_elsewhere_until_some_of_it_is_gone<S: Subject>() {
    let server = Server::new(|_, _| ok("paid"));
    let node = Node::<S>::new(&[ready("a", &server), target("b", nobody(), 1, "ready")]);
    let body = bytes(LONGER_THAN_BUFFERS);
    let wire = || [long_order("9", &format!("Content-Length: {}", body.len())), body.clone()].concat();
    for _ in 0..8 {
        assert_eq!(node.client().ask(&wire()).status(), 200);
    }
    let broken = listener_that_buffers_little();
    let node = Node::<S>::new(&[target("a", broken.local_addr().unwrap(), 1, "ready"), ready("b", &server)]);
    let (count, breaking) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let broke = breaking.clone();
    std::thread::spawn(move || {
        for stream in broken.incoming().flatten() {
            broke.fetch_add(1, Ordering::SeqCst);
            let mut some = vec![0; 500_000];
            let _ = (&stream).read_exact(&mut some);
        }
    });
    while breaking.load(Ordering::SeqCst) == 0 {
        let status = node.client().ask(&wire()).status();
        let met = breaking.load(Ordering::SeqCst) > 0;
        assert_eq!(status, if met { 503 } else { 200 }, "what has not run is refused, not failed");
        count.fetch_add(usize::from(!met), Ordering::SeqCst);
    }
    assert_eq!(server.count(), 8 + count.load(Ordering::SeqCst), "none of what broke went to another");
}

/// One that nobody can take is told so while it is still being sent.
pub fn a_long_request_that_can_not_be_served_is_answered_at_once<S: Subject>() {
    let node = Node::<S>::new(&[]);
    let mut client = node.client();
    client.send(&long_order("9", "Content-Length: 30000000"));
    client.send(&bytes(200_000));
    let began = Instant::now();
    assert_eq!(client.answer().status(), 503);
    assert!(began.elapsed() < Duration::from_secs(2));
}

/// However a message is cut into pieces, it means the same: requests and answers, counted and in chunks.
pub fn any_split_of_a_message_means_the_same<S: Subject>() {
    for seed in 0..12 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut message = |head: &dyn Fn(&str) -> Vec<u8>| {
            let body = bytes([0, 1, 300, 70_000, 200_000][dice.usize(..5)]);
            let sizes: Vec<usize> = (0..9).map(|_| [1, 2, 90, 9_000, 66_000][dice.usize(..5)]).collect();
            let wire = match dice.bool() {
                true => [head(&format!("Content-Length: {}", body.len())), body.clone()].concat(),
                false => [head("Transfer-Encoding: chunked"), chunked(&body, &sizes)].concat(),
            };
            let mut cuts: Vec<usize> = (0..dice.usize(1..30)).map(|_| dice.usize(..wire.len())).collect();
            // Heads are cut more often than chance would have it.
            cuts.extend((0..5).map(|_| dice.usize(..wire.len().min(200))));
            cuts.extend([0, wire.len()]);
            cuts.sort_unstable();
            let pieces: Vec<Vec<u8>> = cuts.windows(2).map(|cut| wire[cut[0]..cut[1]].to_vec()).collect();
            (body, pieces)
        };
        let (asked, request) = message(&|framing| long_order("9", framing));
        let (answered, answer) =
            message(&|framing| format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").into_bytes());
        let say = |stream: &mut TcpStream, pieces: &[Vec<u8>]| {
            for piece in pieces {
                let _ = stream.write_all(piece);
                sleep(Duration::from_micros(300));
            }
        };
        let write = Arc::new(move |stream: &mut TcpStream| say(stream, &answer));
        let server = Server::new(move |_, _| Act::Write(write.clone()));
        let node = Node::<S>::new(&[ready("a", &server)]);
        let mut client = node.client();
        say(&mut client.stream, &request);
        let (head, got) = client.long_answer();
        assert_eq!((head.status(), got.as_ref() == Some(&answered)), (200, true), "seed {seed}");
        assert!(server.request().1.body == asked, "seed {seed}");
        assert_eq!(server.count(), 1);
    }
}
