//! Draws the comparison.
//!
//! One panel for each figure, one group of bars for each scenario. Bars are relative to the best baseline of the
//! scenario, which is the line at 1.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::policy::Row;
use super::policy_kind::{Contender, Owner};
use super::scenario::Scenario;
use super::stats::Summary;

const PANEL: (u32, u32) = (1_100, 300);
/// Bars higher than this are cut off, so that the small ones stay legible.
const RATIO_MAX: f64 = 3.0;

type Panel = (&'static str, fn(&Summary) -> f64);

const PANELS: [Panel; 4] = [
    ("Mean completion time", |s| s.mean),
    ("95th percentile of completion time", |s| s.p95),
    ("95th percentile of the wait of large jobs", |s| s.wait),
    ("Fragmentation", |s| s.fragmentation),
];

fn colour(contender: Contender) -> RGBColor {
    match contender {
        Contender::Ours(Owner::Norden) => RGBColor(0, 90, 160),
        Contender::Ours(Owner::Dakar) => RGBColor(0, 150, 110),
        Contender::FirstFit => RGBColor(190, 190, 190),
        Contender::BestFit => RGBColor(150, 150, 150),
        Contender::Backfill => RGBColor(100, 100, 100),
    }
}

fn unique<T, F>(rows: &[Row], part: F) -> Vec<T>
where
    T: PartialEq,
    F: Fn(&Row) -> T,
{
    let mut all = Vec::new();
    for row in rows {
        let value = part(row);
        if !all.contains(&value) {
            all.push(value);
        }
    }
    all
}

/// Value of each bar relative to the best baseline; nothing if that is 0.
fn ratio(rows: &[Row], row: &Row, figure: fn(&Summary) -> f64) -> Option<f64> {
    let mut best = f64::INFINITY;
    for other in rows {
        if other.scenario == row.scenario && !matches!(other.contender, Contender::Ours(_)) {
            best = best.min(figure(&other.summary));
        }
    }
    (best > 0.0 && best.is_finite()).then(|| figure(&row.summary) / best)
}

/// Writes the drawing to a file.
pub fn draw(rows: &[Row], path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (PANEL.0, PANEL.1 * PANELS.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((PANELS.len(), 1));
    for (area, panel) in areas.iter().zip(PANELS) {
        draw_panel(area, rows, panel)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel<B>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    rows: &[Row],
    panel: Panel,
) -> Result<(), Box<dyn Error>>
where
    B: DrawingBackend,
    B::ErrorType: 'static,
{
    let scenarios: Vec<Scenario> = unique(rows, |row| row.scenario);
    let contenders: Vec<Contender> = unique(rows, |row| row.contender);
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{}, relative to the best baseline", panel.0),
            ("sans-serif", 16),
        )
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(36)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..RATIO_MAX)?;
    let label = |x: &f64| {
        let name = scenarios.get(x.floor().max(0.0) as usize).map(|s| s.name());
        name.unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len() + 1)
        .x_label_formatter(&label)
        .draw()?;
    let width = 0.8 / contenders.len() as f64;
    for (k, &contender) in contenders.iter().enumerate() {
        let mut bars = Vec::new();
        for row in rows.iter().filter(|row| row.contender == contender) {
            let group = scenarios.iter().position(|s| *s == row.scenario).unwrap_or(0);
            let x = group as f64 + 0.1 + width * k as f64;
            if let Some(y) = ratio(rows, row, panel.1) {
                bars.push(Rectangle::new(
                    [(x, 0.0), (x + width, y.min(RATIO_MAX))],
                    colour(contender).filled(),
                ));
            }
        }
        chart
            .draw_series(bars)?
            .label(format!("{} {}", contender.name(), contender.weights()))
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour(contender).filled()));
    }
    let line = [(0.0, 1.0), (scenarios.len() as f64, 1.0)];
    chart.draw_series(LineSeries::new(line, RED))?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
