//! Handling of runs that earlier owners started.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use ggb_model::token_after_restarts;
use harness::*;

/// Returns a step of one task that may wait long enough for the lease of a target to expire.
fn long_step() -> StepSpec {
    StepSpec { estimate_ms: 5_000, ..step(1) }
}

/// Returns a job of one task that an owner released which may have runs of it on these targets.
fn moved_job(run_targets: &[&str]) -> Submission {
    let mut routed_job = RoutedJob::new(job(JOB, vec![step(1)]));
    let run_targets = run_targets.iter().map(|id| Arc::from(*id)).collect();
    routed_job.mark_moved(vec![], EarlierRuns::OwnZone, Some(run_targets), None);
    Submission { deadline_ms: 9_000, ..routed_job.submission().clone() }
}

/// Submits a job of two tasks that waits behind another job. Returns the run of the other job.
fn submit_behind_another_job(harness: &mut Harness) -> Run {
    harness.submit(job("00000000000000cc", vec![step(1)]));
    let blocking_run = harness.take_starts()[0].1;
    let mut known = job(JOB, vec![step(2)]);
    known.queue.stretch = 20.0;
    harness.submit(Submission { deadline_ms: 9_000, ..known });
    assert_eq!(harness.take_starts(), []);
    blocking_run
}

/// Returns the job of [`submit_behind_another_job`] as another owner has released it.
fn released_by_unknown_owner(done: Vec<(u16, u16)>, earlier_runs: EarlierRuns) -> Submission {
    let mut routed_job = RoutedJob::new(job(JOB, vec![step(2)]));
    routed_job.mark_moved(done, earlier_runs, Some(vec![]), Some(0));
    Submission { deadline_ms: 9_000, ..routed_job.submission().clone() }
}

/// Returns a job of one task for targets that start every task that they are told to start.
fn job_of_unguarded_targets(id: &str) -> Submission {
    let mut submission = job(id, vec![step(1)]);
    submission.queue.targets_enforce_capacity = false;
    submission
}

cases! {
    job_with_runs_in_any_zone_waits_for_part_expiry(harness: [48]) {
        harness.advance(5_000);
        harness.apply_listing(0, &[], &[]);
        let moved = Submission { earlier_runs: EarlierRuns::AnyZone, ..job(JOB, vec![step(2)]) };
        harness.submit(Submission { deadline_ms: 9_000, ..moved });
        harness.advance(CALLER_EXPIRY_MS - 30);
        assert_eq!(harness.take_starts(), []);
        harness.advance(60);
        assert_eq!(harness.take_starts().len(), 2);
    }

    still_held_job_waits_for_former_holder_and_part_expiry(harness: [48]) {
        harness.advance(5_000);
        harness.apply_listing(0, &[], &[]);
        let still_held =
            Submission { earlier_runs: EarlierRuns::StillHeld, ..job(JOB, vec![step(2)]) };
        harness.submit(Submission { deadline_ms: 9_000, ..still_held });
        // The former holder may take 400 ms to detect that it lost contact with the process that
        // sent it the job, and closes the job 150 ms later.
        harness.advance(550 + CALLER_EXPIRY_MS - 30);
        assert_eq!(harness.take_starts(), []);
        harness.advance(60);
        assert_eq!(harness.take_starts().len(), 2);
    }

    new_owner_starts_no_task_beside_runs_of_unknown_demand(harness: [32]) {
        harness.apply_listing(0, &[(run(0, 1), 10)], &[]);
        harness.submit(job_of_unguarded_targets("00000000000000bb"));
        assert_eq!(harness.take_starts(), []);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    new_owner_starts_tasks_beside_adopted_runs(harness: [32]) {
        harness.apply_listing(0, &[(run(0, 1), 10)], &[]);
        harness.submit(job(JOB, vec![step(1)]));
        harness.submit(job_of_unguarded_targets("00000000000000bb"));
        assert_eq!(harness.take_starts().len(), 1);
    }

    restarted_target_gets_no_task_before_its_entry_shows_its_capacity(harness: [32]) {
        harness.apply_listing_of_incarnation(2, 0, &[], &[]);
        harness.submit(job_of_unguarded_targets("00000000000000bb"));
        assert_eq!(harness.take_starts(), []);
        harness.dispatcher.upsert_target(TargetInfo { started_unix_ms: 2, ..target(0, 16) });
        harness.advance(5);
        assert_eq!(harness.take_starts().len(), 1);
    }

    shrunk_target_gets_no_task_beyond_its_capacity(harness: [32]) {
        harness.submit(job_of_unguarded_targets(JOB));
        assert_eq!(harness.take_starts().len(), 1);
        harness.dispatcher.upsert_target(target(0, 20));
        harness.submit(job_of_unguarded_targets("00000000000000bb"));
        assert_eq!(harness.take_starts(), []);
        harness.dispatcher.upsert_target(target(0, 32));
        harness.advance(5);
        assert_eq!(harness.take_starts().len(), 1);
    }

    lease_renewed_by_earlier_owner_delays_restart(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.dispatcher.set_target_reachable("t-0", false, harness.now_ms);
        harness.take_actions();
        harness.advance(1_000);
        assert_eq!(harness.take_starts(), []);
    }

    fenced_dispatcher_starts_no_more_tasks(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Fenced);
        harness.take_actions();
        assert!(harness.dispatcher.is_superseded());
        harness.submit(job("00000000000000bb", vec![step(1)]));
        assert_eq!(harness.take_starts(), []);
    }

    new_owner_adopts_active_runs(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16]);
        let resumed = Submission { earlier_runs: EarlierRuns::OwnZone, ..job(JOB, vec![step(1)]) };
        new_owner.submit(resumed);
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(0, &[(run(0, 1), 30)], &[]);
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(new_owner.take_answers(), [JobAnswer::Completed]);
        assert_eq!(harness.take_answers(), []);
    }

    // The job may be a repeated one, of which a run of the earlier owner is on the target whose
    // listing is missing.
    new_job_waits_for_the_listings_of_all_targets(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[], &[]);
        new_owner.submit(job(JOB, vec![step(1)]));
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(1, &[(run(0, 1), 30)], &[]);
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(1, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(new_owner.take_answers(), [JobAnswer::Completed]);
        assert_eq!(harness.take_answers(), []);
    }

    part_of_another_zone_is_refused_while_listings_are_missing(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[], &[]);
        new_owner.submit(Submission { part: Some(7), ..job(JOB, vec![step(1)]) });
        let refused = JobAnswer::Refused { reason: RefusalReason::Overloaded, retry_after_ms: 1_000 };
        assert_eq!(new_owner.take_answers(), [refused]);
        assert_eq!(harness.take_answers(), []);
    }

    // An entry process may resubmit a job just after its runs were stopped as orphans. They go on
    // until the targets have carried out the stop requests.
    job_that_arrives_while_its_orphaned_run_is_stopped_waits_for_the_end(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[(run(0, 1), 30)], &[]);
        new_owner.apply_listing(1, &[], &[]);
        new_owner.advance(205);
        assert_eq!(new_owner.take_stops(), [run(0, 1)]);
        new_owner.submit(Submission { deadline_ms: 9_000, ..job(JOB, vec![step(1)]) });
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        assert_eq!(new_owner.take_starts(), [("t-0".to_owned(), run(0, 2))]);
        assert_eq!(harness.take_answers(), []);
    }

    new_job_does_not_wait_for_a_silent_target(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[], &[]);
        new_owner.submit(job(JOB, vec![step(1)]));
        new_owner.dispatcher.record_listing_failure("t-1", 250, 250, new_owner.now_ms);
        assert_eq!(new_owner.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        assert_eq!(harness.take_answers(), []);
    }

    // The timeout shows that the new owner is slow; the target may have answered in time.
    new_job_waits_for_a_target_after_a_late_timeout(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[], &[]);
        new_owner.advance(700);
        new_owner.submit(Submission { deadline_ms: 20_000, ..job(JOB, vec![long_step()]) });
        new_owner.dispatcher.record_listing_failure("t-1", 600, 250, new_owner.now_ms);
        assert_eq!(new_owner.take_starts(), []);
        // By then the lease of the target must have expired.
        new_owner.advance(400);
        assert_eq!(new_owner.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        assert_eq!(harness.take_answers(), []);
    }

    end_on_another_target_does_not_end_the_current_run(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[], &[]);
        let resumed = Submission { earlier_runs: EarlierRuns::OwnZone, ..job(JOB, vec![step(1)]) };
        new_owner.submit(resumed);
        new_owner.advance(1_100);
        assert_eq!(new_owner.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        new_owner.apply_listing(1, &[], &[(1, run(0, 1), RunEnd::Lapsed)]);
        assert_eq!(new_owner.take_starts(), []);
        assert_eq!(harness.take_answers(), []);
    }

    new_owner_stops_orphaned_runs(harness: [16]) {
        harness.apply_listing(0, &[(run(0, 1), 30)], &[]);
        harness.advance(205);
        assert_eq!(harness.take_stops(), [run(0, 1)]);
    }

    new_owner_waits_for_lease_expiry_of_unlisted_targets(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[], &[]);
        let resumed = Submission { earlier_runs: EarlierRuns::OwnZone, ..job(JOB, vec![step(1)]) };
        new_owner.submit(resumed);
        new_owner.advance(1_000);
        assert_eq!(new_owner.take_starts(), []);
        new_owner.advance(100);
        assert_eq!(new_owner.take_starts().len(), 1);
        assert_eq!(harness.take_answers(), []);
    }

    job_waits_for_a_target_of_its_runs_that_the_new_owner_does_not_know(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16]);
        new_owner.apply_listing(0, &[], &[]);
        new_owner.submit(moved_job(&["t-9"]));
        new_owner.advance(LEASE_EXPIRY_MS - 30);
        assert_eq!(new_owner.take_starts(), []);
        new_owner.advance(60);
        assert_eq!(new_owner.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        assert_eq!(harness.take_answers(), []);
    }

    job_of_an_owner_that_learned_late_of_the_new_one_waits_for_its_runs(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.apply_listing(0, &[], &[]);
        // The former owner goes on renewing leases until it learns of the new one.
        new_owner.advance(5_000);
        new_owner.submit(moved_job(&["t-1"]));
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(1, &[(run(0, 1), 30)], &[]);
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(1, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(new_owner.take_answers(), [JobAnswer::Completed]);
        assert_eq!(harness.take_answers(), []);
    }

    job_starts_once_the_targets_of_its_runs_are_listed(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[16, 16]);
        new_owner.submit(moved_job(&["t-0"]));
        new_owner.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(new_owner.take_starts().len(), 1);
        assert_eq!(harness.take_answers(), []);
    }

    // Targets obey both owners in turn if their tokens are equal, or if they have restarted.
    job_is_not_started_again_on_a_listing_from_before_its_release(harness: [16, 16]) {
        let listed_at_ms = harness.now_ms;
        harness.advance(20);
        harness.submit(moved_job(&["t-1"]));
        assert_eq!(harness.take_starts(), []);
        harness.apply_empty_listing(listed_at_ms, 1);
        assert_eq!(harness.take_starts(), []);
        harness.apply_listing(1, &[(run(0, 1), 30)], &[]);
        assert_eq!(harness.take_starts(), []);
        harness.apply_listing(1, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
    }

    released_job_waits_for_one_round_trip_to_the_targets_of_its_runs(harness: [16, 16]) {
        harness.submit(moved_job(&["t-0", "t-1"]));
        let released_at_ms = harness.now_ms;
        assert_eq!(harness.take_listing_requests(), ["t-0", "t-1"]);
        harness.apply_empty_listing(released_at_ms, 0);
        assert_eq!(harness.take_starts(), []);
        harness.now_ms += 2;
        harness.apply_empty_listing(released_at_ms, 1);
        assert_eq!(harness.take_starts().len(), 1);
        assert_eq!(harness.now_ms - released_at_ms, 2);
    }

    // An extra listing may have been requested shortly before for another reason.
    listings_for_a_released_job_are_not_put_off(harness: [16]) {
        harness.submit(moved_job(&["t-0"]));
        assert_eq!(harness.take_listing_requests(), ["t-0"]);
        harness.now_ms += 2;
        harness.submit(Submission { job: job("00000000000000bb", vec![step(1)]).job, ..moved_job(&["t-0"]) });
        harness.advance(5);
        assert_eq!(harness.take_listing_requests(), ["t-0"]);
    }

    lost_listing_for_a_released_job_is_requested_again(harness: [16]) {
        harness.submit(moved_job(&["t-0"]));
        harness.take_actions();
        harness.advance(95);
        assert_eq!(harness.take_listing_requests(), [""; 0]);
        harness.advance(5);
        assert_eq!(harness.take_listing_requests(), ["t-0"]);
    }

    // Another thread may submit a job while the owner steps down; the next owner starts it.
    job_submitted_after_the_release_is_not_taken(harness: [16]) {
        harness.dispatcher.step_down();
        harness.submit(job(JOB, vec![step(1)]));
        let actions = harness.take_actions();
        assert!(
            matches!(&actions[..], [Action::Answer { answer: JobAnswer::NotTaken, .. }]),
            "{actions:?}"
        );
    }

    released_job_names_the_targets_of_its_runs(harness: [16, 16]) {
        harness.submit(moved_job(&["t-9"]));
        harness.submit(job("00000000000000bb", vec![step(1)]));
        let started = harness.take_starts();
        harness.dispatcher.step_down();
        let run_targets = harness.take_answers().into_iter().map(|answer| match answer {
            JobAnswer::Moved { run_targets, .. } => run_targets,
            other => panic!("{other:?}"),
        });
        let expected = [vec!["t-9".into()], vec![started[0].0.as_str().into()]];
        assert_eq!(run_targets.collect::<Vec<_>>(), expected.map(Some));
    }

    // Requests to a target that has restarted carry higher tokens than the claim.
    released_job_reports_the_highest_token_of_requests_to_targets(harness: [16, 16]) {
        let token_of_release = |harness: &mut Harness| {
            harness.submit(job(JOB, vec![step(1)]));
            harness.dispatcher.step_down();
            match &harness.take_answers()[..] {
                [JobAnswer::Moved { token, .. }] => *token,
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(token_of_release(&mut Harness::new(&[16])), Some(TOKEN));
        harness.apply_listing_of_incarnation(2, 1, &[], &[]);
        assert_eq!(token_of_release(&mut harness), Some(token_after_restarts(TOKEN, 1)));
    }

    // The caller of the job came back to this owner while another one was alive, which then releases
    // the job.
    job_that_is_known_already_waits_for_its_runs_of_the_releasing_owner(harness: [16]) {
        let blocking = "00000000000000cc";
        harness.submit(job(blocking, vec![step(1)]));
        let blocking_run = harness.take_starts()[0].1;
        let mut known = job(JOB, vec![step(1)]);
        known.queue.stretch = 20.0;
        harness.submit(Submission { deadline_ms: 9_000, ..known });
        harness.submit(moved_job(&["t-9"]));
        harness.apply_listing(0, &[], &[(1, blocking_run, RunEnd::Done)]);
        assert_eq!(harness.take_starts(), []);
        harness.advance(LEASE_EXPIRY_MS + 5);
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
    }

    // Entry processes send a job again for as long as it is held.
    repeated_submission_of_a_released_job_does_not_wait_again(harness: [16]) {
        let moved = moved_job(&["t-9"]);
        harness.submit(moved.clone());
        harness.advance(LEASE_EXPIRY_MS - 50);
        harness.submit(Submission { holder: Some(ClaimId(0)), ..moved });
        harness.advance(60);
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
    }

    // The owner that started the orphaned run may have renewed the lease after this one, which does not
    // renew it beside orphaned runs.
    run_beside_those_of_another_owner_is_not_taken_for_lapsed_too_early(harness: [30, 48]) {
        harness.advance(1_000);
        let orphan = Run { task: "00000000000000cc.0.0.0".parse().unwrap(), number: 1 };
        harness.apply_listing(0, &[(orphan, 10)], &[]);
        let listed_at_ms = harness.now_ms;
        harness.submit(Submission { deadline_ms: 9_000, ..job(JOB, vec![long_step()]) });
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Unanswered);
        harness.dispatcher.set_target_reachable("t-0", false, harness.now_ms);
        harness.advance(LEASE_EXPIRY_MS - (harness.now_ms - listed_at_ms) - 50);
        assert_eq!(harness.take_starts(), []);
        harness.advance(100);
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 2))]);
    }

    // The restarted target obeys an earlier owner until the first message of this one.
    run_on_a_restarted_target_is_not_taken_for_lapsed_too_early(harness: [16, 48]) {
        harness.advance(1_000);
        harness.apply_listing_of_incarnation(2, 0, &[], &[]);
        let listed_at_ms = harness.now_ms;
        harness.submit(Submission { deadline_ms: 9_000, ..job(JOB, vec![long_step()]) });
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Unanswered);
        harness.dispatcher.set_target_reachable("t-0", false, harness.now_ms);
        harness.advance(LEASE_EXPIRY_MS - (harness.now_ms - listed_at_ms) - 50);
        assert_eq!(harness.take_starts(), []);
        harness.advance(100);
        assert_eq!(harness.take_starts(), [("t-1".to_owned(), run(0, 2))]);
    }

    // The caller may return to a process that knows nothing of the run.
    lease_ends_before_the_caller_of_a_run_returns(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.connected.clear();
        let checked_at_ms = harness.now_ms;
        while harness.now_ms < checked_at_ms + 550 {
            harness.advance(50);
            let until_ms = harness.lease_until_ms(0).expect("the lease is renewed");
            let slow_clock_ms = (until_ms - harness.now_ms) * 51 / 50;
            assert!(harness.now_ms + slow_clock_ms <= checked_at_ms + CALLER_EXPIRY_MS);
        }
    }

    lease_is_not_renewed_once_the_caller_of_a_run_may_return(harness: [16]) {
        harness.submit(Submission { deadline_ms: 20_000, ..job(JOB, vec![long_step()]) });
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        harness.connected.clear();
        harness.advance(CALLER_EXPIRY_MS);
        assert_eq!(harness.lease_until_ms(0), None);
    }

    // A part has its age from the owner that offloaded it.
    lease_of_a_part_ends_before_the_caller_returns(harness: [16]) {
        let part = Submission { part: Some(7), caller_check_age_ms: 500, ..job(JOB, vec![step(1)]) };
        harness.submit(Submission { caller_check_age_ms: 200, ..part.clone() });
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        let renewed_ms = harness.now_ms + 300;
        harness.connected.clear();
        harness.advance(300);
        harness.submit(part);
        let until_ms = harness.lease_until_ms(0).expect("the lease is renewed");
        assert!(until_ms < renewed_ms + CALLER_EXPIRY_MS - 500);
    }

    task_starts_only_where_the_lease_ends_before_its_caller_returns(harness: [16]) {
        assert!(harness.lease_until_ms(0).is_some());
        harness.submit(Submission { caller_check_age_ms: 400, ..job(JOB, vec![step(1)]) });
        assert_eq!(harness.take_starts(), []);
        harness.submit(Submission { caller_check_age_ms: 300, ..job(JOB, vec![step(1)]) });
        assert_eq!(harness.take_starts().len(), 1);
    }

    // A part that can't start at once has to be refused, since its sender may start it elsewhere.
    part_is_refused_where_no_lease_ends_before_its_caller_returns(harness: [16]) {
        assert!(harness.lease_until_ms(0).is_some());
        let part = Submission { part: Some(7), caller_check_age_ms: 400, ..job(JOB, vec![step(1)]) };
        harness.submit(part);
        let refused = JobAnswer::Refused { reason: RefusalReason::Overloaded, retry_after_ms: 1_000 };
        assert_eq!(harness.take_answers(), [refused]);
    }

    lease_of_a_stopping_run_without_job_is_not_renewed(harness: [16]) {
        harness.apply_listing(0, &[(run(0, 1), 30)], &[]);
        harness.advance(205);
        assert_eq!(harness.take_stops(), [run(0, 1)]);
        assert_eq!(harness.lease_until_ms(0), None);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        assert!(harness.lease_until_ms(0).is_some());
    }

    // The former owner renewed the lease last, up to 300 ms before it was lost.
    lease_is_renewed_as_soon_as_the_last_orphaned_run_is_adopted(harness: [32]) {
        harness.apply_listing(0, &[(run(0, 1), 30), (run(1, 1), 30)], &[]);
        harness.take_actions();
        harness.submit(job(JOB, vec![step(2)]));
        let actions = harness.take_actions();
        let listing_requests = actions.iter().filter(|action| {
            matches!(action, Action::RequestListing { target } if **target == *"t-0")
        });
        assert_eq!(listing_requests.count(), 1);
        assert!(harness.lease_until_ms(0).is_some());
    }

    target_that_restarted_as_another_kind_gets_no_task_for_its_former_labels(harness: [32]) {
        let labelled = |started_unix_ms, label: &str| TargetInfo {
            started_unix_ms,
            labels: vec![label.to_owned()],
            ..target(0, 32)
        };
        harness.dispatcher.upsert_target(labelled(1, "b"));
        harness.apply_listing_of_incarnation(2, 0, &[], &[]);
        let step = StepSpec { required_label: Some("b".to_owned()), ..step(1) };
        harness.submit(Submission { deadline_ms: 9_000, ..job(JOB, vec![step]) });
        assert_eq!(harness.take_starts(), []);
        harness.dispatcher.upsert_target(labelled(2, "a"));
        harness.advance(5);
        assert_eq!(harness.take_starts(), []);
        harness.dispatcher.upsert_target(labelled(2, "b"));
        harness.advance(5);
        assert_eq!(harness.take_starts().len(), 1);
    }

    new_incarnation_of_a_target_gets_a_higher_token(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        harness.take_actions();
        harness.apply_listing_of_incarnation(2, 0, &[], &[]);
        assert_eq!(harness.take_starts(), []);
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Fenced);
        assert!(!harness.dispatcher.is_superseded());
        let offsets: Vec<u64> = harness.take_actions().iter().filter_map(|action| match action {
            Action::Start { seen_restarts, .. } => Some(*seen_restarts),
            _ => None,
        }).collect();
        assert_eq!(offsets, [1]);
    }

    no_task_starts_after_a_process_pause_before_new_listings(harness: [16]) {
        harness.now_ms += 3_000;
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_starts(), []);
        harness.apply_listing(0, &[], &[]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    // The other owner was not known while this one had taken the job from its caller.
    task_that_another_owner_completed_does_not_start_again_in_a_known_job(harness: [16]) {
        let blocking_run = submit_behind_another_job(&mut harness);
        harness.submit(released_by_unknown_owner(vec![(0, 0)], EarlierRuns::OwnZone));
        harness.apply_listing(0, &[], &[(1, blocking_run, RunEnd::Done)]);
        harness.advance(20);
        let starts = harness.take_starts();
        let indexes: Vec<u16> = starts.iter().map(|(_, run)| run.task.index).collect();
        assert_eq!(indexes, [1]);
    }

    known_job_waits_for_the_runs_that_another_owner_offloaded(harness: [16]) {
        let blocking_run = submit_behind_another_job(&mut harness);
        harness.submit(released_by_unknown_owner(vec![], EarlierRuns::AnyZone));
        harness.apply_listing(0, &[], &[(1, blocking_run, RunEnd::Done)]);
        harness.advance(20);
        assert_eq!(harness.take_starts(), []);
    }
}
