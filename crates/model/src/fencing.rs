//! Fencing tokens of claims.
//!
//! A target obeys the highest token that it has seen and can't tell apart two owners with the same
//! one. From the most significant bit on, a token therefore consists of
//!
//! - the second in which the claim was made, or a later one if a higher token is known;
//! - the number of restarts of the target that the owner has seen, in requests to that target;
//! - the low bits of the VM's address, so that no two VMs derive the same token, whatever clocks they
//!   have and whichever tokens they know.

use std::net::IpAddr;

/// Number of bits for the address of the VM; the VMs of a zone differ in them if its subnet is a /12
/// or smaller.
const ADDRESS_BITS: u32 = 20;

/// Number of bits for the restarts of a target. More restarts carry over into the seconds, which
/// keeps tokens of different VMs different, but may let an owner outrank a later one on that target.
const RESTART_BITS: u32 = 4;

const SECOND_SHIFT: u32 = ADDRESS_BITS + RESTART_BITS;

/// Unix time from which the seconds of a token count. Tokens thus exceed those of former builds, a
/// thousandfold Unix time in ms, and those near the clock are below 2^53 until 2037: readers that
/// decode JSON numbers as doubles lose no bits.
const EPOCH_UNIX_S: u64 = 1_600_000_000;

/// Returns the token of a claim that the VM at `ip` makes at the Unix time `unix_ms`.
///
/// The token is higher than `known_token`, unless that is already at the limit of all tokens.
pub fn claim_token(unix_ms: u64, known_token: u64, ip: IpAddr) -> u64 {
    let clock_s = (unix_ms / 1_000).saturating_sub(EPOCH_UNIX_S);
    let second = clock_s.max((known_token >> SECOND_SHIFT) + 1).min(u64::MAX >> SECOND_SHIFT);
    (second << SECOND_SHIFT) | (address_bits(ip) & ((1 << ADDRESS_BITS) - 1))
}

/// Returns the token of a claim that exceeds `token` by `ms` of the time of claims.
pub const fn advance_token(token: u64, ms: u64) -> u64 {
    token.saturating_add((ms / 1_000) << SECOND_SHIFT)
}

/// Returns the token for requests to a target of which the owner with `token` has seen `restarts`
/// restarts.
///
/// A target forgets the highest token when it restarts. The higher token makes it reject requests
/// that were sent to its former incarnation.
pub const fn token_after_restarts(token: u64, restarts: u64) -> u64 {
    token.saturating_add(restarts << ADDRESS_BITS)
}

fn address_bits(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip) as u64,
    }
}
