//! Rules for a service: sides, servers, request classes and policies.

use std::net::SocketAddr;

use grebepin_schema::{RequestClass, Server, Service};

use super::location::Location;
use super::unique_values::UniqueValues;
use super::Findings;
use crate::finding::FindingKind;

const MAX_SHARDS: u64 = 4_194_304;
const MAX_SHARE: u64 = 1_000_000;
const MAX_SLOTS: u64 = 4096;
const MAX_CONNECTIONS: u64 = 65_535;
const MAX_WEIGHT: u64 = 1_000_000;
const LOWEST_PRIORITY: u64 = 9;
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_WAITING: u64 = 100_000;
const MAX_RETRY_PERCENT: u64 = 1000;
const MAX_ATTEMPTS: u64 = 10;
const MAX_MOVES: u64 = 1_000_000;
const MAX_CONCURRENT_MOVES: u64 = 100_000;
const MAX_IMBALANCE_PERCENT: u64 = 10_000;

pub(super) fn check_service(service: &Service, location: Location<'_>, findings: &mut Findings) {
    let shards = service.shards.get().into();
    findings.check_range(location, "shards", shards, 1, MAX_SHARDS);
    check_sides(service, location, findings);
    check_servers(service, location, findings);
    check_classes(&service.classes, location, findings);
    check_policies(service, location, findings);
}

fn check_sides(service: &Service, location: Location<'_>, findings: &mut Findings) {
    if service.sides.is_empty() {
        findings.push(location, "sides", FindingKind::Empty);
        return;
    }
    let mut names = UniqueValues::default();
    for side in &service.sides {
        let location = location.entry("sides", &side.side);
        names.insert(&side.side, location, "", findings);
        findings.check_range(location, "share", side.share.into(), 0, MAX_SHARE);
        let mut servers = service.servers.iter();
        if side.share > 0 && !servers.any(|server| server.side == side.side) {
            findings.push(location, "", FindingKind::SideWithoutServers);
        }
    }
    if service.sides.iter().all(|side| side.share == 0) {
        findings.push(location, "sides", FindingKind::AllSharesZero);
    }
}

fn check_servers(service: &Service, location: Location<'_>, findings: &mut Findings) {
    if service.servers.is_empty() {
        findings.push(location, "servers", FindingKind::Empty);
    }
    for server in &service.servers {
        let location = location.entry("servers", &server.name);
        if !service.sides.iter().any(|side| side.side == server.side) {
            let side = server.side.to_string();
            findings.push(location, "side", FindingKind::UnknownSide { side });
        }
        check_server(server, location, findings);
    }
}

fn check_server(server: &Server, location: Location<'_>, findings: &mut Findings) {
    if !is_reachable(&server.address) {
        let address = server.address.to_string();
        findings.push(location, "address", FindingKind::InvalidAddress { address });
    }
    let slots = server.slots.get();
    let connections = server.connections.get();
    let weight = server.weight.get();
    findings.check_range(location, "slots", slots.into(), 1, MAX_SLOTS);
    findings.check_range(
        location,
        "connections",
        connections.into(),
        1,
        MAX_CONNECTIONS,
    );
    findings.check_range(location, "weight", weight.into(), 1, MAX_WEIGHT);
    if connections < slots {
        let kind = FindingKind::FewerConnectionsThanSlots { connections, slots };
        findings.push(location, "connections", kind);
    }
}

fn is_reachable(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}

fn check_classes(classes: &[RequestClass], location: Location<'_>, findings: &mut Findings) {
    if classes.is_empty() {
        findings.push(location, "classes", FindingKind::Empty);
    }
    let mut names = UniqueValues::default();
    for (position, class) in classes.iter().enumerate() {
        let location = location.entry("classes", &class.name);
        names.insert(&class.name, location, "", findings);
        check_class(class, location, findings);
        let shadowing = classes[..position]
            .iter()
            .find(|other| shadows(other, class));
        if let Some(earlier) = shadowing {
            let earlier = earlier.name.to_string();
            findings.push(location, "", FindingKind::ShadowedClass { earlier });
        }
    }
}

fn check_class(class: &RequestClass, location: Location<'_>, findings: &mut Findings) {
    findings.check_range(
        location,
        "priority",
        class.priority.into(),
        0,
        LOWEST_PRIORITY,
    );
    let deadline = class.deadline_ms.get();
    findings.check_range(location, "deadline_ms", deadline, 1, MAX_DEADLINE_MS);
    if !is_path_prefix(&class.path_prefix) {
        let prefix = class.path_prefix.clone();
        findings.push(
            location,
            "path_prefix",
            FindingKind::InvalidPathPrefix { prefix },
        );
    }
    let method = class.method.as_deref().unwrap_or("GET");
    if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
        let method = method.to_owned();
        findings.push(location, "method", FindingKind::InvalidMethod { method });
    }
}

fn is_path_prefix(prefix: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    prefix.starts_with('/') && prefix.bytes().all(allowed)
}

/// Whether `earlier` matches every request that `later` matches.
fn shadows(earlier: &RequestClass, later: &RequestClass) -> bool {
    let method_covers = earlier.method.is_none() || earlier.method == later.method;
    method_covers && later.path_prefix.starts_with(&earlier.path_prefix)
}

fn check_policies(service: &Service, location: Location<'_>, findings: &mut Findings) {
    let queue = &service.queue;
    let retry = &service.retry;
    let churn = &service.churn;
    let limits = [
        (
            "queue.waiting_per_server",
            queue.waiting_per_server,
            0,
            MAX_WAITING,
        ),
        (
            "retry.budget_percent",
            retry.budget_percent,
            0,
            MAX_RETRY_PERCENT,
        ),
        ("retry.attempts", retry.attempts.get(), 1, MAX_ATTEMPTS),
        (
            "churn.moves_per_minute",
            churn.moves_per_minute,
            0,
            MAX_MOVES,
        ),
        (
            "churn.concurrent_moves",
            churn.concurrent_moves.get(),
            1,
            MAX_CONCURRENT_MOVES,
        ),
        (
            "churn.imbalance_percent",
            churn.imbalance_percent,
            0,
            MAX_IMBALANCE_PERCENT,
        ),
    ];
    for (field, value, minimum, maximum) in limits {
        findings.check_range(location, field, value.into(), minimum, maximum);
    }
}
