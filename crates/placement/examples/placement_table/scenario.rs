//! Events that change a fleet.

use grebepin_placement::algorithms::{Algorithm, Problem};
use grebepin_placement::{target_counts, Candidate};

use crate::fleet::{self, Size};

pub const IMBALANCE_PERCENT: u32 = 10;
/// Load of the hot shard, as a fraction of a server's share.
const HOT_FRACTION: f64 = 0.5;
const OLD_SIDE_BEFORE: f64 = 70.0;
const OLD_SIDE_AFTER: f64 = 60.0;
const BOTH_SIDES: f64 = 100.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    First,
    LossOfServer,
    LossOfZone,
    ShareChange,
    HotShard,
}

pub const SCENARIOS: [Scenario; 5] = [
    Scenario::First,
    Scenario::LossOfServer,
    Scenario::LossOfZone,
    Scenario::ShareChange,
    Scenario::HotShard,
];

/// A fleet right after an event.
pub struct Case {
    pub candidates: Vec<Candidate>,
    pub sides: Vec<usize>,
    pub owners: Vec<Option<usize>>,
    pub loads: Vec<f64>,
    pub scenario: Scenario,
}

impl Scenario {
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first placement",
            Self::LossOfServer => "loss of a server",
            Self::LossOfZone => "loss of a zone",
            Self::ShareChange => "share 70:30 to 60:40",
            Self::HotShard => "hot shard",
        }
    }

    /// The fleet as placed by the algorithm, followed by the event.
    pub fn case(self, algorithm: &dyn Algorithm, size: &Size, seed: u64) -> Case {
        let mut candidates = fleet::equal_servers(size.servers);
        if self == Self::ShareChange {
            set_sides(&mut candidates, OLD_SIDE_BEFORE);
        }
        let mut owners = vec![None; size.shards];
        if self != Self::First {
            owners = first_owners(algorithm, &candidates, &owners, seed);
        }
        match self {
            Self::First | Self::HotShard => {}
            Self::LossOfServer => candidates[seed as usize % size.servers].eligible = false,
            Self::LossOfZone => {
                let zone = seed as usize % size.zones;
                let in_zone = candidates.iter_mut().skip(zone).step_by(size.zones);
                in_zone.for_each(|server| server.eligible = false);
            }
            Self::ShareChange => set_sides(&mut candidates, OLD_SIDE_AFTER),
        }
        let hot = match self {
            Self::HotShard => HOT_FRACTION * size.shards as f64 / size.servers as f64,
            _ => 1.0,
        };
        let half = size.servers / 2;
        let side = |server| usize::from(self == Self::ShareChange && server >= half);
        Case {
            sides: (0..size.servers).map(side).collect(),
            candidates,
            owners,
            loads: fleet::loads(size, seed, hot),
            scenario: self,
        }
    }
}

impl Case {
    pub fn problem(&self) -> Problem<'_> {
        let by_load = self.scenario == Scenario::HotShard;
        Problem {
            candidates: &self.candidates,
            sides: &self.sides,
            owners: &self.owners,
            loads: if by_load { &self.loads } else { &[] },
            keep_owners: !by_load && self.scenario != Scenario::ShareChange,
            imbalance_percent: IMBALANCE_PERCENT,
        }
    }

    /// Lower bound on the changes of owner.
    pub fn least_changes(&self) -> usize {
        let problem = self.problem();
        let held = |shard| problem.eligible_owner(shard);
        match self.scenario {
            Scenario::ShareChange => {
                let counts = counts(self.candidates.len(), &self.owners);
                let targets = target_counts(&self.candidates, &counts, self.owners.len());
                let surplus = |(count, target): (&usize, usize)| count.saturating_sub(target);
                counts.iter().zip(targets).map(surplus).sum()
            }
            Scenario::HotShard => self.least_changes_for_load(),
            _ => (0..self.owners.len())
                .filter(|&shard| held(shard).is_none())
                .count(),
        }
    }

    /// For each server above the tolerated load, the number of its heaviest shards, without a hot one,
    /// that bring it below.
    fn least_changes_for_load(&self) -> usize {
        let mut held = vec![Vec::new(); self.candidates.len()];
        for (shard, owner) in self.owners.iter().enumerate() {
            if let Some(server) = owner {
                held[*server].push(self.loads[shard]);
            }
        }
        let mean = self.loads.iter().sum::<f64>() / held.len() as f64;
        let tolerated = mean * (1.0 + f64::from(IMBALANCE_PERCENT) / 100.0);
        held.iter_mut()
            .map(|loads| least_moved(loads, tolerated))
            .sum()
    }
}

fn least_moved(loads: &mut Vec<f64>, tolerated: f64) -> usize {
    let mut sum: f64 = loads.iter().sum();
    loads.sort_by(f64::total_cmp);
    let mut moved = 0;
    while sum > tolerated {
        let Some(load) = loads.pop() else { break };
        // A load of 2 or more is that of the hot shard, which stays; other loads are below 1.5.
        if load < 2.0 {
            sum -= load;
            moved += 1;
        }
    }
    moved
}

fn set_sides(candidates: &mut [Candidate], old_side: f64) {
    let half = candidates.len() / 2;
    let (old, new) = candidates.split_at_mut(half);
    old.iter_mut().for_each(|server| server.weight = old_side);
    new.iter_mut()
        .for_each(|server| server.weight = BOTH_SIDES - old_side);
}

fn first_owners(
    algorithm: &dyn Algorithm,
    candidates: &[Candidate],
    owners: &[Option<usize>],
    seed: u64,
) -> Vec<Option<usize>> {
    let problem = Problem {
        candidates,
        sides: &[],
        owners,
        loads: &[],
        keep_owners: true,
        imbalance_percent: IMBALANCE_PERCENT,
    };
    algorithm.place(&problem, seed).owners_after(owners)
}

pub fn counts(servers: usize, owners: &[Option<usize>]) -> Vec<usize> {
    let mut counts = vec![0; servers];
    for &server in owners.iter().flatten() {
        counts[server] += 1;
    }
    counts
}
