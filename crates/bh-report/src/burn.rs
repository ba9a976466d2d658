//! Burn of the error budget over several windows.

use crate::counters::Counters;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Windows of the report, in minutes: five minutes, an hour, six hours, a day, three days, thirty days.
pub const WINDOWS_MINUTES: [u64; 6] = [5, 60, 360, 1_440, 4_320, 43_200];
/// Fast burn: at this rate two percent of a month's budget goes in an hour. Both windows must show it.
const FAST_BURN: f64 = 14.4;
const FAST_WINDOWS: (u64, u64) = (60, 5);
/// Slow burn: at this rate a tenth of a month's budget goes in three days. Both windows must show it.
const SLOW_BURN: f64 = 1.0;
const SLOW_WINDOWS: (u64, u64) = (4_320, 360);

/// Objective of one request type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Share that must succeed in time, in parts per million.
    pub objective_ppm: u32,
    /// Answer time within which a request counts as good, in milliseconds.
    pub objective_ms: u64,
}

/// Burn over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length in minutes.
    pub minutes: u64,
    /// Good requests.
    pub good: u64,
    /// Bad requests.
    pub bad: u64,
    /// Share of bad requests over the share the objective allows: 1 uses up exactly the budget of the window.
    pub burn: f64,
}

/// Burn of one customer and request type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Customer.
    pub customer: Arc<str>,
    /// Request type.
    pub request_type: Arc<str>,
    /// Its objective.
    pub objective: Objective,
    /// One value for each of [`WINDOWS_MINUTES`].
    pub windows: Vec<WindowBurn>,
    /// Part of the thirty days' budget that is left, from 1 down; below 0 it is overdrawn.
    pub budget_left: f64,
    /// Whether the budget burns fast: wake someone.
    pub fast_burn: bool,
    /// Whether it burns slowly but steadily: write a ticket.
    pub slow_burn: bool,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// When it was made, in milliseconds since 1970.
    pub at_wall_ms: u64,
    /// Entries whose counters are in it.
    pub entries: Vec<Arc<str>>,
    /// Entries that did not answer: their requests are missing.
    pub silent: Vec<Arc<str>>,
    /// One row for each customer and request type that has counted.
    pub rows: Vec<BurnRow>,
}

/// The report at `wall_ms`. Rows whose objective is no longer in the settings are left out.
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
    let allowed = f64::from(1_000_000 - objective.objective_ppm.min(999_999)) / 1e6;
    let windows: Vec<WindowBurn> = WINDOWS_MINUTES
        .iter()
        .map(|minutes| {
            let tally = counters.window(wall_ms, *minutes, customer, request_type);
            let total = tally.good + tally.bad;
            // Counts are far below 2^52.
            let share = if total == 0 {
                0.0
            } else {
                tally.bad as f64 / total as f64
            };
            WindowBurn {
                minutes: *minutes,
                good: tally.good,
                bad: tally.bad,
                burn: share / allowed,
            }
        })
        .collect();
    let burn_over = |minutes: u64| {
        windows
            .iter()
            .find(|window| window.minutes == minutes)
            .map_or(0.0, |window| window.burn)
    };
    let both =
        |(long, short): (u64, u64), rate: f64| burn_over(long) >= rate && burn_over(short) >= rate;
    BurnRow {
        customer: customer.clone(),
        request_type: request_type.clone(),
        objective,
        budget_left: 1.0 - burn_over(WINDOWS_MINUTES[WINDOWS_MINUTES.len() - 1]),
        fast_burn: both(FAST_WINDOWS, FAST_BURN),
        slow_burn: both(SLOW_WINDOWS, SLOW_BURN),
        windows,
    }
}
