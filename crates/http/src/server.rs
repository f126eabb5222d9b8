//! Accepts connections and answers their questions until it is told to stop.
//!
//! Invariant: after [`HttpServer::stop`] no further question is read, and every question read is answered.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::connection::serve;
use crate::options::ServerOptions;
use crate::request::{HttpRequest, MessageError};
use crate::response::HttpResponse;

/// Longest wait of the stopping thread for its own connection, which wakes the accepting thread.
const WAKE_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What a server does with its connections.
pub trait ServerHooks: Send + Sync + 'static {
    /// A connection was accepted.
    fn connected(&self) {}
    /// Called before anything is read or written; may wait.
    fn before_transfer(&self) {}
    /// Answers one question.
    fn respond(&self, request: HttpRequest) -> HttpResponse;
    /// Answers what could not be read as a question.
    fn respond_to_invalid(&self, status: u16, error: &MessageError) -> HttpResponse {
        HttpResponse::text(status, error)
    }
}

impl<H: ServerHooks> ServerHooks for Arc<H> {
    fn connected(&self) {
        H::connected(self);
    }

    fn before_transfer(&self) {
        H::before_transfer(self);
    }

    fn respond(&self, request: HttpRequest) -> HttpResponse {
        H::respond(self, request)
    }

    fn respond_to_invalid(&self, status: u16, error: &MessageError) -> HttpResponse {
        H::respond_to_invalid(self, status, error)
    }
}

struct Shared<H> {
    hooks: H,
    options: ServerOptions,
    stopping: AtomicBool,
    open: AtomicUsize,
}

/// A running server.
pub struct HttpServer<H: ServerHooks> {
    shared: Arc<Shared<H>>,
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl<H: ServerHooks> HttpServer<H> {
    /// Starts to accept on `listener`.
    ///
    /// # Errors
    /// The system's error when it refuses a thread.
    pub fn start(listener: TcpListener, options: ServerOptions, hooks: H) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            hooks,
            options,
            stopping: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&shared);
        let accepting = std::thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept(&listener, &accepting))?;
        Ok(Self {
            shared,
            address,
            accepting,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does with its connections.
    pub fn hooks(&self) -> &H {
        &self.shared.hooks
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Takes no more questions; those being answered are answered.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT).ok();
    }

    /// Stops, and waits until the address is free.
    pub fn close(self) {
        self.stop();
        self.accepting.join().ok();
    }
}

/// Counts its connection until it is dropped, whatever ends the thread.
struct OpenConnection<H>(Arc<Shared<H>>);

impl<H> OpenConnection<H> {
    fn admit(shared: &Arc<Shared<H>>) -> Option<Self> {
        let open = Self(Arc::clone(shared));
        let before = shared.open.fetch_add(1, Ordering::SeqCst);
        (before < shared.options.connections).then_some(open)
    }
}

impl<H> Drop for OpenConnection<H> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

fn accept<H: ServerHooks>(listener: &TcpListener, shared: &Arc<Shared<H>>) {
    loop {
        let accepted = listener.accept();
        if shared.stopping.load(Ordering::SeqCst) {
            return;
        }
        shared.hooks.before_transfer();
        match accepted {
            Ok((stream, _)) => serve_in_thread(stream, shared),
            Err(_) => std::thread::sleep(ACCEPT_RETRY_DELAY),
        }
    }
}

fn serve_in_thread<H: ServerHooks>(stream: TcpStream, shared: &Arc<Shared<H>>) {
    let Some(open) = OpenConnection::admit(shared) else {
        return;
    };
    // A connection without a thread is dropped, and the peer tries again.
    std::thread::Builder::new()
        .name("connection".into())
        .spawn(move || {
            let shared = &open.0;
            serve(stream, &shared.options, &shared.hooks, &shared.stopping).ok();
        })
        .ok();
}
