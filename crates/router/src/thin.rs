//! A router without admission control: follows one control process and forwards each request.

use std::io::Read;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use grebepin_schema::framing::{read_frame, write_frame};
use grebepin_schema::hashing::shard_of_key;
use grebepin_schema::{
    ControlFrame, FollowRequest, GroupId, LogIndex, Outcome, Reject, RejectKind, RequestClass,
    RouterFrame, RouterSettings, ServiceTable, ShardId, ShardOwner, TableSnapshot,
};
use rouille::{Request, Response};

const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
const RECONNECT: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_AFTER_MS: u64 = 200;

/// Why the process could not run.
#[derive(Debug, thiserror::Error)]
pub enum ThinError {
    /// The settings file cannot be read.
    #[error("settings file: {0}")]
    Read(#[from] std::io::Error),
    /// The settings file does not fit the schema.
    #[error("settings file: {0}")]
    Settings(#[from] toml::de::Error),
    /// The callers' address cannot be listened on.
    #[error("listen_address {0} cannot be listened on")]
    Listen(String),
}

#[derive(Default)]
struct Follower {
    table: Mutex<Option<Arc<TableSnapshot>>>,
    changed: Condvar,
}

impl Follower {
    fn lock(&self) -> MutexGuard<'_, Option<Arc<TableSnapshot>>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn install(&self, table: TableSnapshot) {
        let mut current = self.lock();
        if current
            .as_ref()
            .is_none_or(|known| known.index < table.index)
        {
            *current = Some(Arc::new(table));
            self.changed.notify_all();
        }
    }

    /// Waits until the table is newer than `index`; false at the deadline.
    fn wait_beyond(&self, index: LogIndex, deadline: Instant) -> bool {
        let left = deadline.saturating_duration_since(Instant::now());
        let same = |table: &mut Option<Arc<TableSnapshot>>| {
            table.as_ref().is_none_or(|table| table.index <= index)
        };
        let (_guard, result) = self
            .changed
            .wait_timeout_while(self.lock(), left, same)
            .unwrap_or_else(PoisonError::into_inner);
        !result.timed_out()
    }
}

/// Runs the process with the settings file at `path`; returns only on failure to start.
pub fn run(path: &Path) -> Result<(), ThinError> {
    let settings: RouterSettings = toml::from_str(&std::fs::read_to_string(path)?)?;
    let follower = Arc::new(Follower::default());
    let following = Arc::clone(&follower);
    let address = settings.listen_address.to_string();
    thread::spawn(move || follow(&settings, &following));
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let server = rouille::Server::new(&address, move |request| serve(&follower, &agent, request))
        .map_err(|_| ThinError::Listen(address))?;
    server.run();
    Ok(())
}

fn follow(settings: &RouterSettings, follower: &Follower) {
    for address in settings.control_addresses.iter().cycle() {
        if let Ok(mut connection) = TcpStream::connect(address.as_str()) {
            let request = FollowRequest {
                group: GroupId(0),
                router: settings.name.clone(),
                zone: settings.zone.clone(),
                incarnation: 1,
                have_index: LogIndex(0),
            };
            if write_frame(&mut connection, &RouterFrame::Follow(request)).is_ok() {
                while let Ok(ControlFrame::Snapshot(table)) = read_frame(&mut connection) {
                    follower.install(table);
                }
            }
        }
        thread::sleep(RECONNECT);
    }
}

struct Call<'a> {
    request: &'a Request,
    key: String,
    id: String,
    body: Vec<u8>,
    deadline: Instant,
}

struct Route {
    address: String,
    service: String,
    shard: ShardId,
    owner: ShardOwner,
    class: RequestClass,
}

enum Attempt {
    Answered(Response),
    NotRun,
    Unknown,
}

fn serve(follower: &Follower, agent: &ureq::Agent, request: &Request) -> Response {
    let Some(key) = request.header("Grebepin-Key") else {
        return reject(RejectKind::MissingKey, Outcome::NotRun, 400);
    };
    let mut body = Vec::new();
    if let Some(mut data) = request.data() {
        if data.read_to_end(&mut body).is_err() {
            return reject(RejectKind::BadHeader, Outcome::NotRun, 400);
        }
    }
    let deadline = request
        .header("Grebepin-Deadline-Ms")
        .and_then(|text| text.parse().ok());
    let call = Call {
        request,
        key: key.to_string(),
        id: request
            .header("Grebepin-Request-Id")
            .unwrap_or_default()
            .to_string(),
        body,
        deadline: Instant::now() + deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis),
    };
    run_call(follower, agent, &call)
}

fn run_call(follower: &Follower, agent: &ureq::Agent, call: &Call) -> Response {
    loop {
        let table = follower.lock().clone();
        let Some(table) = table else {
            return reject(RejectKind::NoTable, Outcome::NotRun, 503);
        };
        let Some(service) = find_service(&table, &call.request.url()) else {
            return reject(RejectKind::UnknownService, Outcome::NotRun, 404);
        };
        let attempt = match find_route(service, call) {
            Some(route) => forward(agent, call, &route),
            None => Attempt::NotRun,
        };
        match attempt {
            Attempt::Answered(response) => return response,
            Attempt::Unknown => return reject(RejectKind::OutcomeUnknown, Outcome::Unknown, 504),
            Attempt::NotRun => {
                let soon = call
                    .deadline
                    .min(Instant::now() + Duration::from_millis(20));
                follower.wait_beyond(table.index, soon);
                if Instant::now() >= call.deadline {
                    return reject(RejectKind::NoOwner, Outcome::NotRun, 503);
                }
            }
        }
    }
}

fn find_service<'a>(table: &'a TableSnapshot, path: &str) -> Option<&'a ServiceTable> {
    let name = path.split('/').nth(1)?;
    table
        .table
        .services
        .iter()
        .find(|service| service.service.name.as_str() == name)
}

fn find_route(table: &ServiceTable, call: &Call) -> Option<Route> {
    let shard = shard_of_key(&call.key, table.service.shards.get());
    let owner = table.owners.get(shard.0 as usize)?.clone();
    let server = table.service.servers.get(owner.server? as usize)?;
    let url = call.request.url();
    let path = url.splitn(3, '/').nth(2).unwrap_or_default();
    let fits = |class: &&RequestClass| format!("/{path}").starts_with(&class.path_prefix);
    Some(Route {
        address: server.address.to_string(),
        service: table.service.name.to_string(),
        shard,
        owner,
        class: table.service.classes.iter().find(fits)?.clone(),
    })
}

fn forward(agent: &ureq::Agent, call: &Call, route: &Route) -> Attempt {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let request = agent
        .post(format!("http://{}{}", route.address, call.request.url()))
        .header("Grebepin-Service", &route.service)
        .header("Grebepin-Shard", route.shard.0.to_string())
        .header("Grebepin-Epoch", route.owner.epoch.0.to_string())
        .header("Grebepin-Key", &call.key)
        .header("Grebepin-Request-Id", &call.id)
        .header("Grebepin-Attempt", "1")
        .header("Grebepin-Deadline-Ms", left.as_millis().to_string())
        .header("Grebepin-Repeatable", route.class.repeatable.to_string());
    match request.send(&call.body[..]) {
        Ok(response) if response.headers().contains_key("Grebepin-Refusal") => Attempt::NotRun,
        Ok(mut response) => match response.body_mut().read_to_vec() {
            Ok(body) => Attempt::Answered(answered(response.status().as_u16(), body)),
            Err(_) => Attempt::Unknown,
        },
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Attempt::NotRun
        }
        Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => Attempt::NotRun,
        Err(_) if route.class.repeatable => Attempt::NotRun,
        Err(_) => Attempt::Unknown,
    }
}

fn answered(status: u16, body: Vec<u8>) -> Response {
    Response::from_data("application/octet-stream", body)
        .with_status_code(status)
        .with_additional_header("Grebepin-Outcome", Outcome::Answered.to_string())
}

fn reject(kind: RejectKind, outcome: Outcome, status: u16) -> Response {
    let reject = Reject {
        kind,
        outcome,
        message: kind.to_string(),
        request_id: None,
        retry_after_ms: Some(RETRY_AFTER_MS),
    };
    Response::json(&reject)
        .with_status_code(status)
        .with_additional_header("Grebepin-Outcome", outcome.to_string())
        .with_additional_header("Retry-After", "1")
}
