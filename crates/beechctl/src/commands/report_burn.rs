//! `beechctl report burn`: burn rates of the error budgets.

use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_report::BurnReport;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

pub fn command() -> Command {
    Command::new("burn")
        .about("Shows the burn rates of the error budgets over several windows")
        .arg(html_option())
        .after_help("Example:\n  beechctl report burn --html burn.html")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let report: BurnReport = client.get("/v1/reports/burn").await?;
    write_page(matches, || bh_report::to_html(&report))?;
    output.show(&report, text);
    Ok(0)
}

/// The option that names the file for the HTML page.
pub(super) fn html_option() -> Arg {
    Arg::new("html")
        .long("html")
        .value_name("FILE")
        .help("Also write the report to an HTML page with charts")
}

/// Writes the HTML page if the option is given.
pub(super) fn write_page(
    matches: &ArgMatches,
    page: impl FnOnce() -> String,
) -> Result<(), Failure> {
    let Some(path) = matches.get_one::<String>("html") else {
        return Ok(());
    };
    std::fs::write(path, page())
        .map_err(|error| Failure::new(Code::UnreadableFile, format!("{path}: {error}")))
}

fn text(report: &BurnReport) -> String {
    let rows: Vec<Vec<String>> = report
        .rows
        .iter()
        .map(|row| {
            let mut cells = vec![row.customer.to_string(), row.request_type.to_string()];
            cells.extend(
                row.windows
                    .iter()
                    .map(|window| format!("{:.2}", window.burn)),
            );
            cells.push(format!("{:.1}%", row.budget_left * 100.0));
            cells.push(match (row.fast_burn, row.slow_burn) {
                (true, _) => "FAST".to_owned(),
                (false, true) => "slow".to_owned(),
                (false, false) => "-".to_owned(),
            });
            cells
        })
        .collect();
    let head = [
        "customer",
        "type",
        "5 min",
        "1 h",
        "6 h",
        "1 d",
        "3 d",
        "30 d",
        "budget left",
        "flag",
    ];
    let mut text = table(&head, &rows);
    if !report.silent.is_empty() {
        text.push_str(&format!(
            "\nno answer from {}: their requests are missing",
            report.silent.join(", ")
        ));
    }
    text
}
