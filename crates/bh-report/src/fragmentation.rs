//! Fragmentation of the accelerators, as reported and as a picture.

use crate::picture::page;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use serde::Deserialize;
use serde::Serialize;
use std::fmt::Write;
use std::sync::Arc;

/// Fragmentation of one data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FragmentationReport {
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Accelerators of all live workers.
    pub accelerators: u32,
    /// Free ones among them.
    pub free: u32,
    /// Guaranteed shapes.
    pub guaranteed: usize,
    /// Guaranteed shapes without hardware behind them.
    pub uncovered: usize,
    /// One row for each shape that waits or is guaranteed.
    pub shapes: Vec<ShapeFragmentation>,
}

/// Fragmentation for one shape.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShapeFragmentation {
    /// The shape.
    pub shape: Shape,
    /// Free accelerators that whole copies of it could take.
    pub usable: u32,
    /// The share of free accelerators that cannot serve it, from 0 to 1.
    pub fragmentation: f64,
}

const BAR_WIDTH: f64 = 260.0;
const BAR_HEIGHT: f64 = 16.0;

/// The reports as a page: for each shape, the free accelerators that it can use and those that it cannot.
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
    let (class, word) = if report.uncovered > 0 {
        ("fast", "guarantees without hardware")
    } else {
        ("calm", "all guarantees covered")
    };
    let _ = write!(
        body,
        "<section><h2>{} <span class=\"flag {class}\">{word}</span><span class=\"goal\">{} of {} accelerators free; {} guaranteed shapes, {} without hardware</span></h2>",
        report.data_centre, report.free, report.accelerators, report.guaranteed, report.uncovered
    );
    body.push_str("<table><tr><th>shape</th><th></th><th class=\"n\">usable</th><th class=\"n\">fragmentation</th></tr>");
    for row in &report.shapes {
        let width = BAR_WIDTH * (1.0 - row.fragmentation.clamp(0.0, 1.0));
        let _ = write!(
            body,
            "<tr><td>{}</td><td><svg width=\"{BAR_WIDTH}\" height=\"{BAR_HEIGHT}\" role=\"img\" aria-label=\"fragmentation {:.2}\"><rect width=\"{BAR_WIDTH}\" height=\"{BAR_HEIGHT}\" rx=\"3\" fill=\"#c3cad3\"/><rect width=\"{width:.1}\" height=\"{BAR_HEIGHT}\" rx=\"3\" fill=\"#2f8f5f\"/></svg></td><td class=\"n\">{}</td><td class=\"n\">{:.2}</td></tr>",
            shape_words(&row.shape),
            row.fragmentation,
            row.usable,
            row.fragmentation
        );
    }
    body.push_str("</table></section>");
}

/// A shape in words, such as `4 x 2 in one rack`.
pub fn shape_words(shape: &Shape) -> String {
    let place = match shape.adjacent {
        Adjacency::Worker => "on one worker",
        Adjacency::Rack => "in one rack",
        Adjacency::DataCentre => "anywhere",
    };
    format!("{} x {} {place}", shape.tasks, shape.accelerators_per_task)
}
