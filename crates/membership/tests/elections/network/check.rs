//! Properties of the claims and requests of a simulation.

use super::{
    Claim, Network,
    targets::{Disobedience, TargetRequest},
};

impl Network {
    fn describe(&self, claim: usize) -> String {
        let claim = &self.claims[claim];
        let name = &self.vms[claim.process.vm].node.name;
        format!("{name} (start {}) at {} ms", claim.process.incarnation, claim.at_ms)
    }

    /// Returns whether two claims are those of one VM.
    fn are_of_one_vm(&self, claim: usize, other: usize) -> bool {
        self.claims[claim].process.vm == self.claims[other].process.vm
    }

    /// Checks that the tokens of two claims differ, either for claims of one VM or for claims of
    /// two.
    pub fn check_claims(&self, of_one_vm: bool) -> Result<(), String> {
        let mut claims: Vec<usize> = (0..self.claims.len()).collect();
        claims.sort_by_key(|claim| self.claims[*claim].token);
        for equal in claims.chunk_by(|a, b| self.claims[*a].token == self.claims[*b].token) {
            if let Some((first, second)) = self.find_pair(equal, of_one_vm) {
                let (first, second) = (self.describe(first), self.describe(second));
                let token = self.claims[equal[0]].token;
                return Err(format!("{first} and {second} claim with {token}"));
            }
        }
        Ok(())
    }

    /// Checks that the tokens that two owners have sent to a target differ, either for owners on
    /// one VM or for owners on two.
    pub fn check_requests(&self, of_one_vm: bool) -> Result<(), String> {
        let mut requests = self.requests.clone();
        requests.sort_unstable();
        requests.dedup();
        let key = |request: &TargetRequest| (request.target, request.wire_token);
        for equal in requests.chunk_by(|a, b| key(a) == key(b)) {
            let claims: Vec<usize> = equal.iter().map(|request| request.claim).collect();
            if let Some((first, second)) = self.find_pair(&claims, of_one_vm) {
                let (first, second) = (self.describe(first), self.describe(second));
                let (target, token) = key(&equal[0]);
                return Err(format!("{first} and {second} send {token} to target {target}"));
            }
        }
        Ok(())
    }

    /// Returns two claims of one VM, or two of different VMs.
    fn find_pair(&self, claims: &[usize], of_one_vm: bool) -> Option<(usize, usize)> {
        let pairs = claims
            .iter()
            .enumerate()
            .flat_map(|(index, first)| claims[index + 1..].iter().map(|second| (*first, *second)));
        pairs.into_iter().find(|(first, second)| self.are_of_one_vm(*first, *second) == of_one_vm)
    }

    /// Checks that no target has obeyed an owner after another with its token or a higher one,
    /// either for owners on one VM or for owners on two.
    pub fn check_obedience(&self, of_one_vm: bool) -> Result<(), String> {
        let is_of_interest =
            |case: &&Disobedience| self.are_of_one_vm(case.claim, case.rival) == of_one_vm;
        self.disobedience.iter().find(is_of_interest).map_or(Ok(()), |case| {
            let (owner, rival) = (self.describe(case.claim), self.describe(case.rival));
            let Disobedience { at_ms, target, wire_token, .. } = case;
            Err(format!(
                "at {at_ms} ms target {target} obeys {owner} with {wire_token} after {rival}"
            ))
        })
    }

    /// Returns the number of claims in a zone from `begin_ms` to now.
    pub fn claim_count(&self, zone: usize, begin_ms: u64) -> usize {
        let claims = self.claims.iter();
        claims.filter(|claim| claim.zone == zone && claim.at_ms >= begin_ms).count()
    }

    /// Returns the number of claims in a zone from `begin_ms` to now, each by another process than
    /// the claim before it.
    pub fn hand_over_count(&self, zone: usize, begin_ms: u64) -> usize {
        let claims: Vec<&Claim> = self.claims.iter().filter(|claim| claim.zone == zone).collect();
        let is_hand_over =
            |pair: &&[&Claim]| pair[1].at_ms >= begin_ms && pair[0].process != pair[1].process;
        claims.windows(2).filter(is_hand_over).count()
    }

    /// Runs for `duration_ms` and checks that the zone has one owner all the while.
    pub fn check_stable_owner(&mut self, zones: &[usize], duration_ms: u64) -> Result<(), String> {
        let owners: Vec<Vec<usize>> = zones.iter().map(|zone| self.owners_of(*zone)).collect();
        let begin_ms = self.now_ms;
        for (zone, owners) in zones.iter().zip(&owners) {
            if owners.len() != 1 {
                return Err(format!("zone {zone} has {} owners at {begin_ms} ms", owners.len()));
            }
        }
        self.run_until(begin_ms + duration_ms);
        for (zone, owners) in zones.iter().zip(&owners) {
            let claims = self.claim_count(*zone, begin_ms + 1);
            if claims > 0 || self.owners_of(*zone) != *owners {
                return Err(format!("{claims} claims in zone {zone} after {begin_ms} ms"));
            }
        }
        Ok(())
    }
}
