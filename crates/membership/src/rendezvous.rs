//! Rendezvous hashing: an order of processes that all observers derive independently.

use std::net::SocketAddr;

use ggb_model::Zone;
use xxhash_rust::xxh3::xxh3_64;

/// Sorts `addrs` by rendezvous hash for `zone`, best first.
///
/// Observers with the same addresses get the same order, and an address that is added or
/// removed does not change the order of the others.
pub fn rank_by_rendezvous(zone: &Zone, addrs: &mut [SocketAddr]) {
    addrs.sort_by_cached_key(|addr| {
        let score = xxh3_64(format!("{zone}/{addr}").as_bytes());
        (std::cmp::Reverse(score), *addr)
    });
}
