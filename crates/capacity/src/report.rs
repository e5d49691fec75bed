//! The figures as tables in Markdown, and as JSON.

use crate::fit::{power, Spread};
use crate::layout::Distance;
use crate::run::{Change, Measured, RoleLoad};
use crate::store_cost::{ComparisonCost, MessageCost, ServiceCost};
use crate::traffic::Role;
use jzon::{array, object, JsonValue};
use std::collections::BTreeSet;
use std::fmt::Write;
use strum::IntoEnumIterator;

/// One row of a table: a figure at each size of the fleet.
#[derive(Clone, Debug)]
pub struct Row {
    /// The title of the table.
    pub table: &'static str,
    /// What the figure is.
    pub name: String,
    /// The figure at each size, over all runs of that size.
    pub values: Vec<Spread>,
    /// The power of the size with which it grows.
    pub power: Option<f64>,
}

/// All runs of all sizes.
pub struct Fleets {
    /// How many nodes the fleets have.
    pub sizes: Vec<usize>,
    /// The runs of each size.
    pub runs: Vec<Vec<Measured>>,
}

/// Costs that do not depend on the size of the fleet.
#[derive(Default)]
pub struct Units {
    /// Of one message.
    pub message: MessageCost,
    /// Of services, for several numbers of services and stores.
    pub services: Vec<ServiceCost>,
    /// Bytes on the heap of one executor at one store.
    pub executor_heap_bytes: f64,
    /// Of a comparison between two stores, for several numbers of messages.
    pub comparisons: Vec<ComparisonCost>,
}

impl Fleets {
    fn row(&self, table: &'static str, name: String, figure: impl Fn(&Measured) -> f64) -> Row {
        let of_size = |runs: &Vec<Measured>| Spread::of(runs.iter().map(&figure).collect());
        let values: Vec<Spread> = self.runs.iter().map(of_size).collect();
        let sizes = self.sizes.iter().map(|size| *size as f64);
        let points: Vec<(f64, f64)> = sizes.zip(values.iter().map(|value| value.median)).collect();
        Row { table, name, values, power: power(&points) }
    }

    /// The rows of all tables.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows = self.role_rows();
        rows.extend(self.flow_rows());
        rows.extend(self.change_rows());
        rows
    }

    fn role_rows(&self) -> Vec<Row> {
        type Figure = (&'static str, fn(&RoleLoad) -> f64);
        let figures: [Figure; 6] = [
            ("bytes a second in and out", |load| load.bytes_per_s),
            ("messages a second in and out", |load| load.messages_per_s),
            ("processor, thousandths of a core", |load| load.cpu_share * 1000.0),
            ("turns a second", |load| load.turns_per_s),
            ("state, kB", |load| load.heap_bytes / 1000.0),
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
        let flows = all.flat_map(|measured| measured.flows.keys());
        let kinds: BTreeSet<&'static str> = flows.map(|flow| flow.kind).collect();
        let mut rows = Vec::new();
        for kind in kinds {
            let table = "the whole fleet by kind of message, calm, bytes a second";
            rows.push(self.row(table, kind.to_string(), move |m| m.flow(kind, None).bytes_per_s));
            for far in Distance::iter() {
                rows.push(
                    self.row(table, format!("{kind}, {far}"), move |m| m.flow(kind, Some(far)).bytes_per_s),
                );
            }
            let table = "the whole fleet by kind of message, calm, messages a second";
            rows.push(self.row(table, kind.to_string(), move |m| m.flow(kind, None).messages_per_s));
        }
        rows.sort_by_key(|row| row.table);
        rows
    }

    fn change_rows(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        for change in Change::iter().filter(|_| self.runs.iter().flatten().any(|m| !m.changes.is_empty())) {
            let of = move |measured: &Measured| measured.changes.get(&change).copied().unwrap_or_default();
            let table = "one change, bytes beyond the calm, kB";
            rows.push(self.row(table, format!("{change}: whole fleet"), move |m| of(m).fleet / 1000.0));
            rows.push(self.row(table, format!("{change}: busiest control node"), move |m| {
                of(m).busiest_control_node / 1000.0
            }));
        }
        rows
    }

    /// Whether in every run all stores knew all executors and all nodes had the configuration.
    pub fn is_complete(&self) -> bool {
        self.runs.iter().flatten().all(|measured| measured.is_complete)
    }
}

/// A number with three significant digits.
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
    let is_narrow = spread.greatest - spread.least <= 0.01 * spread.median.abs();
    let median = figure(spread.median);
    if is_narrow {
        median
    } else {
        format!("{median} ({} to {})", figure(spread.least), figure(spread.greatest))
    }
}

/// All tables in Markdown.
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
    let _ = writeln!(text, "| heap while it waits, bytes | {} |", figure(message.waiting_heap_bytes));
    let _ = writeln!(text, "| heap once it has ended, bytes | {} |", figure(message.ended_heap_bytes));
    let _ = writeln!(text, "| disk, records | {} |", figure(message.disk.count));
    let _ = writeln!(text, "| disk, bytes | {} |", figure(message.disk.bytes));
    for (kind, volume) in &message.frames {
        let (count, bytes) = (figure(volume.count), figure(volume.bytes));
        let _ = writeln!(text, "| {kind}: frames, bytes | {count}, {bytes} |");
    }
    let _ = writeln!(text, "| processor, microseconds | {} |", figure(message.cpu_us));
    let _ = writeln!(
        text,
        "| heap of one executor at one store, bytes | {} |",
        figure(units.executor_heap_bytes)
    );
    let _ = writeln!(text, "\n| services x stores | configuration bytes each | heap each at a store | reading it, ms | upkeep of a store, ms a second |\n|---|---|---|---|---|");
    for cost in &units.services {
        let _ = writeln!(
            text,
            "| {} x {} | {} | {} | {} | {} |",
            cost.services,
            cost.stores,
            figure(cost.configuration_bytes),
            figure(cost.heap_bytes),
            figure(cost.read_us / 1000.0),
            figure(cost.upkeep_us_per_s / 1000.0)
        );
    }
    let _ = writeln!(
        text,
        "\n| messages that wait | one comparison, microseconds a message | bytes a message |\n|---|---|---|"
    );
    for cost in &units.comparisons {
        let (us, bytes) = (figure(cost.us_per_message), figure(cost.bytes_per_message));
        let _ = writeln!(text, "| {} | {us} | {bytes} |", cost.messages);
    }
    text
}

fn spread_json(spread: &Spread) -> JsonValue {
    object! { least: spread.least, middle: spread.median, most: spread.greatest }
}

/// All figures as JSON.
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
        .map(|(kind, volume)| object! { kind: *kind, frames: volume.count, bytes: volume.bytes })
        .collect();
    let services: Vec<JsonValue> = units
        .services
        .iter()
        .map(|cost| {
            object! {
                services: cost.services, stores: cost.stores, configuration_bytes: cost.configuration_bytes,
                heap: cost.heap_bytes, read_us: cost.read_us, upkeep_us_a_second: cost.upkeep_us_per_s,
            }
        })
        .collect();
    let comparison: Vec<JsonValue> = units
        .comparisons
        .iter()
        .map(|cost| {
            object! {
                messages: cost.messages,
                us_a_message: cost.us_per_message,
                bytes_a_message: cost.bytes_per_message,
            }
        })
        .collect();
    let message = object! {
        waiting_heap: units.message.waiting_heap_bytes, ended_heap: units.message.ended_heap_bytes,
        disk_records: units.message.disk.count, disk_bytes: units.message.disk.bytes, frames: frames,
        cpu_us: units.message.cpu_us,
    };
    let sizes: Vec<usize> = fleets.sizes.clone();
    let all = object! {
        sizes: sizes, runs: fleets.runs.first().map_or(0, Vec::len), complete: fleets.is_complete(), rows: lines,
        message: message, executor_heap: units.executor_heap_bytes, services: services, comparison: comparison,
    };
    all.dump()
}
