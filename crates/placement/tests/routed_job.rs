//! Information that an owner gets about runs of earlier owners.

use ggb_placement::{BatchJob, EarlierRuns, QueueRules, RoutedJob, Submission};

/// Time after which a caller stops waiting.
const DEADLINE_MS: u64 = 1_500;

fn offer() -> RoutedJob {
    RoutedJob::new(Submission {
        job: BatchJob {
            id: "00000000000000aa".parse().expect("the id has 16 hexadecimal digits"),
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
        excluded_tasks: Vec::new(),
        holder_token: None,
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

/// Returns the earlier runs that the owner with `token` has to expect.
fn received(offer: &mut RoutedJob, token: u64) -> EarlierRuns {
    offer.submission_after(5).clone().received_by(token).earlier_runs
}

cases! {
    first_owner_is_told_of_no_earlier_runs(offer) {
        assert_eq!(received(&mut offer, 1), EarlierRuns::None);
        assert!(offer.is_unstarted());
    }

    holder_is_told_of_no_earlier_runs(offer) {
        offer.mark_held_by(1);
        assert_eq!(received(&mut offer, 1), EarlierRuns::None);
        assert!(!offer.is_unstarted());
    }

    another_owner_is_told_that_the_job_is_still_held(offer) {
        offer.mark_held_by(1);
        assert_eq!(received(&mut offer, 2), EarlierRuns::StillHeld);
    }

    next_owner_is_told_of_runs_of_the_releasing_owner(offer) {
        offer.mark_held_by(1);
        offer.mark_moved(vec![(0, 1)], EarlierRuns::OwnZone);
        assert_eq!(received(&mut offer, 2), EarlierRuns::OwnZone);
        assert_eq!(offer.submission().excluded_tasks, [(0, 1)]);
    }

    possibly_taken_job_remains_still_held(offer) {
        offer.mark_possibly_taken();
        offer.mark_moved(vec![], EarlierRuns::None);
        assert_eq!(received(&mut offer, 2), EarlierRuns::StillHeld);
    }
}
