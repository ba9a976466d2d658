//! Why a job was late.

use serde::Deserialize;
use serde::Serialize;

/// Where time of a job went beside the work that counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The call that handed it in waited for an answer.
    HandedInLate,
    /// It waited while cores elected a leader.
    NoLeader,
    /// Room was being made for it, on workers that gave none in time.
    RoomMadeInVain,
    /// Room was being made for it.
    RoomMade,
    /// It waited for room.
    WaitedForRoom,
    /// A try was stopped so that others had room.
    Displaced,
    /// A try ended with a worker that was lost, or with its lease.
    WorkerLost,
    /// A try was stopped because its worker left before it could end.
    WorkerLeft,
    /// A try was begun anew, because it stood still or was slow.
    BegunAnew,
    /// A try failed, by its own fault or the worker's.
    Failed,
    /// Members of a try never came together, or its orders were not carried out.
    NotStarted,
    /// A try was stopped for another reason.
    Stopped,
    /// The try that counted took long.
    RanLong,
}

impl Cause {
    /// All causes, in the order in which they are told.
    pub const ALL: [Cause; 13] = [
        Cause::HandedInLate,
        Cause::NoLeader,
        Cause::RoomMadeInVain,
        Cause::RoomMade,
        Cause::WaitedForRoom,
        Cause::Displaced,
        Cause::WorkerLost,
        Cause::WorkerLeft,
        Cause::BegunAnew,
        Cause::Failed,
        Cause::NotStarted,
        Cause::Stopped,
        Cause::RanLong,
    ];

    /// The cause in a few words.
    pub fn words(self) -> &'static str {
        match self {
            Cause::HandedInLate => "its hand-in waited for an answer",
            Cause::NoLeader => "no core led",
            Cause::RoomMadeInVain => "room was made in vain",
            Cause::RoomMade => "room was being made",
            Cause::WaitedForRoom => "waited for room",
            Cause::Displaced => "stopped to make room",
            Cause::WorkerLost => "a worker was lost",
            Cause::WorkerLeft => "its worker left",
            Cause::BegunAnew => "begun anew: still or slow",
            Cause::Failed => "a try failed",
            Cause::NotStarted => "a try did not start",
            Cause::Stopped => "a try was stopped",
            Cause::RanLong => "the work took long",
        }
    }
}
