//! The share of this instance's ops that each executor gets, solved by the queueing model.

use super::*;

const MAX_LOAD: f64 = 0.95;

impl Dispatcher {
    /// Re-solves the split. With time in mean gaps between this instance's arrivals the arrival rate is one, so the paper's e(i) = L(L2 s2
    /// + L2 + C2 - L m) is s2 + 1 + C2 - m, where s2 is the squared coefficient of variation of the gaps (`arrival_cv2`).
    pub(super) fn solve(&mut self, now: Time) {
        self.solved_at = Some(now);
        let arrival_cv2 = (self.mean_square_gap / self.mean_gap.powi(2).max(1.0) - 1.0).clamp(0.1, 4.0);
        self.mean_paces = self.kind_paces();
        for e in &mut self.executors {
            // Nothing is learned of an executor that gets no ops, so its pace and success rate move back to the normal ones.
            if e.in_flight.iter().all(|s| *s <= 0.0) {
                e.pace += EWMA_GAIN * (self.mean_paces[e.kind] - e.pace);
                e.success_rate += EWMA_GAIN * (1.0 - e.success_rate);
            }
        }
        // The higher the fleet's utilization, the closer the shares are to the plain service rates.
        let active = self.executors.iter().filter(|e| e.accepts_work() && e.own);
        let held: f64 = active.clone().map(|e| e.in_use() + e.mean_others.max(0.0)).sum();
        let slots = active.clone().map(|e| self.slots[e.kind]).sum::<f64>().max(1.0);
        self.load = active.map(|e| e.in_use() + e.peer_load).sum::<f64>() / slots;
        self.target_load += EWMA_GAIN * ((held / slots).clamp(MIN_LOAD, MAX_LOAD) - self.target_load);
        let rates: Vec<f64> = self.executors.iter().map(|e| self.rate(now, e)).collect();
        let cv2: Vec<f64> = self.executors.iter().map(|e| (e.variance.exp() - 1.0).clamp(0.1, 4.0)).collect();
        let shares = split(&rates, &cv2, &vec![1.0; rates.len()], arrival_cv2, self.target_load);
        for (at, share) in shares.into_iter().enumerate() {
            let (virtual_time, chance) = (self.virtual_time, self.rng.draw());
            let e = &mut self.executors[at];
            // An executor that is new, back or has grown joins near the front of the order, so it gets no burst to catch up.
            e.turn = if e.share > 0.0 { (e.turn - virtual_time * e.share).clamp(-1.0, 1.0) } else { chance };
            e.share = share;
        }
        self.virtual_time = 0.0;
        self.fastest = (0..rates.len()).max_by(|a, b| rates[*a].total_cmp(&rates[*b])).unwrap_or(0);
    }

    /// Service rate: slots over the smoothed running time, reduced by warm-up and failures; zero while ejected.
    fn rate(&self, now: Time, e: &Executor) -> f64 {
        let available = f64::from(u8::from(e.accepts_work() && e.own && e.ejected_until <= now));
        available * self.slots[e.kind] * self.warm_share(now, e) * e.success_rate / e.pace.exp()
    }

    /// Lower bound of the fraction of its capacity that a recently started executor has reached.
    pub(super) fn warm_share(&self, now: Time, e: &Executor) -> f64 {
        let age = e.started.map_or(self.terms.warm_within, |at| now - at);
        let progress = age as f64 / self.terms.warm_within.max(1) as f64;
        (self.terms.start_share + (1.0 - self.terms.start_share) * progress).clamp(0.01, 1.0)
    }

    /// Mean log pace of the executors of each kind, with which a new executor of that kind starts.
    pub(super) fn kind_paces(&self) -> Vec<f64> {
        let mut sums = vec![(0.0, 0.0); self.slots.len()];
        for e in self.executors.iter().filter(|e| e.samples > 0.0) {
            sums[e.kind] = (sums[e.kind].0 + e.pace, sums[e.kind].1 + 1.0);
        }
        sums.into_iter().map(|(sum, count)| sum / f64::max(count, 1.0)).collect()
    }

    /// Divides the fleet among its partitions, so that each gets its part of every kind and domain.
    pub(super) fn assign_partitions(&mut self) {
        let mut order: Vec<usize> = (0..self.executors.len()).collect();
        let sort_key = |x: &usize| {
            let e = &self.executors[*x];
            (e.kind, e.domain, e.name_hash)
        };
        order.sort_unstable_by_key(sort_key);
        for (at, x) in order.into_iter().enumerate() {
            self.executors[x].own = at % self.partitions == self.terms.me % self.partitions;
        }
    }
}

/// Equations 5 and 6 with time in mean gaps between arrivals: P = m - (sum of m - 1) sqrt(K e) / sum of sqrt(K e), e = s2 + 1 + C2 - m,
/// with the rates scaled to sum to one over the target utilization; a negative e or P is clamped to zero and the rest renormalised. `cv2`
/// and `arrival_cv2` are squared coefficients of variation, C2 and s2.
pub fn split(rates: &[f64], cv2: &[f64], costs: &[f64], arrival_cv2: f64, target_load: f64) -> Vec<f64> {
    let sum: f64 = rates.iter().sum();
    if sum <= 0.0 {
        return vec![0.0; rates.len()];
    }
    let rates: Vec<f64> = rates.iter().map(|r| r / sum / target_load).collect();
    let root = |i: usize| (costs[i] * (arrival_cv2 + 1.0 + cv2[i] - rates[i]).max(0.0)).sqrt();
    let roots: Vec<f64> = (0..rates.len()).map(|i| if rates[i] > 0.0 { root(i) } else { 0.0 }).collect();
    let all: f64 = roots.iter().sum();
    let idle = 1.0 / target_load - 1.0;
    let share = |i: usize| if all > 0.0 { (rates[i] - idle * roots[i] / all).max(0.0) } else { rates[i] };
    let shares: Vec<f64> = (0..rates.len()).map(share).collect();
    let total: f64 = shares.iter().sum();
    shares.iter().map(|p| p / total).collect()
}
