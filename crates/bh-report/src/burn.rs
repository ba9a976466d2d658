//! Burn rate of the error budgets over several windows.

use crate::counters::Counters;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Windows of the report in minutes: five minutes, an hour, six hours, a day, three days, thirty days.
pub const WINDOWS_MINUTES: [u64; 6] = [5, 60, 360, 1_440, 4_320, 43_200];
/// Rate of a fast burn: two percent of a month's budget in an hour. Both windows must reach it.
const FAST_BURN_RATE: f64 = 14.4;
/// Long and short window of a fast burn, in minutes.
const FAST_WINDOWS_MINUTES: (u64, u64) = (60, 5);
/// Rate of a slow burn: a tenth of a month's budget in three days. Both windows must reach it.
const SLOW_BURN_RATE: f64 = 1.0;
/// Long and short window of a slow burn, in minutes.
const SLOW_WINDOWS_MINUTES: (u64, u64) = (4_320, 360);

/// Service-level objective of one request type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Share of the requests that must succeed in time, in parts per million.
    pub objective_ppm: u32,
    /// Longest response time of a good request, in milliseconds.
    pub objective_ms: u64,
}

/// Burn rate over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window in minutes.
    pub minutes: u64,
    /// Number of good requests.
    pub good: u64,
    /// Number of bad requests.
    pub bad: u64,
    /// Share of bad requests divided by the share that the objective allows: 1 uses up exactly the budget of the window.
    pub burn: f64,
}

/// Burn rates of one customer and request type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the request type.
    pub request_type: Arc<str>,
    /// Objective of the request type.
    pub objective: Objective,
    /// Burn over each of [`WINDOWS_MINUTES`].
    pub windows: Vec<WindowBurn>,
    /// Remaining part of the thirty-day budget: 1 when nothing is used, below 0 when it is overspent.
    pub budget_left: f64,
    /// Whether the budget burns fast, so that someone must be paged.
    pub fast_burn: bool,
    /// Whether the budget burns slowly but steadily, so that a ticket must be opened.
    pub slow_burn: bool,
}

/// Burn of the error budgets of all customers and request types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report, in milliseconds since 1970.
    pub at_wall_ms: u64,
    /// Entries whose counters the report includes.
    pub entries: Vec<Arc<str>>,
    /// Entries that did not answer; their requests are missing from the report.
    pub silent: Vec<Arc<str>>,
    /// One row for each customer and request type with counted requests.
    pub rows: Vec<BurnRow>,
}

/// Builds the report at `wall_ms`. Leaves out request types whose objective is no longer in the settings.
pub fn report(
    counters: &Counters,
    wall_ms: u64,
    objectives: &BTreeMap<(Arc<str>, Arc<str>), Objective>,
    entries: Vec<Arc<str>>,
    silent: Vec<Arc<str>>,
) -> BurnReport {
    let rows = counters
        .names()
        .filter_map(|(customer, request_type)| {
            let objective = objectives.get(&(customer.clone(), request_type.clone()))?;
            Some(row(counters, wall_ms, customer, request_type, *objective))
        })
        .collect();
    BurnReport {
        at_wall_ms: wall_ms,
        entries,
        silent,
        rows,
    }
}

fn row(
    counters: &Counters,
    wall_ms: u64,
    customer: &Arc<str>,
    request_type: &Arc<str>,
    objective: Objective,
) -> BurnRow {
    let allowed_share = f64::from(1_000_000 - objective.objective_ppm.min(999_999)) / 1e6;
    let windows: Vec<WindowBurn> = WINDOWS_MINUTES
        .iter()
        .map(|minutes| {
            let tally = counters.window(wall_ms, *minutes, customer, request_type);
            let total = tally.good + tally.bad;
            // Counts are far below 2^52, so that `f64` holds them exactly.
            let bad_share = if total == 0 {
                0.0
            } else {
                tally.bad as f64 / total as f64
            };
            WindowBurn {
                minutes: *minutes,
                good: tally.good,
                bad: tally.bad,
                burn: bad_share / allowed_share,
            }
        })
        .collect();
    let burn_in = |minutes: u64| {
        windows
            .iter()
            .find(|window| window.minutes == minutes)
            .map_or(0.0, |window| window.burn)
    };
    let both_reach =
        |(long, short): (u64, u64), rate: f64| burn_in(long) >= rate && burn_in(short) >= rate;
    BurnRow {
        customer: customer.clone(),
        request_type: request_type.clone(),
        objective,
        budget_left: 1.0 - burn_in(WINDOWS_MINUTES[WINDOWS_MINUTES.len() - 1]),
        fast_burn: both_reach(FAST_WINDOWS_MINUTES, FAST_BURN_RATE),
        slow_burn: both_reach(SLOW_WINDOWS_MINUTES, SLOW_BURN_RATE),
        windows,
    }
}
