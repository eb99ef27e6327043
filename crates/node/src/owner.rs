//! Drives the dispatcher of a zone: sends its requests to targets and its answers to callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_std::task;
use futures::{
    channel::oneshot,
    future::{Either, select},
    pin_mut,
};
use ggb_adapter::{ListingReply, StartReply, TargetClient};
use ggb_model::{Zone, token_after_restarts};
use ggb_placement::{
    Action, Claim, ClaimId, Dispatcher, EarlierRuns, JobAnswer, JobId, ListingRequest, Load,
    PartOutcome, RequestId, Run, SpeedSummary, Submission, TargetInfo, TargetLoss, TargetLosses,
};
use ggb_telemetry::log_event;
use parking_lot::Mutex;

use crate::{
    lending::offload_part, listing_polls::ListingPolls, process::CONNECT_TIMEOUT_MS, shared::Shared,
};

/// Maximum time for which a target delays a listing until a run ends; well within a lease, so
/// that the lease survives one lost message.
const MAX_LISTING_WAIT_MS: u64 = 300;

/// Maximum delay of a listing as a percentage of the lease, for targets that grant short leases.
const MAX_LISTING_WAIT_LEASE_PERCENT: u64 = 30;

/// Timeout of a request to a target in the same zone, where an exchange usually takes 1 ms.
const REQUEST_TIMEOUT_MS: u64 = 100;

/// Delay before the first retry of a listing that failed; doubled for each further failure.
const INITIAL_RETRY_DELAY_MS: u64 = 25;

/// Maximum delay between two attempts to get a listing.
const MAX_RETRY_DELAY_MS: u64 = 400;

/// Interval of [`Dispatcher::tick`] while the dispatcher has jobs.
const BUSY_TICK_INTERVAL_MS: u64 = 5;

/// Interval of [`Dispatcher::tick`] while the dispatcher has no jobs.
const IDLE_TICK_INTERVAL_MS: u64 = 100;

/// The owner of a zone's targets: runs the zone's [`Dispatcher`] and carries out its actions.
pub(crate) struct Owner {
    shared: Arc<Shared>,
    client: TargetClient,
    claim: Claim,
    state: Mutex<State>,
    stopped: AtomicBool,
}

struct State {
    dispatcher: Dispatcher,
    /// Senders of the answers to pending jobs, sorted by request.
    answer_senders: Vec<(RequestId, oneshot::Sender<JobAnswer>)>,
    next_request: u64,
    /// Senders that cancel the parts offloaded to other zones, by part; dropping one cancels.
    part_cancel_senders: Vec<(u64, oneshot::Sender<()>)>,
    listing_polls: ListingPolls,
}

/// Returns the answer to a job whose owner stopped without reporting which tasks it started.
fn moved_answer() -> JobAnswer {
    JobAnswer::Moved {
        done: Vec::new(),
        earlier_runs: EarlierRuns::AnyZone,
        run_targets: None,
        token: None,
    }
}

/// A request to a target to start a run.
struct StartRequest {
    target: Arc<str>,
    addr: SocketAddr,
    run: Run,
    spec: Arc<str>,
    valid_until_clock_ms: u64,
    seen_restarts: u64,
}

/// A submitted job that awaits its answer; dropping it removes the request.
pub(crate) struct PendingJob {
    owner: Arc<Owner>,
    request: RequestId,
    answer: oneshot::Receiver<JobAnswer>,
}

impl PendingJob {
    /// Waits for the answer of the job and returns it.
    pub(crate) async fn answer(&mut self) -> JobAnswer {
        (&mut self.answer).await.unwrap_or_else(|_| moved_answer())
    }
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        let request = self.request;
        self.owner.forget_request(request);
        self.owner.update(|dispatcher, now_ms| dispatcher.remove_request(request, now_ms));
    }
}

impl Owner {
    /// Starts an owner that dispatches under the fencing token `token`.
    pub(crate) fn spawn(shared: Arc<Shared>, token: u64) -> Arc<Self> {
        let claim = Claim { id: ClaimId(rand::random()), token };
        let run_times = shared.run_times.lock().clone();
        let dispatcher = Dispatcher::new(run_times, claim, shared.now_ms());
        let client = TargetClient::new(Arc::clone(&shared.http));
        let state = State {
            dispatcher,
            answer_senders: Vec::new(),
            next_request: 0,
            part_cancel_senders: Vec::new(),
            listing_polls: ListingPolls::default(),
        };
        let targets = shared.targets.lock().clone();
        let owner = Arc::new(Owner {
            shared,
            client,
            claim,
            state: Mutex::new(state),
            stopped: AtomicBool::new(false),
        });
        owner.shared.tell_of_evacuation(&owner);
        for target in targets {
            owner.update_target(&target);
        }
        let losses = owner.shared.target_losses.lock().clone();
        owner.merge_target_losses(losses.updated_since(0));
        task::spawn(Arc::clone(&owner).run_ticks());
        owner
    }

    /// Stops dispatching and answers every pending job with [`JobAnswer::Moved`], so that it is sent
    /// to the next owner.
    pub(crate) fn stop(self: &Arc<Self>) {
        self.stopped.store(true, Ordering::Relaxed);
        self.update(|dispatcher, _| dispatcher.step_down());
        let mut state = self.state.lock();
        state.part_cancel_senders.clear();
        *self.shared.run_times.lock() = state.dispatcher.run_times();
        *self.shared.target_losses.lock() = state.dispatcher.target_losses().clone();
    }

    /// Adds losses of targets that other processes know of.
    pub(crate) fn merge_target_losses<'a>(
        self: &Arc<Self>,
        losses: impl IntoIterator<Item = &'a TargetLoss>,
    ) {
        self.update(|dispatcher, now_ms| dispatcher.merge_target_losses(losses, now_ms));
    }

    /// Returns up to `max` losses of this zone's targets that became known or changed at `since_ms`
    /// or later; if there are more, successive rounds return different ones.
    pub(crate) fn recent_target_losses(
        &self,
        max: usize,
        round: u64,
        since_ms: u64,
    ) -> Vec<TargetLoss> {
        let state = self.state.lock();
        let losses = state.dispatcher.own_target_losses(since_ms);
        let first = (round as usize).wrapping_mul(max) % losses.len().max(1);
        let count = max.min(losses.len());
        losses.into_iter().cycle().skip(first).take(count).cloned().collect()
    }

    /// Returns the losses of targets that the dispatcher knows of.
    pub(crate) fn target_losses(&self) -> TargetLosses {
        self.state.lock().dispatcher.target_losses().clone()
    }

    /// Returns the measured speeds of the zone's targets.
    pub(crate) fn speed_summary(&self) -> SpeedSummary {
        self.state.lock().dispatcher.speed_summary()
    }

    /// Returns the current load of the zone's targets.
    pub(crate) fn load(&self) -> Load {
        self.state.lock().dispatcher.load()
    }

    /// Returns the number of jobs that wait for capacity, by priority.
    pub(crate) fn queued_jobs(&self) -> Vec<(u8, usize)> {
        self.state.lock().dispatcher.queued_jobs()
    }

    /// Returns the share of each queue in the work that was started recently.
    pub(crate) fn work_shares(&self) -> Vec<(Arc<str>, f64)> {
        self.state.lock().dispatcher.work_shares()
    }

    /// Submits a job to the dispatcher.
    ///
    /// A stopped owner does not take the job. A part of another zone's job that an earlier owner
    /// may have started is answered with [`JobAnswer::Unknown`], since its runs can't be excluded.
    pub(crate) fn submit(self: &Arc<Self>, submission: Submission) -> PendingJob {
        let (sender, answer) = oneshot::channel();
        let request = {
            let mut state = self.state.lock();
            let request = RequestId(state.next_request);
            state.next_request += 1;
            state.answer_senders.push((request, sender));
            request
        };
        let pending_job = PendingJob { owner: Arc::clone(self), request, answer };
        let submission = submission.received_by(self.claim);
        let may_have_started =
            submission.part.is_some() && submission.earlier_runs != EarlierRuns::None;
        let is_stopped = self.stopped.load(Ordering::Relaxed);
        if may_have_started || is_stopped {
            let answer = if is_stopped { JobAnswer::NotTaken } else { JobAnswer::Unknown };
            self.send_answer(request, answer);
            return pending_job;
        }
        self.update(|dispatcher, now_ms| dispatcher.submit(submission, request, now_ms));
        pending_job
    }

    /// Records that the caller of a job was found connected at `checked_at_ms`.
    pub(crate) fn record_caller_check(self: &Arc<Self>, job: JobId, checked_at_ms: u64) {
        self.update(|dispatcher, _| dispatcher.record_caller_check(job, checked_at_ms));
    }

    /// Returns the time at which a caller of a job was last found connected, or `None` if the job is
    /// not known.
    pub(crate) fn caller_checked_at_ms(&self, job: JobId) -> Option<u64> {
        self.state.lock().dispatcher.caller_checked_at_ms(job)
    }

    /// Updates the number of tasks that the targets of another zone have free capacity for.
    pub(crate) fn update_remote_capacity(self: &Arc<Self>, zone: &Zone, free_tasks: u64) {
        self.update(|dispatcher, now_ms| {
            dispatcher.update_remote_capacity(zone, free_tasks, now_ms)
        });
    }

    /// Sets whether the zone is evacuated and which other zones are, and the time until which this is
    /// recent enough for tasks to start.
    pub(crate) fn set_evacuated_zones(
        self: &Arc<Self>,
        own: bool,
        remote: &[Zone],
        known_until_ms: u64,
    ) {
        self.update(|dispatcher, now_ms| {
            dispatcher.set_evacuation_known_until(known_until_ms);
            dispatcher.set_evacuated_zones(own, remote, now_ms);
        });
    }

    /// Returns the number of runs on the zone's targets, or `None` while it is not known.
    pub(crate) fn known_runs(&self) -> Option<usize> {
        self.state.lock().dispatcher.known_runs()
    }

    /// Passes the answer to an offloaded part that an evacuated zone returned to the dispatcher.
    pub(crate) fn apply_returned_part(self: &Arc<Self>, part: u64, done: &[(u16, u16)]) {
        self.state.lock().part_cancel_senders.retain(|(offloaded, _)| *offloaded != part);
        self.update(|dispatcher, now_ms| dispatcher.apply_returned_part(part, done, now_ms));
    }

    /// Passes the outcome of an offloaded part to the dispatcher.
    pub(crate) fn apply_part_outcome(self: &Arc<Self>, part: u64, outcome: PartOutcome) {
        self.state.lock().part_cancel_senders.retain(|(offloaded, _)| *offloaded != part);
        self.update(|dispatcher, now_ms| dispatcher.apply_part_outcome(part, outcome, now_ms));
    }

    /// Returns the identifier of this owner's claim.
    pub(crate) const fn claim_id(&self) -> ClaimId {
        self.claim.id
    }

    pub(crate) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Adds or updates a target of the target list.
    ///
    /// Starts polling the target's listings if it is new and in the zone of this process.
    pub(crate) fn update_target(self: &Arc<Self>, info: &TargetInfo) {
        if info.zone != self.shared.settings.zone {
            self.update(|dispatcher, _| dispatcher.upsert_remote_target(info.clone()));
            return;
        }
        let id = Arc::clone(&info.id);
        let is_new = self.update(|dispatcher, _| {
            let is_new = dispatcher.target_mut(&id).is_none();
            dispatcher.upsert_target(info.clone());
            is_new
        });
        if is_new {
            task::spawn(Arc::clone(self).poll_listings(id));
        }
    }

    /// Marks a target as removed from the target list.
    pub(crate) fn remove_target(self: &Arc<Self>, id: &str) {
        self.update(|dispatcher, _| dispatcher.mark_target_removed(id));
    }

    /// Applies `change` to the dispatcher and executes the resulting actions.
    fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut Dispatcher, u64) -> T) -> T {
        let now_ms = self.shared.now_ms();
        let mut state = self.state.lock();
        let result = change(&mut state.dispatcher, now_ms);
        let actions = state.dispatcher.take_actions();
        self.shared.metrics.lost_runs.inc_by(state.dispatcher.take_lost_runs());
        self.shared.metrics.add_turned_away(state.dispatcher.take_turned_away());
        drop(state);
        for action in actions {
            self.execute(action);
        }
        result
    }

    fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Start {
                target,
                addr,
                run,
                spec,
                valid_until_clock_ms,
                seen_restarts,
                waited_ms,
                expected_ms,
            } => {
                self.shared.metrics.observe_start(waited_ms, expected_ms);
                let request =
                    StartRequest { target, addr, run, spec, valid_until_clock_ms, seen_restarts };
                task::spawn(Arc::clone(self).send_start(request));
            }
            Action::Stop { target, addr, run, seen_restarts } => {
                task::spawn(Arc::clone(self).send_stop(target, addr, run, seen_restarts));
            }
            Action::RequestListing { target } => {
                task::spawn(Arc::clone(self).request_listing_now(target));
            }
            Action::RestartPolling { target } => self.state.lock().listing_polls.restart(&target),
            Action::OffloadPart { part, zone, submission } => {
                let (cancel, cancelled) = oneshot::channel();
                self.state.lock().part_cancel_senders.push((part, cancel));
                task::spawn(offload_part(Arc::clone(self), part, zone, submission, cancelled));
            }
            // Dropping the sender cancels the task that offloads the part.
            Action::CancelPart { part } => {
                self.state.lock().part_cancel_senders.retain(|(offloaded, _)| *offloaded != part)
            }
            Action::Answer { request, answer } => self.send_answer(request, answer),
        }
    }

    fn send_answer(&self, request: RequestId, answer: JobAnswer) {
        if let Some(sender) = self.forget_request(request) {
            // Fails if the receiver was dropped, in which case no answer is needed.
            sender.send(answer).ok();
        }
    }

    /// Removes and returns the sender of the answer to a request, if it has not been answered.
    fn forget_request(&self, request: RequestId) -> Option<oneshot::Sender<JobAnswer>> {
        let senders = &mut self.state.lock().answer_senders;
        let index = senders.binary_search_by_key(&request, |(waiting, _)| *waiting).ok()?;
        Some(senders.remove(index).1)
    }

    async fn send_start(self: Arc<Self>, request: StartRequest) {
        let StartRequest { target, addr, run, spec, valid_until_clock_ms, seen_restarts } = request;
        let reply = self.client.start(
            token_after_restarts(self.claim.token, seen_restarts),
            (&target, addr),
            run,
            &spec,
            valid_until_clock_ms,
            REQUEST_TIMEOUT_MS,
        );
        let reply = reply.await;
        let outcome = format!("{:?}", reply.outcome);
        self.shared.metrics.target_requests.with_label_values(&["start", &outcome]).inc();
        self.update(|dispatcher, now_ms| {
            let StartReply { outcome, clock_ms } = reply;
            dispatcher.apply_start_outcome(&target, run, seen_restarts, outcome, clock_ms, now_ms);
        });
        self.step_down_if_superseded();
    }

    async fn send_stop(
        self: Arc<Self>,
        target: Arc<str>,
        addr: SocketAddr,
        run: Run,
        seen_restarts: u64,
    ) {
        let token = token_after_restarts(self.claim.token, seen_restarts);
        let answered = self.client.stop(token, (&target, addr), run, REQUEST_TIMEOUT_MS).await;
        let outcome = if answered { "answered" } else { "unanswered" };
        self.shared.metrics.target_requests.with_label_values(&["stop", outcome]).inc();
    }

    /// Requests listings of a target until the dispatcher no longer knows it or the owner stops.
    ///
    /// A request to a former incarnation of the target may wait until it times out, so that polling
    /// restarts with each incarnation.
    async fn poll_listings(self: Arc<Self>, target: Arc<str>) {
        let mut failures = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let restarted = self.state.lock().listing_polls.begin(&target);
            let poll = self.poll_listing_once(&target, failures);
            pin_mut!(poll);
            failures = match select(poll, restarted).await {
                Either::Left((Some(failures), _)) => failures,
                Either::Right((Ok(()), _)) => 0,
                // The dispatcher does not know the target, or a later poll of it has begun.
                Either::Left((None, _)) | Either::Right((Err(_), _)) => break,
            };
        }
        self.state.lock().listing_polls.remove_ended();
    }

    /// Requests a listing of a target after `failures` requests in a row have failed, and waits before
    /// the next one if it fails too. Returns the number of failures since the last listing, or `None`
    /// if the dispatcher does not know the target.
    async fn poll_listing_once(self: &Arc<Self>, target: &str, failures: u32) -> Option<u32> {
        let lease_ms = self.shared.settings.max_lease_ms;
        let listing_wait_ms =
            MAX_LISTING_WAIT_MS.min(lease_ms * MAX_LISTING_WAIT_LEASE_PERCENT / 100);
        let wait_ms = if failures == 0 { listing_wait_ms } else { 0 };
        if self.request_listing(target, wait_ms).await? {
            return Some(0);
        }
        let delay_ms = (INITIAL_RETRY_DELAY_MS << failures.min(4)).min(MAX_RETRY_DELAY_MS);
        task::sleep(Duration::from_millis(delay_ms)).await;
        Some(failures + 1)
    }

    /// Requests a listing that the target sends at once, instead of waiting for a run to end.
    async fn request_listing_now(self: Arc<Self>, target: Arc<str>) {
        self.request_listing(&target, 0).await;
    }

    /// Requests a listing of a target. Returns whether the target sent one, or `None` if the
    /// dispatcher does not know the target.
    async fn request_listing(self: &Arc<Self>, target: &str, wait_ms: u64) -> Option<bool> {
        let request =
            self.update(|dispatcher, now_ms| dispatcher.listing_request(target, now_ms))?;
        let ListingRequest { addr, seen_restarts, ack_cursor, lease_until_clock_ms, may_wait } =
            request;
        let wait_ms = if may_wait { wait_ms } else { 0 };
        let requested_at_ms = self.shared.now_ms();
        let reply = self.client.fetch_listing(
            token_after_restarts(self.claim.token, seen_restarts),
            (target, addr),
            ack_cursor,
            lease_until_clock_ms,
            wait_ms,
            wait_ms + REQUEST_TIMEOUT_MS,
        );
        let (outcome, answered) = match reply.await {
            Ok(ListingReply::Listed(listing)) => {
                self.update(|dispatcher, now_ms| {
                    dispatcher.apply_listing(target, &listing, requested_at_ms, now_ms);
                    dispatcher.set_target_reachable(target, true, now_ms);
                });
                ("listed", true)
            }
            Ok(ListingReply::Fenced) => {
                let current = self.update(|dispatcher, _| {
                    dispatcher.target_mut(target).map(|known| known.seen_restarts())
                });
                // A request to an earlier incarnation of the target has a lower token.
                if current == Some(seen_restarts) {
                    self.step_down(Some(target));
                }
                ("fenced", false)
            }
            Ok(ListingReply::OtherIncarnation) => {
                self.update(|dispatcher, _| dispatcher.mark_target_removed(target));
                ("other_life", false)
            }
            Ok(ListingReply::Unhealthy) => {
                self.update(|dispatcher, now_ms| {
                    if let Some(known) = dispatcher.target_mut(target) {
                        known.eject(now_ms);
                    }
                });
                ("unhealthy", false)
            }
            Err(_) => {
                let timeout_ms = CONNECT_TIMEOUT_MS + wait_ms + REQUEST_TIMEOUT_MS;
                self.update(|dispatcher, now_ms| {
                    let took_ms = now_ms - requested_at_ms;
                    dispatcher.record_listing_failure(target, took_ms, timeout_ms, now_ms);
                });
                ("unanswered", false)
            }
        };
        self.shared.metrics.target_requests.with_label_values(&["hold", outcome]).inc();
        Some(answered)
    }

    fn step_down_if_superseded(self: &Arc<Self>) {
        if self.state.lock().dispatcher.is_superseded() {
            self.step_down(None);
        }
    }

    /// Stops this owner because a target obeys a higher token; `target` is the one that rejected a
    /// request for a listing, or `None` for a start request.
    fn step_down(self: &Arc<Self>, target: Option<&str>) {
        if self.stopped.load(Ordering::Relaxed) {
            return;
        }
        let token = self.claim.token;
        self.shared.metrics.fenced_claims.inc();
        log_event!(
            warn,
            OwnershipReleased,
            reason = "a target obeys a higher token",
            token,
            target,
            live_peers = self.shared.live_peer_count()
        );
        self.shared.ownership.lock().record_fenced(self.shared.now_ms());
        self.shared.owner.store(None);
        self.stop();
    }

    async fn run_ticks(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Relaxed) {
            let far_factor = self.shared.live_settings().far_factor;
            let has_jobs = self.update(|dispatcher, now_ms| {
                dispatcher.set_far_factor(far_factor);
                dispatcher.tick(now_ms);
                dispatcher.prune_removed_targets();
                dispatcher.has_jobs()
            });
            let delay_ms = if has_jobs { BUSY_TICK_INTERVAL_MS } else { IDLE_TICK_INTERVAL_MS };
            task::sleep(Duration::from_millis(delay_ms)).await;
        }
    }
}
