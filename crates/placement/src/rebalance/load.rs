//! Moves shards away from servers with too much load for their weight.
//!
//! Invariant: a step lowers the higher of the two servers' loads by at least a fraction of the load that
//! it moves. Load that can't be spread, such as one very hot shard, therefore isn't moved from server to
//! server.

use super::Plan;

/// Smallest fraction of the moved load by which a step must lower the higher of the two loads.
const MIN_EFFICIENCY: f64 = 0.5;
/// Smallest fraction of the source's excess that a step must remove.
const MIN_PROGRESS: f64 = 0.01;
/// Number of least loaded servers that are tried as destinations.
const DESTINATIONS_TRIED: usize = 8;

/// State of the search besides the plan.
struct Search {
    /// Load ratio at which no more load is moved away from a server.
    target_ratio: f64,
    /// Shards of each server that haven't moved yet, in ascending order of load.
    held: Vec<Vec<usize>>,
    /// Servers from which no more load can be moved.
    exhausted: Vec<bool>,
}

/// A move, or two moves that swap shards.
#[derive(Clone, Copy, Debug)]
struct Step {
    destination: usize,
    moved: usize,
    swapped: Option<usize>,
    /// Decrease of the higher of the two load ratios, per move.
    gain: f64,
}

/// Moves load away from each server that exceeds its target by more than the tolerance, down to half of
/// the tolerance.
pub(super) fn move_away_from_load(plan: &mut Plan<'_>) {
    let trigger = 1.0 + plan.tolerance;
    if !weighted_servers(plan).any(|server| plan.load_ratio(server) > trigger) {
        return;
    }
    let mut search = Search::new(plan);
    while let Some(source) = search.most_loaded(plan) {
        if plan.load_ratio(source) <= trigger {
            return;
        }
        while plan.load_ratio(source) > search.target_ratio {
            if plan.budget_left() == 0 {
                return;
            }
            let Some(step) = search.best_step(plan, source) else {
                break;
            };
            search.apply(plan, source, step);
        }
        search.exhausted[source] = true;
    }
}

impl Search {
    fn new(plan: &Plan<'_>) -> Self {
        let mut held = plan.shards_by_load();
        for shards in &mut held {
            shards.retain(|&shard| !plan.moved[shard]);
        }
        Self {
            target_ratio: 1.0 + plan.tolerance / 2.0,
            exhausted: vec![false; held.len()],
            held,
        }
    }

    fn most_loaded(&self, plan: &Plan<'_>) -> Option<usize> {
        weighted_servers(plan)
            .filter(|&server| !self.exhausted[server])
            .max_by(|&left, &right| plan.load_ratio(left).total_cmp(&plan.load_ratio(right)))
    }

    fn apply(&mut self, plan: &mut Plan<'_>, source: usize, step: Step) {
        self.move_one(plan, step.moved, source, step.destination);
        if let Some(swapped) = step.swapped {
            self.move_one(plan, swapped, step.destination, source);
        }
    }

    fn move_one(&mut self, plan: &mut Plan<'_>, shard: usize, from: usize, to: usize) {
        self.held[from].retain(|&held| held != shard);
        plan.move_shard(shard, from, to);
    }

    fn best_step(&self, plan: &Plan<'_>, source: usize) -> Option<Step> {
        let destinations = least_loaded(plan, source).into_iter();
        let steps = destinations.flat_map(|destination| {
            let single = self.best_single(plan, source, destination);
            let swap = self.best_swap(plan, source, destination);
            single.into_iter().chain(swap)
        });
        // Keeps the first of equal steps, which has the least loaded destination.
        steps.reduce(better)
    }

    fn best_single(&self, plan: &Plan<'_>, source: usize, destination: usize) -> Option<Step> {
        if !counts_allow_move(plan, source, destination) {
            return None;
        }
        let load = balancing_load(plan, source, destination);
        let steps = nearest(plan, &self.held[source], load).filter_map(|moved| {
            let gain = self.gain(plan, source, destination, plan.load_of(moved))?;
            Some(Step {
                destination,
                moved,
                swapped: None,
                gain,
            })
        });
        steps.reduce(better)
    }

    fn best_swap(&self, plan: &Plan<'_>, source: usize, destination: usize) -> Option<Step> {
        if plan.budget_left() < 2 {
            return None;
        }
        let difference = balancing_load(plan, source, destination);
        let pairs = self.held[source].iter().flat_map(|&moved| {
            let swapped = nearest(
                plan,
                &self.held[destination],
                plan.load_of(moved) - difference,
            );
            swapped.map(move |swapped| (moved, swapped))
        });
        let steps = pairs.filter_map(|(moved, swapped)| {
            let load = plan.load_of(moved) - plan.load_of(swapped);
            let gain = self.gain(plan, source, destination, load)? / 2.0;
            Some(Step {
                destination,
                moved,
                swapped: Some(swapped),
                gain,
            })
        });
        steps.reduce(better)
    }

    /// Decrease of the higher load ratio of the two servers when `load` moves between them; `None` when
    /// it is too small.
    fn gain(&self, plan: &Plan<'_>, source: usize, destination: usize, load: f64) -> Option<f64> {
        let ratio = plan.load_ratio(source);
        let part = load / plan.target_loads[source];
        let destination_after =
            (plan.current_loads[destination] + load) / plan.target_loads[destination];
        let gain = ratio - (ratio - part).max(destination_after);
        let progress = (ratio - self.target_ratio) * MIN_PROGRESS;
        let is_enough = gain > 0.0 && gain >= progress && gain >= part * MIN_EFFICIENCY;
        is_enough.then_some(gain)
    }
}

fn better(best: Step, step: Step) -> Step {
    if step.gain > best.gain {
        step
    } else {
        best
    }
}

fn weighted_servers<'a>(plan: &'a Plan<'_>) -> impl Iterator<Item = usize> + 'a {
    (0..plan.target_loads.len()).filter(|&server| plan.target_loads[server] > 0.0)
}

fn least_loaded(plan: &Plan<'_>, source: usize) -> Vec<usize> {
    let mut destinations: Vec<usize> = weighted_servers(plan)
        .filter(|&server| server != source)
        .collect();
    let by_ratio = |left: &usize, right: &usize| {
        let by_ratio = plan.load_ratio(*left).total_cmp(&plan.load_ratio(*right));
        by_ratio.then(left.cmp(right))
    };
    if destinations.len() > DESTINATIONS_TRIED {
        destinations.select_nth_unstable_by(DESTINATIONS_TRIED, by_ratio);
        destinations.truncate(DESTINATIONS_TRIED);
    }
    destinations.sort_by(by_ratio);
    destinations
}

/// Whether one shard may move without another in return.
fn counts_allow_move(plan: &Plan<'_>, source: usize, destination: usize) -> bool {
    let sides = &plan.sides;
    let (from, to) = (sides.of_server[source], sides.of_server[destination]);
    let sides_allow = from == to
        || (sides.counts[from] > *sides.bounds[from].start()
            && sides.counts[to] < *sides.bounds[to].end());
    sides_allow && plan.counts[destination] < *plan.bounds[destination].end()
}

/// Load whose move makes the load ratios of the two servers equal.
fn balancing_load(plan: &Plan<'_>, source: usize, destination: usize) -> f64 {
    let (source_target, destination_target) =
        (plan.target_loads[source], plan.target_loads[destination]);
    let difference = plan.current_loads[source] * destination_target
        - plan.current_loads[destination] * source_target;
    difference / (source_target + destination_target)
}

/// Shards with the loads next below and next above a load; `held` must be in ascending order of load.
fn nearest<'a>(plan: &Plan<'_>, held: &'a [usize], load: f64) -> impl Iterator<Item = usize> + 'a {
    let above = held.partition_point(|&shard| plan.load_of(shard) < load);
    held[above.saturating_sub(1)..held.len().min(above + 1)]
        .iter()
        .copied()
}
