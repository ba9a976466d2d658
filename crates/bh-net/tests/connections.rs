//! Which connections give way when there is no room for another one, or for the memory of a request.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_net::Clock;
use bh_net::connections::ConnectionLimits;
use bh_net::connections::Connections;
use bh_net::connections::Resource;
use bh_net::connections::Shortage;
use bh_net::connections::Slot;
use bh_net::connections::Stage;
use bh_net::runtime;
use std::cell::Cell;
use std::rc::Rc;

const MB: u64 = 1 << 20;
const LISTENER: u64 = 1;

/// A table with room for 10 MB, of which 8 are for large requests, and four connections.
struct Table {
    connections: Rc<Connections>,
    now_ms: Rc<Cell<u64>>,
}

impl Table {
    fn new() -> Self {
        let now_ms = Rc::new(Cell::new(10_000));
        let limits = ConnectionLimits {
            max_open: 4,
            max_bytes: 10 * MB,
            max_large_bytes: 8 * MB,
        };
        let connections = Connections::new(Clock::with_manual(now_ms.clone()), limits);
        Self {
            connections,
            now_ms,
        }
    }

    fn pass(&self, ms: u64) {
        self.now_ms.set(self.now_ms.get() + ms);
    }

    /// A connection that begins to do something, 10 ms after the one before.
    async fn slot(&self, stage: Stage) -> Rc<Slot> {
        self.pass(10);
        let slot = self.connections.add_when_possible(LISTENER, usize::MAX);
        let slot = Rc::new(slot.await);
        slot.enter(stage);
        slot
    }

    /// A connection with a request that is not complete.
    async fn receiving(&self, bytes: u64) -> Rc<Slot> {
        let slot = self.slot(Stage::Receiving).await;
        slot.grow(bytes).await.unwrap();
        slot
    }
}

/// Does what a connection does that has to give way: it drops what it holds.
fn leave_when_evicted(slot: &Rc<Slot>) {
    let slot = slot.clone();
    monoio::spawn(async move {
        slot.evicted().await;
        slot.shrink_to(0);
        slot.enter(Stage::Closing);
    });
}

fn run(test: impl Future<Output = ()>) {
    runtime::run(1, test).unwrap();
}

/// Guards against a new request that is refused while an older one stays open without ending.
#[test]
fn the_request_that_is_open_for_the_longest_time_gives_way() {
    run(async {
        let table = Table::new();
        let first = table.receiving(3 * MB).await;
        let second = table.receiving(4 * MB).await;
        let third = table.slot(Stage::Receiving).await;
        leave_when_evicted(&first);
        assert_eq!(third.grow(3 * MB).await, Ok(()));
        assert_eq!(first.evicted_for(), Some(Resource::Memory));
        assert_eq!(second.evicted_for(), None);
        let figures = table.connections.figures();
        assert_eq!(figures.used_bytes, 7 * MB);
        assert_eq!(figures.evicted_for_memory, 1);
    });
}

/// Guards against an old request that pushes out newer ones by growing slowly.
#[test]
fn the_oldest_request_does_not_push_out_newer_ones() {
    run(async {
        let table = Table::new();
        let first = table.receiving(4 * MB).await;
        let second = table.receiving(4 * MB).await;
        assert_eq!(first.grow(MB).await, Err(Shortage::Busy));
        assert_eq!(second.evicted_for(), None);
        assert_eq!(table.connections.figures().refused_busy, 1);
    });
}

/// Guards against a complete request that is refused in favour of unfinished ones.
#[test]
fn unfinished_requests_give_way_to_a_complete_one() {
    run(async {
        let table = Table::new();
        let first = table.receiving(4 * MB).await;
        let second = table.receiving(4 * MB).await;
        leave_when_evicted(&second);
        assert_eq!(first.grow_complete(2 * MB).await, Ok(()));
        assert_eq!(second.evicted_for(), Some(Resource::Memory));
    });
}

/// Guards against a request that is being carried out and loses its memory: it may have an effect already.
#[test]
fn what_is_carried_out_keeps_its_memory() {
    run(async {
        let table = Table::new();
        let running = table.slot(Stage::Executing).await;
        running.grow_complete(7 * MB).await.unwrap();
        table.pass(60_000);
        let other = table.slot(Stage::Receiving).await;
        assert_eq!(other.grow_complete(2 * MB).await, Err(Shortage::Busy));
        assert_eq!(running.evicted_for(), None);
        assert_eq!(other.grow(9 * MB).await, Err(Shortage::TooLarge));
        drop(running);
        assert_eq!(other.grow_complete(2 * MB).await, Ok(()));
    });
}

/// Guards against small requests that find no memory beside large ones that cannot give way.
#[test]
fn small_requests_have_memory_of_their_own() {
    run(async {
        let table = Table::new();
        let call = table.connections.claim(8 * MB).await.unwrap();
        let small = table.slot(Stage::Receiving).await;
        assert_eq!(small.grow(100 << 10).await, Ok(()));
        assert_eq!(small.grow_complete(100 << 10).await, Err(Shortage::Busy));
        drop(call);
        assert_eq!(small.grow_complete(100 << 10).await, Ok(()));
    });
}

/// Guards against an answer that its caller reads and that is cut off in favour of another one.
#[test]
fn an_answer_gives_way_only_if_nobody_reads_it() {
    run(async {
        let table = Table::new();
        let unread = table.slot(Stage::Sending).await;
        let read = table.slot(Stage::Sending).await;
        unread.grow_for_answer(4 * MB).await.unwrap();
        read.grow_for_answer(4 * MB).await.unwrap();
        leave_when_evicted(&unread);
        table.pass(5_000);
        read.note_progress();
        let other = table.slot(Stage::Sending).await;
        assert_eq!(other.grow_for_answer(MB).await, Ok(()));
        assert_eq!(unread.evicted_for(), Some(Resource::Memory));
        assert_eq!(read.evicted_for(), None);
    });
}

/// Guards against new connections that wait for those that do nothing, and against the wrong one being closed.
#[test]
fn connections_give_way_in_order() {
    run(async {
        let table = Table::new();
        let idle = table.slot(Stage::Sending).await;
        idle.enter(Stage::Idle);
        let running = table.slot(Stage::Executing).await;
        table.pass(5_000);
        let silent = table.slot(Stage::Idle).await;
        table.pass(2_000);
        let receiving = table.slot(Stage::Receiving).await;
        // The first has sent nothing for two seconds, the second has had an answer, the third is a request in transit.
        for (number, expected) in (1..).zip([silent, idle, receiving]) {
            assert!(table.connections.evict_for_connection(None));
            assert_eq!(expected.evicted_for(), Some(Resource::Connection));
            // Nothing else gives way before it is closed.
            assert!(table.connections.evict_for_connection(None));
            let figures = table.connections.figures();
            assert_eq!(figures.evicted_for_connections, number);
            drop(expected);
        }
        assert!(!table.connections.evict_for_connection(None));
        assert_eq!(running.evicted_for(), None);
    });
}

/// Guards against a listener whose connections take those of another one, such as that for readiness checks.
#[test]
fn a_full_listener_closes_its_own_connections() {
    const OTHER: u64 = 2;
    run(async {
        let table = Table::new();
        let calls = table.slot(Stage::Idle).await;
        table.pass(5_000);
        let check = table.connections.add_when_possible(OTHER, 1).await;
        let limit_ms = 100;
        // There is room for four connections, but not for a second one at this listener.
        let second = table.connections.add_when_possible(OTHER, 1);
        assert!(runtime::within_ms(limit_ms, second).await.is_none());
        assert_eq!(check.evicted_for(), Some(Resource::Connection));
        assert_eq!(calls.evicted_for(), None);
        drop(check);
        let second = table.connections.add_when_possible(OTHER, 1);
        assert!(runtime::within_ms(limit_ms, second).await.is_some());
    });
}
