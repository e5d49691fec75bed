//! The share of own ops that each executor is to get: the design.

use super::*;

const MOST_USE: f64 = 0.95;

impl Dispatcher {
    /// Re-solves the split. With time in mean gaps between own arrivals the arrival rate is one, so the
    /// paper's e(i) = L(L2 s2 + L2 + C2 - L m) is s2 + 1 + C2 - m, s2 being the gaps' squared variation.
    pub(super) fn solve(&mut self, now: Time) {
        self.solved = Some(now);
        let s2 = (self.arrival_square / self.arrival_gap.powi(2).max(1.0) - 1.0).clamp(0.1, 4.0);
        self.paces = self.kind_paces();
        for e in &mut self.executors {
            // Nothing is learned of an executor that gets nothing: what is held against it fades.
            if e.out.iter().all(|s| *s <= 0.0) {
                e.pace += SMOOTH * (self.paces[e.kind] - e.pace);
                e.served += SMOOTH * (1.0 - e.served);
            }
        }
        // The more of the fleet is held, the closer the shares come to the bare rates.
        let active = self.executors.iter().filter(|e| e.takes() && e.mine);
        let held: f64 = active.clone().map(|e| e.own() + e.usual.max(0.0)).sum();
        let slots = active.clone().map(|e| self.slots[e.kind]).sum::<f64>().max(1.0);
        self.used = active.map(|e| e.own() + e.told).sum::<f64>() / slots;
        self.target_use += SMOOTH * ((held / slots).clamp(LEAST_USE, MOST_USE) - self.target_use);
        let rates: Vec<f64> = self.executors.iter().map(|e| self.rate(now, e)).collect();
        let c2: Vec<f64> = self.executors.iter().map(|e| (e.spread.exp() - 1.0).clamp(0.1, 4.0)).collect();
        let shares = split(&rates, &c2, &vec![1.0; rates.len()], s2, self.target_use);
        for (at, share) in shares.into_iter().enumerate() {
            let (front, chance) = (self.front, self.chance.draw());
            let e = &mut self.executors[at];
            // Who is new, back or grown joins near the front of the order: no burst to catch up.
            e.turn = if e.share > 0.0 { (e.turn - front * e.share).clamp(-1.0, 1.0) } else { chance };
            e.share = share;
        }
        self.front = 0.0;
        self.fastest = (0..rates.len()).max_by(|a, b| rates[*a].total_cmp(&rates[*b])).unwrap_or(0);
    }

    /// The service rate: slots over the smoothed running time, less what is not served; none while aside.
    fn rate(&self, now: Time, e: &Executor) -> f64 {
        let on = f64::from(u8::from(e.takes() && e.mine && e.aside <= now));
        on * self.slots[e.kind] * self.warmth(now, e) * e.served / e.pace.exp()
    }

    /// The share of its capacity that a newly started executor has at the least by now.
    pub(super) fn warmth(&self, now: Time, e: &Executor) -> f64 {
        let age = e.started.map_or(self.terms.warm_within, |at| now - at);
        let ramp = age as f64 / self.terms.warm_within.max(1) as f64;
        (self.terms.start_share + (1.0 - self.terms.start_share) * ramp).clamp(0.01, 1.0)
    }

    /// Mean pace of the executors of each kind: what a new one of it starts with.
    pub(super) fn kind_paces(&self) -> Vec<f64> {
        let mut sums = vec![(0.0, 0.0); self.slots.len()];
        for e in self.executors.iter().filter(|e| e.samples > 0.0) {
            sums[e.kind] = (sums[e.kind].0 + e.pace, sums[e.kind].1 + 1.0);
        }
        sums.into_iter().map(|(sum, count)| sum / f64::max(count, 1.0)).collect()
    }

    /// Deals the fleet out among its parts, each with its share of every kind and domain.
    pub(super) fn deal(&mut self) {
        let mut order: Vec<usize> = (0..self.executors.len()).collect();
        let place = |x: &usize| {
            let e = &self.executors[*x];
            (e.kind, e.domain, e.mark)
        };
        order.sort_unstable_by_key(place);
        for (at, x) in order.into_iter().enumerate() {
            self.executors[x].mine = at % self.parts == self.terms.me % self.parts;
        }
    }
}

/// Equations 5 and 6 with time in mean gaps between arrivals: P = m - (sum of m - 1) sqrt(K e) / sum of
/// sqrt(K e), e = s2 + 1 + C2 - m, the rates scaled so that they sum to one over the target use; negative
/// e or P is clamped to zero and the rest renormalised. `spreads` are squared variations.
pub fn split(rates: &[f64], spreads: &[f64], costs: &[f64], s2: f64, target_use: f64) -> Vec<f64> {
    let sum: f64 = rates.iter().sum();
    if sum <= 0.0 {
        return vec![0.0; rates.len()];
    }
    let rates: Vec<f64> = rates.iter().map(|r| r / sum / target_use).collect();
    let root = |i: usize| (costs[i] * (s2 + 1.0 + spreads[i] - rates[i]).max(0.0)).sqrt();
    let roots: Vec<f64> = (0..rates.len()).map(|i| if rates[i] > 0.0 { root(i) } else { 0.0 }).collect();
    let all: f64 = roots.iter().sum();
    let spare = 1.0 / target_use - 1.0;
    let part = |i: usize| if all > 0.0 { (rates[i] - spare * roots[i] / all).max(0.0) } else { rates[i] };
    let shares: Vec<f64> = (0..rates.len()).map(part).collect();
    let total: f64 = shares.iter().sum();
    shares.iter().map(|p| p / total).collect()
}
