//! Assignment of workers to cores, and detection of delayed orders.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::core::Carrier;
use bh_control::core::CarryDelay;
use bh_control::core::carrier_of;
use bh_control::core::should_share_workers;
use bh_protocol::Incarnation;
use bh_workload::job::Resources;
use bh_workload::state::WorkerInfo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

const DATA_CENTRES: u8 = 5;

fn core(data_centre: u8, number: u8) -> Carrier {
    let address: SocketAddr = format!("10.{data_centre}.0.{number}:7000").parse().unwrap();
    Carrier {
        address,
        data_centre: Arc::from(format!("dc{data_centre}")),
        control_address: Some(address),
    }
}

fn worker(number: u16) -> WorkerInfo {
    WorkerInfo {
        id: Incarnation::parse(&format!("w{number}")).unwrap(),
        vm: None,
        pool: Arc::from("pool"),
        address: "10.9.0.1:80".parse().unwrap(),
        data_centre: Arc::from(format!("dc{}", number % u16::from(DATA_CENTRES))),
        rack: Arc::from("rack"),
        labels: Vec::new(),
        capacity: Resources::default(),
        sequence: 0,
    }
}

fn cores() -> Vec<Carrier> {
    (0..DATA_CENTRES).map(|place| core(place, 1)).collect()
}

/// The leader has about three connections to each worker. With 3,000 workers and 4,096 descriptors it could no longer open its own files
/// and ended; with a few dozen workers a second core in between would only be one more that can fail.
#[test]
fn workers_are_shared_when_they_would_take_much_of_a_cores_descriptors() {
    assert!(!should_share_workers(48, 4_096, false));
    assert!(should_share_workers(540, 4_096, false));
    assert!(should_share_workers(3_000, 4_096, false));
    assert!(!should_share_workers(3_000, usize::MAX / 100, false));
}

/// The number of workers crosses the limit again and again. If the cores followed each crossing, all connections would be reopened each
/// time, so the workers stay shared until the fleet is well below the limit.
#[test]
fn workers_stay_shared_while_their_number_goes_up_and_down() {
    assert!(!should_share_workers(340, 4_096, false));
    assert!(should_share_workers(350, 4_096, false));
    assert!(should_share_workers(340, 4_096, true));
    assert!(!should_share_workers(200, 4_096, true));
}

#[test]
fn a_worker_is_talked_to_from_its_own_data_centre() {
    let cores = cores();
    for number in 0..100 {
        let worker = worker(number);
        let carrier = carrier_of(&worker, &cores).unwrap();
        assert_eq!(carrier.data_centre, worker.data_centre);
    }
}

/// Guards against a choice that weighs all cores for each order: the leader then spends the more time on each, the more cores there are.
#[test]
fn cores_elsewhere_cost_a_choice_little() {
    /// Growth in time that is accepted with forty times the cores.
    const MAX_GROWTH: u32 = 10;
    let near: Vec<Carrier> = (1..=5).map(|number| core(0, number)).collect();
    let elsewhere = (1..=195).map(|number| core(1, number));
    let all: Vec<Carrier> = near.iter().cloned().chain(elsewhere).collect();
    let local: Vec<WorkerInfo> = (0..1_000)
        .map(|n| worker(n * u16::from(DATA_CENTRES)))
        .collect();
    let time = |cores: &[Carrier]| {
        let pass = || {
            let started = Instant::now();
            let chosen = local.iter().filter_map(|worker| carrier_of(worker, cores));
            assert_eq!(chosen.count(), local.len());
            started.elapsed()
        };
        (0..5).map(|_| pass()).min().unwrap()
    };
    let (few, many) = (time(&near), time(&all));
    assert!(
        many < few * MAX_GROWTH,
        "{many:?} among 200 cores, {few:?} among 5"
    );
}

/// A core is lost. Its workers are spread over the other cores so that none takes all of them, and no other worker moves: each move costs a
/// connection and a probe.
#[test]
fn the_workers_of_a_lost_core_are_spread_and_no_others_move() {
    let all = cores();
    let left = &all[1..];
    let mut taken_over: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..500 {
        let worker = worker(number);
        let before = carrier_of(&worker, &all).unwrap();
        let after = carrier_of(&worker, left).unwrap();
        if before.address == all[0].address {
            *taken_over.entry(after.address).or_default() += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert_eq!(taken_over.len(), left.len());
    assert!(taken_over.values().all(|count| (10..=45).contains(count)));
}

/// The leader's VM is suspended for two seconds and continues to lead. Its clock was stopped, so all its later orders look two seconds
/// late. If they were refused for the rest of its term, it would have to talk to every worker itself.
#[test]
fn a_leader_whose_clock_stopped_is_refused_for_seconds_only() {
    let mut delay = CarryDelay::default();
    let mut refused = 0;
    for order in 0..300 {
        let now_ms = 1_000 + order * 100;
        let stopped_ms = if order < 50 { 0 } else { 2_000 };
        let late_ms = delay.note(3, now_ms - stopped_ms + 60_000, now_ms);
        refused += u64::from(late_ms > 500);
    }
    assert!((1..=100).contains(&refused), "{refused} orders of 250");
}

/// The clocks of two machines drift apart by a second per hour. An order without delay must not look late because of that, however long a
/// leader leads.
#[test]
fn clocks_that_run_apart_make_no_order_late() {
    let mut delay = CarryDelay::default();
    for second in 0..20_000 {
        let now_ms = second * 1_000;
        let sent_ms = now_ms - now_ms / 3_600;
        assert!(delay.note(3, sent_ms, now_ms) <= 5);
    }
}

/// A core is suspended with an order in its buffers and reads it seconds later. The sender has given the order up by then; a start that was
/// passed on could start a run whose job has been cancelled in the meantime.
#[test]
fn a_delayed_order_is_told_from_one_without_delay() {
    let mut delay = CarryDelay::default();
    // The clocks differ by an hour.
    assert_eq!(delay.note(3, 3_600_000, 500), 0);
    assert_eq!(delay.note(3, 3_601_000, 1_502), 2);
    assert_eq!(delay.note(3, 3_602_000, 5_500), 3_000);
    assert_eq!(delay.note(3, 3_605_000, 5_501), 1);
    // After a long time without orders, the first one is compared with the previous minimum.
    assert_eq!(delay.note(3, 3_606_000, 20_500), 13_999);
    // Another leader has another clock.
    assert_eq!(delay.note(4, 10, 6_000), 0);
}
