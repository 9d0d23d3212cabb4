//! Graphs of latency distributions, from the output of a bench.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;

const IMAGE_SIZE_PX: (u32, u32) = (960, 600);
const MARGIN_PX: u32 = 12;
const X_LABEL_AREA_PX: u32 = 32;
const Y_LABEL_AREA_PX: u32 = 72;
const MIN_LATENCY_MS: f64 = 1.0;
// Three nines: the highest quantile in the graph is 99.9%.
const MAX_NINES: f64 = 3.0;

/// One JSON line that a bench printed.
#[derive(Debug, Deserialize)]
struct BenchLine {
    scenario: String,
    variant: String,
    seed: u64,
    rounds: u64,
    /// Quantiles of the last round with their latencies in milliseconds.
    curve: Vec<(f64, f64)>,
}

impl BenchLine {
    /// Returns the curve with its quantiles as nines: 1 for 90%, 2 for 99%.
    fn points(&self) -> Vec<(f64, f64)> {
        let shown = self.curve.iter().filter(|(q, _)| nines(*q) <= MAX_NINES);
        shown
            .map(|(q, ms)| (ms.max(MIN_LATENCY_MS), nines(*q)))
            .collect()
    }
}

/// Converts a quantile to nines, the negative decimal logarithm of the share above
/// it.
fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile).log10()
}

/// Draws the distributions of all lines in `from` into the SVG file `to`.
///
/// # Errors
///
/// Fails if a file can't be read or written, `from` has no lines, or a line is not
/// the output of a bench.
pub fn draw(from: &Path, to: &Path) -> Result<(), Box<dyn Error>> {
    let text = std::fs::read_to_string(from)?;
    let lines: Result<Vec<BenchLine>, _> = text.lines().map(serde_json::from_str).collect();
    let lines = lines?;
    let first = lines
        .first()
        .ok_or_else(|| format!("{} has no lines", from.display()))?;
    let title = format!(
        "{}: seed {}, last of {} rounds",
        first.scenario, first.seed, first.rounds
    );
    let all = lines.iter().flat_map(BenchLine::points);
    let max_ms = all.map(|(ms, _)| ms).fold(MIN_LATENCY_MS, f64::max);
    let root = SVGBackend::new(to, IMAGE_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(MARGIN_PX)
        .x_label_area_size(X_LABEL_AREA_PX)
        .y_label_area_size(Y_LABEL_AREA_PX)
        .build_cartesian_2d((MIN_LATENCY_MS..max_ms * 1.2).log_scale(), 0.0..MAX_NINES)?;
    chart
        .configure_mesh()
        .x_desc("latency of answers with rows, ms")
        .y_desc("share of answers")
        .y_label_formatter(&|n| format!("{:.1}%", 100.0 * (1.0 - 10_f64.powf(-n))))
        .draw()?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points(), color.stroke_width(2)))?
            .label(&line.variant)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    root.present()?;
    Ok(())
}
