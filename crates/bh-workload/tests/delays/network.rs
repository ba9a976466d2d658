//! The way of orders to workers and of their answers back.

use super::event::Event;
use super::faults::Fault;
use super::faults::MOST_HELD_MS;
use super::history::Finding;
use super::history::Rule;
use super::site::Site;
use super::telling::of_answer;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Denial;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::job::RunId;

/// Longest time of a message that nothing holds up, in milliseconds.
const HOP_MS: u64 = 4;

/// Share of runs that may outlast a lease, percent.
const LONG_RUNS_PERCENT: u64 = 25;
/// Longest of those, in milliseconds.
const LONG_RUN_MS: u64 = 16_000;

/// A look that waits at its worker for an end.
pub struct WaitingLook {
    pub call: u64,
    pub order: Order,
    pub until_ms: u64,
}

/// What becomes of an order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The worker takes it, and its answer goes back.
    Plain,
    /// The worker takes it, and its answer is lost unseen.
    Unheard,
    /// The worker takes it, and the connection breaks.
    Breaks,
    /// The worker is busy and does nothing.
    Busy,
    /// The worker has no room.
    NoRoom,
}

impl Site<'_> {
    /// Time of a message, of which `late_percent` are held up.
    fn hop_ms(&mut self, late_percent: u64) -> u64 {
        if self.chance(late_percent) {
            self.random.below(MOST_HELD_MS)
        } else {
            self.random.below(HOP_MS)
        }
    }

    /// Sends an order; whoever waits for its answer gives up after a while.
    pub fn send(&mut self, order: Order) {
        let now_ms = self.now_ms;
        self.next_call += 1;
        let call = self.next_call;
        self.push(now_ms + order.answer_within_ms(), Event::Timeout { call });
        self.calls.insert(call, order.clone());
        let late = self.percent(|fault| match fault {
            Fault::LateOrders { percent, for_ms } => Some((*percent, *for_ms)),
            _ => None,
        });
        let at_ms = now_ms + self.hop_ms(late);
        let busy = self.case.busy_percent
            + self.percent(|fault| match fault {
                Fault::Busy { percent, for_ms } => Some((*percent, *for_ms)),
                _ => None,
            });
        let repeats = self.percent(|fault| match fault {
            Fault::Repeats { percent, for_ms } => Some((*percent, *for_ms)),
            _ => None,
        });
        let breaks = self.percent(|fault| match fault {
            Fault::BrokenConnections { percent, for_ms } => Some((*percent, *for_ms)),
            _ => None,
        });
        let uncarried = self.percent(|fault| match fault {
            Fault::Carriers { percent, for_ms } => Some((*percent, *for_ms)),
            _ => None,
        });
        if self.chance(uncarried) {
            self.lose_carrier(call, order);
            return;
        }
        if self.chance(repeats) {
            self.send_twice(call, order, at_ms);
            return;
        }
        let way = if self.chance(breaks) {
            Way::Breaks
        } else if !self.chance(busy) {
            Way::Plain
        } else if matches!(order.body, OrderBody::Start { .. }) && self.chance(30) {
            Way::NoRoom
        } else {
            Way::Busy
        };
        self.push(at_ms, Event::Arrive { call, order, way });
    }

    /// The core that carried an order is lost with it: after it was sent, before that, or it is suspended and sends it later.
    fn lose_carrier(&mut self, call: u64, order: Order) {
        const NOTICED_MS: u64 = 500;
        const SUSPENDED_MS: u64 = 10_000;
        let now_ms = self.now_ms;
        self.calls.remove(&call);
        let arrives_ms = match self.random.below(3) {
            0 => Some(now_ms),
            1 => Some(now_ms + self.random.below(SUSPENDED_MS)),
            _ => None,
        };
        if let Some(at_ms) = arrives_ms {
            let order = order.clone();
            let way = Way::Unheard;
            self.push(at_ms, Event::Arrive { call, order, way });
        }
        let at_ms = now_ms + self.random.below(NOTICED_MS);
        let answer = Answer::CarrierLost;
        let read = Event::Read {
            order,
            answer,
            repeated: false,
        };
        self.push(at_ms, read);
    }

    /// The connection breaks, and the order goes out again over another: the leader hears what comes back for the second, and that there was a first.
    fn send_twice(&mut self, call: u64, order: Order, at_ms: u64) {
        const AT_ONCE_PERCENT: u64 = 70;
        const BUSY_PERCENT: u64 = 50;
        let first_ms = if self.chance(AT_ONCE_PERCENT) {
            at_ms
        } else {
            at_ms + self.random.below(MOST_HELD_MS)
        };
        self.repeated.insert(call);
        let again_ms = at_ms + 1 + self.random.below(10);
        let first = Event::Arrive {
            call,
            order: order.clone(),
            way: Way::Unheard,
        };
        let way = if self.chance(BUSY_PERCENT) {
            Way::Busy
        } else {
            Way::Plain
        };
        self.push(first_ms, first);
        self.push(again_ms, Event::Arrive { call, order, way });
    }

    /// An order comes to its worker's address.
    pub fn arrive(&mut self, call: u64, order: Order, way: Way) {
        let now_ms = self.now_ms;
        let index = self.index_of(&order.to.worker);
        let index = index.or_else(|| self.later_of(&order.to.worker));
        let slot = self.slot_of(&order);
        if self.is_cut(slot) {
            return;
        }
        let Some(index) = index else {
            self.go_back(call, order, way, Answer::OtherIncarnation);
            return;
        };
        let clock_ms = Some(self.workers[index].clock_ms(now_ms));
        self.reached.denied += usize::from(matches!(way, Way::Busy | Way::NoRoom));
        let answer = match way {
            Way::Busy => Answer::Denied {
                clock_ms: self.chance(50).then_some(clock_ms).flatten(),
                denial: Denial::Unhealthy,
            },
            Way::NoRoom => self.deny_room(index, &order),
            Way::Plain | Way::Unheard | Way::Breaks => self.carry_out(index, &order),
        };
        self.note(|| {
            format!(
                "{} takes {} of term {} ({way:?}): {}",
                order.to.worker,
                order.body,
                order.token,
                of_answer(&answer)
            )
        });
        if let (
            OrderBody::Probe { wait_ms, .. },
            Answer::Done {
                report: Some(report),
                ..
            },
        ) = (&order.body, &answer)
            && report.ended.is_empty()
            && *wait_ms > 0
            && way == Way::Plain
        {
            let until_ms = now_ms + wait_ms;
            self.looks.push(WaitingLook {
                call,
                order,
                until_ms,
            });
            return;
        }
        self.go_back(call, order, way, answer);
    }

    /// A worker without room takes over the lease and the fencing token of a start, and nothing else.
    fn deny_room(&mut self, index: usize, order: &Order) -> Answer {
        let OrderBody::Start {
            run,
            lease_until_ms,
            ..
        } = &order.body
        else {
            return Answer::Lost;
        };
        if self.workers[index].runs.contains_key(run) {
            return self.carry_out(index, order);
        }
        let body = OrderBody::Probe {
            lease_until_ms: Some(*lease_until_ms),
            recorded_to: 0,
            wait_ms: 0,
        };
        let now_ms = self.now_ms;
        match self.workers[index].take(now_ms, order.fencing_token(), &body, 0, false) {
            (Answer::Done { clock_ms, .. }, _) => Answer::Denied {
                clock_ms,
                denial: Denial::NoRoom,
            },
            (answer, _) => answer,
        }
    }

    /// A worker carries an order out; what it begins and forgets is checked.
    fn carry_out(&mut self, index: usize, order: &Order) -> Answer {
        let now_ms = self.now_ms;
        let is_restarted = self.workers[index].id != order.to.worker;
        let is_first = !self.workers[index].has_received_orders();
        let fails_all = self.percent(|fault| match fault {
            Fault::FailsAll { worker, for_ms } if *worker == index => Some((100, *for_ms)),
            _ => None,
        });
        let fails = self.chance(self.case.failing_percent.max(fails_all));
        let run_ms = self.run_ms(fails);
        let (answer, began) =
            self.workers[index].take(now_ms, order.fencing_token(), &order.body, run_ms, fails);
        self.reached.misdelivered += usize::from(is_restarted);
        if let Some(run) = began
            && is_restarted
            && is_first
        {
            // It has no fencing token yet; the leader stops the run once it is reported.
            self.misdelivered.insert(run);
            if let Some(state) = self.workers[index].runs.get_mut(&run) {
                state.done_ms = None;
            }
        } else if let Some(run) = began {
            if self.is_gang(run.task.step)
                && let Some(state) = self.workers[index].runs.get_mut(&run)
            {
                // The gang decides.
                state.done_ms = None;
            }
            self.note_begin(index, run);
        }
        if let (OrderBody::Probe { recorded_to, .. }, Answer::Done { .. }) = (&order.body, &answer)
        {
            self.note_cursor(index, *recorded_to);
        }
        match answer {
            Answer::Done {
                report: Some(report),
                ..
            } if is_restarted => Answer::Restarted {
                started_ms: self.workers[index].id.started_ms.unwrap(),
                report,
            },
            answer => answer,
        }
    }

    /// How long a run takes, in milliseconds.
    pub fn run_ms(&mut self, fails: bool) -> u64 {
        if fails {
            10 + self.random.below(600)
        } else if self.chance(LONG_RUNS_PERCENT) {
            300 + self.random.below(LONG_RUN_MS)
        } else {
            300 + self.random.below(5_000)
        }
    }

    fn note_begin(&mut self, index: usize, run: RunId) {
        let now_ms = self.now_ms;
        let id = self.workers[index].id.clone();
        self.note(|| format!("{id} begins {run}"));
        let others: Vec<String> = self
            .workers
            .iter()
            .flat_map(|worker| worker.runs.keys().map(|other| (&worker.id, other)))
            .filter(|(_, other)| other.task == run.task && **other != run)
            .filter(|(_, other)| !self.misdelivered.contains(other))
            .map(|(worker, other)| format!("{other} on {worker}"))
            .collect();
        if !others.is_empty() {
            self.history.findings.push(Finding {
                rule: Rule::OneAtOnce,
                at_ms: now_ms,
                task: Some(run.task),
                text: format!("{run} begins on {id} at {now_ms} ms beside {others:?}"),
            });
        }
        self.history.note_begin(now_ms, run, &id.to_string());
    }

    /// The cursor of a look reached ends.
    fn note_cursor(&mut self, index: usize, recorded_to: u64) {
        let now_ms = self.now_ms;
        let (id, lapses) = (self.workers[index].id.clone(), self.workers[index].lapses);
        let reached = self.listed[index]
            .iter()
            .take_while(|end| end.0 <= recorded_to);
        let reached: Vec<_> = reached.copied().collect();
        self.listed[index].drain(..reached.len());
        for (number, run, kind) in reached {
            self.history
                .note_cursor(now_ms, &id.to_string(), number, lapses);
            if !self.recorded.contains(&(id.to_string(), run, kind)) {
                self.history.findings.push(Finding {
                    rule: Rule::RecordedFirst,
                    at_ms: now_ms,
                    task: Some(run.task),
                    text: format!("{id} forgets end {number}, {run} {kind:?}, at {now_ms} ms before it is recorded"),
                });
            }
        }
    }

    /// An answer goes back to the leader.
    fn go_back(&mut self, call: u64, order: Order, way: Way, answer: Answer) {
        if way == Way::Unheard {
            return;
        }
        let answer = if way == Way::Breaks {
            Answer::Lost
        } else {
            answer
        };
        let late = self.percent(|fault| match fault {
            Fault::LateAnswers { percent, for_ms } => Some((*percent, *for_ms)),
            _ => None,
        });
        let at_ms = self.now_ms + self.hop_ms(late);
        let term = order.token;
        self.push(at_ms, Event::Answer { call, term, answer });
    }

    /// An answer arrives, unless it is too late; it is read at once or after a while.
    pub fn answer(&mut self, call: u64, answer: Answer) {
        let Some(order) = self.calls.remove(&call) else {
            return;
        };
        let index = self.index_of(&order.to.worker);
        let index = index.or_else(|| self.later_of(&order.to.worker));
        if index.is_some_and(|index| self.is_cut(index)) {
            self.calls.insert(call, order);
            return;
        }
        let repeated = self.repeated.contains(&call);
        let late = self.percent(|fault| match fault {
            Fault::LateReads { percent, for_ms } => Some((*percent, *for_ms)),
            _ => None,
        });
        if self.chance(late) {
            self.reached.late_reads += 1;
            let at_ms = self.now_ms + self.random.below(MOST_HELD_MS);
            let read = Event::Read {
                order,
                answer,
                repeated,
            };
            self.push(at_ms, read);
        } else {
            self.read_answer(&order, &answer, repeated);
        }
    }

    /// Nothing came back in time.
    pub fn give_up_call(&mut self, call: u64) {
        if let Some(order) = self.calls.remove(&call) {
            self.read_answer(&order, &Answer::Lost, false);
        }
    }

    /// Looks that have waited long enough, or whose worker lists an end, are answered.
    pub fn answer_looks(&mut self) {
        let now_ms = self.now_ms;
        for look in std::mem::take(&mut self.looks) {
            let Some(index) = self.index_of(&look.order.to.worker) else {
                self.go_back(look.call, look.order, Way::Breaks, Answer::Lost);
                continue;
            };
            if now_ms < look.until_ms && self.workers[index].ended.is_empty() {
                self.looks.push(look);
                continue;
            }
            let answer = Answer::Done {
                clock_ms: Some(self.workers[index].clock_ms(now_ms)),
                report: Some(self.workers[index].report(now_ms)),
            };
            self.go_back(look.call, look.order, Way::Plain, answer);
        }
    }
}
