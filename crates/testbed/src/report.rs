//! What a play comes to: figures of a day from its ledger, a report of an experiment, and two reports side by side.

use crate::judge::{Answer, Broken, Judge, Ledger, Saw};
use crate::load::Asked;
use crate::plan::{Plan, PolicyName};
use crate::together::{Evidence, Together};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use stileroute_dispatch::types::{Time, SECOND};

/// One play.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Played {
    pub label: String,
    pub seed: u64,
    pub policy: String,
    pub jobs: u64,
    pub ops: u64,
    pub acked: u64,
    pub late: u64,
    pub nacked: u64,
    pub dead_lettered: u64,
    pub unanswered: u64,
    pub pushes: u64,
    /// What the fleet did together.
    pub together: Together,
    /// Part of the benefit asked for that was answered in time.
    pub benefit: f64,
    pub worst_category: f64,
    pub worst_ten_seconds: f64,
    /// Benefit in time over benefit asked for, by second in which it was asked.
    pub by_second: Vec<f64>,
    pub categories: Vec<OfCategory>,
    pub tenants: BTreeMap<String, f64>,
    pub executors: Vec<OfExecutor>,
    /// Jobs that ended in a nack, by what had become of them.
    pub nacks: BTreeMap<String, u64>,
    pub events: u64,
    /// Why the play has no verdict, if it has none.
    pub no_verdict: Option<String>,
    /// Figures that are not within what the experiment expects.
    #[serde(default)]
    pub missed: Vec<String>,
    pub broken: Vec<Broken>,
    pub log: Vec<String>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct OfCategory {
    pub name: String,
    pub jobs: u64,
    pub benefit: f64,
    /// Latency of acked jobs in milliseconds, counted from when they were due, at 50, 90, 99 and 99.9 %.
    pub latency: [f64; 4],
    /// The same at each percent from 1 to 100, for plots.
    pub percents: Vec<f64>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct OfExecutor {
    pub name: String,
    pub kind: String,
    pub domain: String,
    pub pushes: u64,
    /// What the solved fractions meant it to get; none where nobody could be asked, as on sockets.
    pub meant: Option<f64>,
    pub fell: bool,
}

/// All plays of an experiment.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Report {
    pub experiment: String,
    /// `sim` or `play`.
    pub how: String,
    pub against: Option<String>,
    pub played: Vec<Played>,
}

fn rounded(value: f64) -> f64 {
    if value.is_finite() {
        (value * 1e6).round() / 1e6
    } else {
        0.0
    }
}

/// A policy's name as the experiment file writes it.
pub fn name_of(policy: PolicyName) -> &'static str {
    match policy {
        PolicyName::Stileroute => "stileroute",
        PolicyName::Random => "random",
        PolicyName::TurnByTurn => "turn-by-turn",
        PolicyName::LeastInFlight => "least-in-flight",
        PolicyName::TwoChoices => "two-choices",
        PolicyName::Seeing => "seeing",
    }
}

/// A histogram of microseconds up to a day. One that grows by itself would clamp what is recorded with saturation to
/// its first bound, two, and nothing would ever look late.
pub fn micros() -> Histogram<u64> {
    // The bounds are right by construction.
    Histogram::new_with_bounds(1, 86_400_000_000, 3).unwrap_or_else(|_| unreachable!())
}

/// The figures of a day whose load began at a time. Whatever concerns ops is taken from the ledger.
pub fn figures(
    plan: &Plan,
    ledger: &Ledger,
    asked: &[Asked],
    meant: Option<&[f64]>,
    slack_ms: f64,
    from: Time,
    seed: u64,
) -> Played {
    let judge = Judge::new(plan, slack_ms);
    let mut played = Played {
        policy: name_of(plan.policy).to_string(),
        jobs: asked.len() as u64,
        ops: ledger.sheets.len() as u64,
        broken: judge.read(ledger),
        seed,
        ..Played::default()
    };
    let specs = crate::executor::specs(plan, seed);
    played.executors = specs
        .iter()
        .enumerate()
        .map(|(x, spec)| OfExecutor {
            name: spec.name.clone(),
            kind: plan.fleet.kind[spec.kind].name.clone(),
            domain: plan.fleet.domains[spec.domain].clone(),
            meant: meant.and_then(|meant| meant.get(x).copied()).map(rounded),
            fell: ledger.falls.iter().any(|fall| fall.executor == x),
            ..OfExecutor::default()
        })
        .collect();
    // When each job was acked, if it was, and the last answer that it got.
    let mut acked = vec![None; asked.len()];
    let mut last = vec![None; asked.len()];
    let mut pushed = vec![0u64; asked.len()];
    let mut turned_back = vec![false; asked.len()];
    for sheet in &ledger.sheets {
        for (at, saw) in &sheet.seen {
            match saw {
                Saw::Pushed(x) => {
                    played.executors[*x].pushes += 1;
                    pushed[sheet.job] += 1;
                    played.pushes += 1;
                }
                Saw::Ended(_, crate::judge::End::Returned) => turned_back[sheet.job] = true,
                Saw::Answered(Answer::Acked) if acked[sheet.job].is_none() => {
                    acked[sheet.job] = Some(*at);
                    last[sheet.job] = Some(Answer::Acked);
                }
                Saw::Answered(answer) => last[sheet.job] = Some(*answer),
                _ => {}
            }
        }
    }
    let seconds = plan.seconds.ceil() as usize;
    let mut by_second = vec![(0.0, 0.0); seconds];
    let mut by_category = vec![(0.0, 0.0, 0u64); plan.category.len()];
    let mut by_tenant = vec![(0.0, 0.0); plan.tenant.len().max(1)];
    let mut latency: Vec<Histogram<u64>> = plan.category.iter().map(|_| micros()).collect();
    let mut whole = (0.0, 0.0);
    let mut gains = Vec::with_capacity(asked.len());
    for (job, own) in asked.iter().enumerate() {
        let category = &plan.category[own.category];
        let got = match acked[job] {
            Some(at) if at <= own.useful => category.benefit,
            Some(_) => category.benefit * category.late,
            None => 0.0,
        };
        gains.push((own.due, got, category.benefit));
        match (acked[job], last[job]) {
            (Some(at), _) => {
                played.acked += 1;
                played.late += u64::from(at > own.useful);
                let took = ((at - own.due).max(1) as u64) * 100;
                latency[own.category].saturating_record(took);
            }
            (None, Some(Answer::Nacked(_))) => {
                played.nacked += 1;
                let reason = match (pushed[job], turned_back[job]) {
                    (0, _) => "never pushed",
                    (_, true) => "turned away by executors",
                    _ => "pushed, and its time was up or its pushes were",
                };
                *played.nacks.entry(reason.to_string()).or_default() += 1;
            }
            (None, Some(Answer::DeadLettered)) => played.dead_lettered += 1,
            _ => played.unanswered += 1,
        }
        let second = (((own.due - from) / SECOND) as usize).min(seconds.saturating_sub(1));
        let tenant = own.tenant.min(by_tenant.len() - 1);
        by_category[own.category].2 += 1;
        let of_category = &mut by_category[own.category];
        (of_category.0, of_category.1) = (of_category.0 + got, of_category.1 + category.benefit);
        for sum in [&mut whole, &mut by_second[second], &mut by_tenant[tenant]] {
            *sum = (sum.0 + got, sum.1 + category.benefit);
        }
    }
    let part = |(got, of): (f64, f64)| if of > 0.0 { rounded(got / of) } else { 1.0 };
    played.benefit = part(whole);
    played.by_second = by_second.iter().map(|sum| part(*sum)).collect();
    let windows = by_second.windows(10.min(seconds.max(1)));
    let sums = windows.map(|w| w.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1)));
    played.worst_ten_seconds = sums.map(part).fold(1.0, f64::min);
    played.worst_category = by_category.iter().map(|c| part((c.0, c.1))).fold(1.0, f64::min);
    for (at, category) in plan.category.iter().enumerate() {
        let quantile = |q: f64| latency[at].value_at_quantile(q) as f64 / 1000.0;
        played.categories.push(OfCategory {
            name: category.name.clone(),
            jobs: by_category[at].2,
            benefit: part((by_category[at].0, by_category[at].1)),
            latency: [0.5, 0.9, 0.99, 0.999].map(quantile),
            percents: (1..=100).map(|percent| quantile(f64::from(percent) / 100.0)).collect(),
        });
    }
    for (at, tenant) in plan.tenant.iter().enumerate() {
        played.tenants.insert(tenant.name.clone(), part(by_tenant[at]));
    }
    let slack = crate::time::ms(slack_ms);
    let evidence = Evidence { plan, specs: &specs, ledger, asked, gains: &gains, from, slack };
    played.together = evidence.figures(&judge);
    played
}

/// Mean and half the width of its 95 % confidence interval, by Student's t; the width is none for one value.
pub fn interval(values: &[f64]) -> (f64, Option<f64>) {
    // Two-sided 5 % points of Student's t, for 1 to 30 degrees of freedom.
    const T: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return (mean, None);
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T.get(values.len() - 2).copied().unwrap_or(1.96);
    (mean, Some(t * (variance / n).sqrt()))
}

impl Played {
    /// What may be compared, by name.
    pub fn figures(&self) -> Vec<(&'static str, f64)> {
        let (ops, together) = (self.jobs.max(1) as f64, &self.together);
        vec![
            ("benefit in time", self.benefit),
            ("worst category", self.worst_category),
            ("worst ten seconds", self.worst_ten_seconds),
            ("nacked, of jobs", self.nacked as f64 / ops),
            ("dead-lettered, of jobs", self.dead_lettered as f64 / ops),
            ("pushes per job", self.pushes as f64 / ops),
            ("crossed, of pushes", together.crossed as f64 / self.pushes.max(1) as f64),
            ("to cold, of pushes", together.to_cold as f64 / self.pushes.max(1) as f64),
            ("to gone, of pushes", together.to_gone as f64 / self.pushes.max(1) as f64),
            ("misplaced waiting", together.misplaced),
            ("idle beside waiting", together.idle),
            ("peak at 99 %", together.peak[0]),
            ("worst tenth of nodes", together.worst_nodes),
            ("stampede, connections", together.stampede.connections),
            ("stampede, probes", together.stampede.probes),
            ("stampede, pushes", together.stampede.pushes),
            ("stampede, list calls", together.stampede.list_calls),
            // What was not full again within the day is compared as if it had been at its end.
            ("seconds to full service", together.full_after.unwrap_or(0.0)),
            ("seconds of service lost", together.lost),
            ("stale decisions", together.stale.all() as f64),
            ("longest overlap, ms", together.overlap_ms),
            ("processes restarted", together.restarted as f64),
            ("list calls turned away", together.turned_away as f64),
            ("broken rules", self.broken.len() as f64),
        ]
    }

    /// Holds the figures against what the experiment expects of this way to play it.
    pub fn hold(&mut self, plan: &Plan, how: &str) {
        let figures = self.figures();
        for (name, [least, most]) in plan.expect.get(how).into_iter().flatten() {
            let Some((_, value)) = figures.iter().find(|(own, _)| own == name) else { continue };
            if !(*least..=*most).contains(value) {
                self.missed.push(format!("{name} is {value:.4}, not from {least} to {most}"));
            }
        }
        // A figure that is not there says nothing of whether a bound was kept.
        let bound = plan.expect.get(how).is_some_and(|bounds| bounds.contains_key("seconds to full service"));
        if bound && self.together.came_back && self.together.full_after.is_none() {
            self.missed.push("service was not full again within the day".to_string());
        }
    }

    /// What the fleet did together, in two lines.
    fn together(&self) -> String {
        let t = &self.together;
        let full = match (t.full_after, t.came_back) {
            (Some(after), _) => format!("full {after:.1} s after"),
            (None, true) => "not full again within the day".to_string(),
            (None, false) => "nothing came back".to_string(),
        };
        let of = |count: u64| 100.0 * count as f64 / self.pushes.max(1) as f64;
        format!(
            "  together: misplaced waiting {:.3}  idle beside it {:.3}  peak {:.1} (worst {:.1})  worst nodes {:.3}  \
             crossed {:.1} %  to cold {:.1} %  to gone {:.1} %\n            \
             stampede: connections {:.1} probes {:.1} pushes {:.1} list calls {:.1}  {full}, {:.1} s lost  stale {}  \
             longest overlap {:.1} ms  list calls turned away {}",
            t.misplaced,
            t.idle,
            t.peak[0],
            t.peak[1],
            t.worst_nodes,
            of(t.crossed),
            of(t.to_cold),
            of(t.to_gone),
            t.stampede.connections,
            t.stampede.probes,
            t.stampede.pushes,
            t.stampede.list_calls,
            t.lost,
            match t.stale.all() {
                0 => "0".to_string(),
                all => format!(
                    "{all} (gone {}, draining {}, cold {}, disabled {}; {:.0} ms old, {:.0} at most)",
                    t.stale.gone, t.stale.draining, t.stale.cold, t.stale.disabled, t.stale.age_ms[0], t.stale.age_ms[1]
                ),
            },
            t.overlap_ms,
            t.turned_away
        ) + &match (t.restarted, t.by_hand) {
            (0, [0, 0]) => String::new(),
            (starts, [yes, no]) => format!(
                "\n            restarted {starts} within {:.2} s  operators' calls: {yes} yes, {no} no",
                t.restarted_within
            ),
        }
    }

    fn line(&self) -> String {
        let mut line = format!(
            "{:44} seed {:<4} benefit {:.3}  worst category {:.3}  worst 10 s {:.3}  jobs {}  nacked {}  \
             dead-lettered {}  pushes per job {:.2}",
            format!("{} {}", self.policy, self.label),
            self.seed,
            self.benefit,
            self.worst_category,
            self.worst_ten_seconds,
            self.jobs,
            self.nacked,
            self.dead_lettered,
            self.pushes as f64 / self.jobs.max(1) as f64
        );
        if let Some(reason) = &self.no_verdict {
            line.push_str(&format!("  NO VERDICT: {reason}"));
        } else if !self.broken.is_empty() {
            line.push_str(&format!("  BROKEN {}", self.broken.len()));
        }
        line
    }
}

impl Report {
    /// Whether a rule is broken by the module itself; what baselines break is shown, and fails nothing.
    pub fn broken(&self) -> bool {
        self.played.iter().any(|p| p.policy == "stileroute" && p.no_verdict.is_none() && !p.broken.is_empty())
    }

    /// Whether a figure of the module is not what was expected.
    pub fn missed(&self) -> bool {
        self.played.iter().any(|p| p.policy == "stileroute" && p.no_verdict.is_none() && !p.missed.is_empty())
    }

    /// Whether a play has no verdict.
    pub fn undecided(&self) -> bool {
        self.played.iter().any(|p| p.no_verdict.is_some())
    }

    /// A line a play, and the time line of the first op that breaks each rule.
    pub fn text(&self) -> String {
        let mut text = format!("{} ({})\n", self.experiment, self.how);
        for played in &self.played {
            text.push_str(&played.line());
            text.push('\n');
            text.push_str(&played.together());
            text.push('\n');
            played.missed.iter().for_each(|missed| text.push_str(&format!("  MISSED {missed}\n")));
            for rule in 1..=4 {
                let Some(first) = played.broken.iter().find(|b| b.rule == rule) else { continue };
                let count = played.broken.iter().filter(|b| b.rule == rule).count();
                text.push_str(&format!(
                    "  rule {rule} broken {count} times, first by op {}: {}\n",
                    first.op, first.what
                ));
                first.line.iter().for_each(|line| text.push_str(&format!("    {line}\n")));
            }
        }
        if let Some(against) = &self.against {
            text.push_str(&self.held_against(against));
        }
        text
    }

    /// Every other point of the grid against one, pair by pair of the same seed.
    fn held_against(&self, against: &str) -> String {
        let words: Vec<&str> = against.split(' ').collect();
        let stands = |label: &str| words.iter().all(|word| label.split(' ').any(|part| part == *word));
        let keys: Vec<&str> =
            words.iter().filter_map(|word| word.split_once('=').map(|(key, _)| key)).collect();
        let rest = |label: &str| {
            let kept =
                label.split(' ').filter(|part| !keys.contains(&part.split('=').next().unwrap_or(part)));
            kept.collect::<Vec<_>>().join(" ")
        };
        let mut labels: Vec<&str> =
            self.played.iter().map(|p| p.label.as_str()).filter(|l| !stands(l)).collect();
        labels.dedup();
        let mut text = String::new();
        for label in labels {
            let own: Vec<&Played> = self.played.iter().filter(|p| p.label == label).collect();
            let of = |seed: u64| {
                self.played
                    .iter()
                    .find(|p| stands(&p.label) && p.seed == seed && rest(&p.label) == rest(label))
            };
            let pairs: Vec<(&Played, &Played)> =
                own.iter().filter_map(|p| of(p.seed).map(|o| (*p, o))).collect();
            text.push_str(&format!("{label} against {against}, {} pairs\n", pairs.len()));
            text.push_str(&side_by_side(&pairs));
        }
        text
    }
}

/// A line a figure: both means, and the mean of the differences with its confidence interval.
fn side_by_side(pairs: &[(&Played, &Played)]) -> String {
    let mut text = String::new();
    let Some((first, _)) = pairs.first() else { return text };
    for (at, (name, _)) in first.figures().iter().enumerate() {
        let values = |of: &dyn Fn(&(&Played, &Played)) -> f64| pairs.iter().map(of).collect::<Vec<f64>>();
        let (left, _) = interval(&values(&|pair| pair.0.figures()[at].1));
        let (right, _) = interval(&values(&|pair| pair.1.figures()[at].1));
        let (mean, half) = interval(&values(&|pair| pair.0.figures()[at].1 - pair.1.figures()[at].1));
        let sure = match half {
            None => "one pair, no interval".to_string(),
            Some(half) if mean.abs() > half => format!("± {half:.4}, differs"),
            Some(half) => format!("± {half:.4}, no difference shown"),
        };
        text.push_str(&format!("  {name:24} {left:9.4} {right:9.4}   difference {mean:+.4} {sure}\n"));
    }
    text
}

/// Two reports of the same experiment side by side, pair by pair of the same point and seed; an error where they
/// have no pair in common.
pub fn compare(left: &Report, right: &Report) -> Result<String, String> {
    let mut labels: Vec<&str> = left.played.iter().map(|p| p.label.as_str()).collect();
    labels.dedup();
    let mut text = String::new();
    for label in labels {
        let own = left.played.iter().filter(|p| p.label == label);
        let other = |p: &Played| right.played.iter().find(|o| o.label == label && o.seed == p.seed);
        let pairs: Vec<(&Played, &Played)> = own.filter_map(|p| other(p).map(|o| (p, o))).collect();
        if pairs.is_empty() {
            continue;
        }
        let shown = if label.is_empty() { "all" } else { label };
        text.push_str(&format!("{shown}: {} pairs, left against right\n", pairs.len()));
        text.push_str(&side_by_side(&pairs));
    }
    if text.is_empty() {
        return Err("the two reports have no play of the same point and seed in common".to_string());
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn latencies_are_told_in_milliseconds_from_when_a_job_was_due() {
        let text = "name='d'\nseconds=2.0\nseeds=[1]\n[fleet]\nfar-ms=10.0\n[[fleet.kind]]\nname='k'\ncount=4\n\
            slots=4.0\nspeed=[1.0,1.0]\n[nodes]\ncount=1\n[load]\nper-second=20.0\n[[category]]\nname='c'\npart=1.0\n\
            work-ms=250.0\ntarget-ms=900.0\nttl-ms=3000.0\neffect='redeliverable'\n";
        let plan = crate::experiment::read("d.toml", text).unwrap().plan;
        let played = crate::run::play_simulated(&plan, 1).unwrap();
        let [half, .., most] = played.categories[0].latency;
        assert!(
            (250.0..260.0).contains(&half) && most >= half && most < 2000.0,
            "{:?}",
            played.categories[0]
        );
        let mut wide = micros();
        wide.saturating_record(7_000_000);
        assert!((6_990_000..7_010_000).contains(&wide.max()));
    }

    #[test]
    fn pairs_tell_a_difference_from_chance() {
        let play = |seed, benefit| Played { seed, benefit, jobs: 10, ..Played::default() };
        let report = |values: [f64; 4]| Report {
            played: values.iter().enumerate().map(|(seed, v)| play(seed as u64, *v)).collect(),
            ..Report::default()
        };
        let left = report([0.5, 0.6, 0.7, 0.8]);
        let better = compare(&report([0.61, 0.70, 0.79, 0.90]), &left).unwrap();
        assert!(
            better.contains("benefit in time") && better.lines().nth(1).unwrap().contains("differs"),
            "{better}"
        );
        let same = compare(&report([0.6, 0.5, 0.8, 0.7]), &left).unwrap();
        assert!(same.lines().nth(1).unwrap().contains("no difference shown"), "{same}");
        assert!(compare(&left, &Report::default()).is_err());
        assert_eq!(interval(&[1.0, 3.0]).0, 2.0);
        assert!((interval(&[1.0, 3.0]).1.unwrap() - 12.706).abs() < 1e-9);
    }
}
