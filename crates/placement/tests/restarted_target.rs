//! Runs on targets that crash and start again under their ids.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use harness::*;

/// Clock that the new incarnation of target 0 shows in the answer to its first start.
const RESTARTED_CLOCK_MS: u64 = 20;

/// Starts a task on target 0, which has restarted unnoticed, and requests a listing before the start is
/// answered. Returns the run and the time of the request; the listing arrives later.
fn start_while_first_listing_is_requested(harness: &mut Harness) -> (Run, u64) {
    harness.advance(50);
    harness.submit(job(JOB, vec![step(1)]));
    let (target, run) = harness.take_starts().remove(0);
    harness.advance(5);
    let requested_at_ms = harness.now_ms;
    harness.advance(5);
    let (accepted, clock_ms) = (StartOutcome::Accepted, Some(RESTARTED_CLOCK_MS));
    harness.dispatcher.apply_start_outcome(&target, run, 0, accepted, clock_ms, harness.now_ms);
    harness.advance(20);
    harness.take_actions();
    (run, requested_at_ms)
}

/// Starts a task alone on target 0, which crashes under it. The first listing of the new incarnation
/// arrives before the answer to the start request. Returns the run.
fn crash_before_start_is_answered(harness: &mut Harness, started_unix_ms: u64) -> Run {
    let (target, run) = harness.take_starts().remove(0);
    harness.advance(5);
    let requested_at_ms = harness.now_ms - 1;
    harness.apply_listing_after_restart((started_unix_ms, 1), requested_at_ms, &[]);
    harness.advance(5);
    let (accepted, now_ms) = (StartOutcome::Accepted, harness.now_ms);
    let seen_restarts = started_unix_ms - 2;
    harness.dispatcher.apply_start_outcome(&target, run, seen_restarts, accepted, None, now_ms);
    harness.advance(5);
    run
}

cases! {
    // Guards against a second run of a task whose start the new incarnation confirmed after it had made the listing.
    run_confirmed_after_the_first_listing_of_a_restarted_target_was_requested_is_not_started_again(harness: [16, 16]) {
        let (run, requested_at_ms) = start_while_first_listing_is_requested(&mut harness);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS - 1), requested_at_ms, &[]);
        assert_eq!(harness.take_starts(), []);
        harness.advance(5);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS + 30), harness.now_ms - 1, &[run]);
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against a run of the former incarnation that is waited for until it is overdue.
    run_missing_in_the_next_listing_of_a_restarted_target_is_started_again_at_once(harness: [16, 16]) {
        let (_, requested_at_ms) = start_while_first_listing_is_requested(&mut harness);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS - 1), requested_at_ms, &[]);
        assert_eq!(harness.take_listing_requests(), [target_id(0)]);
        harness.advance(5);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS + 30), harness.now_ms - 1, &[]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    // Guards against a wait for another listing where the first one decides.
    run_that_the_former_incarnation_listed_is_started_again_with_the_first_listing_of_the_next(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        let (_, run) = harness.take_starts().remove(0);
        let requested_at_ms = harness.now_ms;
        harness.advance(5);
        harness.apply_listing(0, &[(run, 10)], &[]);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS), requested_at_ms, &[]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    // Guards against a run of the new incarnation that counts as lost with the former one.
    run_confirmed_by_a_restarted_target_is_no_loss_of_the_former_incarnation(harness: [16]) {
        let (run, requested_at_ms) = start_while_first_listing_is_requested(&mut harness);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS - 1), requested_at_ms, &[]);
        assert_eq!(harness.dispatcher.target_losses().count(run.task).crashed, 0);
        harness.advance(5);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS + 30), harness.now_ms - 1, &[run]);
        assert!(!harness.dispatcher.target_losses().count(run.task).is_suspect());
    }

    // Guards against the same for a run whose start is answered after the first listing.
    run_that_reached_a_target_after_its_restart_is_no_loss_of_the_former_incarnation(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        let run = crash_before_start_is_answered(&mut harness, 2);
        harness.apply_listing_after_restart((2, 30), harness.now_ms - 1, &[run]);
        assert!(!harness.dispatcher.target_losses().count(run.task).is_suspect());
    }

    // Guards against a third crash under a task whose starts were answered after the listings that showed the crashes.
    task_that_crashes_its_targets_before_its_starts_are_answered_is_started_twice_at_most(harness: [16]) {
        harness.submit(Submission { deadline_ms: 60_000, ..job(JOB, vec![step(1)]) });
        for started_unix_ms in [2, 3] {
            crash_before_start_is_answered(&mut harness, started_unix_ms);
            harness.apply_listing_after_restart((started_unix_ms, 30), harness.now_ms - 1, &[]);
        }
        assert_eq!(harness.take_answers(), [JobAnswer::Failed]);
    }
}
