//! Information that an owner gets about runs of earlier owners.

use ggb_placement::{BatchJob, EarlierRuns, PartOutcome, QueueRules, RoutedJob, Submission};

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
        part: None,
        excluded_tasks: Vec::new(),
        holder_token: None,
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

/// Returns the `earlier_runs` that the owner with `token` receives.
fn earlier_runs_for(routed_job: &mut RoutedJob, token: u64) -> EarlierRuns {
    routed_job.submission_after(5, 0).clone().received_by(token).earlier_runs
}

cases! {
    first_owner_is_told_of_no_earlier_runs(routed_job) {
        assert_eq!(earlier_runs_for(&mut routed_job, 1), EarlierRuns::None);
        assert!(routed_job.is_unstarted());
    }

    holder_is_told_of_no_earlier_runs(routed_job) {
        routed_job.mark_held_by(1);
        assert_eq!(earlier_runs_for(&mut routed_job, 1), EarlierRuns::None);
        assert!(!routed_job.is_unstarted());
    }

    another_owner_is_told_that_the_job_is_still_held(routed_job) {
        routed_job.mark_held_by(1);
        assert_eq!(earlier_runs_for(&mut routed_job, 2), EarlierRuns::StillHeld);
    }

    next_owner_is_told_of_runs_of_the_releasing_owner(routed_job) {
        routed_job.mark_held_by(1);
        let run_targets = Some(vec!["t-0".into()]);
        routed_job.mark_moved(vec![(0, 1)], EarlierRuns::OwnZone, run_targets.clone());
        routed_job.mark_moved(vec![], EarlierRuns::None, Some(vec![]));
        assert_eq!(earlier_runs_for(&mut routed_job, 2), EarlierRuns::OwnZone);
        assert_eq!(routed_job.submission().run_targets, run_targets);
        assert_eq!(routed_job.submission().excluded_tasks, [(0, 1)]);
    }

    part_that_was_held_is_lost_when_its_owner_refuses_connections(routed_job) {
        assert_eq!(routed_job.outcome_of_refused_connection(), PartOutcome::Refused);
        routed_job.mark_held_by(1);
        assert_eq!(routed_job.outcome_of_refused_connection(), PartOutcome::Lost);
    }

    possibly_taken_job_remains_still_held(routed_job) {
        routed_job.mark_possibly_taken();
        routed_job.mark_moved(vec![], EarlierRuns::None, None);
        assert_eq!(earlier_runs_for(&mut routed_job, 2), EarlierRuns::StillHeld);
    }
}
