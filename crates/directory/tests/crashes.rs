//! Which requests are quarantined because of crashes that gateways report.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_catalog::{Catalog, Command, Fingerprint, InstanceId};
use grebepin_directory::crashes::{CrashReport, CrashReportBuffer, CrashTracker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn crash(request: u64, server: u64, age: Duration) -> CrashReport {
    CrashReport {
        fingerprint: Fingerprint::from_hash(request.into()),
        server: InstanceId::started_at(&format!("i-{server}"), 7),
        age,
    }
}

/// Reports crashes to the leader and applies its commands. Returns the number of quarantined requests.
fn report_crashes(
    tracker: &mut CrashTracker,
    catalog: &mut Catalog,
    now: Duration,
    reports: &[CrashReport],
) -> usize {
    reports
        .iter()
        .for_each(|report| tracker.record(now, report));
    for command in tracker.due_commands(now, catalog) {
        catalog.apply(&command);
    }
    catalog.quarantine().requests().count()
}

#[test]
fn three_incarnations_crashing_at_different_times_quarantine_a_request_until_it_expires() {
    let (mut tracker, mut catalog) = (CrashTracker::default(), Catalog::default());
    let two = [crash(1, 1, SECOND), crash(1, 2, ms(0))];
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(5_000), &two),
        0
    );
    // The same crashes again, reported by the same gateway and by another one.
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(6_000), &two),
        0
    );
    let third = [
        crash(1, 1, SECOND * 2),
        crash(1, 2, SECOND),
        crash(1, 3, ms(0)),
    ];
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(6_100), &third),
        1
    );
    assert!(catalog.quarantine().contains(third[0].fingerprint));
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(6_150), &[]),
        1
    );
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(600_000), &[]),
        1
    );
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(960_000), &[]),
        0
    );
}

/// A failing rack stops many servers at one moment, with all requests that they were executing.
#[test]
fn servers_that_fail_together_quarantine_nothing() {
    let (mut tracker, mut catalog) = (CrashTracker::default(), Catalog::default());
    let reports: Vec<CrashReport> = (0..50)
        .flat_map(|server| (0..20).map(move |request| crash(request, server, ms(server))))
        .collect();
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(5_000), &reports),
        0
    );
}

/// A gateway stops reporting crashes of a request once the request has completed.
#[test]
fn crashes_that_are_no_longer_reported_are_forgotten() {
    let (mut tracker, mut catalog) = (CrashTracker::default(), Catalog::default());
    report_crashes(&mut tracker, &mut catalog, ms(1_000), &[crash(1, 1, ms(0))]);
    report_crashes(&mut tracker, &mut catalog, ms(2_000), &[crash(1, 2, ms(0))]);
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(6_000), &[crash(1, 3, ms(0))]),
        0
    );
}

/// The clock of a new leader starts after the crashes; the next reports must be sufficient to count all of
/// them.
#[test]
fn a_leader_that_has_just_started_counts_crashes_before_its_start() {
    let (mut tracker, mut catalog) = (CrashTracker::default(), Catalog::default());
    let reports = [0, 30, 60].map(|age| crash(1, age, SECOND * age as u32));
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(300), &reports),
        1
    );
}

#[test]
fn the_number_of_recorded_crashes_is_bounded() {
    let (mut tracker, mut catalog) = (CrashTracker::default(), Catalog::default());
    for request in 0..2_000 {
        let reports = [0, 1, 2].map(|server| crash(request, server, SECOND * server as u32));
        report_crashes(&mut tracker, &mut catalog, ms(10_000 + request), &reports);
    }
    assert_eq!(catalog.quarantine().requests().count(), 256);
    let commands = catalog
        .quarantine()
        .requests()
        .map(|fingerprint| Command::SetQuarantine {
            fingerprint,
            quarantined: false,
        });
    let commands: Vec<Command> = commands.collect();
    commands
        .iter()
        .for_each(|command| _ = catalog.apply(command));
    assert!(catalog.quarantine().is_empty());
}

/// A third of a service's servers crash several times while harmless requests are attempted twice each by
/// their clients and gateways. None of these requests may be quarantined.
#[test]
fn ordinary_requests_are_not_quarantined_while_many_servers_crash() {
    for seed in 0..10_000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut tracker, mut catalog) = (CrashTracker::default(), Catalog::default());
        let mut next_request = 0;
        for wave in 1..=4_u64 {
            let now = SECOND * wave as u32 * 2;
            let crashed: BTreeSet<u64> = (0..5).map(|_| random.random_range(0..15)).collect();
            let mut reports = Vec::new();
            for server in crashed {
                for _ in 0..random.random_range(0..4) {
                    next_request += 1;
                    reports.push(crash(
                        next_request,
                        server * 10 + wave,
                        ms(random.random_range(0..900)),
                    ));
                    // The second attempt reached another server that crashed.
                    if random.random_bool(0.3) {
                        let other = random.random_range(0..15) * 10 + wave;
                        reports.push(crash(next_request, other, ms(random.random_range(0..900))));
                    }
                }
            }
            assert_eq!(
                report_crashes(&mut tracker, &mut catalog, now, &reports),
                0,
                "seed {seed}"
            );
        }
    }
}

/// Guards against crashes of one moment that count as several because a replica held some of their reports back before
/// it sent them on.
#[test]
fn reports_age_while_a_replica_buffers_them() {
    let mut tracker = CrashTracker::default();
    let mut catalog = Catalog::default();
    let crashed_at = ms(10_000);
    for (server, held) in [(1, ms(0)), (2, ms(250)), (3, ms(500))] {
        let mut buffer = CrashReportBuffer::default();
        buffer.add(crashed_at, &[crash(1, server, ms(0))]);
        let now = crashed_at + held;
        let reports = buffer.take(now);
        assert_eq!(report_crashes(&mut tracker, &mut catalog, now, &reports), 0);
    }
}

/// Guards against a crash whose first report was read late and that counts as a later one for ever.
#[test]
fn a_later_report_corrects_the_time_of_a_crash() {
    let mut tracker = CrashTracker::default();
    let mut catalog = Catalog::default();
    let late = [crash(1, 1, ms(0))];
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(10_300), &late),
        0
    );
    // All three crashed at 10.0 s or at 12.0 s.
    let repeated = [crash(1, 1, ms(1_000)), crash(1, 2, ms(1_000))];
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(11_000), &repeated),
        0
    );
    let third = [crash(1, 3, ms(0))];
    assert_eq!(
        report_crashes(&mut tracker, &mut catalog, ms(12_000), &third),
        0
    );
}
