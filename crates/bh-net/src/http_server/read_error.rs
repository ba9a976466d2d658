//! Why a request could not be read.

use crate::connections::Resource;
use crate::connections::Shortage;
use bh_protocol::Code;

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The connection ended, or nothing more came in time.
    Closed,
    /// The request is refused with this code.
    Refused(Code),
    /// The connection must give way to others.
    Evicted(Resource),
}

impl From<Code> for ReadError {
    fn from(code: Code) -> Self {
        ReadError::Refused(code)
    }
}

impl From<Shortage> for ReadError {
    fn from(shortage: Shortage) -> Self {
        ReadError::Refused(match shortage {
            Shortage::TooLarge => Code::BodyTooLarge,
            Shortage::Busy => Code::NoMemory,
        })
    }
}
