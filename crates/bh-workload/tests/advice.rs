//! Tests of queues whose steps may run only on the workers that an external adviser allows.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Denial;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Permission;
use bh_workload::dispatch::Question;
use bh_workload::rules::AdviserTiming;
use bh_workload::rules::Queue;
use bh_workload::state::Command;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::Site;
use support::rules;
use support::step;
use support::worker_id;

const VALIDITY_MS: u64 = 5_000;

/// Creates a site whose queues all need the adviser's permission.
fn advised_site(workers: usize) -> Site {
    let mut site = Site::new(workers, 4);
    let mut rules = rules(2);
    for queue in &mut rules.queues {
        *queue = Arc::new(Queue {
            advised: Some(AdviserTiming {
                decision_ms: 200,
                per_worker_ms: 10,
                validity_ms: VALIDITY_MS,
            }),
            ..(**queue).clone()
        });
    }
    site.workload.apply(Command::SetRules(Box::new(rules)));
    site
}

/// Answers a question: of the workers asked about, only those in `allowed` may run the step.
fn advise(site: &mut Site, question: &Question, allowed: &[&str]) {
    let permissions: Vec<Permission> = question
        .workers
        .iter()
        .filter(|worker| allowed.contains(&&*worker.id))
        .map(|worker| Permission {
            worker: worker.id.clone(),
            proof: Arc::from(format!("proof of {worker}")),
        })
        .collect();
    let permission_table = &mut site.dispatcher.permissions;
    permission_table.note_asked();
    permission_table.note_answer(site.now_ms, question, Some(&permissions));
}

fn starts(site: &mut Site) -> Vec<Order> {
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    orders
        .into_iter()
        .filter(|order| matches!(order.body, OrderBody::Start { .. }))
        .collect()
}

/// Only one worker may run the step. Its tasks must go to no other worker, which would refuse them again and again, and carry the proof,
/// without which the allowed worker would refuse them too.
#[test]
fn tasks_start_only_where_the_adviser_allows_with_its_proof() {
    let mut site = advised_site(4);
    site.submit(1, "other", vec![step(2, 4)]);
    let plan = site.plan_and_start();
    assert!(plan.starts.is_empty());
    advise(&mut site, &plan.questions[0], &["w02"]);
    let plan = site.plan_and_start();
    let workers: BTreeSet<&str> = plan.starts.iter().map(|start| &*start.worker.id).collect();
    assert_eq!(workers, BTreeSet::from(["w02"]));
    for order in starts(&mut site) {
        let OrderBody::Start { permission, .. } = order.body else {
            continue;
        };
        assert_eq!(permission.as_deref(), Some("proof of w02"));
    }
}

/// The permission runs out before capacity becomes free. The adviser is asked again about the allowed worker, and never again about the
/// others, since which workers are allowed does not change.
#[test]
fn an_expired_permission_is_requested_again() {
    let mut site = advised_site(4);
    site.submit(1, "other", vec![step(3, 8)]);
    let plan = site.plan();
    advise(&mut site, &plan.questions[0], &["w01"]);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 1);
    assert!(plan.questions.is_empty(), "all workers were asked about");
    site.end(plan.starts[0].run, bh_workload::state::EndKind::Done);
    site.advance(VALIDITY_MS);
    let plan = site.plan_and_start();
    assert!(plan.starts.is_empty());
    let asked: Vec<&str> = plan.questions[0].workers.iter().map(|w| &*w.id).collect();
    assert_eq!(asked, vec!["w01"]);
}

/// A worker refuses the proof, for example because it expired in transit. The run counts as never started, and the next attempt gets a new
/// proof.
#[test]
fn a_refused_proof_is_replaced() {
    let mut site = advised_site(1);
    site.submit(1, "other", vec![step(1, 8)]);
    let plan = site.plan();
    advise(&mut site, &plan.questions[0], &["w00"]);
    site.plan_and_start();
    let order = starts(&mut site).remove(0);
    let answer = Answer::Denied {
        clock_ms: Some(site.now_ms),
        denial: Denial::NoPermission,
    };
    let ends = site
        .dispatcher
        .note_answer(site.now_ms, &order, &answer, &site.workload);
    site.workload.apply(ends.unwrap());
    site.take_events();
    let plan = site.plan();
    assert!(plan.starts.is_empty());
    assert_eq!(plan.questions[0].workers, vec![worker_id("w00")]);
}

/// The adviser takes time for each worker. A question about all workers of a large pool would hold up every other step for seconds, so the
/// pool is asked about in parts, and only as far as needed.
#[test]
fn a_large_pool_is_asked_about_in_parts() {
    let mut site = advised_site(64);
    site.submit(1, "other", vec![step(2, 8)]);
    let plan = site.plan();
    let first = plan.questions[0].clone();
    assert_eq!(first.workers.len(), 30);
    advise(&mut site, &first, &[]);
    let second = site.plan().questions[0].clone();
    assert!(second.workers.iter().all(|w| !first.workers.contains(w)));
    let allowed: Vec<String> = second
        .workers
        .iter()
        .take(2)
        .map(|w| w.to_string())
        .collect();
    let allowed: Vec<&str> = allowed.iter().map(String::as_str).collect();
    advise(&mut site, &second, &allowed);
    let plan = site.plan();
    assert_eq!(plan.starts.len(), 2);
    assert!(plan.questions.is_empty());
}

/// Guards against a new leader that stops a run at work, for which it has no permission yet, because its first probe of the worker is answered
/// late.
#[test]
fn a_run_at_work_outlasts_a_late_answer_to_a_new_leader() {
    const ANSWER_MS: u64 = 800;
    let mut site = advised_site(1);
    site.submit(1, "other", vec![step(1, 8)]);
    let plan = site.plan();
    advise(&mut site, &plan.questions[0], &["w00"]);
    site.plan_and_start();
    site.send_starts();
    site.advance(1_000);
    site.report();
    let worker = worker_id("w00");
    site.take_over(2);
    let mut probes = Vec::new();
    for _ in 0..40 {
        site.advance(100);
        for order in site.orders() {
            let is_probe = matches!(order.body, OrderBody::Probe { .. });
            assert!(is_probe, "{order:?}");
            probes.push(order);
        }
        let answered = |order: &Order| order.sent_ms + ANSWER_MS <= site.now_ms;
        let (due, later) = probes.into_iter().partition(answered);
        probes = later;
        let due: Vec<Order> = due;
        for order in due {
            let answer = site.probe_answer(&worker, &[]);
            site.dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
        }
    }
    assert_eq!(site.open_runs().len(), 1);
}
