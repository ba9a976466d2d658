//! Work on helper threads.

use local_sync::semaphore::Semaphore;

/// Size of the input up to which work is done on the event loop, in bytes. Handing it to a thread takes about as long as parsing these.
const INLINE_BYTES: usize = 32 << 10;

/// Does work that depends on the size of a client's input without holding up the event loop: small inputs at once, large ones on a helper
/// thread, one at a time, so that the threads that write the journal are not all busy.
pub struct Background {
    turn: Semaphore,
}

impl Default for Background {
    fn default() -> Self {
        Self::new()
    }
}

impl Background {
    /// Creates a background without work.
    pub fn new() -> Self {
        Self {
            turn: Semaphore::new(1),
        }
    }

    /// The result of `work` on an input of `input_bytes`; `None` if the process ends meanwhile.
    pub async fn run<T: Send + 'static>(
        &self,
        input_bytes: usize,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        if input_bytes <= INLINE_BYTES {
            return Some(work());
        }
        // The semaphore is never closed.
        let _turn = self.turn.acquire().await;
        monoio::spawn_blocking(work).await.ok()
    }
}
