//! The state machines that the entry's groups replicate.

use crate::jobs_machine::JobsMachine;
use bh_group::Codec;
use bh_group::decode;
use bh_group::encode;
use bh_protocol::Failure;

/// State of a group, by kind of group.
pub enum MachineState {
    /// The settings.
    Settings(bh_settings::Machine),
    /// Jobs and requests of a data centre.
    Jobs(JobsMachine),
}

/// A state machine of one of the entry's groups.
pub type Machine = bh_group::Machine<MachineState>;

impl MachineState {
    /// Functions that apply commands, and write and restore snapshots.
    pub const CODEC: Codec<MachineState> = Codec {
        apply: MachineState::apply,
        snapshot: MachineState::snapshot,
        restore: MachineState::restore,
    };

    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, Failure> {
        match self {
            MachineState::Settings(machine) => encode(&machine.apply(&decode(command)?)),
            MachineState::Jobs(machine) => encode(&machine.apply(decode(command)?)),
        }
    }

    fn snapshot(&self) -> Result<Vec<u8>, Failure> {
        match self {
            MachineState::Settings(machine) => encode(machine),
            MachineState::Jobs(machine) => encode(machine),
        }
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        match self {
            MachineState::Settings(machine) => *machine = decode(bytes)?,
            MachineState::Jobs(machine) => *machine = decode(bytes)?,
        }
        Ok(())
    }

    /// The settings; `None` when the group holds something else.
    pub fn settings(&self) -> Option<&bh_settings::Machine> {
        match self {
            MachineState::Settings(machine) => Some(machine),
            MachineState::Jobs(_) => None,
        }
    }

    /// Jobs and requests; `None` when the group holds something else.
    pub fn jobs(&self) -> Option<&JobsMachine> {
        match self {
            MachineState::Jobs(machine) => Some(machine),
            MachineState::Settings(_) => None,
        }
    }
}
