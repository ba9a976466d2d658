//! Calls that a leader refuses because of load, and retries where no leader is known.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::calls::Answer;
use bh_control::calls::Call;
use bh_control::calls::forward;
use bh_control::mesh;
use bh_control::mesh::Inbound;
use bh_control::mesh::LinkHandler;
use bh_control::mesh::Mesh;
use bh_net::Clock;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::wire::CoreStatus;
use bh_protocol::wire::Hello;
use bh_testkit::ports;
use bh_workload::job::JobSpec;
use bh_workload::state::Place;
use monoio::net::TcpListener;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;
/// Answer of a leader that sheds load.
const BUSY: Answer = Answer::Busy {
    retry_after_ms: 4_000,
};

/// Starts a core that reports to lead in `term` once that is not 0, counts its calls, and gives each of them `answer`, or none.
fn leader(
    address: SocketAddr,
    term: Rc<Cell<u64>>,
    answer: Option<Answer>,
    calls: Rc<Cell<usize>>,
) {
    let hello = Hello {
        name: format!("leader at {address}"),
        address: address.to_string(),
        replica: u64::from(address.port()),
        ..Hello::default()
    };
    let mesh = Mesh::new(hello, Clock::new(), CancellationToken::new());
    let handler = LinkHandler {
        deliver: Box::new(|_| {}),
        answer: Box::new(move |_| {
            calls.set(calls.get() + 1);
            let answer = answer.clone();
            Box::pin(async move {
                match answer {
                    Some(answer) => serde_json::to_vec(&answer).unwrap(),
                    None => pending().await,
                }
            })
        }),
        status: Box::new(move || CoreStatus {
            leads: term.get() > 0,
            term: term.get(),
            rules_version: 1,
            ..CoreStatus::default()
        }),
    };
    let listener = TcpListener::bind(address).unwrap();
    let inbound = Rc::new(Inbound::default());
    monoio::spawn(mesh::accept(mesh, listener, Rc::new(handler), inbound));
}

fn entry() -> Rc<Mesh> {
    Mesh::new(Hello::default(), Clock::new(), CancellationToken::new())
}

fn place(job: u64) -> Place {
    Place {
        host: Arc::from("jobs.example"),
        path: Arc::from(format!("/p1/{job:016x}")),
        key: None,
    }
}

fn submission() -> Call {
    Call::Submit {
        place: place(1),
        spec: Ok(JobSpec::default()),
    }
}

/// A leader sheds load. Guards against an entry that asks it again and again for as long as the caller waits, which adds to the load.
#[test]
fn a_refusal_of_a_busy_leader_is_final() {
    let address = ports::free(1)[0];
    runtime::run(1, async move {
        let calls = Rc::new(Cell::new(0));
        leader(address, Rc::new(Cell::new(1)), Some(BUSY), calls.clone());
        let entry = entry();
        entry.add_cores([address]);
        while entry.leader().is_none() {
            sleep_ms(20).await;
        }
        assert_eq!(forward(&entry, &submission(), TIMEOUT_MS).await, BUSY);
        assert_eq!(calls.get(), 1);
    })
    .unwrap();
}

/// A leader is lost after an entry has sent it a call, and the next one refuses the same call because of load. The first leader may have
/// recorded the call. Guards against telling the caller that its job was not run. A read has no such effect, so its caller may retry.
#[test]
fn a_call_that_a_lost_leader_may_have_recorded_is_not_called_refused() {
    let addresses = ports::free(2);
    runtime::run(1, async move {
        let (lost_calls, calls) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let term = Rc::new(Cell::new(0));
        leader(
            addresses[0],
            Rc::new(Cell::new(1)),
            None,
            lost_calls.clone(),
        );
        leader(addresses[1], term.clone(), Some(BUSY), calls.clone());
        let entry = entry();
        entry.add_cores([addresses[0], addresses[1]]);
        while entry.leader().is_none() || entry.links_open() < 2 {
            sleep_ms(20).await;
        }
        let read = Call::Read { place: place(1) };
        let answers: Vec<Rc<Cell<Option<Answer>>>> = [submission(), read]
            .into_iter()
            .map(|call| {
                let (entry, answer) = (entry.clone(), Rc::new(Cell::new(None)));
                let answered = answer.clone();
                monoio::spawn(async move {
                    answered.set(Some(forward(&entry, &call, TIMEOUT_MS).await));
                });
                answer
            })
            .collect();
        while lost_calls.get() < 2 {
            sleep_ms(5).await;
        }
        term.set(2);
        while calls.get() < 2 {
            sleep_ms(5).await;
        }
        sleep_ms(100).await;
        let answers: Vec<Option<Answer>> = answers.iter().map(|answer| answer.take()).collect();
        assert_eq!(answers, [Some(Answer::Unknown), Some(BUSY)]);
    })
    .unwrap();
}

/// Guards against a call that is sent after its sender was told that it did nothing: the process stood still while it waited to ask the leader
/// again.
#[test]
fn a_call_is_not_repeated_after_its_time_limit() {
    const LIMIT_MS: u64 = 100;
    let refusal = Answer::Unavailable {
        retry_after_ms: 1_000,
    };
    let address = ports::free(1)[0];
    runtime::run(1, async move {
        let calls = Rc::new(Cell::new(0));
        leader(address, Rc::new(Cell::new(1)), Some(refusal), calls.clone());
        let now_ms = Rc::new(Cell::new(1));
        let clock = Clock::with_manual(now_ms.clone());
        let entry = Mesh::new(Hello::default(), clock, CancellationToken::new());
        entry.add_cores([address]);
        while entry.leader().is_none() {
            sleep_ms(20).await;
        }
        let calling = entry.clone();
        let answer = Rc::new(Cell::new(None));
        let answered = answer.clone();
        monoio::spawn(async move {
            answered.set(Some(forward(&calling, &submission(), LIMIT_MS).await));
        });
        while calls.get() < 2 {
            sleep_ms(1).await;
        }
        // The second answer has arrived, and the entry waits before it asks again.
        sleep_ms(5).await;
        let sent = calls.get();
        now_ms.set(now_ms.get() + LIMIT_MS);
        sleep_ms(300).await;
        assert!(matches!(answer.take(), Some(Answer::Unavailable { .. })));
        assert_eq!(calls.get(), sent);
    })
    .unwrap();
}

/// No leader is known, as during an election. Guards against callers that are all told the same time and come back together.
#[test]
fn retries_are_spread_where_no_leader_is_known() {
    const CALLS: u64 = 200;
    runtime::run(1, async move {
        let entry = entry();
        let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
        for job in 0..CALLS {
            let call = Call::Cancel { place: place(job) };
            let Answer::Unavailable { retry_after_ms } = forward(&entry, &call, 1).await else {
                panic!("a call without a leader was answered");
            };
            *counts.entry(retry_after_ms).or_default() += 1;
        }
        assert_eq!(counts.keys().copied().collect::<Vec<u64>>(), [1_000, 2_000]);
        assert!(
            counts.values().all(|count| *count > CALLS / 4),
            "{counts:?}"
        );
    })
    .unwrap();
}
