//! Simulated days: compares the planner with simple policies under several loads, with the workloads of the two users' deployments.
//!
//! `cargo bench -p bh-workload --bench days [-- SEEDS]` prints a table; `PLOTS=FOLDER` also writes a chart for each deployment.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    clippy::unwrap_used,
    reason = "a benchmark with small numbers that ends when something is wrong"
)]

mod chart;
mod day;
mod load;
mod policy;

use day::Outcome;
use load::Deployment;
use load::KAUPLUSE;
use load::MANIZALES;
use policy::POLICIES;
use policy::Policy;

/// Loads, as multiples of the usual arrival rate.
const LOADS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 3.0];
/// Default number of seeds.
const SEEDS: u64 = 5;
/// Simulated time during which jobs arrive, in milliseconds.
const DAY_MS: u64 = 60_000;

/// Means over the seeds of one load and policy.
struct Row {
    load: f64,
    policy: Policy,
    /// Share of the possible earnings that was earned, over all kinds.
    earned_share: f64,
    /// Share of the possible earnings that was earned, by kind.
    earned_share_by_kind: [f64; 3],
    wasted_core_s: f64,
}

fn main() {
    let seeds = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .next()
        .unwrap_or(SEEDS);
    println!(
        "| deployment | load | policy | earned | long gangs | first gangs | small tasks | thrown away, core-seconds |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for deployment in [KAUPLUSE, MANIZALES] {
        let rows = rows(&deployment, seeds);
        for row in &rows {
            println!(
                "| {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} |",
                deployment.name,
                row.load,
                row.policy.name(),
                row.earned_share,
                row.earned_share_by_kind[0],
                row.earned_share_by_kind[1],
                row.earned_share_by_kind[2],
                row.wasted_core_s
            );
        }
        if let Ok(folder) = std::env::var("PLOTS") {
            chart::write(
                &format!("{folder}/days-{}.svg", deployment.name),
                deployment.name,
                &rows,
            );
        }
    }
}

fn rows(deployment: &Deployment, seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for load in LOADS {
        for policy in POLICIES {
            let outcomes: Vec<Outcome> = (1..=seeds)
                .map(|seed| {
                    let arrivals = load::arrivals(deployment, load, seed, DAY_MS);
                    day::simulate(deployment, &arrivals, policy)
                })
                .collect();
            rows.push(mean(load, policy, &outcomes));
        }
    }
    rows
}

fn mean(load: f64, policy: Policy, outcomes: &[Outcome]) -> Row {
    let count = outcomes.len() as f64;
    let mean_of = |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / count;
    let share_of_kind = |index: usize| {
        mean_of(&|outcome: &Outcome| {
            let (earned, possible) = outcome.earnings[index];
            earned / possible.max(f64::MIN_POSITIVE)
        })
    };
    Row {
        load,
        policy,
        earned_share: mean_of(&Outcome::earned_share),
        earned_share_by_kind: [share_of_kind(0), share_of_kind(1), share_of_kind(2)],
        wasted_core_s: mean_of(&|outcome: &Outcome| outcome.wasted_core_s),
    }
}
