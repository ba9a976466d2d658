//! Links that become silent without being closed.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::calls::Answer;
use bh_control::calls::Call;
use bh_control::calls::forward;
use bh_control::entry::Readiness;
use bh_control::mesh;
use bh_control::mesh::Inbound;
use bh_control::mesh::LinkHandler;
use bh_control::mesh::Mesh;
use bh_net::Clock;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Incarnation;
use bh_protocol::wire::CoreStatus;
use bh_protocol::wire::Hello;
use bh_testkit::Link;
use bh_testkit::ports;
use monoio::net::TcpListener;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Timeout of a call, in milliseconds: shorter than the time until a silent link is closed.
const TIMEOUT_MS: u64 = 300;
/// Timeout of a call that outlasts an election, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 3_000;
/// Time within which a new leader is known and has answered, in milliseconds. Cores report their status five times a second, and in this
/// test the silent link is closed about 500 ms after the election.
const MAX_TAKEOVER_MS: u64 = 450;

/// Calls in the order in which a core received them.
type Calls = Rc<RefCell<Vec<Call>>>;

/// Starts a core that reports to lead in `term` once that is not 0, and records the calls it receives.
fn leader(address: SocketAddr, term: Rc<Cell<u64>>, calls: Calls) {
    let hello = Hello {
        name: format!("leader at {address}"),
        address: address.to_string(),
        replica: u64::from(address.port()),
        ..Hello::default()
    };
    let mesh = Mesh::new(hello, Clock::new(), CancellationToken::new());
    let handler = LinkHandler {
        deliver: Box::new(|_| {}),
        answer: Box::new(move |request| {
            let call = serde_json::from_slice(&request.body).unwrap();
            calls.borrow_mut().push(call);
            Box::pin(async { serde_json::to_vec(&Answer::Done).unwrap() })
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

fn leave() -> Call {
    leave_of(0)
}

fn leave_of(worker: usize) -> Call {
    Call::Leave {
        worker: Incarnation::parse(&worker.to_string()).unwrap(),
    }
}

/// A data centre is cut off: the link to the leader stays open but carries nothing. A call sent over it may be recorded or not, and its
/// caller can only be told that the outcome is unknown, so it may not retry. Half a second after the last contact no more calls are sent,
/// and the caller is refused and can try another entry.
#[test]
fn nothing_is_sent_into_a_silent_link() {
    let addresses = ports::free(2);
    let link = Link::start(addresses[0], addresses[1]);
    runtime::run(1, async move {
        let calls = Calls::default();
        leader(addresses[1], Rc::new(Cell::new(1)), calls.clone());
        let entry = Mesh::new(Hello::default(), Clock::new(), CancellationToken::new());
        entry.add_cores([addresses[0]]);
        while entry.leader().is_none() {
            sleep_ms(20).await;
        }
        assert_eq!(forward(&entry, &leave(), TIMEOUT_MS).await, Answer::Done);
        link.silence_open_connections();
        sleep_ms(700).await;
        let answer = forward(&entry, &leave(), TIMEOUT_MS).await;
        assert!(matches!(answer, Answer::Unavailable { .. }), "{answer:?}");
        assert_eq!(calls.borrow().len(), 1);
    })
    .unwrap();
}

/// The leader is lost while a caller asks for the state of its job, and no other is elected in time. A read can be repeated without harm,
/// so the caller is told when to retry. If it were told that the outcome is unknown, it would have to find out what became of something
/// that it never sent.
#[test]
fn a_question_whose_leader_is_lost_may_be_asked_again() {
    let addresses = ports::free(2);
    let link = Link::start(addresses[0], addresses[1]);
    runtime::run(1, async move {
        let calls = Calls::default();
        leader(addresses[1], Rc::new(Cell::new(1)), calls.clone());
        let entry = Mesh::new(Hello::default(), Clock::new(), CancellationToken::new());
        entry.add_cores([addresses[0]]);
        while entry.leader().is_none() {
            sleep_ms(20).await;
        }
        link.silence_open_connections();
        let answer = forward(&entry, &Call::GetRules, TIMEOUT_MS).await;
        assert!(matches!(answer, Answer::Unavailable { .. }), "{answer:?}");
        let answer = forward(&entry, &leave(), TIMEOUT_MS).await;
        assert_eq!(answer, Answer::Unknown);
    })
    .unwrap();
}

/// The leader is suspended while calls are on their way to it, more calls arrive, and another core is elected. Each call must reach the new
/// leader as soon as that is known, and none before an earlier one. Otherwise the first caller would be answered later than the second and
/// on newer rules, and their entry would seem to have gone back to older rules for the second.
#[test]
fn calls_wait_for_a_new_leader_and_keep_their_order() {
    const CALLS: usize = 20;
    let addresses = ports::free(3);
    let link = Link::start(addresses[0], addresses[1]);
    runtime::run(1, async move {
        let (suspended, elected) = (Calls::default(), Calls::default());
        let term = Rc::new(Cell::new(0));
        leader(addresses[1], Rc::new(Cell::new(1)), suspended.clone());
        leader(addresses[2], term.clone(), elected.clone());
        let clock = Clock::new();
        let entry = Mesh::new(Hello::default(), clock.clone(), CancellationToken::new());
        entry.add_cores([addresses[0], addresses[2]]);
        while entry.leader().is_none() || entry.links_open() < 2 {
            sleep_ms(20).await;
        }
        link.silence_open_connections();
        let answered = Rc::new(Cell::new(0));
        for call in 0..CALLS {
            let (entry, answered) = (entry.clone(), answered.clone());
            monoio::spawn(async move {
                let answer = forward(&entry, &leave_of(call), LONG_TIMEOUT_MS).await;
                assert_eq!(answer, Answer::Done);
                answered.set(answered.get() + 1);
            });
            // The later half arrives when no more calls are sent over the silent link.
            sleep_ms(if call == CALLS / 2 { 600 } else { 7 }).await;
        }
        term.set(2);
        let elected_ms = clock.now_ms();
        while answered.get() < CALLS {
            sleep_ms(5).await;
        }
        let took_ms = clock.now_ms() - elected_ms;
        assert!(
            took_ms < MAX_TAKEOVER_MS,
            "answered {took_ms} ms after the election"
        );
        assert!(suspended.borrow().is_empty());
        let expected: Vec<Call> = (0..CALLS).map(leave_of).collect();
        assert_eq!(*elected.borrow(), expected);
    })
    .unwrap();
}

/// A data centre is cut off. Its callers get no answers there, and the balancer sends them elsewhere after two failed checks a second
/// apart. The entry must report that it is not ready as soon as the silence is longer than most elections, not only when its links are
/// closed.
#[test]
fn an_entry_that_is_cut_off_is_soon_not_ready() {
    const MAX_READY_MS: u64 = 1_150;
    let addresses = ports::free(2);
    let link = Link::start(addresses[0], addresses[1]);
    runtime::run(1, async move {
        leader(addresses[1], Rc::new(Cell::new(1)), Calls::default());
        let clock = Clock::new();
        let entry = Mesh::new(Hello::default(), clock.clone(), CancellationToken::new());
        let readiness = Readiness::new();
        assert!(!readiness.is_ready(&entry));
        entry.add_cores([addresses[0]]);
        while !readiness.is_ready(&entry) {
            sleep_ms(20).await;
        }
        link.silence_open_connections();
        let cut_ms = clock.now_ms();
        while readiness.is_ready(&entry) {
            sleep_ms(10).await;
        }
        let took_ms = clock.now_ms() - cut_ms;
        assert!(took_ms < MAX_READY_MS, "ready for {took_ms} ms");
    })
    .unwrap();
}
