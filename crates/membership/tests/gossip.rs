//! Fetches of newer configurations from peers.

use ggb_membership::VersionGossip;

/// Reports `version` as that of a peer every 3 ms, as the heartbeats of 30 peers do, and returns
/// the times of the fetches; each of them takes `fetch_ms`.
fn fetch_times_ms(gossip: &mut VersionGossip, version: u64, fetch_ms: u64) -> Vec<u64> {
    let mut fetched_at_ms: Vec<u64> = Vec::new();
    for now_ms in (0..1_500).step_by(3) {
        if fetched_at_ms.last().is_some_and(|at_ms| now_ms >= at_ms + fetch_ms) {
            gossip.finish_fetch();
        }
        if gossip.record_version(1, version, now_ms) {
            fetched_at_ms.push(now_ms);
        }
    }
    fetched_at_ms
}

macro_rules! cases {
    ($($name:ident($gossip:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $gossip = VersionGossip::new();
                $body
            }
        )+
    };
}

cases! {
    one_fetch_runs_at_a_time(gossip) {
        assert_eq!(fetch_times_ms(&mut gossip, 2, 5_000), [252]);
    }

    failed_fetch_is_repeated(gossip) {
        assert_eq!(fetch_times_ms(&mut gossip, 2, 600), [252, 852, 1_452]);
    }

    first_version_is_fetched_at_once(gossip) {
        assert!(gossip.record_version(0, 2, 0));
        assert!(!gossip.record_version(0, 2, 400));
    }

    version_of_a_job_from_a_peer_is_fetched_at_once(gossip) {
        assert!(!gossip.record_version(1, 2, 0));
        assert!(gossip.record_version_in_use(1, 2));
        assert!(!gossip.record_version_in_use(1, 2));
        gossip.finish_fetch();
        assert!(!gossip.record_version_in_use(2, 2));
    }

    known_version_is_not_fetched(gossip) {
        assert!(fetch_times_ms(&mut gossip, 1, 600).is_empty());
    }

    version_that_the_store_delivers_first_is_not_fetched(gossip) {
        assert!(!gossip.record_version(1, 2, 0));
        gossip.record_own_change();
        assert!(!gossip.record_version(2, 2, 300));
        assert!(!gossip.record_version(2, 3, 310));
        assert!(!gossip.record_version(2, 3, 400));
        assert!(gossip.record_version(2, 3, 560));
    }
}
