//! One HTML page of a report, with its plots as SVG in it.

use crate::report::{Played, Report};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write as _;

const SIZE: (u32, u32) = (760, 280);

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Draws one plot; what it is of can't be drawn only if the backend fails.
fn plot(
    draw: impl FnOnce(&DrawingArea<SVGBackend, Shift>) -> Result<(), Box<dyn std::error::Error>>,
) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| error.to_string())?;
        draw(&area).map_err(|error| error.to_string())?;
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(text)
}

/// Some lines in one frame, each with its name.
fn lines(
    title: &str,
    x: &str,
    y: &str,
    most: Option<f64>,
    all: &[(String, Vec<(f64, f64)>)],
) -> Result<String, String> {
    let points = || all.iter().flat_map(|(_, points)| points);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = most.unwrap_or_else(|| points().map(|p| p.1).fold(1.0, f64::max) * 1.05);
    plot(|area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(WHITE).draw()?;
        for (number, (name, points)) in all.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        Ok(())
    })
}

/// Pushes by executor, beside what the solved fractions meant each to get.
fn by_executor(played: &Played) -> Result<String, String> {
    let top =
        played.executors.iter().map(|x| x.meant.unwrap_or(0.0).max(x.pushes as f64)).fold(1.0, f64::max)
            * 1.05;
    let count = played.executors.len() as f64;
    plot(|area| {
        let mut chart = ChartBuilder::on(area)
            .caption(
                "pushes by executor (blue), and what the solved fractions meant (red)",
                ("sans-serif", 15),
            )
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..count, 0.0..top)?;
        chart.configure_mesh().x_desc("executor").y_desc("pushes").light_line_style(WHITE).draw()?;
        let bars = played.executors.iter().enumerate().map(|(at, x)| {
            let left = at as f64 + 0.1;
            Rectangle::new([(left, 0.0), (left + 0.8, x.pushes as f64)], BLUE.mix(0.5).filled())
        });
        chart.draw_series(bars)?;
        let meant = played.executors.iter().enumerate().filter_map(|(at, x)| x.meant.map(|m| (at, m)));
        let marks = meant.filter(|(_, meant)| *meant > 0.0).map(|(at, meant)| {
            let left = at as f64 + 0.1;
            PathElement::new(vec![(left, meant), (left + 0.8, meant)], RED.stroke_width(2))
        });
        chart.draw_series(marks)?;
        Ok(())
    })
}

/// Mean of the seeds of one point, second by second.
fn over_time(plays: &[&Played]) -> Vec<(f64, f64)> {
    let seconds = plays.iter().map(|p| p.by_second.len()).max().unwrap_or(0);
    let mean = |second: usize| {
        let values: Vec<f64> = plays.iter().filter_map(|p| p.by_second.get(second)).copied().collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    (0..seconds).map(|second| (second as f64, mean(second))).collect()
}

/// The whole page.
pub fn page(report: &Report) -> Result<String, String> {
    let mut text = String::from("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n");
    let name = escaped(&report.experiment);
    let _ = writeln!(text, "<title>{name}</title>");
    text.push_str(
        "<style>body{font:15px sans-serif;max-width:860px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}\
         td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child\
         {text-align:left}pre{background:#f4f4f4;padding:8px;overflow:auto}svg{max-width:100%;height:auto}</style>\n\
         </head><body>\n",
    );
    let how = if report.how == "sim" { "simulated time" } else { "sockets" };
    let _ = writeln!(text, "<h1>{name}</h1><p>Played in {how}, {} plays.</p>", report.played.len());
    text.push_str(
        "<table><tr><th>play</th><th>seed</th><th>benefit</th><th>worst category</th><th>worst 10 s</th><th>jobs</th>\
         <th>nacked</th><th>dead-lettered</th><th>pushes per job</th><th>rules</th></tr>\n",
    );
    for p in &report.played {
        let rules = match (&p.no_verdict, p.broken.len()) {
            (Some(reason), _) => format!("no verdict: {reason}"),
            (None, 0) => "kept".to_string(),
            (None, broken) => format!("{broken} broken"),
        };
        let _ = writeln!(
            text,
            "<tr><td>{} {}</td><td>{}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{:.2}</td><td>{}</td></tr>",
            escaped(&p.policy),
            escaped(&p.label),
            p.seed,
            p.benefit,
            p.worst_category,
            p.worst_ten_seconds,
            p.jobs,
            p.nacked,
            p.dead_lettered,
            p.pushes as f64 / p.jobs.max(1) as f64,
            escaped(&rules)
        );
    }
    text.push_str("</table>\n");
    let mut labels: Vec<&str> = report.played.iter().map(|p| p.label.as_str()).collect();
    labels.dedup();
    let of = |label: &str| report.played.iter().filter(|p| p.label == label).collect::<Vec<_>>();
    let curves: Vec<(String, Vec<(f64, f64)>)> = labels
        .iter()
        .map(|label| (if label.is_empty() { "benefit" } else { label }.to_string(), over_time(&of(label))))
        .collect();
    text.push_str(&lines(
        "benefit in time, by the second in which it was asked",
        "second",
        "part",
        Some(1.05),
        &curves,
    )?);
    for label in labels {
        let plays = of(label);
        let Some(first) = plays.first() else { continue };
        let _ = writeln!(text, "<h2>{} {}, seed {}</h2>", escaped(&first.policy), escaped(label), first.seed);
        let latency: Vec<(String, Vec<(f64, f64)>)> = first
            .categories
            .iter()
            .map(|c| {
                (c.name.clone(), c.percents.iter().enumerate().map(|(at, v)| (at as f64 + 1.0, *v)).collect())
            })
            .collect();
        text.push_str(&lines("latency of acked jobs", "percent of jobs", "ms", None, &latency)?);
        text.push_str(&by_executor(first)?);
        let together = &first.together;
        text.push_str("<table>");
        for (name, value) in first.figures() {
            let _ = writeln!(text, "<tr><td>{name}</td><td>{value:.4}</td></tr>");
        }
        text.push_str("</table>\n");
        let halves = |values: Vec<f64>| {
            values.into_iter().enumerate().map(|(at, v)| (at as f64 / 2.0, v)).collect::<Vec<_>>()
        };
        let counts =
            |name: &str, all: &[u64]| (name.to_string(), halves(all.iter().map(|n| *n as f64).collect()));
        let course = &together.course;
        text.push_str(&lines(
            "pushes, new connections and calls for the list, in each 500 ms",
            "second",
            "count",
            None,
            &[
                counts("pushes", &course.pushes),
                counts("connections", &course.connections),
                counts("list calls", &course.list_calls),
            ],
        )?);
        text.push_str(&lines(
            "op-seconds that waited misplaced, and part of the capacity idle beside them, in each 500 ms",
            "second",
            "op-seconds; part",
            None,
            &[
                ("misplaced".to_string(), halves(course.misplaced.clone())),
                ("idle".to_string(), halves(course.idle.clone())),
            ],
        )?);
        if !first.nacks.is_empty() {
            text.push_str("<table><tr><th>nacked jobs</th><th>count</th></tr>\n");
            for (reason, count) in &first.nacks {
                let _ = writeln!(text, "<tr><td>{}</td><td>{count}</td></tr>", escaped(reason));
            }
            text.push_str("</table>\n");
        }
        for broken in first.broken.iter().take(4) {
            let _ = writeln!(
                text,
                "<h3>rule {} broken: {}</h3><pre>{}</pre>",
                broken.rule,
                escaped(&broken.what),
                escaped(&broken.line.join("\n"))
            );
        }
    }
    text.push_str("</body></html>\n");
    Ok(text)
}
