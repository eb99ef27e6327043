//! What an owner is told of runs that earlier owners started.

use ggb_placement::{BatchJob, EarlierRuns, Offer, QueueRules, Submission};

/// How long a caller waits.
const DEADLINE_MS: u64 = 1_500;

fn offer() -> Offer {
    Offer::new(Submission {
        job: BatchJob {
            id: "00000000000000aa".parse().expect("the case is set up right"),
            spec: "".into(),
            steps: vec![],
        },
        queue: QueueRules {
            name: "queue".into(),
            service: "work".into(),
            priority: 0,
            max_attempts: 1,
            stretch: 1.0,
            target_latency_ms: 1,
        },
        earlier_runs: EarlierRuns::None,
        part: None,
        done: Vec::new(),
        held_under: None,
        waited_ms: 0,
        deadline_ms: DEADLINE_MS,
    })
}

macro_rules! cases {
    ($($name:ident($offer:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $offer = offer();
                $body
            }
        )+
    };
}

/// Returns what the owner with `token` takes the job for.
fn received(offer: &mut Offer, token: u64) -> EarlierRuns {
    offer.to_send(5).clone().received_under(token).earlier_runs
}

cases! {
    the_first_owner_may_start_everything(offer) {
        assert_eq!(received(&mut offer, 1), EarlierRuns::None);
        assert!(offer.is_untouched());
    }

    an_owner_that_has_the_job_is_asked_again(offer) {
        offer.pending(1);
        assert_eq!(received(&mut offer, 1), EarlierRuns::None);
        assert!(!offer.is_untouched());
    }

    another_owner_learns_that_one_had_the_job(offer) {
        offer.pending(1);
        assert_eq!(received(&mut offer, 2), EarlierRuns::StillHeld);
    }

    an_owner_that_gives_up_says_where_tasks_may_run(offer) {
        offer.pending(1);
        offer.moved(vec![(0, 1)], EarlierRuns::OwnZone);
        assert_eq!(received(&mut offer, 2), EarlierRuns::OwnZone);
        assert_eq!(offer.submission().done, [(0, 1)]);
    }

    a_lost_job_stays_lost(offer) {
        offer.lost();
        offer.moved(vec![], EarlierRuns::None);
        assert_eq!(received(&mut offer, 2), EarlierRuns::StillHeld);
    }
}
