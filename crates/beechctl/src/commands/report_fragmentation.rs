//! `beechctl report fragmentation`: which free accelerators cannot serve which shape.

use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_node::leader::FragmentationReport;
use bh_protocol::Failure;
use clap::Command;

pub fn command() -> Command {
    Command::new("fragmentation")
        .about("Shows the fragmentation of the accelerators of every data centre")
        .after_help("Example:\n  beechctl report fragmentation --output json")
}

pub async fn run(client: &Client, output: &Output) -> Result<u8, Failure> {
    let reports: Vec<FragmentationReport> = client.get("/v1/reports/fragmentation").await?;
    output.show(&reports, |reports| text(reports));
    Ok(0)
}

fn text(reports: &[FragmentationReport]) -> String {
    let mut parts = Vec::new();
    for report in reports {
        let rows: Vec<Vec<String>> = report
            .shapes
            .iter()
            .map(|row| {
                let shape = format!(
                    "{} x {} in one {:?}",
                    row.shape.tasks, row.shape.accelerators_per_task, row.shape.adjacent
                );
                vec![
                    shape,
                    row.usable.to_string(),
                    format!("{:.2}", row.fragmentation),
                ]
            })
            .collect();
        parts.push(format!(
            "{}: {} of {} accelerators free, {} guaranteed shapes, {} without hardware\n{}",
            report.data_centre,
            report.free,
            report.accelerators,
            report.guaranteed,
            report.uncovered,
            table(&["shape", "usable", "fragmentation"], &rows)
        ));
    }
    parts.join("\n\n")
}
