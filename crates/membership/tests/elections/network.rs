//! Processes of several zones that elect owners over a simulated network.

/// Returns the token that an owner sends to a target, after `restarts` of the target that it has
/// seen.
// Kept in one place, since the node computes it outside of this crate.
pub const fn wire_token(token: u64, restarts: u64) -> u64 {
    token + restarts
}
