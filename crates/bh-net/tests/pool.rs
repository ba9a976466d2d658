//! Limits on the number and the age of idle connections.

#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_net::http_client::Connection;
use bh_net::http_client::Pool;
use bh_net::runtime;
use std::net::SocketAddr;
use std::net::TcpListener;

const MAX_IDLE: usize = 2;

async fn give_back(pool: &Pool, address: SocketAddr, count: usize) {
    for _ in 0..count {
        let connection = Connection::open(address, 1_000).await.unwrap();
        pool.give_back(address, connection, 0);
    }
}

/// Takes all connections to `address` that have not expired, and returns their number.
fn take_all(pool: &Pool, address: SocketAddr, now_ms: u64) -> usize {
    std::iter::from_fn(|| pool.take(address, now_ms)).count()
}

/// A burst of orders opens many connections to one worker. If all of them were kept, a leader of many workers would run out of
/// descriptors. If a former leader kept its connections, workers would hold connections that nobody uses.
#[test]
fn only_some_connections_are_kept_until_they_age_or_the_pool_is_cleared() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    runtime::run(1, async {
        let pool = Pool::new().with_max_idle(MAX_IDLE).with_max_idle_ms(100);
        give_back(&pool, address, MAX_IDLE + 3).await;
        assert_eq!(take_all(&pool, address, 100), MAX_IDLE);
        give_back(&pool, address, MAX_IDLE).await;
        pool.age_out(101);
        assert_eq!(take_all(&pool, address, 0), 0);
        give_back(&pool, address, MAX_IDLE).await;
        pool.clear();
        assert_eq!(take_all(&pool, address, 0), 0);
    })
    .unwrap();
}
