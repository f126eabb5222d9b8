//! Connections of operators and servers: accepting them, and passing their calls to the node.

use std::io::ErrorKind;
use std::time::Duration;

use grebepin_reactor::http::{BadRequest, BodyError};
use grebepin_reactor::{Connection, ReadOutcome};
use mio::net::TcpStream;
use mio::Token;

use super::calls::Origin;
use super::evacuation_calls::{log_evacuation_call, CallSource};
use super::event_loop::{EventLoop, CONNECTION_LIMIT};
use super::http_connection::{HttpConnection, KnownBefore};
use crate::call::{Call, CallBasis, Reply, UnavailableReason};
use crate::dialect::{BadCall, HttpCall, HttpReply};
use crate::node::{CallId, NodeInput};

/// Maximum number of HTTP connections served per iteration, so that replicas and gateways are not delayed.
const CALLERS_PER_ROUND: usize = 16;

impl EventLoop<'_> {
    /// Serves a limited number of HTTP connections that are ready.
    pub(super) fn serve_callers(&mut self) {
        let now = self.now();
        for _ in 0..CALLERS_PER_ROUND {
            let Some(token) = self.ready_callers.pop_front() else {
                return;
            };
            self.on_http(now, token);
        }
    }

    pub(super) fn accept_callers(&mut self, now: Duration) {
        let unaccepted_since = self.unaccepted_since.take();
        let opened_after = unaccepted_since.unwrap_or(self.polls.before_events());
        loop {
            match self.control_listener.accept() {
                Ok((stream, _)) => {
                    self.reclaim_connections();
                    self.add_caller(now, stream, opened_after);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.unaccepted_since = Some(opened_after);
                    return;
                }
            }
        }
    }

    fn add_caller(&mut self, now: Duration, stream: TcpStream, opened_after: KnownBefore) {
        if self.http_connections.len() >= CONNECTION_LIMIT {
            return;
        }
        let token = self.allocate_token();
        if let Ok(connection) = Connection::register(stream, self.poll.registry(), token) {
            let http = HttpConnection::new(connection, now, opened_after, &self.call_memory);
            self.http_connections.insert(token, http);
        }
    }

    fn on_http(&mut self, now: Duration, token: Token) {
        let Some(http) = self.http_connections.get_mut(&token) else {
            return;
        };
        http.last_active = now;
        if http.connection.is_closing() {
            return self.discard_input(now, token);
        }
        // What is sent now makes room for the reply to the next call.
        if !http.fill(now) || http.send(now).is_err() {
            self.http_connections.remove(&token);
            return;
        }
        self.submit_next_call(token);
        let Some(http) = self.http_connections.get_mut(&token) else {
            return;
        };
        if !http.connection.is_closing() && !http.flush(now) {
            self.http_connections.remove(&token);
        }
    }

    /// Drops what a caller still sends whose connection is being closed.
    fn discard_input(&mut self, now: Duration, token: Token) {
        let http = self.http_connections.get_mut(&token);
        match http.map(|http| http.connection.discard_input(now)) {
            Some(ReadOutcome::Full) => self.ready_callers.push_back(token),
            Some(ReadOutcome::Open) => {}
            Some(ReadOutcome::Closed) | None => _ = self.http_connections.remove(&token),
        }
    }

    /// Answers a call. The next call of the connection is handled in another turn, so that a long pipeline neither
    /// delays other callers nor deepens the stack.
    pub(super) fn answer_caller(&mut self, token: Token, reply: &HttpReply) {
        let Some(http) = self.http_connections.get_mut(&token) else {
            return;
        };
        let known = self.node.call_basis();
        let now = self.clock.now();
        let is_open = http.answer(reply, self.dialect.content_type(), known, now);
        match (is_open, http.has_input()) {
            (true, true) => self.ready_callers.push_back(token),
            (true, false) => {}
            (false, _) => _ = self.http_connections.remove(&token),
        }
    }

    /// Passes the next request of an HTTP connection to the node.
    fn submit_next_call(&mut self, token: Token) {
        let now = self.now();
        let Some(http) = self.http_connections.get_mut(&token) else {
            return;
        };
        let received = match http.next_call(now) {
            Ok(None) => return self.continue_reading(token),
            Ok(Some(received)) => received,
            Err(error) => {
                let error = match error {
                    BadRequest::Body(BodyError::TooLong) => BadCall::TooLarge,
                    error => BadCall::Malformed(error.to_string()),
                };
                self.bad_calls.record(now, "", &error, &self.metrics);
                let reply = self.dialect.render_bad_call(&error);
                return self.refuse_caller(token, &reply);
            }
        };
        let request = &received.request;
        let parsed = self.dialect.parse(HttpCall {
            method: &request.method,
            target: &request.target,
            body: &request.body,
        });
        match parsed {
            Ok(call) => {
                let is_evacuation = call.is_evacuation();
                let source = is_evacuation.then(|| CallSource::of_caller(http, &received));
                self.admit_call(token, call, received.basis, source);
            }
            Err(error) => {
                let target = &request.target;
                self.bad_calls.record(now, target, &error, &self.metrics);
                let reply = self.dialect.render_bad_call(&error);
                self.answer_caller(token, &reply);
            }
        }
    }

    /// Begins a call, unless it reads the items while there is no memory for their copy.
    fn admit_call(
        &mut self,
        token: Token,
        call: Call,
        basis: CallBasis,
        source: Option<CallSource>,
    ) {
        if call == Call::ReadItems && !self.has_memory_for_call(token, 0) {
            let reply = Reply::Unavailable(UnavailableReason::NoMemory);
            return self.answer_caller(token, &self.dialect.render(&reply));
        }
        let id = self.calls.begin(self.now(), Origin::Http(token));
        self.submit_call(id, call, basis, source);
    }

    /// Answers a call that is not read to its end, and closes the connection.
    pub(super) fn refuse_caller(&mut self, token: Token, reply: &HttpReply) {
        let (now, known) = (self.now(), self.node.call_basis());
        let Some(http) = self.http_connections.get_mut(&token) else {
            return;
        };
        match http.refuse(reply, self.dialect.content_type(), known, now) {
            true => self.ready_callers.push_back(token),
            false => _ = self.http_connections.remove(&token),
        }
    }

    /// Passes a call to the node unless its caller has given it up. `source` is where a call that begins or ends an
    /// evacuation came from. Other calls have none: they state versions or facts, which hold however late they are read.
    pub(super) fn submit_call(
        &mut self,
        id: CallId,
        call: Call,
        basis: CallBasis,
        source: Option<CallSource>,
    ) {
        if let Some(source) = source {
            let now = self.now();
            log_evacuation_call(now, id, &call, basis, &source);
            if source.has_given_up(now) {
                return self.reply(id, &Reply::Unavailable(UnavailableReason::GivenUp));
            }
        }
        self.inputs.push(NodeInput::Call { id, call, basis });
    }
}
