//! Accepts connections and serves their requests until the server is stopped.
//!
//! Invariant: after [`HttpServer::stop`] no further request is read, and every request that was read gets a
//! response.

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

/// Timeout of the connection that [`HttpServer::stop`] opens to wake the accept thread.
const WAKE_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Callbacks of a server, called on its accept thread and on the threads of its connections.
pub trait ServerHooks: Send + Sync + 'static {
    /// Called on the thread of a new connection before anything is read.
    fn connected(&self) {}
    /// Called before the server handles an accepted connection, reads a request or sends a response. It may
    /// block.
    fn before_transfer(&self) {}
    /// Returns the response to a request.
    fn respond(&self, request: HttpRequest) -> HttpResponse;
    /// Returns the response to a message that could not be read as a request.
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

/// A running HTTP server.
pub struct HttpServer<H: ServerHooks> {
    shared: Arc<Shared<H>>,
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl<H: ServerHooks> HttpServer<H> {
    /// Starts to accept connections on `listener`.
    ///
    /// # Errors
    /// The operating system's error if the thread can't be started or the listener has no local address.
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

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hooks that the server was started with.
    pub fn hooks(&self) -> &H {
        &self.shared.hooks
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Stops accepting connections and reading requests; requests that were read still get their responses.
    /// Does not wait for them.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // Wakes the accept thread.
        TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT).ok();
    }

    /// Stops the server and waits until it no longer listens; open connections may still be finishing.
    pub fn close(self) {
        self.stop();
        self.accepting.join().ok();
    }
}

/// Counts a connection as open until it is dropped, even if its thread panics.
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
    // If no thread can be started the connection is closed, and the peer has to retry.
    std::thread::Builder::new()
        .name("connection".into())
        .spawn(move || {
            let shared = &open.0;
            serve(stream, &shared.options, &shared.hooks, &shared.stopping).ok();
        })
        .ok();
}
