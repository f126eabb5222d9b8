//! Accepts connections and answers their questions until it is told to stop.
//!
//! Invariant: after [`HttpServer::stop`] no further question is read, and every question read is answered.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use super::message::{Answer, MessageError, Question};

/// How often an idle connection looks whether the server stops.
const IDLE_CHECK: Duration = Duration::from_millis(100);

/// Longest time to read the rest of a question once its first byte came, and to write an answer.
const TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Connections open at once.
    pub connections: usize,
    /// Largest body of a question in bytes.
    pub maximum_body: usize,
}

/// What a server does with its connections.
pub trait ServerHooks: Send + Sync + 'static {
    /// A connection was accepted.
    fn connected(&self) {}
    /// Called before anything is read or written; may wait.
    fn before_transfer(&self) {}
    /// Answers one question.
    fn answer(&self, question: Question) -> Answer;
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
}

impl<H: ServerHooks> HttpServer<H> {
    /// Starts to accept on `listener`.
    pub fn start(listener: TcpListener, options: ServerOptions, hooks: H) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            hooks,
            options,
            stopping: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept(&listener, &accepting))?;
        Ok(Self { shared, address })
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
        TcpStream::connect_timeout(&self.address, IDLE_CHECK).ok();
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
            Err(_) => std::thread::sleep(ACCEPT_PAUSE),
        }
    }
}

fn serve_in_thread<H: ServerHooks>(stream: TcpStream, shared: &Arc<Shared<H>>) {
    if shared.open.fetch_add(1, Ordering::SeqCst) >= shared.options.connections {
        shared.open.fetch_sub(1, Ordering::SeqCst);
        return;
    }
    let serving = Arc::clone(shared);
    let spawned = std::thread::Builder::new()
        .name("connection".into())
        .spawn(move || {
            serve(stream, &serving).ok();
            serving.open.fetch_sub(1, Ordering::SeqCst);
        });
    if spawned.is_err() {
        shared.open.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve<H: ServerHooks>(stream: TcpStream, shared: &Shared<H>) -> Result<(), MessageError> {
    shared.hooks.connected();
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(TRANSFER_TIME))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        if !wait_for_question(&mut reader, shared)? {
            return Ok(());
        }
        shared.hooks.before_transfer();
        reader.get_ref().set_read_timeout(Some(TRANSFER_TIME))?;
        let question = match Question::read(&mut reader, shared.options.maximum_body) {
            Ok(question) => question,
            Err(error) => return refuse(&mut writer, error),
        };
        let close = question.wants_close();
        let answer = shared.hooks.answer(question);
        if answer.waits() {
            shared.hooks.before_transfer();
        }
        let close = close || shared.stopping.load(Ordering::SeqCst);
        answer.write(&mut writer, close)?;
        if close {
            return Ok(());
        }
    }
}

/// Waits for the first byte; `false` when the peer closed or the server stops.
fn wait_for_question<H: ServerHooks>(
    reader: &mut BufReader<TcpStream>,
    shared: &Shared<H>,
) -> Result<bool, MessageError> {
    use std::io::BufRead;
    reader.get_ref().set_read_timeout(Some(IDLE_CHECK))?;
    loop {
        if shared.stopping.load(Ordering::SeqCst) {
            return Ok(false);
        }
        match reader.fill_buf() {
            Ok(bytes) => return Ok(!bytes.is_empty()),
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn refuse(writer: &mut TcpStream, error: MessageError) -> Result<(), MessageError> {
    let status = match error {
        MessageError::Closed | MessageError::Io(_) => return Err(error),
        MessageError::Malformed => 400,
        MessageError::TooLarge => 413,
        MessageError::LengthRequired => 411,
    };
    Answer::text(status, &error).write(writer, true)?;
    Err(error)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
