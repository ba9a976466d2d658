//! Links of an entry where there are many cores.
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
use bh_protocol::wire::CoreStatus;
use bh_protocol::wire::Hello;
use bh_protocol::wire::RpcKind;
use bh_testkit::Link;
use bh_testkit::ports;
use monoio::net::TcpListener;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

const CORES: usize = 14;
/// Links that an entry may have.
const MAX_LINKS: usize = 5;
const TIMEOUT_MS: u64 = 1_000;
/// Time until the links of an entry are settled, in milliseconds: two heartbeats of a link, and the time to open others.
const SETTLING_MS: u64 = 800;
/// Time within which lost links are replaced, in milliseconds: a closed link is noticed at once.
const REPLACING_MS: u64 = 1_500;
const LEADER: usize = 0;

/// Kinds of the calls that each core received.
type Calls = Rc<RefCell<Vec<(usize, i32)>>>;

/// What a core reports from now on.
#[derive(Default)]
struct Reported {
    drains: Cell<bool>,
    /// Whether it has no contact with the leader.
    is_cut_off: Cell<bool>,
}

/// Starts the core at position `own` of `addresses`, which listens on `listen`. It leads if it is the first one, and has contact with the
/// leader otherwise.
fn core(own: usize, addresses: &[SocketAddr], listen: SocketAddr, calls: Calls) -> Rc<Reported> {
    let cores: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let hello = Hello {
        name: format!("core {own}"),
        address: cores[own].clone(),
        replica: 1 + own as u64,
        ..Hello::default()
    };
    let mesh = Mesh::new(hello, Clock::new(), CancellationToken::new());
    let result = Rc::new(Reported::default());
    let reported = result.clone();
    let handler = LinkHandler {
        deliver: Box::new(|_| {}),
        answer: Box::new(move |request| {
            calls.borrow_mut().push((own, request.kind));
            Box::pin(async { serde_json::to_vec(&Answer::Done).unwrap() })
        }),
        status: Box::new(move || CoreStatus {
            leads: own == LEADER,
            term: 1,
            leader_term: u64::from(own != LEADER && !reported.is_cut_off.get()),
            rules_version: 1,
            cores: cores.clone(),
            draining: reported.drains.get(),
            ..CoreStatus::default()
        }),
    };
    let listener = TcpListener::bind(listen).unwrap();
    let inbound = Rc::new(Inbound::default());
    monoio::spawn(mesh::accept(mesh, listener, Rc::new(handler), inbound));
    result
}

fn entry(name: &str) -> Rc<Mesh> {
    let hello = Hello {
        name: name.to_owned(),
        ..Hello::default()
    };
    Mesh::of_entry(hello, Clock::new(), CancellationToken::new())
}

/// Addresses of the cores to which a link is open.
fn linked(entry: &Mesh) -> Vec<SocketAddr> {
    let peers = entry.peers();
    let linked = peers.iter().filter(|peer| peer.is_linked());
    linked.map(|peer| peer.address).collect()
}

/// Guards against links and heartbeats that grow with entries times cores. An entry that has no link to the leader is served by way of other
/// cores.
#[test]
fn an_entry_links_to_a_few_of_many_cores() {
    let addresses = ports::free(CORES);
    runtime::run(1, async move {
        let calls = Calls::default();
        for own in 0..CORES {
            core(own, &addresses, addresses[own], calls.clone());
        }
        let entries: Vec<_> = (0..6).map(|number| entry(&format!("e{number}"))).collect();
        for entry in &entries {
            entry.add_cores(addresses[..3].iter().copied());
        }
        sleep_ms(SETTLING_MS).await;
        for entry in &entries {
            assert_eq!(entry.known().len(), CORES);
            assert!(entry.links_open() <= MAX_LINKS, "{}", entry.links_open());
            assert!(Readiness::new().is_ready(entry));
            let answer = forward(entry, &Call::GetRules, TIMEOUT_MS).await;
            assert_eq!(answer, Answer::Done);
        }
        let relay = i32::from(RpcKind::Relay);
        for (core, kind) in calls.borrow().iter() {
            assert_eq!(*kind == relay, *core != LEADER);
        }
        assert!(calls.borrow().iter().any(|(_, kind)| *kind == relay));
    })
    .unwrap();
}

/// Guards against an entry that stays without a way to the leader when the cores that it chose are lost.
#[test]
fn lost_links_are_replaced() {
    let listening = ports::free(CORES);
    let addresses = ports::free(CORES);
    let ways = addresses.iter().zip(&listening);
    let links: Vec<Link> = ways.map(|(from, to)| Link::start(*from, *to)).collect();
    runtime::run(1, async move {
        let calls = Calls::default();
        for (own, listen) in listening.into_iter().enumerate() {
            core(own, &addresses, listen, calls.clone());
        }
        let entry = entry("entry");
        entry.add_cores(addresses.iter().copied());
        sleep_ms(SETTLING_MS).await;
        let lost: Vec<SocketAddr> = linked(&entry);
        assert!(lost.len() <= MAX_LINKS);
        for link in links.iter().filter(|link| lost.contains(&link.address())) {
            link.set_cut(true);
        }
        sleep_ms(REPLACING_MS).await;
        assert!(linked(&entry).iter().all(|address| !lost.contains(address)));
        let answer = forward(&entry, &Call::GetRules, TIMEOUT_MS).await;
        assert_eq!(answer, Answer::Done);
    })
    .unwrap();
}

/// Guards against calls that are lost with a core that was told to stop: entries use other cores while it finishes what it has.
#[test]
fn draining_cores_relay_no_new_calls() {
    let addresses = ports::free(CORES);
    runtime::run(1, async move {
        let calls = Calls::default();
        let reported: Vec<Rc<Reported>> = (0..CORES)
            .map(|own| core(own, &addresses, addresses[own], calls.clone()))
            .collect();
        let entry = entry("entry");
        entry.add_cores(addresses.iter().copied());
        sleep_ms(SETTLING_MS).await;
        let used: Vec<usize> = linked(&entry)
            .iter()
            .filter_map(|used| addresses.iter().position(|address| address == used))
            .filter(|used| *used != LEADER)
            .collect();
        for used in &used {
            reported[*used].drains.set(true);
        }
        sleep_ms(SETTLING_MS).await;
        let answer = forward(&entry, &Call::GetRules, TIMEOUT_MS).await;
        assert_eq!(answer, Answer::Done);
        assert!(calls.borrow().iter().all(|(core, _)| !used.contains(core)));
    })
    .unwrap();
}

/// Guards against entries that have chosen only cores on the side of a split without the leader, and are out of service while it lasts.
#[test]
fn cores_without_a_leader_are_not_relied_on() {
    /// Time until an entry has other links, in milliseconds: the time of an election and some heartbeats.
    const CHANGING_MS: u64 = 2_500;
    let addresses = ports::free(CORES);
    runtime::run(1, async move {
        let calls = Calls::default();
        // The leader is none of the cores that are known here.
        let reported: Vec<Rc<Reported>> = (LEADER + 1..CORES)
            .map(|own| core(own, &addresses, addresses[own], calls.clone()))
            .collect();
        let entry = entry("entry");
        entry.add_cores(addresses[LEADER + 1..].iter().copied());
        sleep_ms(SETTLING_MS).await;
        for used in linked(&entry) {
            let own = addresses.iter().position(|address| *address == used);
            reported[own.unwrap() - LEADER - 1].is_cut_off.set(true);
        }
        sleep_ms(CHANGING_MS).await;
        assert!(Readiness::new().is_ready(&entry));
        let answer = forward(&entry, &Call::GetRules, TIMEOUT_MS).await;
        assert_eq!(answer, Answer::Done);
    })
    .unwrap();
}
