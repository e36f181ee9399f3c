//! Draws the comparison of policies as a bar chart.
//!
//! There is one panel for each metric and one group of bars for each scenario. The values are relative to the best
//! baseline of the scenario, which is the line at 1.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::policy::PolicyResult;
use super::policy_kind::{PolicyKind, WeightProfile};
use super::scenario::Scenario;
use super::stats::Summary;

/// Width and height of a panel, in pixels.
const PANEL_SIZE: (u32, u32) = (1_100, 300);
/// Upper end of the axis. Higher bars are cut off so that small ones stay legible.
const RATIO_MAX: f64 = 3.0;

type Panel = (&'static str, fn(&Summary) -> f64);

const PANELS: [Panel; 4] = [
    ("Mean completion time", |s| s.mean_completion_s),
    ("95th percentile of completion time", |s| s.p95_completion_s),
    ("95th percentile of the wait of large jobs", |s| s.large_wait_p95_s),
    ("Fragmentation", |s| s.fragmentation),
];

fn colour(policy: PolicyKind) -> RGBColor {
    match policy {
        PolicyKind::Product(WeightProfile::Norden) => RGBColor(0, 90, 160),
        PolicyKind::Product(WeightProfile::Dakar) => RGBColor(0, 150, 110),
        PolicyKind::FirstFit => RGBColor(190, 190, 190),
        PolicyKind::BestFit => RGBColor(150, 150, 150),
        PolicyKind::Backfill => RGBColor(100, 100, 100),
    }
}

fn distinct<T, F>(results: &[PolicyResult], field: F) -> Vec<T>
where
    T: PartialEq,
    F: Fn(&PolicyResult) -> T,
{
    let mut all = Vec::new();
    for result in results {
        let value = field(result);
        if !all.contains(&value) {
            all.push(value);
        }
    }
    all
}

/// Value of a bar relative to the best baseline; `None` if that is 0 or missing.
fn ratio_to_best_baseline(results: &[PolicyResult], result: &PolicyResult, metric: fn(&Summary) -> f64) -> Option<f64> {
    let mut best = f64::INFINITY;
    for other in results {
        if other.scenario == result.scenario && !matches!(other.policy, PolicyKind::Product(_)) {
            best = best.min(metric(&other.summary));
        }
    }
    (best > 0.0 && best.is_finite()).then(|| metric(&result.summary) / best)
}

/// Writes the chart to an SVG file.
pub fn draw(results: &[PolicyResult], path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (PANEL_SIZE.0, PANEL_SIZE.1 * PANELS.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((PANELS.len(), 1));
    for (area, panel) in areas.iter().zip(PANELS) {
        draw_panel(area, results, panel)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel<B>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    results: &[PolicyResult],
    panel: Panel,
) -> Result<(), Box<dyn Error>>
where
    B: DrawingBackend,
    B::ErrorType: 'static,
{
    let scenarios: Vec<Scenario> = distinct(results, |result| result.scenario);
    let policies: Vec<PolicyKind> = distinct(results, |result| result.policy);
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{}, relative to the best baseline", panel.0),
            ("sans-serif", 16),
        )
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(36)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..RATIO_MAX)?;
    let scenario_label = |x: &f64| {
        let name = scenarios.get(x.floor().max(0.0) as usize).map(|s| s.name());
        name.unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len() + 1)
        .x_label_formatter(&scenario_label)
        .draw()?;
    let width = 0.8 / policies.len() as f64;
    for (k, &policy) in policies.iter().enumerate() {
        let mut bars = Vec::new();
        for result in results.iter().filter(|result| result.policy == policy) {
            let group = scenarios.iter().position(|s| *s == result.scenario).unwrap_or(0);
            let x = group as f64 + 0.1 + width * k as f64;
            if let Some(y) = ratio_to_best_baseline(results, result, panel.1) {
                bars.push(Rectangle::new(
                    [(x, 0.0), (x + width, y.min(RATIO_MAX))],
                    colour(policy).filled(),
                ));
            }
        }
        chart
            .draw_series(bars)?
            .label(format!("{} {}", policy.name(), policy.weights_name()))
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour(policy).filled()));
    }
    let line = [(0.0, 1.0), (scenarios.len() as f64, 1.0)];
    chart.draw_series(LineSeries::new(line, RED))?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
