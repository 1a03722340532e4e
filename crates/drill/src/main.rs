//! Hosts decision modules, one a node, on standard input and output.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use cherryusher::{Action, Balancer, Event};
use cherryusher_drill::wire::{Decoder, Record, Reply, WireError};

/// A node: its module, and whether its site has tenants.
struct Node {
    balancer: Balancer,
    tenants: bool,
}

/// Reads the next frame, or nothing at the end of input. Memory grows only with bytes that came.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, Box<dyn Error>> {
    let mut length = Vec::with_capacity(4);
    if input.take(4).read_to_end(&mut length)? == 0 {
        return Ok(false);
    }
    let Ok(length) = <[u8; 4]>::try_from(length) else {
        return Err(WireError("input ends within a frame's length".into()).into());
    };
    let length = u64::from(u32::from_le_bytes(length));
    frame.clear();
    if (input.take(length).read_to_end(frame)? as u64) < length {
        return Err(WireError("input ends within a frame".into()).into());
    }
    Ok(true)
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Box<dyn Error>> {
    let mut decoder = Decoder::default();
    let mut nodes: BTreeMap<u16, Node> = BTreeMap::new();
    let mut frame = Vec::new();
    let mut actions: Vec<Action> = Vec::new();
    let mut reply = Reply::default();
    while read_frame(&mut input, &mut frame)? {
        let batch = decoder.batch(&frame)?;
        reply.clear();
        let mut at = 0;
        for record in batch.records {
            let mut event = match record {
                Record::Node(number) => {
                    at = number;
                    continue;
                }
                Record::Launch(seed, settings) => {
                    let tenants = !settings.tenants.is_empty();
                    let balancer = Balancer::new(*settings, seed)?;
                    nodes.insert(at, Node { balancer, tenants });
                    continue;
                }
                Record::Crash => {
                    nodes.remove(&at);
                    continue;
                }
                Record::Event(event) => event,
            };
            let Some(node) = nodes.get_mut(&at) else { continue };
            if let Event::RequestArrived(request) = &mut event {
                request.tenant = request.tenant.filter(|_| node.tenants);
            }
            node.balancer.handle(batch.now, event, &mut actions);
            for action in actions.drain(..) {
                reply.action(at, action);
            }
        }
        output.write_all(&reply.frame(batch.number))?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cherryusher-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
