//! Plots load and cache reuse over time as SVG.

use {
    crate::{report::ratio, watch::Sample},
    eyre::{Result, eyre},
    plotters::{
        chart::ChartBuilder,
        prelude::{
            BLACK, BLUE, GREEN, IntoDrawingArea, LineSeries, PathElement, RED, SVGBackend, WHITE,
        },
        style::RGBColor,
    },
    std::path::Path,
};

const SIZE: (u32, u32) = (900, 640);
const LABEL_PIXELS: u32 = 45;

/// A line of a chart.
struct Line {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Writes the plot of a run to a file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub(crate) fn draw(file: &Path, samples: &[Sample]) -> Result<()> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|it| eyre!("load: failed to draw the plot: {it}"))?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    chart(&upper, "remaining tokens to compute, by engine", load_lines(samples))?;
    chart(
        &lower,
        "reuse: ratio of cached tokens to prompt tokens, moving window",
        reuse_lines(samples),
    )?;
    root.present().map_err(|it| eyre!("load: failed to write the plot: {it}"))
}

fn chart(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    lines: Vec<Line>,
) -> Result<()> {
    let points = || lines.iter().flat_map(|it| &it.points);
    let end = points().map(|it| it.0).fold(1.0, f64::max);
    let top = points().map(|it| it.1).fold(0.0, f64::max).max(1e-3) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS * 2)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(|it| eyre!("load: failed to draw the plot: {it}"))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(|it| eyre!("load: failed to draw the plot: {it}"))?;
    for line in lines {
        let color = line.color;
        chart
            .draw_series(LineSeries::new(line.points, &color))
            .map_err(|it| eyre!("load: failed to draw the plot: {it}"))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    let mut legend = chart.configure_series_labels();
    legend.border_style(BLACK).background_style(WHITE);
    legend.draw().map_err(|it| eyre!("load: failed to draw the plot: {it}"))
}

fn load_lines(samples: &[Sample]) -> Vec<Line> {
    let line = |name, color, value: fn(&[u64]) -> f64| Line {
        name,
        color,
        points: samples.iter().map(|it| (it.elapsed_s, value(&it.work))).collect(),
    };
    let mean = |it: &[u64]| ratio(it.iter().sum::<u64>() as f64, it.len() as f64);
    let max = |it: &[u64]| it.iter().copied().max().unwrap_or(0) as f64;
    vec![line("most loaded engine", RED, max), line("mean", BLUE, mean)]
}

fn reuse_lines(samples: &[Sample]) -> Vec<Line> {
    /// The window for the ratio, in samples.
    const WINDOW: usize = 10;
    let point = |it: &[Sample]| {
        let (first, last) = (&it[0], &it[it.len() - 1]);
        let cached = last.cached_tokens.saturating_sub(first.cached_tokens) as f64;
        (
            last.elapsed_s,
            ratio(cached, last.prompt_tokens.saturating_sub(first.prompt_tokens) as f64),
        )
    };
    let points = samples.windows(WINDOW).map(point).collect();
    vec![Line { name: "reuse", color: GREEN, points }]
}
