//! Moves shards away from servers with too much load for their weight.
//!
//! Invariant: every step lowers the higher of the two servers' loads by at least [`LEAST_GAIN`], so that
//! load which can't be spread, such as one very hot shard, isn't carried round and round.

use super::Plan;

/// Least gain of a step, as part of a server's share of the load.
const LEAST_GAIN: f64 = 0.01;
/// Servers with the least load that are tried as takers.
const TAKERS_TRIED: usize = 8;

/// Loads of servers, besides the plan.
struct Loads {
    /// Load of each server.
    present: Vec<f64>,
    /// Load each server should have; 0 with weight 0.
    wanted: Vec<f64>,
    /// Shards of each server that did not move yet, the lightest first.
    held: Vec<Vec<usize>>,
    /// Servers that no step can relieve.
    stuck: Vec<bool>,
}

/// A move, or two moves that swap shards.
#[derive(Clone, Copy, Debug)]
struct Step {
    taker: usize,
    given: usize,
    returned: Option<usize>,
    /// Fall of the higher load of the two servers, as part of their shares, for each move.
    gain: f64,
}

/// Plans moves while some server is over its share by `imbalance_percent`, down to half of that.
pub(super) fn move_away_from_load(plan: &mut Plan<'_>, imbalance_percent: u32) {
    let mut loads = Loads::new(plan);
    let allowed = f64::from(imbalance_percent) / 100.0;
    match loads.most_loaded() {
        Some(server) if loads.ratio(server) > 1.0 + allowed => {}
        _ => return,
    }
    let aim = 1.0 + allowed / 2.0;
    while plan.budget_left() > 0 {
        let Some(giver) = loads.most_loaded() else {
            return;
        };
        if loads.ratio(giver) <= aim {
            return;
        }
        match best_step(plan, &loads, giver) {
            Some(step) => loads.apply(plan, giver, step),
            None => loads.stuck[giver] = true,
        }
    }
}

impl Loads {
    fn new(plan: &Plan<'_>) -> Self {
        let mut held = plan.lightest_last();
        for shards in &mut held {
            shards.reverse();
            shards.retain(|&shard| !plan.moved[shard]);
        }
        let mut present = vec![0.0; plan.counts.len()];
        for (shard, owner) in plan.owners.iter().enumerate() {
            if let Some(server) = owner {
                present[*server] += plan.load_of(shard);
            }
        }
        let total: f64 = present.iter().sum();
        let weights = plan.candidates.iter().map(|one| one.effective_weight());
        let weight_sum: f64 = weights.clone().sum();
        Self {
            wanted: weights.map(|weight| total * weight / weight_sum).collect(),
            stuck: vec![false; present.len()],
            present,
            held,
        }
    }

    fn ratio(&self, server: usize) -> f64 {
        self.present[server] / self.wanted[server]
    }

    fn usable(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.wanted.len()).filter(|&server| self.wanted[server] > 0.0)
    }

    fn most_loaded(&self) -> Option<usize> {
        self.usable()
            .filter(|&server| !self.stuck[server])
            .max_by(|&left, &right| self.ratio(left).total_cmp(&self.ratio(right)))
    }

    fn least_loaded(&self, giver: usize) -> Vec<usize> {
        let mut takers: Vec<usize> = self.usable().filter(|&server| server != giver).collect();
        let by_ratio = |left: &usize, right: &usize| {
            let by_ratio = self.ratio(*left).total_cmp(&self.ratio(*right));
            by_ratio.then(left.cmp(right))
        };
        if takers.len() > TAKERS_TRIED {
            takers.select_nth_unstable_by(TAKERS_TRIED, by_ratio);
            takers.truncate(TAKERS_TRIED);
        }
        takers.sort_by(by_ratio);
        takers
    }

    /// Fall of the higher ratio of the two when `load` goes from one to the other.
    fn gain(&self, giver: usize, taker: usize, load: f64) -> f64 {
        let giver_after = (self.present[giver] - load) / self.wanted[giver];
        let taker_after = (self.present[taker] + load) / self.wanted[taker];
        self.ratio(giver) - giver_after.max(taker_after)
    }

    /// Load whose move makes the two servers' ratios equal.
    fn evening_load(&self, giver: usize, taker: usize) -> f64 {
        let (giver_wanted, taker_wanted) = (self.wanted[giver], self.wanted[taker]);
        let difference = self.present[giver] * taker_wanted - self.present[taker] * giver_wanted;
        difference / (giver_wanted + taker_wanted)
    }

    fn apply(&mut self, plan: &mut Plan<'_>, giver: usize, step: Step) {
        self.move_one(plan, step.given, giver, step.taker);
        if let Some(returned) = step.returned {
            self.move_one(plan, returned, step.taker, giver);
        }
    }

    fn move_one(&mut self, plan: &mut Plan<'_>, shard: usize, from: usize, to: usize) {
        let load = plan.load_of(shard);
        self.present[from] -= load;
        self.present[to] += load;
        self.held[from].retain(|&held| held != shard);
        plan.move_shard(shard, from, to);
    }
}

fn best_step(plan: &Plan<'_>, loads: &Loads, giver: usize) -> Option<Step> {
    let takers = loads.least_loaded(giver);
    let steps = takers.into_iter().flat_map(|taker| {
        let single = best_single(plan, loads, giver, taker);
        let swap = best_swap(plan, loads, giver, taker);
        single.into_iter().chain(swap)
    });
    // The first of equal steps stays, which is the one with the least loaded taker.
    let better = |best: Step, step: Step| if step.gain > best.gain { step } else { best };
    steps.reduce(better).filter(|step| step.gain >= LEAST_GAIN)
}

fn best_single(plan: &Plan<'_>, loads: &Loads, giver: usize, taker: usize) -> Option<Step> {
    let giver_after = plan.counts[giver].checked_sub(1)?;
    let taker_after = plan.counts[taker] + 1;
    let keeps_counts =
        plan.bounds[giver].contains(&giver_after) && plan.bounds[taker].contains(&taker_after);
    if !keeps_counts {
        return None;
    }
    let wanted = loads.evening_load(giver, taker);
    nearest(plan, &loads.held[giver], wanted)
        .map(|given| Step {
            taker,
            given,
            returned: None,
            gain: loads.gain(giver, taker, plan.load_of(given)),
        })
        .reduce(|best, step| if step.gain > best.gain { step } else { best })
}

fn best_swap(plan: &Plan<'_>, loads: &Loads, giver: usize, taker: usize) -> Option<Step> {
    if plan.budget_left() < 2 {
        return None;
    }
    let wanted = loads.evening_load(giver, taker);
    let steps = loads.held[giver].iter().flat_map(|&given| {
        let load = plan.load_of(given);
        nearest(plan, &loads.held[taker], load - wanted).map(move |returned| Step {
            taker,
            given,
            returned: Some(returned),
            gain: loads.gain(giver, taker, load - plan.load_of(returned)) / 2.0,
        })
    });
    steps.reduce(|best, step| if step.gain > best.gain { step } else { best })
}

/// The shards whose loads are next below and next above a load; `held` has the lightest first.
fn nearest<'a>(plan: &Plan<'_>, held: &'a [usize], load: f64) -> impl Iterator<Item = usize> + 'a {
    let above = held.partition_point(|&shard| plan.load_of(shard) < load);
    held[above.saturating_sub(1)..held.len().min(above + 1)]
        .iter()
        .copied()
}
