//! Makes room for work that a guarantee covers.

use super::Placement;
use super::Room;
use super::Unit;
use super::place;
use crate::job::Needs;
use crate::job::RunId;
use crate::job::TaskId;
use crate::state::TaskState;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A recorded run, for whom it may be stopped, and what that would cost.
#[derive(Clone, Debug)]
pub struct Borrower {
    /// The run.
    pub run: RunId,
    /// Position of its worker among the rooms.
    pub room: usize,
    /// What it takes.
    pub needs: Needs,
    /// Work lost if it is stopped, in thousandths of core-milliseconds; 0 when it is being stopped already.
    pub loss: u64,
    /// Whether it is being stopped already.
    pub stopping: bool,
    /// Whether a guarantee covers it.
    pub entitled: bool,
    /// Whether it serves callers of its own for as long as it lasts.
    pub serves: bool,
    /// Whether only so many of its step may be missing at a time.
    pub limited: bool,
    /// Rank of its queue.
    pub priority: u32,
}

impl Borrower {
    /// Whether the run gives way to `unit`.
    pub fn gives_way(&self, unit: &Unit) -> bool {
        if self.entitled {
            return false;
        }
        let outranked = unit.spec.long_running || self.priority > unit.priority;
        unit.entitled || !self.serves && outranked
    }
}

/// Room made by stopping borrowers.
#[derive(Clone, Debug, Default)]
pub struct Reclaim {
    /// Where the unit goes.
    pub placement: Placement,
    /// Runs to stop.
    pub evictions: BTreeSet<RunId>,
    /// Work that is lost with them, in thousandths of core-milliseconds.
    pub loss: u64,
}

/// Why no room can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unmade {
    /// There is too little even if all borrowers are stopped.
    NoRoom,
    /// There is too little in any one rack that suits.
    NoRack,
}

/// Chooses workers for the whole unit as if all borrowers could be stopped, those first where least work is lost. With `waits` a unit
/// that wants one rack is not spread over several.
pub fn reclaim(
    unit: &Unit,
    rooms: &[Room],
    borrowers: &[&Borrower],
    workload: &Workload,
    waits: bool,
) -> Result<Reclaim, Unmade> {
    let by_room = by_room(rooms.len(), borrowers);
    let mut offers: Vec<Offer> = Vec::new();
    for (index, room) in rooms.iter().enumerate() {
        if !room.admits(unit) {
            continue;
        }
        offers.extend(offer(unit, index, room, &by_room[index]));
    }
    if offers.iter().map(|offer| offer.places).sum::<u64>() < unit.count() {
        return Err(Unmade::NoRoom);
    }
    let able = if place::wants_rack(unit) {
        place::able_racks(unit, rooms)
    } else {
        BTreeSet::new()
    };
    let near = in_one_rack(unit, &offers, rooms, &able);
    // Spread over racks the unit is so slow that it is late; that is for later, when its bound to begin comes near.
    if near.is_none() && !able.is_empty() && waits {
        return Err(Unmade::NoRack);
    }
    let chosen = near
        .or_else(|| choose(unit, &offers))
        .ok_or(Unmade::NoRoom)?;
    let evictions = evictions(unit, &chosen.0, rooms, &by_room, workload);
    Ok(Reclaim {
        placement: chosen.0,
        evictions,
        loss: chosen.1,
    })
}

/// The cheapest choice within one of the racks in `able`.
fn in_one_rack(
    unit: &Unit,
    offers: &[Offer],
    rooms: &[Room],
    able: &BTreeSet<Arc<str>>,
) -> Option<(Placement, u64)> {
    let mut racks: BTreeMap<&Arc<str>, Vec<Offer>> = BTreeMap::new();
    for offer in offers {
        let rack = &rooms[offer.room].rack;
        if able.contains(rack) {
            racks.entry(rack).or_default().push(offer.clone());
        }
    }
    racks
        .values()
        .filter_map(|offers| choose(unit, offers))
        .min_by_key(|chosen| chosen.1)
}

/// What a worker could take, and what that would cost.
#[derive(Clone, Debug)]
struct Offer {
    room: usize,
    pace_percent: u64,
    places: u64,
    loss: u64,
}

/// The borrowers of each of `rooms` rooms, those first that are cheapest to stop.
fn by_room<'a>(rooms: usize, borrowers: &[&'a Borrower]) -> Vec<Vec<&'a Borrower>> {
    let mut by_room: Vec<Vec<&Borrower>> = vec![Vec::new(); rooms];
    for borrower in borrowers {
        by_room[borrower.room].push(borrower);
    }
    for list in &mut by_room {
        list.sort_by_key(|borrower| (!borrower.stopping, borrower.loss));
    }
    by_room
}

fn offer(unit: &Unit, index: usize, room: &Room, borrowers: &[&Borrower]) -> Option<Offer> {
    let most = room.most(unit);
    let mut gained = Needs::default();
    let (mut places, mut loss) = (unit.needs.times_in(&room.open(), most), 0);
    for borrower in borrowers {
        if places >= most {
            break;
        }
        gained.add(&borrower.needs);
        loss += borrower.loss;
        places = unit.needs.times_in(&room.open_with(&gained), most);
    }
    (places > 0).then_some(Offer {
        room: index,
        pace_percent: room.pace_percent,
        places,
        loss,
    })
}

fn choose(unit: &Unit, offers: &[Offer]) -> Option<(Placement, u64)> {
    let mut offers: Vec<&Offer> = offers.iter().collect();
    offers.sort_by_key(|offer| (offer.loss * offer.pace_percent / offer.places, offer.room));
    let (mut left, mut loss) = (unit.count(), 0);
    let mut placement = Vec::new();
    for offer in offers {
        if left == 0 {
            break;
        }
        let take = offer.places.min(left);
        placement.push((offer.room, take));
        loss += offer.loss * offer.pace_percent / 100;
        left -= take;
    }
    (left == 0).then_some((placement, loss))
}

fn evictions(
    unit: &Unit,
    placement: &Placement,
    rooms: &[Room],
    by_room: &[Vec<&Borrower>],
    workload: &Workload,
) -> BTreeSet<RunId> {
    let mut stopped: BTreeSet<RunId> = BTreeSet::new();
    for (index, count) in placement {
        let own = &by_room[*index];
        let mut gained = Needs::default();
        for borrower in own {
            if borrower.stopping || stopped.contains(&borrower.run) {
                gained.add(&borrower.needs);
            }
        }
        for borrower in own {
            let places = unit
                .needs
                .times_in(&rooms[*index].open_with(&gained), *count);
            if places >= *count {
                break;
            }
            if borrower.stopping || stopped.contains(&borrower.run) {
                continue;
            }
            gained.add(&borrower.needs);
            stopped.extend(together(borrower.run, workload));
        }
    }
    stopped
}

/// A run and the members of its gang: stopping one ends them all, so all their room is gained.
fn together(run: RunId, workload: &Workload) -> Vec<RunId> {
    let gang = workload
        .step_spec(run.task.step)
        .is_some_and(|spec| spec.gang);
    if !gang {
        return vec![run];
    }
    let step = run.task.step;
    let tasks = workload
        .job(step.job)
        .and_then(|job| job.step(step))
        .map_or(&[][..], |progress| &progress.tasks);
    let open = tasks
        .iter()
        .zip(0..)
        .filter_map(|(task, index)| match task.state {
            TaskState::Open(attempt) => Some(RunId {
                task: TaskId { step, index },
                attempt,
            }),
            TaskState::Waiting | TaskState::Done => None,
        });
    open.collect()
}
