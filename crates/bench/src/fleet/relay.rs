//! A TCP relay in front of one back end that can cut its traffic off silently.
//!
//! A cut holds back bytes and new connections without closing anything, as a network partition does.
//! Connections are classified by the path of their first request: control replicas call paths under
//! `/grebepin/`, routers' requests have any other path.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use grebepin_schema::CutTraffic;

const CONTROL_PATH: &[u8] = b"/grebepin/";
const BUFFER_BYTES: usize = 64 << 10;
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_METHOD_BYTES: usize = 8;

/// Traffic that a relay currently cuts.
#[derive(Debug, Default)]
pub struct Cuts {
    control: AtomicBool,
    requests: AtomicBool,
}

impl Cuts {
    /// Cuts the given traffic until [`Cuts::heal`]; adds to earlier cuts.
    pub fn cut(&self, traffic: CutTraffic) {
        if traffic != CutTraffic::Requests {
            self.control.store(true, Ordering::Relaxed);
        }
        if traffic != CutTraffic::Control {
            self.requests.store(true, Ordering::Relaxed);
        }
    }

    /// Ends every cut.
    pub fn heal(&self) {
        self.control.store(false, Ordering::Relaxed);
        self.requests.store(false, Ordering::Relaxed);
    }

    fn is_cut(&self, is_control: bool) -> bool {
        let flag = if is_control {
            &self.control
        } else {
            &self.requests
        };
        flag.load(Ordering::Relaxed)
    }
}

/// Starts a relay from `listener` to `target` on threads of its own, which run until this process exits.
pub fn start(listener: TcpListener, target: SocketAddr) -> Arc<Cuts> {
    let cuts = Arc::new(Cuts::default());
    let shared_cuts = Arc::clone(&cuts);
    thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let cuts = Arc::clone(&shared_cuts);
            thread::spawn(move || relay(connection, target, &cuts));
        }
    });
    cuts
}

fn relay(mut caller: TcpStream, target: SocketAddr, cuts: &Arc<Cuts>) {
    let Some((first, is_control)) = first_bytes(&mut caller) else {
        return;
    };
    wait_while_cut(cuts, is_control);
    let Ok(mut server) = TcpStream::connect(target) else {
        caller.shutdown(Shutdown::Both).ok();
        return;
    };
    caller.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    if server.write_all(&first).is_err() {
        return;
    }
    let (Ok(response_source), Ok(response_target)) = (server.try_clone(), caller.try_clone())
    else {
        return;
    };
    let response_cuts = Arc::clone(cuts);
    thread::spawn(move || copy(response_source, response_target, &response_cuts, is_control));
    copy(caller, server, cuts, is_control);
}

/// Reads enough of a connection to classify it: the bytes read, and whether a control replica sent them.
fn first_bytes(caller: &mut TcpStream) -> Option<(Vec<u8>, bool)> {
    caller.set_read_timeout(Some(FIRST_BYTES_TIMEOUT)).ok()?;
    let mut first = Vec::new();
    let mut buffer = [0; BUFFER_BYTES];
    while first.len() < MAX_METHOD_BYTES + CONTROL_PATH.len() {
        match caller.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => first.extend_from_slice(&buffer[..count]),
        }
    }
    caller.set_read_timeout(None).ok()?;
    let path = first.iter().position(|byte| *byte == b' ')? + 1;
    let is_control = first[path..].starts_with(CONTROL_PATH);
    Some((first, is_control))
}

fn wait_while_cut(cuts: &Cuts, is_control: bool) {
    while cuts.is_cut(is_control) {
        thread::sleep(CUT_POLL_INTERVAL);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cuts: &Cuts, is_control: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => break,
        };
        wait_while_cut(cuts, is_control);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Write).ok();
}
