//! The leader's loop: takes over what is recorded, gives orders, plans.

use super::core_node::CoreNode;
use super::inherited::Inherited;
use super::leadership::Leadership;
use super::orders::give_orders;
use super::planning::plan;
use super::records::Origin;
use super::records::RECORD_MS;
use super::records::record;
use super::runnable_watch::RunnableWatch;
use super::starts_record::StartsRecord;
use super::surveys;
use super::upkeep;
use bh_net::runtime::within_ms;
use bh_workload::dispatch::Dispatcher;
use bh_workload::plan::OverdueReason;
use bh_workload::plan::Planner;
use bh_workload::state::Command;
use bh_workload::state::Workload;
use bh_workload::upkeep::Keeper;
use local_sync::mpsc::unbounded;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Longest time between two turns of the loop while leading, in milliseconds: what is due by time alone is late by no more.
const TURN_MS: u64 = 50;
/// The same while not leading.
const IDLE_TURN_MS: u64 = 250;
/// Time between checks for overdue runs, in milliseconds.
const CHECK_MS: u64 = 400;
/// Time since a majority was heard after which a leader gives no more orders, in milliseconds. Another may have been elected without its
/// knowing, for instance while this VM was suspended.
const CONFIRMED_MS: u64 = 1_500;
/// Time between looks for runs that were taken over and have been heard of, in milliseconds.
const SETTLE_MS: u64 = 100;
/// Time between looks for ended jobs that nobody asks for any more and for connections that nobody uses, in milliseconds.
const FORGET_EVERY_MS: u64 = 10_000;

/// Time without a leader, in milliseconds, after which workers must be heard before they get work. A worker's room may change at any time,
/// and what it said of itself is good for some three heartbeats: one since the last, and this time. Most losses of all cores are over
/// sooner.
const SHORT_GAP_MS: u64 = 2_500;

/// Runs until the process ends.
pub async fn run(core: Rc<CoreNode>, mut wakes: unbounded::Rx<()>) {
    let mut forgot_ms = core.clock.now_ms();
    loop {
        let leads = core.leadership.borrow().is_some();
        let wait_ms = if leads { TURN_MS } else { IDLE_TURN_MS };
        if let Some(None) = within_ms(wait_ms, wakes.recv()).await {
            return;
        }
        core.woken.set(false);
        turn(&core).await;
        if core.clock.now_ms() >= forgot_ms + FORGET_EVERY_MS {
            forgot_ms = core.clock.now_ms();
            forget_old(&core);
            core.workers.age_out();
        }
    }
}

async fn turn(core: &Rc<CoreNode>) {
    let status = core.group.status();
    let led_term = core.leadership.borrow().as_ref().map(|held| held.term);
    if !status.is_leader {
        core.led_ms.set(status.heard_ms);
        if led_term.is_some() {
            step_down(core, "another leads, or no majority answers");
        }
        core.group.machine.with_local(Workload::take_news);
        return;
    }
    if led_term != Some(status.term) {
        if led_term.is_some() {
            step_down(core, "a new term began");
        }
        take_office(core, status.term).await;
    }
    let now_ms = core.clock.now_ms();
    let confirmed = status
        .quorum_heard_ms
        .is_some_and(|heard_ms| now_ms < heard_ms + CONFIRMED_MS);
    if !confirmed {
        surveys::survey(core, confirmed);
        return;
    }
    core.led_ms.set(Some(now_ms));
    settle_inherited(core, now_ms);
    check_overdue(core, now_ms);
    upkeep::keep(core, now_ms);
    give_orders(core, now_ms);
    plan(core);
    surveys::survey(core, confirmed);
}

fn step_down(core: &Rc<CoreNode>, why: &str) {
    let led = core.leadership.borrow_mut().take();
    let standing_still = led.map_or(0, |led| led.runnable.standing_still());
    if !core.shares_workers() {
        core.workers.close();
    }
    log::info!(core = &*core.config.name, standing_still; "stops leading: {why}");
    core.inbound.tell_all(&core.status());
}

/// Waits until everything that earlier leaders recorded is applied, then takes it over.
async fn take_office(core: &Rc<CoreNode>, term: u64) {
    if core.group.read(RECORD_MS).await.is_err() || core.group.status().term != term {
        return;
    }
    let now_ms = core.clock.now_ms();
    core.group.machine.with_local(Workload::take_news);
    let workload = core.group.machine.read();
    let gap_ms = gap_ms(core, now_ms, &workload);
    let mut dispatcher = Dispatcher::new(core.config.timing(), term, now_ms, &workload);
    if gap_ms > SHORT_GAP_MS {
        dispatcher = dispatcher.with_old_record();
    }
    core.unheard.borrow_mut().tell(&mut dispatcher, &workload);
    let inherited = Inherited::new(&workload);
    let runs = inherited.count();
    let jobs = workload.active_jobs().count();
    let broken = workload.active_jobs().map(|(id, job)| job.broken_gangs(id));
    let gangs_broken: usize = broken.sum();
    drop(workload);
    let keeper = Keeper::new(
        core.config.name.clone(),
        term,
        now_ms,
        &core.config.timing(),
    );
    *core.leadership.borrow_mut() = Some(Leadership {
        term,
        keeper,
        dispatcher,
        planner: Planner::new(),
        starts_record: StartsRecord::new(),
        plan_due: true,
        planned_ms: 0,
        plan_from_ms: 0,
        inherited,
        settled_ms: 0,
        runnable: RunnableWatch::new(),
        survey_from_ms: 0,
        swept_ms: 0,
        checked_ms: 0,
        sequences: BTreeMap::new(),
    });
    core.metrics.count("leads", 1);
    log::info!(core = &*core.config.name, term, jobs, gangs_broken, runs, gap_ms; "leads");
    core.inbound.tell_all(&core.status());
}

/// How long nobody has led, in milliseconds. A core that was restarted with all others knows it by the last time in the record.
fn gap_ms(core: &CoreNode, now_ms: u64, workload: &Workload) -> u64 {
    match core.led_ms.get() {
        Some(led_ms) => now_ms.saturating_sub(led_ms),
        None => core.wall_ms().saturating_sub(workload.latest_ms),
    }
}

/// Tells when the last of the runs that were taken over is known to be at work or over.
fn settle_inherited(core: &Rc<CoreNode>, now_ms: u64) {
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    let due = now_ms >= leadership.settled_ms + SETTLE_MS;
    if !due || leadership.inherited.count() == 0 {
        return;
    }
    leadership.settled_ms = now_ms;
    let workload = core.group.machine.read();
    let settled = leadership
        .inherited
        .settle(&workload, &leadership.dispatcher);
    if let Some((worker, run)) = settled {
        let led_ms = now_ms.saturating_sub(leadership.dispatcher.elected_ms());
        core.metrics.time_ms("take_over", led_ms);
        log::info!(core = &*core.config.name, term = leadership.term, led_ms, run = run.to_string(), worker = worker.to_string(); "all runs taken over are heard of");
    }
}

fn check_overdue(core: &Rc<CoreNode>, now_ms: u64) {
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    if now_ms < leadership.checked_ms + CHECK_MS {
        return;
    }
    leadership.checked_ms = now_ms;
    let workload = core.group.machine.read();
    let overdue = leadership
        .planner
        .overdue(now_ms, &workload, &leadership.dispatcher);
    for late in overdue {
        core.metrics.count("runs_overdue", 1);
        log::info!(run = late.run.to_string(), worker = late.worker.to_string(), why:? = late.why; "run begun anew elsewhere");
        leadership.dispatcher.give_up(&late.worker, late.run);
        // A worker on which a run stands still does the same to the next one.
        if late.why == OverdueReason::Still && !late.gang {
            leadership.dispatcher.set_aside(now_ms, &late.worker);
        }
    }
}

fn forget_old(core: &Rc<CoreNode>) {
    let term = core.leadership.borrow().as_ref().map(|held| held.term);
    let Some(term) = term else {
        return;
    };
    /// Kept longer than promised by this much, in milliseconds: wall clocks of cores differ and may jump.
    const MARGIN_MS: u64 = 60_000;
    let before_ms = core
        .wall_ms()
        .saturating_sub(core.config.timing().retention_ms + MARGIN_MS);
    let oldest = core.group.machine.read().oldest_end_ms();
    if oldest.is_some_and(|end_ms| end_ms < before_ms) {
        let origin = Origin {
            term,
            listed_to: None,
        };
        record(core, Command::Forget { before_ms }, origin);
    }
}
