//! `beechctl report fragmentation`: how many free accelerators each shape cannot use.

use super::report_burn::html_option;
use super::report_burn::write_page;
use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_protocol::Failure;
use bh_report::FragmentationReport;
use bh_report::describe_shape;
use clap::ArgMatches;
use clap::Command;

pub fn command() -> Command {
    Command::new("fragmentation")
        .about("Shows the fragmentation of the accelerators of every data centre")
        .arg(html_option())
        .after_help("Example:\n  beechctl report fragmentation --html fragmentation.html")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let reports: Vec<FragmentationReport> = client.get("/v1/reports/fragmentation").await?;
    write_page(matches, || bh_report::fragmentation_to_html(&reports))?;
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
                vec![
                    describe_shape(&row.shape),
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
