//! Rendezvous hashing: an order of candidates that all observers derive independently.

use std::{cmp::Reverse, fmt::Display, net::SocketAddr};

use ggb_model::Zone;
use xxhash_rust::xxh3::xxh3_64;

/// Sorts `addrs` by rendezvous hash for `zone`, best first.
///
/// Observers with the same addresses get the same order, and an address that is added or
/// removed does not change the order of the others.
pub fn rank_by_rendezvous(zone: &Zone, addrs: &mut [SocketAddr]) {
    rank(zone, addrs);
}

/// Sorts `zones` by rendezvous hash for a job, best first, as [`rank_by_rendezvous`] sorts addresses.
pub(crate) fn rank_zones(job: &impl Display, zones: &mut [Zone]) {
    rank(job, zones);
}

fn rank(key: &impl Display, candidates: &mut [impl Display + Ord + Clone]) {
    candidates.sort_by_cached_key(|candidate| {
        let score = xxh3_64(format!("{key}/{candidate}").as_bytes());
        (Reverse(score), candidate.clone())
    });
}
