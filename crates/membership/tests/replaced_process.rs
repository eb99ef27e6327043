//! Heartbeats that are held up until their sender has been replaced by another process of its VM.

use std::net::IpAddr;

use ggb_membership::{Heartbeat, Node, Ownership};

const FORMER: u64 = 9;
const CURRENT: u64 = 4;

fn node(number: u8) -> Node {
    Node {
        name: format!("a-{number}"),
        ip: IpAddr::from([10, 0, 0, number]),
        zone: "a".parse().expect("the zone name is valid"),
        cpu_milli: 250,
    }
}

/// Returns a heartbeat of an incarnation of the peer.
fn heartbeat(incarnation: u64, clock_ms: u64, claim_token: Option<u64>) -> Heartbeat {
    Heartbeat { claim_token, ..Ownership::new(node(2), incarnation, 0).heartbeat(clock_ms) }
}

/// Returns the incarnation of the peer that counts, and the token of its claim.
fn peer_state(ownership: &Ownership) -> (u64, Option<u64>) {
    let peer = &ownership.peers()[0].heartbeat;
    (peer.incarnation, peer.claim_token)
}

macro_rules! cases {
    ($($name:ident($ownership:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $ownership = Ownership::new(node(1), 1, 0);
                $ownership.record_heartbeat(heartbeat(FORMER, 50_000, Some(7)), 1_000);
                $body
            }
        )+
    };
}

cases! {
    // Guards against an owner that its peers no longer see, or a claim that comes back after its
    // process was killed.
    late_heartbeat_of_a_replaced_process_does_not_count(ownership) {
        ownership.record_heartbeat(heartbeat(CURRENT, 100, None), 2_000);
        assert_eq!(peer_state(&ownership), (CURRENT, None));
        for now_ms in [2_050, 2_449] {
            ownership.record_heartbeat(heartbeat(FORMER, 50_100, Some(7)), now_ms);
            assert_eq!(peer_state(&ownership), (CURRENT, None));
        }
        ownership.record_heartbeat(heartbeat(CURRENT, 500, Some(9)), 2_450);
        assert_eq!(peer_state(&ownership), (CURRENT, Some(9)));
    }

    process_that_starts_before_its_former_one_is_missed_counts_once_it_has_answered(ownership) {
        ownership.record_heartbeat(heartbeat(CURRENT, 5, None), 1_200);
        assert_eq!(peer_state(&ownership), (FORMER, Some(7)));
        let answer = ownership.take_answer("a-2", 1_200).expect("the process is answered");
        let mut newcomer = Ownership::new(node(2), CURRENT, 0);
        newcomer.record_heartbeat(answer.heartbeat(ownership.heartbeat(1_200)), 7);
        let answer = newcomer.take_answer("a-1", 7).expect("the answer is the first heartbeat");
        ownership.record_heartbeat(answer.heartbeat(newcomer.heartbeat(7)), 1_203);
        assert_eq!(peer_state(&ownership), (CURRENT, None));
    }

    process_that_starts_before_its_former_one_is_missed_counts_if_its_answer_is_lost(ownership) {
        for (clock_ms, now_ms) in [(5, 1_200), (105, 1_300), (205, 1_400)] {
            ownership.record_heartbeat(heartbeat(CURRENT, clock_ms, None), now_ms);
        }
        assert_eq!(peer_state(&ownership), (FORMER, Some(7)));
        ownership.record_heartbeat(heartbeat(CURRENT, 305, None), 1_500);
        assert_eq!(peer_state(&ownership), (CURRENT, None));
    }

    late_answer_of_a_replaced_process_does_not_count(ownership) {
        let answer = Heartbeat {
            recipient_clock: Some(ownership.clock_reading(1_100)),
            ..heartbeat(FORMER, 50_100, Some(7))
        };
        ownership.record_heartbeat(heartbeat(CURRENT, 100, None), 2_000);
        ownership.record_heartbeat(answer, 2_050);
        assert_eq!(peer_state(&ownership), (CURRENT, None));
    }
}
