//! A relay in front of one back end that can cut it off silently.
//!
//! A cut stops bytes and new connections without closing anything, as a lost network path does.
//! Connections are told apart by their first request: the control replicas' calls go to paths under
//! `/grebepin/`, routers' requests to any other.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use grebepin_schema::CutTraffic;

const CONTROL_PATH: &[u8] = b"/grebepin/";
const BUFFER_BYTES: usize = 64 << 10;
const CUT_POLL: Duration = Duration::from_millis(5);
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(30);
const LONGEST_METHOD: usize = 8;

/// Which traffic is cut now.
#[derive(Debug, Default)]
pub struct Cuts {
    control: AtomicBool,
    requests: AtomicBool,
}

impl Cuts {
    /// Cuts some traffic, until [`Cuts::heal`].
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

/// Starts to relay from `listener` to `target`; ends with the process.
pub fn start(listener: TcpListener, target: SocketAddr) -> Arc<Cuts> {
    let cuts = Arc::new(Cuts::default());
    let for_connections = Arc::clone(&cuts);
    thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let cuts = Arc::clone(&for_connections);
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
    let (Ok(back_from), Ok(back_to)) = (server.try_clone(), caller.try_clone()) else {
        return;
    };
    let back_cuts = Arc::clone(cuts);
    thread::spawn(move || copy(back_from, back_to, &back_cuts, is_control));
    copy(caller, server, cuts, is_control);
}

/// The first bytes of a connection, and whether they are a control replica's call.
fn first_bytes(caller: &mut TcpStream) -> Option<(Vec<u8>, bool)> {
    caller.set_read_timeout(Some(FIRST_BYTES_TIMEOUT)).ok()?;
    let mut first = Vec::new();
    let mut buffer = [0; BUFFER_BYTES];
    while first.len() < LONGEST_METHOD + CONTROL_PATH.len() {
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
        thread::sleep(CUT_POLL);
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
