//! Upstreams as the pages describe them: they report themselves, check `Expect-Instance`, and answer with their
//! signature.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::http;
use crate::network::drop_connections_from;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_300);

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: String,
    /// Size of its answers in bytes.
    answer_bytes: usize,
    /// How long it works on a request.
    pub work_ms: AtomicU64,
    sequence: AtomicU64,
    /// Ids of the requests that it ran, in order.
    pub runs: Mutex<Vec<String>>,
    /// When it ran each of them.
    pub run_times: Mutex<Vec<Instant>>,
    pub acknowledged: AtomicU64,
    stop: AtomicBool,
    listener: TcpListener,
    connections: Mutex<Vec<(IpAddr, TcpStream)>>,
}

impl Server {
    /// Starts a server, which reports itself from now on.
    pub fn start(deployment: &Arc<Deployment>, number: u8, service: &str, answer_bytes: usize) -> Result<Arc<Self>, String> {
        let address = deployment.server(number);
        let listener = TcpListener::bind(&address).map_err(|error| error.to_string())?;
        let server = Arc::new(Self {
            id: format!("i-{number:08x}"),
            service: service.to_owned(),
            address,
            answer_bytes,
            work_ms: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            run_times: Mutex::default(),
            acknowledged: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            listener: listener.try_clone().map_err(|error| error.to_string())?,
            connections: Mutex::default(),
        });
        let (serving, of) = (Arc::clone(&server), Arc::clone(deployment));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if let (Ok(peer), Ok(copy)) = (stream.peer_addr(), stream.try_clone()) {
                    serving.connections.lock().unwrap().push((peer.ip(), copy));
                }
                let (server, of) = (Arc::clone(&serving), Arc::clone(&of));
                thread::spawn(move || server.serve(stream, &of));
            }
        });
        let (reporting, of) = (Arc::clone(&server), Arc::clone(deployment));
        thread::spawn(move || reporting.report(&of));
        Ok(server)
    }

    /// Cuts a gateway off: its open connections are reset, and new ones hang.
    pub fn cut(&self, gateway: IpAddr) -> Result<(), String> {
        drop_connections_from(&self.listener, gateway)?;
        for (peer, stream) in self.connections.lock().unwrap().iter() {
            if *peer == gateway {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        Ok(())
    }

    /// A heartbeat with the next sequence number.
    pub fn heartbeat(&self, service: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmup_left_s\":0,\"sequence\":{sequence}}}",
            self.address
        )
    }

    /// Sends one heartbeat to a node; returns whether that node leads: any other one names the leader's address in its
    /// answer.
    pub fn finds_leader_at(&self, node: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = self.heartbeat(&self.service, sequence);
        let answer = http::call(node, "instances.heartbeat", &self.id, &body, Duration::from_secs(1));
        answer.is_ok_and(|one| one.status == 200 && !one.text().contains("heartbeat_endpoint"))
    }

    fn report(&self, deployment: &Deployment) {
        let controls = deployment.controls();
        let mut node = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = self.heartbeat(&self.service, sequence);
            let control = &controls[node % controls.len()];
            let answer = http::call(control, "instances.heartbeat", &self.id, &body, Duration::from_secs(1));
            match answer {
                Ok(response) if response.status == 200 => {
                    self.acknowledged.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
                _ => {
                    node += 1;
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, deployment: &Deployment) {
        let _ = stream.set_nodelay(true);
        let mut bytes: Vec<u8> = Vec::new();
        let mut buffer = vec![0; 64 << 10];
        loop {
            while let Some(end) = http::find(&bytes, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let length = http::field(&head, "content-length").and_then(|text| text.parse::<usize>().ok());
                let length = length.unwrap_or(0);
                while bytes.len() < end + 4 + length {
                    match stream.read(&mut buffer) {
                        Ok(0) | Err(_) => return,
                        Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                    }
                }
                bytes.drain(..end + 4 + length);
                let answer = self.answer(&head, deployment);
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            }
        }
    }

    fn answer(&self, head: &str, deployment: &Deployment) -> Vec<u8> {
        let request_id = http::field(head, "attempt-id").unwrap_or_default();
        let expected = http::field(head, "expect-instance").unwrap_or(&self.id);
        if expected != self.id {
            return format!("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        let line = head.lines().next().unwrap_or_default();
        let (service, id) = (&self.service, &self.id);
        deployment.record.note(&format!("server {id} of {service}: runs {request_id}: {line}"));
        self.runs.lock().unwrap().push(request_id.to_owned());
        self.run_times.lock().unwrap().push(Instant::now());
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::Relaxed)));
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nServer-Signature: {id}.{request_id}\r\nContent-Length: {}\r\n\r\n",
            self.answer_bytes
        )
        .into_bytes();
        answer.resize(answer.len() + self.answer_bytes, b'x');
        answer
    }
}
