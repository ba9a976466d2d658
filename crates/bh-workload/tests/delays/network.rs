//! Delivery of orders to workers and of their answers, on the simulated site. The module head of [`super`] says what a core and a carrier are.

use super::event::Event;
use super::faults::Fault;
use super::faults::MAX_DELAY_MS;
use super::history::Finding;
use super::history::Rule;
use super::site::Site;
use super::summary::summarize_answer;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Denial;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::job::RunId;

/// Longest time that an undelayed message takes, in milliseconds.
const MAX_TRANSIT_MS: u64 = 4;

/// Share of runs that may outlast a lease, in percent.
const LONG_RUNS_PERCENT: u64 = 25;
/// Longest duration of such a run, in milliseconds.
const MAX_LONG_RUN_MS: u64 = 16_000;

/// A probe whose answer the worker holds back until one of its runs ends or the wait is over.
pub struct WaitingProbe {
    pub call: u64,
    pub order: Order,
    pub until_ms: u64,
}

/// What happens to an order when it is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The worker executes it, and the answer is sent back.
    Normal,
    /// The worker executes it, and nothing is sent back.
    NoAnswer,
    /// The worker executes it, and the connection breaks.
    ConnectionBreaks,
    /// The worker is busy and denies it as [`Denial::Unhealthy`].
    Busy,
    /// The worker has no free capacity and denies it.
    NoCapacity,
}

impl Site<'_> {
    /// Returns a random transit time, in milliseconds; `late_percent` of the messages are delayed.
    fn transit_ms(&mut self, late_percent: u64) -> u64 {
        if self.chance(late_percent) {
            self.random.below(MAX_DELAY_MS)
        } else {
            self.random.below(MAX_TRANSIT_MS)
        }
    }

    /// Sends an order; the sender gives up waiting for the answer after a while.
    pub fn send(&mut self, order: Order) {
        let now_ms = self.now_ms;
        self.next_call += 1;
        let call = self.next_call;
        self.push(
            now_ms + order.answer_within_ms(),
            Event::CallTimeout { call },
        );
        self.calls.insert(call, order.clone());
        let late = self.percent(|fault| match fault {
            Fault::LateOrders {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        let at_ms = now_ms + self.transit_ms(late);
        let busy = self.case.busy_percent
            + self.percent(|fault| match fault {
                Fault::BusyWorkers {
                    percent,
                    duration_ms,
                } => Some((*percent, *duration_ms)),
                _ => None,
            });
        let resent = self.percent(|fault| match fault {
            Fault::ResentOrders {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        let breaks_connection = self.percent(|fault| match fault {
            Fault::BrokenConnections {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        let loses_carrier = self.percent(|fault| match fault {
            Fault::LostCarriers {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        if self.chance(loses_carrier) {
            self.lose_carrier(call, order);
            return;
        }
        if self.chance(resent) {
            self.send_twice(call, order, at_ms);
            return;
        }
        let delivery = if self.chance(breaks_connection) {
            Delivery::ConnectionBreaks
        } else if !self.chance(busy) {
            Delivery::Normal
        } else if matches!(order.body, OrderBody::Start { .. }) && self.chance(30) {
            Delivery::NoCapacity
        } else {
            Delivery::Busy
        };
        self.push(
            at_ms,
            Event::OrderArrives {
                call,
                order,
                delivery,
            },
        );
    }

    /// The core that carries an order for the leader is lost: after it has sent the order or before that, or it is suspended and sends the order
    /// later. The leader only learns that the carrier was lost.
    fn lose_carrier(&mut self, call: u64, order: Order) {
        const MAX_DETECTION_MS: u64 = 500;
        const MAX_SUSPENSION_MS: u64 = 10_000;
        let now_ms = self.now_ms;
        self.calls.remove(&call);
        let arrives_ms = match self.random.below(3) {
            0 => Some(now_ms),
            1 => Some(now_ms + self.random.below(MAX_SUSPENSION_MS)),
            _ => None,
        };
        if let Some(at_ms) = arrives_ms {
            let order = order.clone();
            let delivery = Delivery::NoAnswer;
            self.push(
                at_ms,
                Event::OrderArrives {
                    call,
                    order,
                    delivery,
                },
            );
        }
        let at_ms = now_ms + self.random.below(MAX_DETECTION_MS);
        let answer = Answer::CarrierLost;
        let read = Event::ReadAnswer {
            order,
            answer,
            repeated: false,
        };
        self.push(at_ms, read);
    }

    /// The connection breaks, and the order is sent again over another. The leader gets the answer to the second copy, and is told that the
    /// order was repeated.
    fn send_twice(&mut self, call: u64, order: Order, at_ms: u64) {
        const PROMPT_PERCENT: u64 = 70;
        const BUSY_PERCENT: u64 = 50;
        let first_ms = if self.chance(PROMPT_PERCENT) {
            at_ms
        } else {
            at_ms + self.random.below(MAX_DELAY_MS)
        };
        self.resent_calls.insert(call);
        let again_ms = at_ms + 1 + self.random.below(10);
        let first = Event::OrderArrives {
            call,
            order: order.clone(),
            delivery: Delivery::NoAnswer,
        };
        let delivery = if self.chance(BUSY_PERCENT) {
            Delivery::Busy
        } else {
            Delivery::Normal
        };
        self.push(first_ms, first);
        self.push(
            again_ms,
            Event::OrderArrives {
                call,
                order,
                delivery,
            },
        );
    }

    /// Delivers an order to its worker's address.
    pub fn deliver(&mut self, call: u64, order: Order, delivery: Delivery) {
        let now_ms = self.now_ms;
        let index = self.index_of(&order.to.worker);
        let index = index.or_else(|| self.later_incarnation_of(&order.to.worker));
        let slot = self.slot_of(&order);
        if self.is_disconnected(slot) {
            return;
        }
        let Some(index) = index else {
            self.return_answer(call, order, delivery, Answer::OtherIncarnation);
            return;
        };
        let clock_ms = Some(self.workers[index].clock_ms(now_ms));
        self.coverage.denied_orders +=
            usize::from(matches!(delivery, Delivery::Busy | Delivery::NoCapacity));
        let answer = match delivery {
            // Some denials lack the worker's clock.
            Delivery::Busy => Answer::Denied {
                clock_ms: self.chance(50).then_some(clock_ms).flatten(),
                denial: Denial::Unhealthy,
            },
            Delivery::NoCapacity => self.deny_for_capacity(index, &order),
            Delivery::Normal | Delivery::NoAnswer | Delivery::ConnectionBreaks => {
                self.execute(index, &order)
            }
        };
        self.trace_event(|| {
            format!(
                "{} gets {} of term {} ({delivery:?}): {}",
                order.to.worker,
                order.body,
                order.token,
                summarize_answer(&answer)
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
            && delivery == Delivery::Normal
        {
            let until_ms = now_ms + wait_ms;
            self.waiting_probes.push(WaitingProbe {
                call,
                order,
                until_ms,
            });
            return;
        }
        self.return_answer(call, order, delivery, answer);
    }

    /// Denies a start for want of capacity: the worker only adopts the lease and the fencing token of the order.
    fn deny_for_capacity(&mut self, index: usize, order: &Order) -> Answer {
        let OrderBody::Start {
            run,
            lease_until_ms,
            ..
        } = &order.body
        else {
            return Answer::Lost;
        };
        if self.workers[index].runs.contains_key(run) {
            return self.execute(index, order);
        }
        let body = OrderBody::Probe {
            lease_until_ms: Some(*lease_until_ms),
            recorded_to: 0,
            wait_ms: 0,
        };
        let now_ms = self.now_ms;
        match self.workers[index].handle_order(now_ms, order.fencing_token(), &body, 0, false) {
            (Answer::Done { clock_ms, .. }, _) => Answer::Denied {
                clock_ms,
                denial: Denial::NoRoom,
            },
            (answer, _) => answer,
        }
    }

    /// A worker executes an order. Checks the run that it starts, and the ends that it forgets because the order acknowledges them as recorded.
    fn execute(&mut self, index: usize, order: &Order) -> Answer {
        let now_ms = self.now_ms;
        let is_restarted = self.workers[index].id != order.to.worker;
        let is_first = !self.workers[index].has_received_orders();
        let all_fail_percent = self.percent(|fault| match fault {
            Fault::FailingWorker {
                worker,
                duration_ms,
            } if *worker == index => Some((100, *duration_ms)),
            _ => None,
        });
        let fails = self.chance(self.case.failing_percent.max(all_fail_percent));
        let run_ms = self.run_ms(fails);
        let (answer, started) = self.workers[index].handle_order(
            now_ms,
            order.fencing_token(),
            &order.body,
            run_ms,
            fails,
        );
        self.coverage.misdelivered_orders += usize::from(is_restarted);
        if let Some(run) = started
            && is_restarted
            && is_first
        {
            // The order was for an earlier incarnation. This one has no fencing token yet by which to refuse it; the leader stops the run once it is
            // reported, so the run may overlap another one of its task.
            self.misdelivered_runs.insert(run);
            if let Some(state) = self.workers[index].runs.get_mut(&run) {
                state.done_ms = None;
            }
        } else if let Some(run) = started {
            if self.is_gang(run.task.step)
                && let Some(state) = self.workers[index].runs.get_mut(&run)
            {
                // The simulation of the gang decides when the run ends.
                state.done_ms = None;
            }
            self.record_start(index, run);
        }
        if let (OrderBody::Probe { recorded_to, .. }, Answer::Done { .. }) = (&order.body, &answer)
        {
            self.acknowledge_ends(index, *recorded_to);
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

    /// Returns a random duration of a run, in milliseconds.
    pub fn run_ms(&mut self, fails: bool) -> u64 {
        if fails {
            10 + self.random.below(600)
        } else if self.chance(LONG_RUNS_PERCENT) {
            300 + self.random.below(MAX_LONG_RUN_MS)
        } else {
            300 + self.random.below(5_000)
        }
    }

    fn record_start(&mut self, index: usize, run: RunId) {
        let now_ms = self.now_ms;
        let id = self.workers[index].id.clone();
        self.trace_event(|| format!("{id} starts {run}"));
        let others: Vec<String> = self
            .workers
            .iter()
            .flat_map(|worker| worker.runs.keys().map(|other| (&worker.id, other)))
            .filter(|(_, other)| other.task == run.task && **other != run)
            .filter(|(_, other)| !self.misdelivered_runs.contains(other))
            .map(|(worker, other)| format!("{other} on {worker}"))
            .collect();
        if !others.is_empty() {
            self.history.findings.push(Finding {
                rule: Rule::OneAtOnce,
                at_ms: now_ms,
                task: Some(run.task),
                text: format!("{run} starts on {id} at {now_ms} ms beside {others:?}"),
            });
        }
        self.history.record_start(now_ms, run, &id.to_string());
    }

    /// Acknowledges the ends that a probe's cursor has reached, and checks that they are recorded.
    fn acknowledge_ends(&mut self, index: usize, recorded_to: u64) {
        let now_ms = self.now_ms;
        // The number of leases of the worker that have run out.
        let (id, lapses) = (self.workers[index].id.clone(), self.workers[index].lapses);
        let acknowledged = self.listed_ends[index]
            .iter()
            .take_while(|end| end.0 <= recorded_to);
        let acknowledged: Vec<_> = acknowledged.copied().collect();
        self.listed_ends[index].drain(..acknowledged.len());
        for (number, run, kind) in acknowledged {
            self.history
                .acknowledge(now_ms, &id.to_string(), number, lapses);
            if !self.recorded_ends.contains(&(id.to_string(), run, kind)) {
                self.history.findings.push(Finding {
                    rule: Rule::RecordedBeforeForgotten,
                    at_ms: now_ms,
                    task: Some(run.task),
                    text: format!("{id} forgets end {number}, {run} {kind:?}, at {now_ms} ms before it is recorded"),
                });
            }
        }
    }

    /// Sends an answer back to the leader.
    fn return_answer(&mut self, call: u64, order: Order, delivery: Delivery, answer: Answer) {
        if delivery == Delivery::NoAnswer {
            return;
        }
        let answer = if delivery == Delivery::ConnectionBreaks {
            Answer::Lost
        } else {
            answer
        };
        let late = self.percent(|fault| match fault {
            Fault::LateAnswers {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        let at_ms = self.now_ms + self.transit_ms(late);
        // The fencing token of an order is the term of its leader, before restarts of the worker are added.
        let term = order.token;
        self.push(at_ms, Event::AnswerArrives { call, term, answer });
    }

    /// Receives an answer, unless the call has timed out; the leader reads it at once or after a while.
    pub fn receive_answer(&mut self, call: u64, answer: Answer) {
        let Some(order) = self.calls.remove(&call) else {
            return;
        };
        let index = self.index_of(&order.to.worker);
        let index = index.or_else(|| self.later_incarnation_of(&order.to.worker));
        if index.is_some_and(|index| self.is_disconnected(index)) {
            self.calls.insert(call, order);
            return;
        }
        let repeated = self.resent_calls.contains(&call);
        let late = self.percent(|fault| match fault {
            Fault::LateReads {
                percent,
                duration_ms,
            } => Some((*percent, *duration_ms)),
            _ => None,
        });
        if self.chance(late) {
            self.coverage.late_reads += 1;
            let at_ms = self.now_ms + self.random.below(MAX_DELAY_MS);
            let read = Event::ReadAnswer {
                order,
                answer,
                repeated,
            };
            self.push(at_ms, read);
        } else {
            self.read_answer(&order, &answer, repeated);
        }
    }

    /// A call has had no answer in time.
    pub fn time_out_call(&mut self, call: u64) {
        if let Some(order) = self.calls.remove(&call) {
            self.read_answer(&order, &Answer::Lost, false);
        }
    }

    /// Answers the probes that have waited long enough or whose worker lists an end.
    pub fn answer_due_probes(&mut self) {
        let now_ms = self.now_ms;
        for probe in std::mem::take(&mut self.waiting_probes) {
            let Some(index) = self.index_of(&probe.order.to.worker) else {
                self.return_answer(
                    probe.call,
                    probe.order,
                    Delivery::ConnectionBreaks,
                    Answer::Lost,
                );
                continue;
            };
            if now_ms < probe.until_ms && self.workers[index].ended.is_empty() {
                self.waiting_probes.push(probe);
                continue;
            }
            let answer = Answer::Done {
                clock_ms: Some(self.workers[index].clock_ms(now_ms)),
                report: Some(self.workers[index].report(now_ms)),
            };
            self.return_answer(probe.call, probe.order, Delivery::Normal, answer);
        }
    }
}
