//! Messages between dispatchers and targets, with link faults.

use ggb_model::{Zone, token_after_restarts};
use ggb_placement::{
    Action, CALLER_EXPIRY_MS, JobAnswer, Listing, ListingRequest, PartOutcome, Run, StartOutcome,
    Submission,
};
use ggb_standin::SimulatedWork;
use rand::Rng as _;

use super::{
    INTER_ZONE_LATENCY_MS, INTRA_ZONE_LATENCY_MS, Offloaded, Owner, Simulation, TAKEOVER_DELAY_MS,
    Waiter, zone_name,
};

/// Maximum time for which a target delays a listing.
const LISTING_WAIT_MS: u64 = 300;

/// Time after which a request without an answer fails; a listing request waits for up to
/// [`LISTING_WAIT_MS`] in addition.
const REQUEST_TIMEOUT_MS: u64 = 100;

/// Probabilities of link faults per request, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The request is lost.
    pub lost: u32,
    /// The request is not answered and is executed 2 to 12 s later.
    pub late: u32,
    /// The request is executed and its response is lost.
    pub unanswered: u32,
    /// Longest time by which a listing arrives later than an answer that is sent with it, in ms.
    pub listing_delay_ms: u64,
}

/// A request for a listing that a target has received.
#[derive(Clone, Copy)]
pub(super) struct ListingCall {
    owner_index: usize,
    target_index: usize,
    requested_at_ms: u64,
    /// Time for which the target may delay the listing.
    wait_ms: u64,
    /// For a periodic request, which the next one follows: the number of times that polling had been
    /// restarted.
    poll: Option<u32>,
    /// Incarnation of the target that received the request.
    started_unix_ms: u64,
}

impl Owner {
    /// Returns the number of times that polling of a target was restarted.
    fn poll_restarts(&self, target_index: usize) -> u32 {
        let restarts = &self.poll_restarts;
        let position = restarts.binary_search_by_key(&target_index, |(target, _)| *target);
        position.map_or(0, |position| restarts[position].1)
    }

    fn count_poll_restart(&mut self, target_index: usize) {
        let restarts = &mut self.poll_restarts;
        match restarts.binary_search_by_key(&target_index, |(target, _)| *target) {
            Ok(position) => restarts[position].1 += 1,
            Err(position) => restarts.insert(position, (target_index, 1)),
        }
    }
}

/// Effect of the link faults on a request.
enum Delivery {
    Delivered,
    Lost,
    Late(u64),
    Unanswered,
}

impl Simulation {
    fn draw_delivery(&mut self, owner_index: usize, target_index: usize) -> Delivery {
        let is_cut_off = self.cut_off_targets.is_some_and(|(zone, first_owner)| {
            self.targets[target_index].zone == zone
                && target_index.is_multiple_of(2)
                && owner_index >= first_owner
        });
        if is_cut_off || self.is_split_off(owner_index, target_index) {
            return Delivery::Lost;
        }
        let Faults { lost, late, unanswered, .. } = self.faults;
        let drawn = self.rng.random_range(0..1_000);
        match drawn {
            drawn if drawn < lost => Delivery::Lost,
            drawn if drawn < lost + late => Delivery::Late(self.rng.random_range(2_000..12_000)),
            drawn if drawn < lost + late + unanswered => Delivery::Unanswered,
            _ => Delivery::Delivered,
        }
    }

    /// Returns whether only the rival of an owner reaches a target.
    fn is_split_off(&self, owner_index: usize, target_index: usize) -> bool {
        let split = self
            .rivalry
            .filter(|rivalry| rivalry.is_split && rivalry.zone == self.targets[target_index].zone);
        split
            .is_some_and(|rivalry| (owner_index == rivalry.rival) == target_index.is_multiple_of(2))
    }

    /// Executes the pending actions of a dispatcher.
    pub(super) fn execute_actions(&mut self, owner_index: usize) {
        for action in self.owners[owner_index].dispatcher.take_actions() {
            match action {
                Action::Start { target, run, valid_until_clock_ms, seen_restarts, .. } => {
                    let target_index = self.target_index(&target);
                    self.send_start(
                        owner_index,
                        target_index,
                        run,
                        seen_restarts,
                        valid_until_clock_ms,
                    );
                }
                Action::Stop { target, run, seen_restarts, .. } => {
                    self.send_stop(owner_index, self.target_index(&target), run, seen_restarts);
                }
                Action::RequestListing { target } => {
                    self.request_listing(owner_index, self.target_index(&target), 0, None)
                }
                Action::RestartPolling { target } => {
                    let target_index = self.target_index(&target);
                    self.owners[owner_index].count_poll_restart(target_index);
                    self.poll_target(owner_index, target_index, 0);
                }
                Action::OffloadPart { part, zone, submission } => {
                    self.offload_part(owner_index, part, &zone, submission)
                }
                Action::CancelPart { part } => self.cancel_part(owner_index, part),
                Action::Answer { request, answer } => {
                    self.deliver_answer(owner_index, request, answer)
                }
            }
        }
        if self.owners[owner_index].dispatcher.is_superseded() && self.owners[owner_index].is_alive
        {
            self.supersede_owner(owner_index);
        }
    }

    fn target_index(&self, id: &str) -> usize {
        let found = self.targets.iter().position(|target| target.info.id.as_ref() == id);
        found.expect("dispatchers have only targets of the simulation")
    }

    fn work_of(&self, run: Run) -> SimulatedWork {
        let caller_index = usize::from_str_radix(run.task.job.as_str(), 16)
            .expect("job ids are caller indexes in hexadecimal");
        self.callers[caller_index].work
    }

    fn send_start(
        &mut self,
        owner_index: usize,
        target_index: usize,
        run: Run,
        seen_restarts: u64,
        valid_until_clock_ms: u64,
    ) {
        let delivery = self.draw_delivery(owner_index, target_index);
        let token = token_after_restarts(self.owners[owner_index].claim.token, seen_restarts);
        let start = move |sim: &mut Simulation| {
            let now_ms = sim.now_ms;
            let work = sim.work_of(run);
            let simulated = &mut sim.targets[target_index].simulated;
            let outcome = simulated.start(token, run, work, valid_until_clock_ms, now_ms);
            let clock_ms = simulated.clock_ms(now_ms);
            sim.schedule_end(target_index);
            (outcome, clock_ms)
        };
        let apply_outcome = move |sim: &mut Simulation, outcome, clock_ms| {
            let now_ms = sim.now_ms;
            let target = sim.targets[target_index].info.id.clone();
            let dispatcher = &mut sim.owners[owner_index].dispatcher;
            dispatcher.apply_start_outcome(&target, run, seen_restarts, outcome, clock_ms, now_ms);
            sim.execute_actions(owner_index);
        };
        match delivery {
            Delivery::Delivered => self.schedule_after(INTRA_ZONE_LATENCY_MS, move |sim| {
                if sim.targets[target_index].is_down(sim.now_ms) {
                    let left_ms = REQUEST_TIMEOUT_MS - INTRA_ZONE_LATENCY_MS;
                    sim.schedule_on_owner(owner_index, left_ms, move |sim| {
                        apply_outcome(sim, StartOutcome::Unanswered, None);
                    });
                    return;
                }
                let (outcome, clock_ms) = start(sim);
                sim.schedule_on_owner(owner_index, INTRA_ZONE_LATENCY_MS, move |sim| {
                    apply_outcome(sim, outcome, Some(clock_ms))
                });
            }),
            Delivery::Lost => {}
            // A delayed request is lost if the target crashes before it arrives.
            Delivery::Late(delay_ms) => {
                let started_unix_ms = self.targets[target_index].simulated.started_unix_ms();
                self.schedule_after(delay_ms, move |sim| {
                    if sim.targets[target_index].simulated.started_unix_ms() == started_unix_ms {
                        start(sim);
                    }
                });
            }
            Delivery::Unanswered => self.schedule_after(INTRA_ZONE_LATENCY_MS, move |sim| {
                if !sim.targets[target_index].is_down(sim.now_ms) {
                    start(sim);
                }
            }),
        }
        if !matches!(delivery, Delivery::Delivered) {
            self.schedule_on_owner(owner_index, REQUEST_TIMEOUT_MS, move |sim| {
                apply_outcome(sim, StartOutcome::Unanswered, None);
            });
        }
    }

    fn send_stop(&mut self, owner_index: usize, target_index: usize, run: Run, seen_restarts: u64) {
        let delay_ms = match self.draw_delivery(owner_index, target_index) {
            Delivery::Lost => return,
            Delivery::Late(delay_ms) => delay_ms,
            Delivery::Delivered | Delivery::Unanswered => INTRA_ZONE_LATENCY_MS,
        };
        let token = token_after_restarts(self.owners[owner_index].claim.token, seen_restarts);
        self.schedule_after(delay_ms, move |sim| {
            let now_ms = sim.now_ms;
            let target = &mut sim.targets[target_index];
            if !target.is_down(now_ms) {
                target.simulated.stop(token, run, now_ms);
                sim.answer_waiting_requests(target_index);
            }
        });
    }

    /// Requests listings from a target repeatedly for as long as the owner is alive.
    pub(super) fn poll_target(&mut self, owner_index: usize, target_index: usize, pause_ms: u64) {
        let poll = self.owners[owner_index].poll_restarts(target_index);
        self.schedule_on_owner(owner_index, pause_ms, move |sim| {
            if sim.owners[owner_index].poll_restarts(target_index) == poll {
                sim.request_listing(owner_index, target_index, LISTING_WAIT_MS, Some(poll));
            }
        });
    }

    /// Requests the next listing `pause_ms` after one that was requested in `poll`, unless that was not a
    /// periodic request or polling has been restarted.
    fn continue_polling(
        &mut self,
        owner_index: usize,
        target_index: usize,
        poll: Option<u32>,
        pause_ms: u64,
    ) {
        if poll == Some(self.owners[owner_index].poll_restarts(target_index)) {
            self.poll_target(owner_index, target_index, pause_ms);
        }
    }

    fn request_listing(
        &mut self,
        owner_index: usize,
        target_index: usize,
        wait_ms: u64,
        poll: Option<u32>,
    ) {
        let now_ms = self.now_ms;
        let target_id = self.targets[target_index].info.id.clone();
        let dispatcher = &mut self.owners[owner_index].dispatcher;
        let Some(request) = dispatcher.listing_request(&target_id, now_ms) else {
            return;
        };
        let ListingRequest { seen_restarts, ack_cursor, lease_until_clock_ms, may_wait, .. } =
            request;
        let wait_ms = if may_wait { wait_ms } else { 0 };
        let token = token_after_restarts(self.owners[owner_index].claim.token, seen_restarts);
        let delivery = self.draw_delivery(owner_index, target_index);
        let deliver_request = move |sim: &mut Simulation| {
            let now_ms = sim.now_ms;
            sim.targets[target_index]
                .simulated
                .hold(token, ack_cursor, lease_until_clock_ms, now_ms)
                .is_some()
        };
        let mut call = ListingCall {
            owner_index,
            target_index,
            requested_at_ms: now_ms,
            wait_ms,
            poll,
            started_unix_ms: 0,
        };
        match delivery {
            Delivery::Delivered => {
                self.schedule_after(INTRA_ZONE_LATENCY_MS, move |sim| {
                    let target = &sim.targets[target_index];
                    if target.is_down(sim.now_ms) {
                        sim.time_out_listing_request(call);
                        return;
                    }
                    call.started_unix_ms = target.simulated.started_unix_ms();
                    if deliver_request(sim) {
                        sim.answer_listing_request(call, sim.now_ms + wait_ms);
                    } else {
                        sim.schedule_on_owner(owner_index, INTRA_ZONE_LATENCY_MS, move |sim| {
                            sim.handle_rejected_listing_request(
                                owner_index,
                                target_index,
                                seen_restarts,
                                poll,
                            );
                        });
                    }
                });
                return;
            }
            Delivery::Lost => {}
            Delivery::Late(delay_ms) => self.schedule_after(delay_ms, move |sim| {
                deliver_request(sim);
            }),
            Delivery::Unanswered => self.schedule_after(INTRA_ZONE_LATENCY_MS, move |sim| {
                deliver_request(sim);
            }),
        }
        self.time_out_listing_request(call);
    }

    /// Fails a request for a listing that gets no answer, once its time limit is reached.
    fn time_out_listing_request(&mut self, call: ListingCall) {
        let ListingCall { owner_index, target_index, requested_at_ms, wait_ms, poll, .. } = call;
        let timeout_ms = wait_ms + REQUEST_TIMEOUT_MS;
        let left_ms = (requested_at_ms + timeout_ms).saturating_sub(self.now_ms);
        self.schedule_on_owner(owner_index, left_ms, move |sim| {
            let (now_ms, target_id) = (sim.now_ms, sim.targets[target_index].info.id.clone());
            let took_ms = now_ms - requested_at_ms;
            let dispatcher = &mut sim.owners[owner_index].dispatcher;
            dispatcher.record_listing_failure(&target_id, took_ms, timeout_ms, now_ms);
            sim.execute_actions(owner_index);
            sim.continue_polling(owner_index, target_index, poll, 25);
        });
    }

    fn handle_rejected_listing_request(
        &mut self,
        owner_index: usize,
        target_index: usize,
        seen_restarts: u64,
        poll: Option<u32>,
    ) {
        let target_id = self.targets[target_index].info.id.clone();
        let target = self.owners[owner_index].dispatcher.target_mut(&target_id);
        match target.is_some_and(|target| target.seen_restarts() == seen_restarts) {
            true => self.supersede_owner(owner_index),
            false => self.continue_polling(owner_index, target_index, poll, 25),
        }
    }

    /// Answers a request for a listing once a run has ended, at the latest at `until_ms`.
    fn answer_listing_request(&mut self, call: ListingCall, until_ms: u64) {
        let ListingCall { owner_index, target_index, requested_at_ms, poll, .. } = call;
        let now_ms = self.now_ms;
        let target = &mut self.targets[target_index];
        if target.crashed_silently && target.simulated.started_unix_ms() != call.started_unix_ms {
            self.time_out_listing_request(call);
            return;
        }
        let simulated = &mut target.simulated;
        simulated.advance(now_ms);
        if !simulated.has_finished_runs() && now_ms < until_ms {
            let number = self.next_event_number;
            target.waiting.push((number, call, until_ms));
            self.schedule_after(until_ms - now_ms, move |sim| {
                let waiting = &mut sim.targets[target_index].waiting;
                if let Some(index) = waiting.iter().position(|(other, ..)| *other == number) {
                    waiting.swap_remove(index);
                    sim.answer_listing_request(call, until_ms);
                }
            });
            self.schedule_end(target_index);
            return;
        }
        let listing = simulated.list(now_ms);
        let delay_ms = match self.faults.listing_delay_ms {
            0 => 0,
            max_ms => self.random_below(max_ms + 1),
        };
        self.schedule_on_owner(owner_index, INTRA_ZONE_LATENCY_MS + delay_ms, move |sim| {
            sim.apply_listing(owner_index, target_index, &listing, requested_at_ms);
            let is_current = poll == Some(sim.owners[owner_index].poll_restarts(target_index));
            if is_current && sim.owners[owner_index].is_alive {
                sim.request_listing(owner_index, target_index, LISTING_WAIT_MS, poll);
            }
        });
    }

    /// Answers the requests for listings that wait for the next end of a run, when it has come.
    fn schedule_end(&mut self, target_index: usize) {
        let now_ms = self.now_ms;
        let Some(end_ms) = self.targets[target_index].simulated.next_end_ms() else { return };
        self.schedule_after(end_ms.saturating_sub(now_ms).max(1), move |sim| {
            sim.answer_waiting_requests(target_index)
        });
    }

    /// Answers the requests for listings that wait for the end of a run, if one has ended.
    fn answer_waiting_requests(&mut self, target_index: usize) {
        let target = &mut self.targets[target_index];
        target.simulated.advance(self.now_ms);
        if target.simulated.has_finished_runs() {
            for (_, call, until_ms) in std::mem::take(&mut target.waiting) {
                self.answer_listing_request(call, until_ms);
            }
        }
    }

    fn apply_listing(
        &mut self,
        owner_index: usize,
        target_index: usize,
        listing: &Listing,
        requested_at_ms: u64,
    ) {
        let now_ms = self.now_ms;
        let target_id = self.targets[target_index].info.id.clone();
        let dispatcher = &mut self.owners[owner_index].dispatcher;
        dispatcher.apply_listing(&target_id, listing, requested_at_ms, now_ms);
        dispatcher.set_target_reachable(&target_id, true, now_ms);
        self.execute_actions(owner_index);
    }

    pub(super) fn supersede_owner(&mut self, owner_index: usize) {
        let zone = self.owners[owner_index].zone;
        let rivalry = self.rivalry.take_if(|rivalry| rivalry.zone == zone);
        if self.current_owners[zone] == Some(owner_index) {
            self.current_owners[zone] = rivalry.map(|rivalry| rivalry.rival);
            if rivalry.is_none() {
                self.schedule_after(TAKEOVER_DELAY_MS, move |sim| sim.take_over(zone));
            }
        }
        self.owners[owner_index].is_alive = false;
        self.owners[owner_index].dispatcher.step_down();
        self.execute_actions(owner_index);
        self.drop_connections(owner_index);
    }

    fn offload_part(&mut self, owner_index: usize, part: u64, zone: &Zone, submission: Submission) {
        let local_zone = self.owners[owner_index].zone;
        let remote_zone = (0..self.current_owners.len()).find(|index| zone_name(*index) == *zone);
        let remote_owner = remote_zone
            .filter(|index| !self.are_partitioned(local_zone, *index))
            .and_then(|index| self.current_owners[index]);
        let Some(remote_owner) = remote_owner else {
            self.schedule_on_owner(owner_index, INTER_ZONE_LATENCY_MS, move |sim| {
                sim.apply_part_outcome(owner_index, part, PartOutcome::Refused);
            });
            return;
        };
        let job = submission.job.id;
        let offloaded = Offloaded { part, job, owner: remote_owner, request: None };
        self.owners[owner_index].offloaded.push(offloaded);
        let sent_at_ms = self.now_ms;
        self.schedule_on_owner(remote_owner, INTER_ZONE_LATENCY_MS, move |sim| {
            // A part that was cancelled in the meantime is not submitted, since its connection is
            // closed.
            if !sim.is_outstanding(owner_index, part) || !sim.owners[owner_index].is_alive {
                return;
            }
            let mut submission = submission;
            submission.caller_check_age_ms += sim.now_ms - sent_at_ms;
            let request = sim.submit_to(
                remote_owner,
                submission,
                Waiter::Offloader { owner: owner_index, part },
            );
            let mut offloaded = sim.owners[owner_index].offloaded.iter_mut();
            if let Some(offloaded) = offloaded.find(|offloaded| offloaded.part == part) {
                offloaded.request = Some(request);
            }
        });
        self.monitor_part(owner_index, part, remote_owner);
    }

    fn is_outstanding(&self, owner_index: usize, part: u64) -> bool {
        self.owners[owner_index].offloaded.iter().any(|offloaded| offloaded.part == part)
    }

    /// Checks every 400 ms whether the owner that a part was submitted to is reachable. If it is
    /// not, the part is lost, which that owner detects 200 ms later. Both detect it within the time
    /// for which a request for the answer stays open.
    fn monitor_part(&mut self, owner_index: usize, part: u64, remote_owner: usize) {
        self.schedule_on_owner(owner_index, 400, move |sim| {
            if !sim.is_outstanding(owner_index, part) {
                return;
            }
            let is_unreachable = !sim.owners[remote_owner].is_alive
                || sim.owners[remote_owner].frozen_until_ms > sim.now_ms
                || sim.are_partitioned(sim.owners[owner_index].zone, sim.owners[remote_owner].zone);
            match is_unreachable {
                true => sim.lose_part(owner_index, part, 200),
                false => sim.monitor_part(owner_index, part, remote_owner),
            }
        });
    }

    /// Cancels a part; the remote owner detects this after `delay_ms`.
    fn lose_part(&mut self, owner_index: usize, part: u64, delay_ms: u64) {
        let offloaded = &mut self.owners[owner_index].offloaded;
        let Some(index) = offloaded.iter().position(|offloaded| offloaded.part == part) else {
            return;
        };
        let offloaded = offloaded.remove(index);
        if let Some(request) = offloaded.request {
            self.remove_request(offloaded.owner, request, delay_ms);
        }
        self.schedule_on_owner(owner_index, CALLER_EXPIRY_MS, move |sim| {
            sim.apply_part_outcome(owner_index, part, PartOutcome::Lost);
        });
    }

    fn cancel_part(&mut self, owner_index: usize, part: u64) {
        self.lose_part(owner_index, part, INTER_ZONE_LATENCY_MS);
    }

    pub(super) fn apply_part_answer(&mut self, owner_index: usize, part: u64, answer: JobAnswer) {
        let (outcome, delay_ms) = match answer {
            JobAnswer::Completed => (PartOutcome::Completed, INTER_ZONE_LATENCY_MS),
            JobAnswer::Failed => (PartOutcome::Failed, INTER_ZONE_LATENCY_MS),
            JobAnswer::Refused { .. } => (PartOutcome::Refused, INTER_ZONE_LATENCY_MS),
            JobAnswer::GivenUp
            | JobAnswer::Moved { .. }
            | JobAnswer::NotTaken
            | JobAnswer::Unknown => (PartOutcome::Lost, INTER_ZONE_LATENCY_MS + CALLER_EXPIRY_MS),
        };
        self.schedule_on_owner(owner_index, delay_ms, move |sim| {
            sim.owners[owner_index].offloaded.retain(|offloaded| offloaded.part != part);
            sim.apply_part_outcome(owner_index, part, outcome);
        });
    }

    pub(super) fn apply_part_outcome(
        &mut self,
        owner_index: usize,
        part: u64,
        outcome: PartOutcome,
    ) {
        let now_ms = self.now_ms;
        self.owners[owner_index].dispatcher.apply_part_outcome(part, outcome, now_ms);
        self.execute_actions(owner_index);
    }
}
