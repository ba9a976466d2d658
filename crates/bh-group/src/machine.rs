//! The replicated state, whatever its type.

use bh_protocol::Code;
use bh_protocol::Failure;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Ref;
use std::cell::RefCell;
use std::rc::Rc;

/// How commands change a state, and how the state is kept.
pub struct Codec<S> {
    /// Applies an encoded command and returns its encoded answer. An error leaves the state as it was, on every replica alike.
    pub apply: fn(&mut S, &[u8]) -> Result<Vec<u8>, Failure>,
    /// Writes the whole state.
    pub snapshot: fn(&S) -> Result<Vec<u8>, Failure>,
    /// Replaces the whole state by a snapshot.
    pub restore: fn(&mut S, &[u8]) -> Result<(), Failure>,
}

impl<S> Clone for Codec<S> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<S> Copy for Codec<S> {}

/// A state shared by its driver, which changes it, and by readers.
pub struct Machine<S> {
    state: Rc<RefCell<S>>,
    codec: Codec<S>,
}

impl<S> Clone for Machine<S> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            codec: self.codec,
        }
    }
}

impl<S> Machine<S> {
    /// A machine in this state.
    pub fn new(state: S, codec: Codec<S>) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            codec,
        }
    }

    /// Applies a command and returns its encoded answer.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the command cannot be read; every replica then leaves it out alike.
    pub fn apply(&self, command: &[u8]) -> Result<Vec<u8>, Failure> {
        (self.codec.apply)(&mut self.state.borrow_mut(), command)
    }

    /// The whole state, encoded.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the state cannot be written.
    pub fn snapshot(&self) -> Result<Vec<u8>, Failure> {
        (self.codec.snapshot)(&self.state.borrow())
    }

    /// Replaces the whole state.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the snapshot cannot be read.
    pub fn restore(&self, bytes: &[u8]) -> Result<(), Failure> {
        (self.codec.restore)(&mut self.state.borrow_mut(), bytes)
    }

    /// The state, for reading; it must not be held over a wait.
    pub fn read(&self) -> Ref<'_, S> {
        self.state.borrow()
    }

    /// Changes what is not replicated of the state, such as its list of news for this process.
    pub fn with_local<T>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        change(&mut self.state.borrow_mut())
    }
}

fn damaged(error: &serde_json::Error) -> Failure {
    Failure::new(
        Code::Internal,
        format!("a replicated value cannot be read: {error}"),
    )
}

/// Reads a replicated value from JSON.
///
/// # Errors
///
/// [`Code::Internal`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|error| damaged(&error))
}

/// Writes a replicated value as JSON.
///
/// # Errors
///
/// [`Code::Internal`].
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value).map_err(|error| damaged(&error))
}
