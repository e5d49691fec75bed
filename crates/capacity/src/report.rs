//! The figures as tables in Markdown, and as JSON.

use crate::fit::{power, Spread};
use crate::layout::Distance;
use crate::message::{MessageCost, ServiceCost};
use crate::run::{Change, Line, Measured, RoleLoad};
use crate::traffic::Role;
use jzon::{array, object, JsonValue};
use std::collections::BTreeSet;
use std::fmt::Write;
use strum::IntoEnumIterator;

/// One line of a table: a figure at each size, from all runs, and the power with which it grows.
#[derive(Clone, Debug)]
pub struct Row {
    pub table: &'static str,
    pub name: String,
    pub values: Vec<Spread>,
    pub power: Option<f64>,
}

/// All runs of all sizes.
pub struct Fleets {
    pub sizes: Vec<usize>,
    pub runs: Vec<Vec<Measured>>,
}

/// What does not depend on the fleet.
#[derive(Default)]
pub struct Units {
    pub message: MessageCost,
    pub services: Vec<ServiceCost>,
    pub executor_heap: f64,
    pub comparison: Vec<(usize, f64, f64)>,
}

impl Fleets {
    fn row(&self, table: &'static str, name: String, figure: impl Fn(&Measured) -> f64) -> Row {
        let of_size = |runs: &Vec<Measured>| Spread::of(runs.iter().map(&figure).collect());
        let values: Vec<Spread> = self.runs.iter().map(of_size).collect();
        let sizes = self.sizes.iter().map(|size| *size as f64);
        let points: Vec<(f64, f64)> = sizes.zip(values.iter().map(|value| value.middle)).collect();
        Row { table, name, values, power: power(&points) }
    }

    pub fn rows(&self) -> Vec<Row> {
        let mut rows = self.role_rows();
        rows.extend(self.flow_rows());
        rows.extend(self.change_rows());
        rows
    }

    fn role_rows(&self) -> Vec<Row> {
        type Figure = (&'static str, fn(&RoleLoad) -> f64);
        let figures: [Figure; 6] = [
            ("bytes a second in and out", |load| load.bytes),
            ("messages a second in and out", |load| load.messages),
            ("processor, thousandths of a core", |load| load.cpu * 1000.0),
            ("turns a second", |load| load.turns),
            ("state, kB", |load| load.state / 1000.0),
            ("connections with nodes", |load| load.connections),
        ];
        let of = |role: Role, figure: fn(&RoleLoad) -> f64| {
            move |measured: &Measured| measured.roles.get(&role).map_or(0.0, figure)
        };
        let roles = [Role::Control, Role::Store, Role::Edge];
        let lines = roles.into_iter().flat_map(|role| figures.map(|(name, figure)| (role, name, figure)));
        lines
            .map(|(role, name, figure)| {
                self.row("the busiest node of a role, calm", format!("{role}: {name}"), of(role, figure))
            })
            .collect()
    }

    fn flow_rows(&self) -> Vec<Row> {
        let all = self.runs.iter().flatten();
        let lines: BTreeSet<&Line> = all.flat_map(|measured| measured.flows.keys()).collect();
        let kinds: BTreeSet<&'static str> = lines.into_iter().map(|line| line.kind).collect();
        let mut rows = Vec::new();
        for kind in kinds {
            let table = "the whole fleet by kind of message, calm, bytes a second";
            rows.push(self.row(table, kind.to_string(), move |m| m.flow(kind, None).0));
            for far in Distance::iter() {
                rows.push(self.row(table, format!("{kind}, {far}"), move |m| m.flow(kind, Some(far)).0));
            }
            let table = "the whole fleet by kind of message, calm, messages a second";
            rows.push(self.row(table, kind.to_string(), move |m| m.flow(kind, None).1));
        }
        rows.sort_by_key(|row| row.table);
        rows
    }

    fn change_rows(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        for change in Change::iter().filter(|_| self.runs.iter().flatten().any(|m| !m.changes.is_empty())) {
            let of = move |measured: &Measured| measured.changes.get(&change).copied().unwrap_or_default();
            let table = "one change, bytes beyond the calm, kB";
            rows.push(self.row(table, format!("{change}: whole fleet"), move |m| of(m).0 / 1000.0));
            rows.push(self.row(table, format!("{change}: busiest control node"), move |m| of(m).1 / 1000.0));
        }
        rows
    }

    /// Whether in every run all stores knew all executors and all nodes had the configuration.
    pub fn complete(&self) -> bool {
        self.runs.iter().flatten().all(|measured| measured.complete)
    }
}

/// Three digits that count.
fn figure(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.2}"),
        0.0 => "0".into(),
        _ => format!("{value:.4}"),
    }
}

fn cell(spread: &Spread) -> String {
    let narrow = spread.most - spread.least <= 0.01 * spread.middle.abs();
    let middle = figure(spread.middle);
    if narrow {
        middle
    } else {
        format!("{middle} ({} to {})", figure(spread.least), figure(spread.most))
    }
}

pub fn tables(fleets: &Fleets, rows: &[Row], units: &Units) -> String {
    let mut text = String::new();
    let mut table = "";
    for row in rows {
        if row.table != table {
            table = row.table;
            let sizes: Vec<String> = fleets.sizes.iter().map(|size| format!("{size} nodes")).collect();
            let _ = writeln!(text, "\n| {table} | {} | power |", sizes.join(" | "));
            let _ = writeln!(text, "|---|{}---|", "---|".repeat(sizes.len()));
        }
        let cells: Vec<String> = row.values.iter().map(cell).collect();
        let power = row.power.map_or("-".into(), |power| format!("{power:.2}"));
        let _ = writeln!(text, "| {} | {} | {power} |", row.name, cells.join(" | "));
    }
    text + &unit_tables(units)
}

fn unit_tables(units: &Units) -> String {
    let message = &units.message;
    let mut text = String::from("\n| one message, at its owner and one copy together | |\n|---|---|\n");
    let _ = writeln!(text, "| heap while it waits, bytes | {} |", figure(message.waiting_heap));
    let _ = writeln!(text, "| heap once it has ended, bytes | {} |", figure(message.ended_heap));
    let _ = writeln!(text, "| disk, records | {} |", figure(message.disk.0));
    let _ = writeln!(text, "| disk, bytes | {} |", figure(message.disk.1));
    for (kind, count, bytes) in &message.frames {
        let _ = writeln!(text, "| {kind}: frames, bytes | {}, {} |", figure(*count), figure(*bytes));
    }
    let _ = writeln!(text, "| processor, microseconds | {} |", figure(message.cpu_us));
    let _ = writeln!(text, "| heap of one executor at one store, bytes | {} |", figure(units.executor_heap));
    let _ = writeln!(text, "\n| services x stores | configuration bytes each | heap each at a store | reading it, ms | upkeep of a store, ms a second |\n|---|---|---|---|---|");
    for cost in &units.services {
        let _ = writeln!(
            text,
            "| {} x {} | {} | {} | {} | {} |",
            cost.services,
            cost.stores,
            figure(cost.configuration_bytes),
            figure(cost.heap),
            figure(cost.read_us / 1000.0),
            figure(cost.upkeep_us_a_second / 1000.0)
        );
    }
    let _ = writeln!(
        text,
        "\n| messages that wait | one comparison, microseconds a message | bytes a message |\n|---|---|---|"
    );
    for (count, micros, bytes) in &units.comparison {
        let _ = writeln!(text, "| {count} | {} | {} |", figure(*micros), figure(*bytes));
    }
    text
}

fn spread_json(spread: &Spread) -> JsonValue {
    object! { least: spread.least, middle: spread.middle, most: spread.most }
}

pub fn json(fleets: &Fleets, rows: &[Row], units: &Units) -> String {
    let mut lines = array![];
    for row in rows {
        let values: Vec<JsonValue> = row.values.iter().map(spread_json).collect();
        let line = object! { table: row.table, name: row.name.clone(), values: values, power: row.power };
        let _ = lines.push(line);
    }
    let frames: Vec<JsonValue> = units
        .message
        .frames
        .iter()
        .map(|(kind, count, bytes)| object! { kind: *kind, frames: *count, bytes: *bytes })
        .collect();
    let services: Vec<JsonValue> = units
        .services
        .iter()
        .map(|cost| {
            object! {
                services: cost.services, stores: cost.stores, configuration_bytes: cost.configuration_bytes,
                heap: cost.heap, read_us: cost.read_us, upkeep_us_a_second: cost.upkeep_us_a_second,
            }
        })
        .collect();
    let comparison: Vec<JsonValue> = units
        .comparison
        .iter()
        .map(|(count, micros, bytes)| object! { messages: *count, us_a_message: *micros, bytes_a_message: *bytes })
        .collect();
    let message = object! {
        waiting_heap: units.message.waiting_heap, ended_heap: units.message.ended_heap,
        disk_records: units.message.disk.0, disk_bytes: units.message.disk.1, frames: frames,
        cpu_us: units.message.cpu_us,
    };
    let sizes: Vec<usize> = fleets.sizes.clone();
    let all = object! {
        sizes: sizes, runs: fleets.runs.first().map_or(0, Vec::len), complete: fleets.complete(), rows: lines,
        message: message, executor_heap: units.executor_heap, services: services, comparison: comparison,
    };
    all.dump()
}
