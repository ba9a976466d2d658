//! Fragmentation of the accelerators: the report and its HTML page.

use crate::html::page;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use serde::Deserialize;
use serde::Serialize;
use std::fmt::Write;
use std::sync::Arc;

/// Fragmentation of one data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FragmentationReport {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Number of accelerators of all live workers.
    pub accelerators: u32,
    /// Number of free accelerators.
    pub free: u32,
    /// Number of guaranteed shapes.
    pub guaranteed: usize,
    /// Number of guaranteed shapes for which the data centre has no hardware.
    pub uncovered: usize,
    /// One row for each shape that a waiting job needs or a guarantee names.
    pub shapes: Vec<ShapeFragmentation>,
}

/// Fragmentation for one shape.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShapeFragmentation {
    /// Shape of the gang.
    pub shape: Shape,
    /// Number of free accelerators that whole gangs of this shape could use.
    pub usable: u32,
    /// Share of the free accelerators that cannot serve this shape, from 0 to 1.
    pub fragmentation: f64,
}

const BAR_WIDTH: f64 = 260.0;
const BAR_HEIGHT: f64 = 16.0;

/// Renders the reports as an HTML page that shows, for each shape, the free accelerators that it can and cannot use.
pub fn fragmentation_to_html(reports: &[FragmentationReport]) -> String {
    let mut body = String::new();
    if reports.is_empty() {
        body.push_str("<p>No data centre's leader has answered.</p>");
    }
    for report in reports {
        write_report(&mut body, report);
    }
    let note = "Of the free accelerators, green can serve whole copies of the shape, grey cannot. Fragmentation is the grey share.";
    page("Accelerator fragmentation", note, &body)
}

fn write_report(body: &mut String, report: &FragmentationReport) {
    let (class, label) = if report.uncovered > 0 {
        ("fast", "guarantees without hardware")
    } else {
        ("calm", "all guarantees covered")
    };
    let _ = write!(
        body,
        "<section><h2>{} <span class=\"flag {class}\">{label}</span><span class=\"goal\">{} of {} accelerators free; {} guaranteed shapes, {} without hardware</span></h2>",
        report.data_centre, report.free, report.accelerators, report.guaranteed, report.uncovered
    );
    body.push_str("<table><tr><th>shape</th><th></th><th class=\"n\">usable</th><th class=\"n\">fragmentation</th></tr>");
    for row in &report.shapes {
        let width = BAR_WIDTH * (1.0 - row.fragmentation.clamp(0.0, 1.0));
        let _ = write!(
            body,
            "<tr><td>{}</td><td><svg width=\"{BAR_WIDTH}\" height=\"{BAR_HEIGHT}\" role=\"img\" aria-label=\"fragmentation {:.2}\"><rect width=\"{BAR_WIDTH}\" height=\"{BAR_HEIGHT}\" rx=\"3\" fill=\"#c3cad3\"/><rect width=\"{width:.1}\" height=\"{BAR_HEIGHT}\" rx=\"3\" fill=\"#2f8f5f\"/></svg></td><td class=\"n\">{}</td><td class=\"n\">{:.2}</td></tr>",
            describe_shape(&row.shape),
            row.fragmentation,
            row.usable,
            row.fragmentation
        );
    }
    body.push_str("</table></section>");
}

/// Describes a shape, such as `4 x 2 in one rack`.
pub fn describe_shape(shape: &Shape) -> String {
    let adjacency = match shape.adjacent {
        Adjacency::Worker => "on one worker",
        Adjacency::Rack => "in one rack",
        Adjacency::DataCentre => "anywhere",
    };
    format!(
        "{} x {} {adjacency}",
        shape.tasks, shape.accelerators_per_task
    )
}
