//! Targets that keep the highest token seen, and the requests of owners to them.

use ggb_model::token_after_restarts;

use super::{Network, ProcessId, TARGETS_PER_ZONE};

/// Interval at which an owner asks a target for a listing.
const LISTING_INTERVAL_MS: u64 = 300;

/// Time after which an owner repeats a request that was not answered.
const UNANSWERED_RETRY_MS: u64 = 125;

/// Delay before an owner repeats a request that an earlier incarnation of the target rejected.
const FENCED_RETRY_DELAY_MS: u64 = 25;

/// A target of a zone.
#[derive(Clone, Default)]
pub(super) struct Target {
    incarnation: u64,
    /// Highest token that this incarnation has seen.
    highest_token: u64,
    /// Claims that this incarnation has obeyed, with the tokens of their requests.
    obeyed: Vec<(usize, u64)>,
}

/// What an owner knows of a target.
pub(super) struct TargetView {
    target: usize,
    incarnation: Option<u64>,
    restarts: u64,
}

/// A request of an owner to a target.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TargetRequest {
    pub(super) target: usize,
    pub(super) wire_token: u64,
    /// Index of the owner's claim.
    pub(super) claim: usize,
}

/// A request that a target accepted although it had obeyed another owner with the request's token or
/// a higher one.
pub(super) struct Disobedience {
    pub(super) at_ms: u64,
    pub(super) target: usize,
    pub(super) wire_token: u64,
    /// Index of the sender's claim.
    pub(super) claim: usize,
    /// Index of the claim that the target had obeyed.
    pub(super) rival: usize,
}

/// Answer of a target to a request for a listing.
enum Answer {
    Listed { incarnation: u64 },
    Fenced,
}

impl Network {
    /// Lets the process that made a claim ask the zone's targets for listings.
    pub(super) fn spawn_owner(&mut self, claim: usize) {
        let zone = self.claims[claim].zone;
        let zone_targets = zone * TARGETS_PER_ZONE..(zone + 1) * TARGETS_PER_ZONE;
        let views =
            zone_targets.map(|target| TargetView { target, incarnation: None, restarts: 0 });
        if let Some(process) = self.process_mut(self.claims[claim].process) {
            process.targets = views.collect();
        }
        for view in 0..TARGETS_PER_ZONE {
            self.at(self.now_ms, move |network| network.request_listing(claim, view));
        }
    }

    /// Returns the process that made a claim, if it still has it.
    fn owner_id(&self, claim: usize) -> Option<ProcessId> {
        let claim = &self.claims[claim];
        let vm = &self.vms[claim.process.vm];
        let is_current =
            vm.incarnations == claim.process.incarnation && vm.claim_token() == Some(claim.token);
        is_current.then_some(claim.process)
    }

    /// Returns what the owner with a claim knows of a target, if it still has the claim.
    fn view_mut(&mut self, claim: usize, view: usize) -> Option<&mut TargetView> {
        let owner = self.owner_id(claim)?;
        self.process_mut(owner)?.targets.get_mut(view)
    }

    fn request_listing(&mut self, claim: usize, view: usize) {
        let token = self.claims[claim].token;
        let Some(&mut TargetView { target, restarts, .. }) = self.view_mut(claim, view) else {
            return;
        };
        let request =
            TargetRequest { target, wire_token: token_after_restarts(token, restarts), claim };
        self.requests.push(request);
        if self.is_lost() {
            self.request_listing_at(self.now_ms + UNANSWERED_RETRY_MS, claim, view);
            return;
        }
        let at_ms = self.now_ms + self.random_latency_ms();
        self.at(at_ms, move |network| {
            let answer = network.handle_request(request);
            if network.is_lost() {
                network.request_listing_at(at_ms + UNANSWERED_RETRY_MS, claim, view);
                return;
            }
            let answered_at_ms = at_ms + network.random_latency_ms();
            network.at(answered_at_ms, move |network| {
                network.receive_answer(claim, view, restarts, answer);
            });
        });
    }

    fn request_listing_at(&mut self, at_ms: u64, claim: usize, view: usize) {
        self.at(at_ms, move |network| network.request_listing(claim, view));
    }

    /// Handles a request at its target.
    fn handle_request(&mut self, request: TargetRequest) -> Answer {
        let target = &mut self.targets[request.target];
        if request.wire_token < target.highest_token {
            return Answer::Fenced;
        }
        target.highest_token = request.wire_token;
        let obeyed = (request.claim, request.wire_token);
        let rival = target.obeyed.iter().find(|(claim, wire_token)| {
            *claim != request.claim && *wire_token >= request.wire_token
        });
        self.disobedience.extend(rival.map(|(rival, _)| Disobedience {
            at_ms: self.now_ms,
            target: request.target,
            wire_token: request.wire_token,
            claim: request.claim,
            rival: *rival,
        }));
        if !target.obeyed.contains(&obeyed) {
            target.obeyed.push(obeyed);
        }
        Answer::Listed { incarnation: target.incarnation }
    }

    fn receive_answer(&mut self, claim: usize, view: usize, restarts: u64, answer: Answer) {
        let now_ms = self.now_ms;
        let Some(target) = self.view_mut(claim, view) else { return };
        let delay_ms = match answer {
            Answer::Listed { incarnation } => {
                let is_new = target.incarnation.is_some_and(|known| known < incarnation);
                target.restarts += u64::from(is_new);
                target.incarnation = target.incarnation.max(Some(incarnation));
                LISTING_INTERVAL_MS
            }
            // A request to an earlier incarnation of the target has a lower token.
            Answer::Fenced if target.restarts != restarts => FENCED_RETRY_DELAY_MS,
            Answer::Fenced => {
                let owner = self.claims[claim].process;
                self.print(|| format!("{} is fenced", self.vms[owner.vm].node.name));
                if let Some(process) = self.process_mut(owner) {
                    process.ownership.record_fenced(now_ms);
                }
                return;
            }
        };
        self.request_listing_at(now_ms + delay_ms, claim, view);
    }

    /// Restarts a target, which forgets all tokens.
    pub fn restart_target(&mut self, target: usize) {
        self.print(|| format!("target {target} restarts"));
        let incarnation = self.targets[target].incarnation + 1;
        self.targets[target] = Target { incarnation, ..Target::default() };
    }
}
