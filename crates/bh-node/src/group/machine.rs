//! The state machines that groups replicate.

use crate::jobs_machine::JobsMachine;
use bh_protocol::Code;
use bh_protocol::Failure;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::rc::Rc;

/// State of one kind of group.
pub enum MachineState {
    /// The settings.
    Settings(bh_settings::Machine),
    /// Jobs and requests of a data centre.
    Jobs(JobsMachine),
}

/// A state machine shared by its driver, which changes it, and by readers.
#[derive(Clone)]
pub struct Machine {
    state: Rc<RefCell<MachineState>>,
}

fn damaged(error: &serde_json::Error) -> Failure {
    Failure::new(
        Code::Internal,
        format!("a replicated value cannot be read: {error}"),
    )
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|error| damaged(&error))
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value).map_err(|error| damaged(&error))
}

impl Machine {
    /// A machine in this state.
    pub fn new(state: MachineState) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Applies a command and returns its encoded answer.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the command cannot be read; every replica then leaves it out alike.
    pub fn apply(&self, command: &[u8]) -> Result<Vec<u8>, Failure> {
        match &mut *self.state.borrow_mut() {
            MachineState::Settings(machine) => encode(&machine.apply(&decode(command)?)),
            MachineState::Jobs(machine) => encode(&machine.apply(decode(command)?)),
        }
    }

    /// The whole state, encoded.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the state cannot be written.
    pub fn snapshot(&self) -> Result<Vec<u8>, Failure> {
        match &*self.state.borrow() {
            MachineState::Settings(machine) => encode(machine),
            MachineState::Jobs(machine) => encode(machine),
        }
    }

    /// Replaces the whole state.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the snapshot cannot be read.
    pub fn restore(&self, bytes: &[u8]) -> Result<(), Failure> {
        let mut state = self.state.borrow_mut();
        match &mut *state {
            MachineState::Settings(machine) => *machine = decode(bytes)?,
            MachineState::Jobs(machine) => *machine = decode(bytes)?,
        }
        Ok(())
    }

    /// Reads the settings; `None` when the group holds something else.
    pub fn settings<T>(&self, read: impl FnOnce(&bh_settings::Machine) -> T) -> Option<T> {
        match &*self.state.borrow() {
            MachineState::Settings(machine) => Some(read(machine)),
            MachineState::Jobs(_) => None,
        }
    }

    /// Reads jobs and requests; `None` when the group holds something else.
    pub fn jobs<T>(&self, read: impl FnOnce(&JobsMachine) -> T) -> Option<T> {
        match &*self.state.borrow() {
            MachineState::Jobs(machine) => Some(read(machine)),
            MachineState::Settings(_) => None,
        }
    }
}
