//! Changes of the rules while jobs are active.

mod support;

use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::Refusal;
use bh_workload::state::Reply;
use support::Site;
use support::place;
use support::rules;
use support::step;
use support::worker_info;

fn set_rules(site: &mut Site, rules: Rules) -> Reply {
    site.workload.apply(Command::SetRules(Box::new(rules)))
}

/// Guards against losing an accepted job when the operator removes its queue from the rules. New jobs find no queue there, but the accepted job
/// still starts.
#[test]
fn an_accepted_job_starts_after_its_queue_is_removed() {
    let mut site = Site::new(1, 1);
    let job = site.submit(1, "other", vec![step(1, 1)]);
    let mut without = rules(2);
    without.queues.retain(|queue| &*queue.name != "q1");
    assert_eq!(set_rules(&mut site, without), Reply::Done);
    let place = place(1, "other", job);
    assert_eq!(site.workload.find(&place).err(), Some(Refusal::NoQueue));
    assert_eq!(site.plan_and_start().starts.len(), 1);
}

/// Guards against a return to older rules when two operators race, or when one sends rules again because the acknowledgement was lost. A version that
/// is not higher changes nothing and is acknowledged all the same.
#[test]
fn only_a_higher_version_replaces_the_rules() {
    let mut site = Site::new(1, 1);
    assert_eq!(set_rules(&mut site, rules(5)), Reply::Done);
    let mut other = rules(5);
    other.queues.clear();
    assert_eq!(set_rules(&mut site, other), Reply::Done);
    assert_eq!(set_rules(&mut site, rules(3)), Reply::Done);
    let held = site.workload.rules.clone().unwrap();
    assert_eq!((held.version, held.queues.len()), (5, 3));
}

/// Guards against applying a part of invalid rules: each kind of invalid rules is refused as a whole.
#[test]
fn invalid_rules_are_refused_as_a_whole() {
    let mut site = Site::new(1, 1);
    let mut unknown_pool = rules(2);
    unknown_pool.pools.clear();
    let mut same_place = rules(2);
    let copy = same_place.queues[0].clone();
    same_place.queues.push(copy);
    let mut no_timeout = rules(2);
    std::sync::Arc::make_mut(&mut no_timeout.queues[0]).timeout_ms = 0;
    let mut shared_key = rules(2);
    let key = shared_key.customers[0].keys[0].clone();
    std::sync::Arc::make_mut(&mut shared_key.customers[1])
        .keys
        .push(key);
    for invalid in [unknown_pool, same_place, no_timeout, shared_key] {
        let reply = set_rules(&mut site, invalid);
        assert!(matches!(reply, Reply::Refused(Refusal::BadRules(_))));
        assert_eq!(site.workload.rules.as_ref().unwrap().version, 1);
    }
}

/// Guards against heartbeats of an unknown sender that name pools which the rules don't have, under new worker ids and under ids in use. If they were
/// accepted, they would fill the record, and a worker in use would be lost to its pool. A known worker whose pool is removed from the rules stays a
/// worker, because accepted jobs must still run.
#[test]
fn a_heartbeat_for_an_unknown_pool_is_not_accepted() {
    let mut site = Site::new(1, 1);
    let (known, new) = (worker_info(0, 1), worker_info(1, 1));
    assert!(site.workload.may_be_worker(&known) && site.workload.may_be_worker(&new));
    for mut info in [known.clone(), new.clone()] {
        info.pool = "elsewhere".into();
        assert!(!site.workload.may_be_worker(&info));
    }
    let mut without = rules(2);
    without.pools.clear();
    without.queues.clear();
    assert_eq!(set_rules(&mut site, without), Reply::Done);
    assert!(site.workload.may_be_worker(&known));
    assert!(!site.workload.may_be_worker(&new));
}
