//! Moves shards away from servers with too much load for their weight.
//!
//! Invariant: a step lowers the higher of the two servers' loads by at least a part of what it moves, so
//! that load which can't be spread, such as one very hot shard, isn't carried round and round.

use super::Plan;

/// Least part of the moved load by which a step must lower the higher of the two loads.
const LEAST_EFFICIENCY: f64 = 0.5;
/// Least part of the giver's excess that a step must take away.
const LEAST_PROGRESS: f64 = 0.01;
/// Servers with the least load that are tried as takers.
const TAKERS_TRIED: usize = 8;

/// What is kept besides the plan.
struct Search {
    /// Load ratio at which a server needs no more relief.
    aim: f64,
    /// Shards of each server that did not move yet, the lightest first.
    held: Vec<Vec<usize>>,
    /// Servers that were relieved as far as can be.
    done: Vec<bool>,
}

/// A move, or two moves that swap shards.
#[derive(Clone, Copy, Debug)]
struct Step {
    taker: usize,
    given: usize,
    returned: Option<usize>,
    /// Fall of the higher of the two load ratios, for each move.
    gain: f64,
}

/// Relieves each server that is over its share by more than the allowed part, down to half of that.
pub(super) fn move_away_from_load(plan: &mut Plan<'_>) {
    let trigger = 1.0 + plan.allowed;
    if !usable(plan).any(|server| plan.load_ratio(server) > trigger) {
        return;
    }
    let mut search = Search::new(plan);
    while let Some(giver) = search.most_loaded(plan) {
        if plan.load_ratio(giver) <= trigger {
            return;
        }
        while plan.load_ratio(giver) > search.aim {
            if plan.budget_left() == 0 {
                return;
            }
            let Some(step) = search.best_step(plan, giver) else {
                break;
            };
            search.apply(plan, giver, step);
        }
        search.done[giver] = true;
    }
}

impl Search {
    fn new(plan: &Plan<'_>) -> Self {
        let mut held = plan.held_by_load();
        for shards in &mut held {
            shards.retain(|&shard| !plan.moved[shard]);
        }
        Self {
            aim: 1.0 + plan.allowed / 2.0,
            done: vec![false; held.len()],
            held,
        }
    }

    fn most_loaded(&self, plan: &Plan<'_>) -> Option<usize> {
        usable(plan)
            .filter(|&server| !self.done[server])
            .max_by(|&left, &right| plan.load_ratio(left).total_cmp(&plan.load_ratio(right)))
    }

    fn apply(&mut self, plan: &mut Plan<'_>, giver: usize, step: Step) {
        self.move_one(plan, step.given, giver, step.taker);
        if let Some(returned) = step.returned {
            self.move_one(plan, returned, step.taker, giver);
        }
    }

    fn move_one(&mut self, plan: &mut Plan<'_>, shard: usize, from: usize, to: usize) {
        self.held[from].retain(|&held| held != shard);
        plan.move_shard(shard, from, to);
    }

    fn best_step(&self, plan: &Plan<'_>, giver: usize) -> Option<Step> {
        let takers = least_loaded(plan, giver).into_iter();
        let steps = takers.flat_map(|taker| {
            let single = self.best_single(plan, giver, taker);
            let swap = self.best_swap(plan, giver, taker);
            single.into_iter().chain(swap)
        });
        // The first of equal steps stays, which is the one with the least loaded taker.
        steps.reduce(better)
    }

    fn best_single(&self, plan: &Plan<'_>, giver: usize, taker: usize) -> Option<Step> {
        if !counts_allow_move(plan, giver, taker) {
            return None;
        }
        let load = evening_load(plan, giver, taker);
        let steps = nearest(plan, &self.held[giver], load).filter_map(|given| {
            let gain = self.gain(plan, giver, taker, plan.load_of(given))?;
            Some(Step {
                taker,
                given,
                returned: None,
                gain,
            })
        });
        steps.reduce(better)
    }

    fn best_swap(&self, plan: &Plan<'_>, giver: usize, taker: usize) -> Option<Step> {
        if plan.budget_left() < 2 {
            return None;
        }
        let wanted = evening_load(plan, giver, taker);
        let pairs = self.held[giver].iter().flat_map(|&given| {
            let returned = nearest(plan, &self.held[taker], plan.load_of(given) - wanted);
            returned.map(move |returned| (given, returned))
        });
        let steps = pairs.filter_map(|(given, returned)| {
            let load = plan.load_of(given) - plan.load_of(returned);
            let gain = self.gain(plan, giver, taker, load)? / 2.0;
            Some(Step {
                taker,
                given,
                returned: Some(returned),
                gain,
            })
        });
        steps.reduce(better)
    }

    /// Fall of the higher load ratio of the two when `load` goes from one to the other; `None` when that
    /// is too little.
    fn gain(&self, plan: &Plan<'_>, giver: usize, taker: usize, load: f64) -> Option<f64> {
        let ratio = plan.load_ratio(giver);
        let part = load / plan.wanted[giver];
        let taker_after = (plan.present[taker] + load) / plan.wanted[taker];
        let gain = ratio - (ratio - part).max(taker_after);
        let progress = (ratio - self.aim) * LEAST_PROGRESS;
        let is_enough = gain > 0.0 && gain >= progress && gain >= part * LEAST_EFFICIENCY;
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

fn usable<'a>(plan: &'a Plan<'_>) -> impl Iterator<Item = usize> + 'a {
    (0..plan.wanted.len()).filter(|&server| plan.wanted[server] > 0.0)
}

fn least_loaded(plan: &Plan<'_>, giver: usize) -> Vec<usize> {
    let mut takers: Vec<usize> = usable(plan).filter(|&server| server != giver).collect();
    let by_ratio = |left: &usize, right: &usize| {
        let by_ratio = plan.load_ratio(*left).total_cmp(&plan.load_ratio(*right));
        by_ratio.then(left.cmp(right))
    };
    if takers.len() > TAKERS_TRIED {
        takers.select_nth_unstable_by(TAKERS_TRIED, by_ratio);
        takers.truncate(TAKERS_TRIED);
    }
    takers.sort_by(by_ratio);
    takers
}

/// Whether one shard may go over without one in return.
fn counts_allow_move(plan: &Plan<'_>, giver: usize, taker: usize) -> bool {
    let sides = &plan.sides;
    let (from, to) = (sides.of_server[giver], sides.of_server[taker]);
    let sides_allow = from == to
        || (sides.counts[from] > *sides.bounds[from].start()
            && sides.counts[to] < *sides.bounds[to].end());
    sides_allow && plan.counts[taker] < *plan.bounds[taker].end()
}

/// Load whose move makes the two servers' ratios equal.
fn evening_load(plan: &Plan<'_>, giver: usize, taker: usize) -> f64 {
    let (giver_wanted, taker_wanted) = (plan.wanted[giver], plan.wanted[taker]);
    let difference = plan.present[giver] * taker_wanted - plan.present[taker] * giver_wanted;
    difference / (giver_wanted + taker_wanted)
}

/// The shards whose loads are next below and next above a load; `held` has the lightest first.
fn nearest<'a>(plan: &Plan<'_>, held: &'a [usize], load: f64) -> impl Iterator<Item = usize> + 'a {
    let above = held.partition_point(|&shard| plan.load_of(shard) < load);
    held[above.saturating_sub(1)..held.len().min(above + 1)]
        .iter()
        .copied()
}
