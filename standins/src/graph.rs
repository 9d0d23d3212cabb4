//! Graphs of latency distributions, from the lines of a bench.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;

const SIZE: (u32, u32) = (960, 600);
const MARGIN: u32 = 12;
const X_LABELS: u32 = 32;
const Y_LABELS: u32 = 72;
const LEAST_MS: f64 = 1.0;
// The greatest quantile that is drawn is 99.9%.
const MOST_NINES: f64 = 3.0;

/// One line that a bench printed.
#[derive(Debug, Deserialize)]
struct Measured {
    scenario: String,
    variant: String,
    seed: u64,
    rounds: u64,
    /// Quantiles and their latencies in milliseconds, of the last round.
    curve: Vec<(f64, f64)>,
}

impl Measured {
    /// The curve with quantiles as nines: 1 for 90%, 2 for 99%.
    fn points(&self) -> Vec<(f64, f64)> {
        let drawn = self.curve.iter().filter(|(q, _)| nines(*q) <= MOST_NINES);
        drawn.map(|(q, ms)| (ms.max(LEAST_MS), nines(*q))).collect()
    }
}

fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile).log10()
}

/// Draws the distributions of all lines in `from` into the SVG file `to`.
///
/// # Errors
///
/// Fails if a file can't be read or written, or a line is not of a bench.
pub fn draw(from: &Path, to: &Path) -> Result<(), Box<dyn Error>> {
    let text = std::fs::read_to_string(from)?;
    let lines: Result<Vec<Measured>, _> = text.lines().map(serde_json::from_str).collect();
    let lines = lines?;
    let first = lines.first().ok_or("the file has no lines")?;
    let title = format!(
        "{}: seed {}, last of {} rounds",
        first.scenario, first.seed, first.rounds
    );
    let all = lines.iter().flat_map(Measured::points);
    let most_ms = all.map(|(ms, _)| ms).fold(LEAST_MS, f64::max);
    let root = SVGBackend::new(to, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(MARGIN)
        .x_label_area_size(X_LABELS)
        .y_label_area_size(Y_LABELS)
        .build_cartesian_2d((LEAST_MS..most_ms * 1.2).log_scale(), 0.0..MOST_NINES)?;
    chart
        .configure_mesh()
        .x_desc("latency of complete answers, ms")
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
