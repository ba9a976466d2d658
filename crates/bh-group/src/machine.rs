//! A replicated state machine over a state of any type.

use bh_protocol::Code;
use bh_protocol::Failure;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Ref;
use std::cell::RefCell;
use std::rc::Rc;

/// How encoded commands change a state, and how the state is encoded in snapshots.
pub struct Codec<S> {
    /// Applies an encoded command and returns the encoded answer. On an error the state must stay unchanged, on every replica alike.
    pub apply: fn(&mut S, &[u8]) -> Result<Vec<u8>, Failure>,
    /// Encodes the whole state.
    pub snapshot: fn(&S) -> Result<Vec<u8>, Failure>,
    /// Replaces the whole state by an encoded one.
    pub restore: fn(&mut S, &[u8]) -> Result<(), Failure>,
}

impl<S> Clone for Codec<S> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<S> Copy for Codec<S> {}

/// A replicated state, shared by the driver, which changes it, and its readers.
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
    /// A state machine with this initial state.
    pub fn new(state: S, codec: Codec<S>) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            codec,
        }
    }

    /// Applies an encoded command and returns the encoded answer.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the command cannot be read; every replica then skips it.
    pub fn apply(&self, command: &[u8]) -> Result<Vec<u8>, Failure> {
        (self.codec.apply)(&mut self.state.borrow_mut(), command)
    }

    /// The whole state, encoded.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the state cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, Failure> {
        (self.codec.snapshot)(&self.state.borrow())
    }

    /// Replaces the whole state by an encoded one.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the encoded state cannot be read.
    pub fn restore(&self, bytes: &[u8]) -> Result<(), Failure> {
        (self.codec.restore)(&mut self.state.borrow_mut(), bytes)
    }

    /// Borrows the state for reading. The borrow must not be held across an `await`.
    pub fn read(&self) -> Ref<'_, S> {
        self.state.borrow()
    }

    /// Changes a part of the state that is not replicated, such as its list of events for this process.
    pub fn with_local<T>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        change(&mut self.state.borrow_mut())
    }
}

fn invalid_value(error: &serde_json::Error) -> Failure {
    Failure::new(
        Code::Internal,
        format!("a replicated value cannot be read: {error}"),
    )
}

/// Decodes a replicated value from JSON.
///
/// # Errors
///
/// [`Code::Internal`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|error| invalid_value(&error))
}

/// Encodes a replicated value as JSON.
///
/// # Errors
///
/// [`Code::Internal`].
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value).map_err(|error| invalid_value(&error))
}
