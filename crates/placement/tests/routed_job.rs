//! Information that an owner gets about runs of earlier owners.

use ggb_placement::{
    BatchJob, Claim, ClaimId, EarlierRuns, JobAnswer, PartOutcome, QueueRules, RoutedJob,
    Submission,
};

/// Time after which a caller stops waiting.
const DEADLINE_MS: u64 = 1_500;

fn routed_job() -> RoutedJob {
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
            targets_enforce_capacity: true,
        },
        earlier_runs: EarlierRuns::None,
        run_targets: None,
        released_under: None,
        part: None,
        excluded_tasks: Vec::new(),
        holder: None,
        waited_ms: 0,
        deadline_ms: DEADLINE_MS,
        caller_check_age_ms: 0,
    })
}

macro_rules! cases {
    ($($name:ident($routed_job:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $routed_job = routed_job();
                $body
            }
        )+
    };
}

/// Fencing token of claims.
const TOKEN: u64 = 100;

/// Returns the `earlier_runs` that the owner with the claim `id` receives.
fn earlier_runs_for(routed_job: &mut RoutedJob, id: u64) -> EarlierRuns {
    let claim = Claim { id: ClaimId(id), token: TOKEN };
    routed_job.submission_after(5, 0).clone().received_by(claim).earlier_runs
}

cases! {
    first_owner_is_told_of_no_earlier_runs(routed_job) {
        assert!(routed_job.is_unstarted());
        assert_eq!(earlier_runs_for(&mut routed_job, 1), EarlierRuns::None);
    }

    holder_is_told_of_no_earlier_runs(routed_job) {
        routed_job.mark_held_by(ClaimId(1));
        assert_eq!(earlier_runs_for(&mut routed_job, 1), EarlierRuns::None);
        assert!(!routed_job.is_unstarted());
    }

    // The tokens of two owners, or of a process and its successor, may be equal.
    another_owner_with_the_same_token_is_told_that_the_job_is_still_held(routed_job) {
        routed_job.mark_held_by(ClaimId(1));
        assert_eq!(earlier_runs_for(&mut routed_job, 2), EarlierRuns::StillHeld);
    }

    next_owner_is_told_of_runs_of_the_releasing_owner(routed_job) {
        routed_job.mark_held_by(ClaimId(1));
        let run_targets = Some(vec!["t-0".into()]);
        routed_job.mark_moved(vec![(0, 1)], EarlierRuns::OwnZone, run_targets.clone(), Some(1));
        routed_job.mark_moved(vec![], EarlierRuns::None, Some(vec![]), Some(1));
        assert_eq!(earlier_runs_for(&mut routed_job, 2), EarlierRuns::OwnZone);
        assert_eq!(routed_job.submission().run_targets, run_targets);
        assert_eq!(routed_job.submission().excluded_tasks, [(0, 1)]);
    }

    // A start request of the owner with the higher token may arrive after the listing.
    listings_under_a_token_that_does_not_fence_the_releasing_owner_do_not_count(routed_job) {
        let run_targets = Some(vec!["t-0".into()]);
        let mark_moved = |routed_job: &mut RoutedJob, token| {
            routed_job.mark_moved(vec![], EarlierRuns::OwnZone, run_targets.clone(), token);
        };
        mark_moved(&mut routed_job, Some(20));
        mark_moved(&mut routed_job, Some(10));
        mark_moved(&mut routed_job, None);
        let received_by = |token| {
            let claim = Claim { id: ClaimId(1), token };
            routed_job.submission().clone().received_by(claim)
        };
        for token in [15, 20] {
            assert_eq!(received_by(token).run_targets, None);
            assert_eq!(received_by(token).earlier_runs, EarlierRuns::OwnZone);
        }
        assert_eq!(received_by(21).run_targets, run_targets);
    }

    // Processes of the former build report no token.
    answer_without_a_token_names_the_targets_of_runs(routed_job) {
        let answer = r#"{"moved":{"done":[],"earlier_runs":"own_zone","run_targets":["t-0"]}}"#;
        let answer = serde_json::from_str(answer).expect("the token is optional");
        let JobAnswer::Moved { done, earlier_runs, run_targets, token } = answer else {
            panic!("{answer:?}")
        };
        routed_job.mark_moved(done, earlier_runs, run_targets, token);
        let received = routed_job.submission().clone().received_by(Claim { id: ClaimId(1), token: TOKEN });
        assert_eq!(received.run_targets, Some(vec!["t-0".into()]));
    }

    part_that_was_held_is_lost_when_its_owner_refuses_connections(routed_job) {
        assert_eq!(routed_job.outcome_of_refused_connection(), PartOutcome::Refused);
        routed_job.mark_held_by(ClaimId(1));
        assert_eq!(routed_job.outcome_of_refused_connection(), PartOutcome::Lost);
    }

    // Guards against a refusal of a job that an owner may start, since it has not replied yet.
    job_is_not_known_to_be_unstarted_while_an_owner_has_not_replied(routed_job) {
        routed_job.submission_after(5, 0);
        assert!(!routed_job.is_unstarted());
        routed_job.mark_not_taken();
        assert!(routed_job.is_unstarted());
        routed_job.submission_after(25, 0);
        routed_job.mark_moved(vec![], EarlierRuns::None, Some(vec![]), Some(TOKEN));
        assert!(routed_job.is_unstarted());
    }

    possibly_taken_job_remains_still_held(routed_job) {
        routed_job.mark_possibly_taken();
        routed_job.mark_moved(vec![], EarlierRuns::None, None, None);
        assert_eq!(earlier_runs_for(&mut routed_job, 2), EarlierRuns::StillHeld);
    }
}
