//! Why a job was late.

use serde::Deserialize;
use serde::Serialize;

/// What a job spent its time on: waiting, attempts without a result, or the work itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The call that submitted the job waited for its response.
    HandedInLate,
    /// The job waited while the cores elected a leader.
    NoLeader,
    /// Capacity was reserved for the job on workers that did not free it in time.
    RoomMadeInVain,
    /// Capacity was reserved for the job and was being freed by stopping other runs.
    RoomMade,
    /// The job waited for free capacity.
    WaitedForRoom,
    /// An attempt was preempted to make room for other work: guaranteed work, a service that lacks a task, or urgent work.
    Displaced,
    /// An attempt ended because its worker was lost or its lease expired.
    WorkerLost,
    /// An attempt was stopped because its worker would leave before the attempt could end.
    WorkerLeft,
    /// An attempt was restarted on other workers because it made no progress or was slow.
    BegunAnew,
    /// An attempt failed, through its own fault or its worker's.
    Failed,
    /// An attempt never started: members of the gang were missing, or a start order was not carried out.
    NotStarted,
    /// An attempt was stopped for another reason.
    Stopped,
    /// The attempt that completed the work took long.
    RanLong,
}

impl Cause {
    /// All causes, in the order in which reports list them.
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

    /// Short description of the cause, as reports print it.
    pub fn label(self) -> &'static str {
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
