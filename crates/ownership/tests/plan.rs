//! A plan equals the moves made when its bundle is submitted.

mod support;

use std::time::Duration;

use grebepin_ownership::{plan_bundle, Guards, Plan, PlanRisk, ServicePlan};
use grebepin_schema::{Bundle, Service};
use support::{accept, bundle, ms, server_name, service, Network, World};

const SHARDS: u32 = 60;

fn settled() -> World {
    let mut world = World::new(Network::reliable(), Guards::all());
    for number in 0..6 {
        world.start(server_name(number));
    }
    let first = service("ledger", SHARDS, &[0, 1, 2, 3, 4, 5], [1, 0]);
    world.commit(&accept(bundle(1, None, vec![first])).0);
    world.run(ms(62_000));
    world
}

fn next(world: &World, services: Vec<Service>) -> Bundle {
    let record = world.state.bundle_record().expect("in force");
    bundle(2, Some(record.digest.clone()), services)
}

fn single_service(plan: Plan) -> ServicePlan {
    let mut services = plan.services.into_iter();
    services.next().expect("one service")
}

#[test]
fn planned_moves_are_those_that_a_roll_makes() {
    let all = [0, 1, 2, 3, 4, 5];
    for (shares, servers) in [
        ([1, 1], all.as_slice()),
        ([0, 1], all.as_slice()),
        ([3, 1], &[0, 1, 2, 3, 4]),
        ([1, 0], &[0, 2]),
        ([1, 0], all.as_slice()),
    ] {
        let mut world = settled();
        let rolled = next(&world, vec![service("ledger", SHARDS, servers, shares)]);
        let plan = single_service(plan_bundle(&world.state, &rolled));
        let before = world.assignments;
        world.commit(&accept(rolled).0);
        world.run(ms(60_000));
        let made = world.assignments - before;
        assert_eq!(u64::from(plan.moves), made, "{shares:?} {servers:?}");
        for server in &plan.servers {
            let owned = world.owned(&server.server) as u32;
            assert_eq!(server.after, owned, "{shares:?} {servers:?}: {server:?}");
        }
    }
}

#[test]
fn a_plan_states_time_and_imbalance() {
    let world = settled();
    let mut spread = service("ledger", SHARDS, &[0, 1, 2, 3, 4, 5], [1, 1]);
    spread.churn.moves_per_minute = 60;
    let plan = single_service(plan_bundle(&world.state, &next(&world, vec![spread])));
    assert_eq!(
        (plan.moves, plan.at_least),
        (30, Some(Duration::from_secs(30)))
    );
    assert!((plan.imbalance_before - 1.0).abs() < 0.01, "{plan:?}");
    assert!((plan.imbalance_after - 1.0).abs() < 0.01, "{plan:?}");
}

#[test]
fn risks_are_named() {
    type Risky = fn(&PlanRisk) -> bool;
    let world = settled();
    let all = [0, 1, 2, 3, 4, 5];
    let mut forbidden = service("ledger", SHARDS, &all, [0, 1]);
    forbidden.churn.moves_per_minute = 0;
    let mut readdressed = service("ledger", SHARDS, &all, [1, 0]);
    readdressed.servers[0].address = "127.0.0.1:9999".parse().expect("an address");
    let cases: Vec<(Vec<Service>, Risky)> = vec![
        (vec![service("ledger", SHARDS, &[0, 2], [1, 0])], |risk| {
            matches!(risk, PlanRisk::RemovesOwner { shards: 20, .. })
        }),
        (
            vec![service("ledger", SHARDS, &[0, 2, 4], [0, 1])],
            |risk| matches!(risk, PlanRisk::NoReceiver { .. }),
        ),
        (vec![forbidden], |risk| {
            matches!(risk, PlanRisk::MovesForbidden { .. })
        }),
        (vec![readdressed], |risk| {
            matches!(risk, PlanRisk::ChangesAddress { shards: 20, .. })
        }),
        (Vec::new(), |risk| {
            matches!(risk, PlanRisk::RemovesService { .. })
        }),
    ];
    for (services, risky) in cases {
        let plan = single_service(plan_bundle(&world.state, &next(&world, services)));
        assert!(plan.risks.iter().any(risky), "{plan:?}");
    }
    let same = vec![service("ledger", SHARDS, &all, [1, 0])];
    assert!(
        single_service(plan_bundle(&world.state, &next(&world, same)))
            .risks
            .is_empty()
    );
}
