//! An order of processes that all observers agree on without talking.

use std::net::SocketAddr;

use ggb_model::Zone;
use xxhash_rust::xxh3::xxh3_64;

/// Sorts `addrs` by rendezvous hash for `zone`, best first.
///
/// Observers with the same addresses get the same order, and an address that
/// comes or goes leaves the order of the others as it is.
pub fn rank_by_rendezvous(zone: &Zone, addrs: &mut [SocketAddr]) {
    addrs.sort_by_cached_key(|addr| {
        let score = xxh3_64(format!("{zone}/{addr}").as_bytes());
        (std::cmp::Reverse(score), *addr)
    });
}
