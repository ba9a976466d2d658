//! Chart of the earned share of each policy over the load.

use super::Row;
use super::policy::POLICIES;
use plotters::prelude::*;

const SIZE: (u32, u32) = (640, 400);
const COLOURS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Writes the chart to `path`, as SVG.
pub fn write(path: &str, title: &str, rows: &[Row]) {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).unwrap();
    let max_load = rows.iter().map(|row| row.load).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{title}: share of the possible earnings"),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..max_load, 0.0..1.0)
        .unwrap();
    chart
        .configure_mesh()
        .x_desc("load, times the usual")
        .draw()
        .unwrap();
    for (policy, colour) in POLICIES.into_iter().zip(COLOURS) {
        let own = rows.iter().filter(|row| row.policy == policy);
        let points = own.map(|row| (row.load, row.earned_share));
        chart
            .draw_series(LineSeries::new(points, &colour))
            .unwrap()
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .unwrap();
    area.present().unwrap();
}
