//! Placement, ends of runs, and resubmitted jobs.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use harness::*;

// Guards against listing requests for each long run that takes somewhat longer than expected; under load
// they cost an owner as much as the starts.
#[test]
fn run_within_the_usual_spread_of_its_run_time_causes_no_listing_request() {
    let mut harness = Harness::new(&[32]);
    harness.submit(job(JOB, vec![StepSpec { estimate_ms: 800, ..step(1) }]));
    let (_, run) = harness.take_starts()[0];
    harness.apply_start_outcome(0, run, StartOutcome::Accepted);
    harness.advance(1_150);
    assert_eq!(harness.take_listing_requests(), Vec::<String>::new());
    harness.advance(100);
    assert_ne!(harness.take_listing_requests(), Vec::<String>::new());
}

cases! {
    job_completes_when_all_runs_are_listed_as_done(harness: [32]) {
        harness.submit(job(JOB, vec![step(2)]));
        assert_eq!(harness.take_starts().len(), 2);
        harness.apply_listing(0, &[(run(1, 1), 50)], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), []);
        harness.apply_listing(
            0,
            &[],
            &[(1, run(0, 1), RunEnd::Done), (2, run(1, 1), RunEnd::Done)],
        );
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
    }

    step_starts_after_its_dependencies_are_done(harness: [48]) {
        let second = StepSpec { after: vec![0], ..step(1) };
        harness.submit(job(JOB, vec![step(1), second]));
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        let next = Run { task: format!("{JOB}.0.1.0").parse().unwrap(), number: 1 };
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), next)]);
    }

    task_is_placed_on_fullest_fitting_target(harness: [48, 32, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_starts(), [("t-2".to_owned(), run(0, 1))]);
    }

    task_is_placed_on_target_with_required_label(harness: [16, 32]) {
        let step = StepSpec { required_label: Some("rack-1".to_owned()), ..step(1) };
        harness.submit(job(JOB, vec![step]));
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 1))]);
    }

    target_in_rack_of_data_is_preferred(harness: [16, 32]) {
        let step = StepSpec { near_rack: Some("rack-1".to_owned()), ..step(1) };
        harness.submit(job(JOB, vec![step]));
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 1))]);
    }

    per_target_limit_of_step_is_respected(harness: [48, 48]) {
        let step = StepSpec { max_per_target: Some(1), ..step(3) };
        harness.submit(job(JOB, vec![step]));
        assert_eq!(harness.take_starts().len(), 2);
    }

    stopped_run_that_never_started_releases_its_capacity(harness: [16]) {
        let request = harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Unanswered);
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.advance(200);
        assert_eq!(harness.take_stops(), [run(0, 1)]);
        // Listings take longer than the interval between two stop requests.
        for _ in 0..3 {
            let requested_at_ms = harness.now_ms;
            harness.advance(300);
            harness.apply_empty_listing(requested_at_ms, 0);
        }
        harness.submit(job("00000000000000bb", vec![step(1)]));
        assert_eq!(harness.take_starts().len(), 1);
    }

    stopped_run_keeps_its_capacity_while_its_start_request_is_valid(harness: [48]) {
        let mut failing = job(JOB, vec![step(2)]);
        failing.queue.max_attempts = 1;
        harness.submit(failing);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(harness.take_stops(), [run(1, 1)]);
        harness.advance(10);
        let free_before = harness.dispatcher.load().free_cpu_milli;
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(harness.dispatcher.load().free_cpu_milli, free_before);
        harness.advance(100);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(harness.dispatcher.load().free_cpu_milli, 48_000);
    }

    failed_task_is_retried_on_another_target_up_to_max_attempts(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 2))]);
        harness.apply_listing(1, &[], &[(1, run(0, 2), RunEnd::Failed)]);
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 3))]);
        harness.apply_listing(
            0,
            &[],
            &[(1, run(0, 1), RunEnd::Failed), (2, run(0, 3), RunEnd::Failed)],
        );
        assert_eq!(harness.take_answers(), [JobAnswer::Failed]);
    }

    resubmitted_finished_job_gets_cached_answer(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        harness.take_actions();
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
    }

    resubmitted_running_job_gets_the_same_answer(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed, JobAnswer::Completed]);
    }

    job_without_caller_is_stopped_after_grace_period(harness: [16]) {
        let request = harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.advance(160);
        assert_eq!(harness.take_stops(), [run(0, 1)]);
    }

    resubmitted_job_restarts_only_after_its_stopped_run_ended(harness: [16, 16]) {
        let request = harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.advance(160);
        harness.take_actions();
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_starts(), []);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    resubmitted_abandoned_job_is_not_refused(harness: [16]) {
        let request = harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.advance(160);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        harness.submit(job("00000000000000bb", vec![step(1)]));
        harness.take_actions();
        // The entry process was paused, and resubmits the job with the claim of the owner that held
        // it.
        harness.submit(Submission { holder: Some(ClaimId(7)), ..job(JOB, vec![step(1)]) });
        harness.advance(1_000);
        assert_eq!(harness.take_answers(), []);
    }

    ineffective_stop_request_is_repeated(harness: [16]) {
        let request = harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.advance(160);
        assert_eq!(harness.take_stops(), [run(0, 1)]);
        harness.advance(110);
        assert_eq!(harness.take_stops(), [run(0, 1)]);
    }

    unanswered_start_is_not_repeated_while_its_request_is_valid(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.take_actions();
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Unanswered);
        harness.apply_listing(0, &[], &[]);
        assert_eq!(harness.take_starts(), []);
        harness.advance(105);
        harness.apply_listing(0, &[], &[]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    unanswered_start_that_was_executed_continues(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Unanswered);
        harness.advance(105);
        harness.apply_listing(0, &[(run(0, 1), 60)], &[]);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
    }

    stalled_run_is_stopped_and_restarted_on_another_target(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.take_actions();
        harness.apply_listing(0, &[(run(0, 1), 0)], &[]);
        harness.advance(350);
        harness.apply_listing(0, &[(run(0, 1), 0)], &[]);
        harness.advance(5);
        assert_eq!(harness.take_stops(), [run(0, 1)]);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 2))]);
    }

    runs_of_unreachable_target_restart_only_after_lease_expiry(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.dispatcher.target_mut("t-0").unwrap().record_lease_renewal(MAX_LEASE_MS, harness.now_ms);
        harness.dispatcher.set_target_reachable("t-0", false, harness.now_ms);
        harness.take_actions();
        harness.advance(1_000);
        assert_eq!(harness.take_starts(), []);
        harness.advance(100);
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 2))]);
    }

    target_with_repeated_failures_gets_no_tasks(harness: [32, 32]) {
        for number in 0..2_u64 {
            let id = format!("{number:016x}");
            harness.submit(job(&id, vec![step(1)]));
            let started = harness.take_starts();
            let run = Run { task: format!("{id}.0.0.0").parse().unwrap(), number: 1 };
            assert_eq!(started, [("t-0".to_owned(), run)]);
            harness.apply_listing(0, &[], &[(number + 1, run, RunEnd::Failed)]);
            let next = Run { number: 2, ..run };
            assert_eq!(harness.take_starts(), [("t-1".to_owned(), next)]);
            harness.apply_listing(1, &[], &[(number + 1, next, RunEnd::Done)]);
            harness.take_actions();
        }
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 1))]);
    }

    jobs_that_fail_everywhere_do_not_eject_targets(harness: [16, 16]) {
        for number in 0..3_u64 {
            let id = format!("{number:016x}");
            harness.submit(job(&id, vec![step(1)]));
            for attempt in 1..=3 {
                let run = Run { task: format!("{id}.0.0.0").parse().unwrap(), number: attempt };
                let (target, started) = harness.take_starts().pop().unwrap();
                assert_eq!(started, run);
                let index = usize::from(target == "t-1");
                harness.apply_listing(
                    index,
                    &[],
                    &[(number * 3 + u64::from(attempt), run, RunEnd::Failed)],
                );
            }
            harness.take_actions();
        }
        assert_eq!(harness.dispatcher.load().healthy_targets, 2);
    }

    draining_target_gets_no_new_tasks(harness: [16, 32]) {
        harness.dispatcher.upsert_target(TargetInfo { draining: true, ..target(0, 16) });
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 1))]);
    }
}
