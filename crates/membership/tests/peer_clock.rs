//! Which messages of a peer are late.

use ggb_membership::PeerClock;

/// A peer whose clock is 4,000 ms behind, heard each 100 ms with delays of up to 9 ms.
fn known_peer() -> PeerClock {
    let mut clock = PeerClock::new(1, 1_000, 5_003);
    for (number, delay_ms) in [9, 2, 7, 1, 5].into_iter().enumerate() {
        let sent_clock_ms = 1_100 + 100 * number as u64;
        clock.heard(1, sent_clock_ms, sent_clock_ms + 4_000 + delay_ms);
    }
    clock
}

#[test]
fn a_message_that_was_held_back_is_late() {
    assert_eq!(known_peer().delay_ms(1, 1_600, 7_601), Some(1_997));
}

#[test]
fn a_message_that_was_just_sent_is_not() {
    let delay_ms = known_peer().delay_ms(1, 1_600, 5_605);
    assert!(delay_ms.is_some_and(|delay_ms| delay_ms < 10), "{delay_ms:?}");
}

#[test]
fn nothing_is_said_of_another_life() {
    assert_eq!(known_peer().delay_ms(2, 50, 5_700), None);
}

#[test]
fn a_new_life_begins_its_clock_anew() {
    let mut clock = known_peer();
    clock.heard(2, 130, 6_000);
    assert_eq!(clock.delay_ms(2, 230, 6_100), Some(0));
}

#[test]
fn clocks_may_drift_apart() {
    let mut clock = PeerClock::new(1, 0, 0);
    for seconds in 0..1_000_u64 {
        // This clock gains 1% on the peer's.
        clock.heard(1, seconds * 1_000, seconds * 1_010);
    }
    let delay_ms = clock.delay_ms(1, 1_000_000, 1_010_000);
    assert!(delay_ms.is_some_and(|delay_ms| delay_ms < 50), "{delay_ms:?}");
}
