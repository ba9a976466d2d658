//! The event loop of a process, its timers and signals.

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use monoio::blocking::DefaultThreadPool;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How often the event loop checks whether a signal has arrived.
const SIGNAL_POLL: Duration = Duration::from_millis(20);

/// Runs `main` to its end on this thread, with `helper_threads` for disk syncs and for parsing large bodies.
///
/// The driver is always epoll. The default of `monoio` would use io_uring, which these programs must not use.
///
/// # Errors
///
/// When the system provides no epoll descriptor.
pub fn run<T>(helper_threads: usize, main: impl Future<Output = T>) -> io::Result<T> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .attach_thread_pool(Box::new(DefaultThreadPool::new(helper_threads)))
        .build()?;
    Ok(runtime.block_on(main))
}

/// Waits for `duration_ms`.
pub async fn sleep_ms(duration_ms: u64) {
    monoio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// The result of `future`, or `None` when it takes longer than `limit_ms`.
pub async fn within_ms<T>(limit_ms: u64, future: impl Future<Output = T>) -> Option<T> {
    monoio::time::timeout(Duration::from_millis(limit_ms), future)
        .await
        .ok()
}

/// A flag that is set when SIGHUP arrives; the code that handles it clears the flag. Without a handler the signal would end the
/// process.
///
/// # Errors
///
/// When the handler cannot be installed.
pub fn flag_on_hangup() -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, flag.clone())?;
    Ok(flag)
}

/// A token that is cancelled when SIGTERM or SIGINT arrives.
///
/// # Errors
///
/// When the handlers cannot be installed.
pub fn stop_on_signal() -> io::Result<CancellationToken> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, flag.clone())?;
    signal_hook::flag::register(signal_hook::consts::SIGINT, flag.clone())?;
    let token = CancellationToken::new();
    let stop = token.clone();
    monoio::spawn(async move {
        while !flag.load(Ordering::Relaxed) {
            monoio::time::sleep(SIGNAL_POLL).await;
        }
        stop.cancel();
    });
    Ok(token)
}

/// Lets timers, input and other tasks come first. A task that always finds bytes to read would hold up all of them, and timers do not fire
/// while any task is ready.
pub async fn rest() {
    const REST_MS: u64 = 1;
    sleep_ms(REST_MS).await;
}
