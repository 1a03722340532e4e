//! Runs decision modules, one per simulated node, on standard input and output.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use cherryusher::{Action, Balancer, Event};
use cherryusher_drill::wire::{Decoder, Record, Reply, WireError};

/// A simulated node: its decision module, and whether its settings name tenants.
struct Node {
    balancer: Balancer,
    has_tenants: bool,
}

/// Reads the next frame; returns false at the end of input. Memory grows only with bytes that have arrived.
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
        let mut node_number = 0;
        for record in batch.records {
            let mut event = match record {
                Record::Node(number) => {
                    node_number = number;
                    continue;
                }
                Record::Launch(seed, settings) => {
                    let has_tenants = !settings.tenants.is_empty();
                    let balancer = Balancer::new(*settings, seed)?;
                    nodes.insert(node_number, Node { balancer, has_tenants });
                    continue;
                }
                Record::Crash => {
                    nodes.remove(&node_number);
                    continue;
                }
                Record::Event(event) => event,
            };
            let Some(node) = nodes.get_mut(&node_number) else { continue };
            if let Event::RequestArrived(request) = &mut event {
                request.tenant = request.tenant.filter(|_| node.has_tenants);
            }
            node.balancer.handle(batch.now, event, &mut actions);
            for action in actions.drain(..) {
                reply.action(node_number, action);
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
