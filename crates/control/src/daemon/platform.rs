//! Polls the platform's machine list.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use grebepin_schema::limits::MAX_BACK_END_MESSAGE_BYTES;
use grebepin_schema::MachineList;
use grebepin_telemetry::{event, Event};

use super::message::{Inbox, Message};
use crate::node::input::NodeInput;

/// Fetches the list every `interval`, which is also the request's timeout, until `stopped` is disconnected.
pub(super) fn start(
    address: SocketAddr,
    interval: Duration,
    inbox: Inbox,
    stopped: Receiver<()>,
) -> std::io::Result<()> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(interval))
        .proxy(None)
        .build()
        .into();
    let url = format!("http://{address}/machines");
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || {
            let mut reachable = true;
            while stopped.recv_timeout(interval)
                == Err(crossbeam_channel::RecvTimeoutError::Timeout)
            {
                let list = fetch(&agent, &url);
                if list.is_none() && reachable {
                    event!(Event::PlatformUnreachable, address = address);
                }
                reachable = list.is_some();
                let Some(list) = list else { continue };
                let message = Message::Input(NodeInput::Machines(list));
                if inbox.send(message).is_err() {
                    return;
                }
            }
        })?;
    Ok(())
}

fn fetch(agent: &ureq::Agent, url: &str) -> Option<MachineList> {
    let mut answer = agent.get(url).call().ok()?;
    let limit = MAX_BACK_END_MESSAGE_BYTES as u64;
    let body = answer.body_mut().with_config().limit(limit).read_to_vec();
    serde_json::from_slice(&body.ok()?).ok()
}
