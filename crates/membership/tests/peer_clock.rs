//! Detection of delayed messages by [`PeerClock`].

use ggb_membership::PeerClock;

/// Returns the estimate for a peer whose clock is 4,000 ms behind, after messages every 100 ms
/// with delays of up to 9 ms.
fn peer_clock_after_messages() -> PeerClock {
    let mut clock = PeerClock::new(1, 1_000, 5_003);
    for (number, delay_ms) in [9, 2, 7, 1, 5].into_iter().enumerate() {
        let sent_clock_ms = 1_100 + 100 * number as u64;
        clock.record_message(1, sent_clock_ms, sent_clock_ms + 4_000 + delay_ms);
    }
    clock
}

#[test]
fn delayed_message_shows_its_additional_delay() {
    assert_eq!(peer_clock_after_messages().delay_ms(1, 1_600, 7_601), Some(1_997));
}

#[test]
fn message_just_sent_shows_little_delay() {
    let delay_ms = peer_clock_after_messages().delay_ms(1, 1_600, 5_605);
    assert!(delay_ms.is_some_and(|delay_ms| delay_ms < 10), "{delay_ms:?}");
}

#[test]
fn message_of_another_incarnation_has_no_delay() {
    assert_eq!(peer_clock_after_messages().delay_ms(2, 50, 5_700), None);
}

#[test]
fn new_incarnation_resets_the_offset() {
    let mut clock = peer_clock_after_messages();
    clock.record_message(2, 130, 6_000);
    assert_eq!(clock.delay_ms(2, 230, 6_100), Some(0));
}

#[test]
fn clock_drift_does_not_count_as_delay() {
    let mut clock = PeerClock::new(1, 0, 0);
    for seconds in 0..1_000_u64 {
        // The local clock runs 1% faster than the peer's.
        clock.record_message(1, seconds * 1_000, seconds * 1_010);
    }
    let delay_ms = clock.delay_ms(1, 1_000_000, 1_010_000);
    assert!(delay_ms.is_some_and(|delay_ms| delay_ms < 50), "{delay_ms:?}");
}
