//! Days for the operators' bench, drawn from a seed: any kind of trouble, at any moment, more than once.

mod kinds;

use kinds::{Kind, CHANGES_AND_PLANS, CLOSINGS, DISK_LOSSES, FAULTS, LOSSES, SILENCES};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::fmt;

/// Troubles begin so long after the traffic.
const FIRST_TROUBLE_S: f64 = 3.0;
/// Before the end of the day and its closing fault nothing new begins for so long.
const QUIET_END_S: f64 = 2.0;
/// The shortest and longest time that a trouble lasts.
const SPAN_S: std::ops::Range<f64> = 0.3..9.0;
/// How long the closing fault keeps machines down.
const CLOSING_DOWN_S: std::ops::Range<f64> = 0.5..2.0;
/// Of the days with losses one after another, so many in a hundred end with a closing fault; of the others all do.
const CLOSINGS_AFTER_LOSSES_PERCENT: u32 = 60;
/// Of the troubles on such days, so many in a hundred lose, empty, replace or restart machines with disks.
const LOSSES_PERCENT: u32 = 75;

/// A store is silent at most so long before or after the loss of a disk.
const SILENCE_OFFSET_S: f64 = 1.5;

/// What a day is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Mix {
    /// Everything that the bench knows.
    All,
    /// Disks and machines lost one after another, with a little of everything between.
    Losses,
    /// Disks of stores, each time with another store that is not heard, before or after the loss.
    LostDisks,
}

/// How a day is drawn.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct DayPlan {
    /// The seed: the same one gives the same day.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long the day's traffic lasts, in seconds.
    #[arg(long, default_value_t = 90.0)]
    length: f64,
    /// The mean time from the beginning of one trouble to that of the next, in seconds.
    #[arg(long, default_value_t = 1.0)]
    pause: f64,
    /// What the day is made of.
    #[arg(long, value_enum, default_value_t = Mix::All)]
    mix: Mix,
}

/// An entry of a day.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Trouble {
    at: f64,
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    on: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    count: Option<u32>,
    for_s: f64,
    #[serde(skip_serializing_if = "str::is_empty")]
    how: &'static str,
}

/// What strikes at the end.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Closing {
    kind: &'static str,
    down_s: f64,
    #[serde(skip_serializing_if = "str::is_empty")]
    how: &'static str,
}

/// A day, in the form that the bench reads.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrawnDay {
    name: String,
    slot: &'static str,
    seed: u64,
    length_s: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    closing: Option<Closing>,
    plan: Vec<Trouble>,
    faults: Vec<Trouble>,
}

impl DrawnDay {
    /// Draws the day of a seed.
    pub fn draw(day_plan: &DayPlan) -> DrawnDay {
        let mut random = Pcg64::seed_from_u64(day_plan.seed);
        let mut day = DrawnDay {
            name: format!("drawn-{}", day_plan.seed),
            slot: "trouble",
            seed: day_plan.seed,
            length_s: day_plan.length,
            closing: None,
            plan: Vec::new(),
            faults: Vec::new(),
        };
        let mut at = FIRST_TROUBLE_S;
        while at < day_plan.length - QUIET_END_S {
            if day_plan.mix == Mix::LostDisks {
                day.lose_disk_beside_silence(at, &mut random);
            } else {
                let (kind, is_planned) = draw_kind(day_plan.mix, &mut random);
                let entries = if is_planned { &mut day.plan } else { &mut day.faults };
                entries.push(Trouble::draw(kind, at, &mut random));
            }
            at += random.random_range(0.0..2.0 * day_plan.pause);
        }
        let closes = day_plan.mix == Mix::All || random.random_ratio(CLOSINGS_AFTER_LOSSES_PERCENT, 100);
        day.closing = closes.then(|| Closing::draw(&mut random));
        day
    }

    fn lose_disk_beside_silence(&mut self, at: f64, random: &mut Pcg64) {
        let offset = random.random_range(-SILENCE_OFFSET_S..SILENCE_OFFSET_S);
        for (kinds, at) in [(&DISK_LOSSES[..], at), (&SILENCES[..], at + offset)] {
            if let Some(kind) = kinds.choose(random) {
                self.faults.push(Trouble::draw(kind, at, random));
            }
        }
    }
}

impl fmt::Display for DrawnDay {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&toml::to_string(self).map_err(|_| fmt::Error)?)
    }
}

impl Trouble {
    fn draw(kind: &Kind, at: f64, random: &mut Pcg64) -> Trouble {
        Trouble {
            at: tenths(at),
            kind: kind.name,
            on: kind.on.choose(random).copied(),
            count: kind.max_count.map(|most| random.random_range(1..=most)),
            for_s: tenths(random.random_range(SPAN_S)),
            how: kind.how.choose(random).copied().unwrap_or_default(),
        }
    }
}

impl Closing {
    fn draw(random: &mut Pcg64) -> Closing {
        let kind = CLOSINGS.choose(random).unwrap_or(&CLOSINGS[0]);
        Closing {
            kind: kind.name,
            down_s: tenths(random.random_range(CLOSING_DOWN_S)),
            how: kind.how.choose(random).copied().unwrap_or_default(),
        }
    }
}

/// A kind, and whether it is planned work.
fn draw_kind(mix: Mix, random: &mut Pcg64) -> (&'static Kind, bool) {
    if mix == Mix::Losses && random.random_ratio(LOSSES_PERCENT, 100) {
        let at = random.random_range(0..LOSSES.len());
        let is_planned = CHANGES_AND_PLANS.iter().any(|kind| kind.name == LOSSES[at].name);
        return (&LOSSES[at], is_planned);
    }
    let at = random.random_range(0..CHANGES_AND_PLANS.len() + FAULTS.len());
    match CHANGES_AND_PLANS.get(at) {
        Some(kind) => (kind, true),
        None => (&FAULTS[at - CHANGES_AND_PLANS.len()], false),
    }
}

fn tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

#[cfg(test)]
mod tests;
