//! Renders reports as self-contained HTML pages with inline SVG charts.

use crate::burn::BurnReport;
use crate::burn::BurnRow;
use crate::burn::WindowBurn;
use std::fmt::Write;

const BAR_WIDTH: f64 = 220.0;
const BAR_HEIGHT: f64 = 16.0;
/// Burn rate at which a bar is full. The scale is logarithmic.
const MAX_BAR_BURN: f64 = 100.0;
/// Burn rate at which a bar is empty.
const MIN_BAR_BURN: f64 = 0.01;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:72rem;padding:0 1rem;color:#1c2430;background:#fff}
h1{font-size:1.5rem;margin:0 0 .25rem}p.note{color:#5b6675;margin:.25rem 0 1.5rem}
section{border:1px solid #dde3ea;border-radius:8px;padding:1rem 1.25rem;margin:0 0 1rem}
h2{font-size:1.05rem;margin:0 0 .5rem;display:flex;gap:.6rem;align-items:baseline;flex-wrap:wrap}
h2 span.goal{font-weight:400;color:#5b6675;font-size:.9rem}
.flag{font-size:.78rem;font-weight:600;border-radius:4px;padding:.1rem .45rem;color:#fff}
.fast{background:#b3261e}.slow{background:#a15c00}.calm{background:#23704a}
table{border-collapse:collapse}td,th{text-align:left;padding:.2rem 1.1rem .2rem 0;font-weight:400}td svg{display:block}
th{color:#5b6675;font-size:.85rem}th.n,td.n{text-align:right;font-variant-numeric:tabular-nums}";

/// Renders the burn report as an HTML page.
pub fn to_html(report: &BurnReport) -> String {
    let mut body = String::new();
    if report.rows.is_empty() {
        body.push_str("<p>No request has been counted yet.</p>");
    }
    for row in &report.rows {
        write_row(&mut body, row);
    }
    page("Error-budget burn", &coverage(report), &body)
}

/// Wraps `body` into a whole page without references to other files. Escapes `note`, but not `title` and `body`.
pub(crate) fn page(title: &str, note: &str, body: &str) -> String {
    let note = escape(note);
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style></head><body><h1>{title}</h1><p class=\"note\">{note}</p>{body}</body></html>\n"
    )
}

/// Says which entries the report covers, and how to read the bars.
fn coverage(report: &BurnReport) -> String {
    let mut text = match report.entries.len() {
        1 => "Counters of one entry.".to_owned(),
        count => format!("Counters of {count} entries."),
    };
    if !report.silent.is_empty() {
        let _ = write!(
            text,
            " No answer from {}: their requests are missing.",
            report.silent.join(", ")
        );
    }
    text.push_str(" A burn of 1 uses up exactly the budget of the window; bars are logarithmic, the mark is at 1.");
    text
}

fn write_row(page: &mut String, row: &BurnRow) {
    let (class, label) = match (row.fast_burn, row.slow_burn) {
        (true, _) => ("fast", "fast burn"),
        (false, true) => ("slow", "slow burn"),
        (false, false) => ("calm", "within budget"),
    };
    let goal = f64::from(row.objective.objective_ppm) / 10_000.0;
    let _ = write!(
        page,
        "<section><h2>{} / {} <span class=\"flag {class}\">{label}</span><span class=\"goal\">{goal}% within {} ms; {}</span></h2>",
        escape(&row.customer),
        escape(&row.request_type),
        row.objective.objective_ms,
        budget_text(row.budget_left)
    );
    page.push_str("<table><tr><th>window</th><th></th><th class=\"n\">burn</th><th class=\"n\">good</th><th class=\"n\">bad</th></tr>");
    for window in &row.windows {
        write_window(page, window);
    }
    page.push_str("</table></section>");
}

fn write_window(page: &mut String, window: &WindowBurn) {
    let scale = (MAX_BAR_BURN / MIN_BAR_BURN).ln();
    let bar_length = |burn: f64| {
        ((burn.clamp(MIN_BAR_BURN, MAX_BAR_BURN) / MIN_BAR_BURN).ln() / scale) * BAR_WIDTH
    };
    let color = if window.burn >= 14.4 {
        "#b3261e"
    } else if window.burn >= 1.0 {
        "#c77700"
    } else {
        "#2f8f5f"
    };
    let _ = write!(
        page,
        "<tr><td>{}</td><td><svg width=\"{BAR_WIDTH}\" height=\"{BAR_HEIGHT}\" role=\"img\" aria-label=\"burn {:.2}\"><rect width=\"{BAR_WIDTH}\" height=\"{BAR_HEIGHT}\" rx=\"3\" fill=\"#edf0f4\"/><rect width=\"{:.1}\" height=\"{BAR_HEIGHT}\" rx=\"3\" fill=\"{color}\"/><line x1=\"{:.1}\" x2=\"{:.1}\" y1=\"0\" y2=\"{BAR_HEIGHT}\" stroke=\"#1c2430\"/></svg></td><td class=\"n\">{:.2}</td><td class=\"n\">{}</td><td class=\"n\">{}</td></tr>",
        window_text(window.minutes),
        window.burn,
        bar_length(window.burn),
        bar_length(1.0),
        bar_length(1.0),
        window.burn,
        window.good,
        window.bad
    );
}

/// Describes the remaining part of the thirty-day budget.
fn budget_text(left: f64) -> String {
    if left >= 0.0 {
        format!("{:.1}% of the thirty-day budget left", left * 100.0)
    } else {
        format!("thirty-day budget used {:.1} times over", 1.0 - left)
    }
}

/// Formats the length of a window.
fn window_text(minutes: u64) -> String {
    match minutes {
        m if m < 60 => format!("{m} min"),
        m if m < 1_440 => format!("{} h", m / 60),
        m => format!("{} d", m / 1_440),
    }
}

/// Escapes the characters that have a meaning in HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
