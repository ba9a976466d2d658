//! Prints results as text for people or as JSON for programs.

use bh_protocol::Failure;
use clap::ArgMatches;
use miette::Report;
use serde::Serialize;
use std::process::ExitCode;

/// Prints results in the format that the user chose.
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output in the format of `--output`.
    pub fn new(matches: &ArgMatches) -> Self {
        Self {
            json: matches
                .get_one::<String>("output")
                .is_some_and(|format| format == "json"),
        }
    }

    /// Whether results are printed as JSON.
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Prints `value` as JSON, or as the text that `text` returns.
    pub fn show<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) {
        if self.json {
            println!(
                "{}",
                serde_json::to_string_pretty(value).unwrap_or_default()
            );
        } else {
            println!("{}", text(value).trim_end());
        }
    }

    /// Prints a failure and returns its exit status.
    pub fn fail(&self, failure: Failure) -> ExitCode {
        let status = failure.code.exit_status();
        if self.json {
            eprintln!(
                "{}",
                serde_json::to_string_pretty(&failure.to_answer()).unwrap_or_default()
            );
        } else {
            eprintln!("{:?}", Report::new(failure));
        }
        ExitCode::from(status)
    }
}

/// Formats a table with columns as wide as their widest cell.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<String>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(head.iter().map(|cell| (*cell).to_owned()).collect())];
    lines.extend(rows.iter().map(|row| line(row.clone())));
    lines.join("\n")
}
