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

    // Guards against ends of the new incarnation that are dropped, since they carry numbers that the former one has used.
    restart_of_a_target_that_crashed_when_it_was_young_shows_in_the_first_answer(harness: [16]) {
        harness.submit(job("00000000000000bb", vec![step(1)]));
        let (_, first) = harness.take_starts().remove(0);
        harness.apply_start_outcome(0, first, StartOutcome::Accepted);
        harness.apply_listing(0, &[], &[(7, first, RunEnd::Done)]);
        let clock_ms = harness.now_ms;
        harness.advance(200);
        harness.submit(job(JOB, vec![step(1)]));
        let (target, run) = harness.take_starts().remove(0);
        harness.advance(5);
        // The clock has not fallen, but the former incarnation would be 200 ms further.
        let (accepted, now_ms) = (StartOutcome::Accepted, harness.now_ms);
        harness.dispatcher.apply_start_outcome(&target, run, 0, accepted, Some(clock_ms + 60), now_ms);
        let request = harness.dispatcher.listing_request(&target, now_ms);
        assert_eq!(request.expect("the target is known").ack_cursor, 0);
        assert_eq!(harness.take_listing_requests(), [target]);
    }

    // Guards against a restart that is reported because the clock of a target is slow.
    answer_of_a_slow_clock_shows_no_restart(harness: [16]) {
        let clock_ms = harness.now_ms;
        harness.advance(1_000);
        harness.submit(job(JOB, vec![step(1)]));
        let (target, run) = harness.take_starts().remove(0);
        harness.take_actions();
        let (accepted, now_ms) = (StartOutcome::Accepted, harness.now_ms);
        harness.dispatcher.apply_start_outcome(&target, run, 0, accepted, Some(clock_ms + 980), now_ms);
        assert_eq!(harness.take_listing_requests(), Vec::<String>::new());
    }

    // Guards against starts that a restarted target carries out long after they were sent, and against leases that are too long.
    start_after_an_answer_of_a_restarted_target_is_valid_by_its_clock(harness: [32]) {
        start_while_first_listing_is_requested(&mut harness);
        harness.submit(job("00000000000000bb", vec![step(1)]));
        let valid_until_clock_ms = harness.take_actions().iter().find_map(|action| match action {
            Action::Start { valid_until_clock_ms, .. } => Some(*valid_until_clock_ms),
            _ => None,
        });
        assert_eq!(valid_until_clock_ms, Some(RESTARTED_CLOCK_MS + 20 + 100));
        let lease_until_clock_ms = harness.lease_until_ms(0).expect("the lease is renewed");
        assert!(lease_until_clock_ms <= RESTARTED_CLOCK_MS + 20 + MAX_LEASE_MS);
    }

    // Guards against a start by the clock of the new incarnation that a late listing of the former one ends.
    late_listing_of_the_former_incarnation_does_not_end_an_unanswered_start(harness: [32]) {
        let (_, requested_at_ms) = start_while_first_listing_is_requested(&mut harness);
        harness.submit(job("00000000000000bb", vec![step(1)]));
        let (_, second) = harness.take_starts().remove(0);
        harness.advance(5);
        harness.apply_start_outcome(0, second, StartOutcome::Unanswered);
        harness.apply_empty_listing(requested_at_ms, 0);
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against a second run of a task whose end was listed before its target restarted and its job came back.
    end_that_was_listed_before_a_restart_is_known_to_a_job_that_arrives_after_it(harness: [16]) {
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS), harness.now_ms, &[]);
        harness.submit(Submission { earlier_runs: EarlierRuns::OwnZone, ..job(JOB, vec![step(1)]) });
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
    }

    // Guards against a run that outlives the return of its caller, since its target granted the longest lease by another clock.
    restarted_target_gets_no_task_that_could_outlive_the_return_of_its_caller(harness: [32]) {
        start_while_first_listing_is_requested(&mut harness);
        let job = job("00000000000000bb", vec![step(1)]);
        harness.submit(Submission { caller_check_age_ms: 300, ..job });
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against the same if a listing is the first message that shows the restart.
    listed_restart_leaves_no_time_for_a_task_that_could_outlive_the_return_of_its_caller(harness: [32]) {
        harness.advance(500);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS), harness.now_ms - 1, &[]);
        harness.submit(Submission { caller_check_age_ms: 300, ..job(JOB, vec![step(1)]) });
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against a second run of a task that a target, restarted unseen, has started under the longest lease.
    unlisted_run_of_a_silent_target_is_lost_once_the_longest_lease_has_expired(harness: [16, 16]) {
        harness.lease_until_ms(0);
        harness.advance(400);
        harness.submit(Submission { deadline_ms: 60_000, ..job(JOB, vec![step(1)]) });
        let (target, run) = harness.take_starts().remove(0);
        harness.apply_start_outcome(0, run, StartOutcome::Unanswered);
        harness.dispatcher.set_target_reachable(&target, false, harness.now_ms);
        harness.advance(LEASE_EXPIRY_MS - 5);
        assert_eq!(harness.take_starts(), []);
        harness.advance(10);
        assert_eq!(harness.take_starts().len(), 1);
    }

    // Guards against a restarted target that counts as silent, with its runs, for a request that the former incarnation left open.
    failed_request_to_the_former_incarnation_does_not_make_a_restarted_target_unreachable(harness: [16]) {
        let (run, _) = start_while_first_listing_is_requested(&mut harness);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS + 20), harness.now_ms - 1, &[run]);
        harness.advance(5);
        harness.dispatcher.record_listing_failure(&target_id(0), 400, 400, harness.now_ms);
        assert!(!harness.dispatcher.targets()[0].is_unreachable());
        assert!(!harness.dispatcher.target_losses().count(run.task).is_suspect());
    }

    // Guards against a crash that counts twice, once with the incarnation that the start was sent to.
    crash_of_a_run_that_was_sent_to_the_former_incarnation_counts_once(harness: [16]) {
        let (run, requested_at_ms) = start_while_first_listing_is_requested(&mut harness);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS - 1), requested_at_ms, &[]);
        harness.advance(5);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS + 30), harness.now_ms - 1, &[run]);
        harness.dispatcher.set_target_reachable(&target_id(0), false, harness.now_ms);
        harness.advance(5);
        harness.apply_listing_after_restart((3, RESTARTED_CLOCK_MS), harness.now_ms - 1, &[]);
        assert_eq!(harness.dispatcher.target_losses().count(run.task).crashed, 1);
    }

    // Guards against runs that lapse on a restarted target, while the periodic request waits for the former incarnation.
    lease_of_a_target_that_answers_again_is_renewed_at_once(harness: [16]) {
        harness.advance(50);
        harness.dispatcher.set_target_reachable(&target_id(0), false, harness.now_ms);
        harness.submit(job(JOB, vec![step(1)]));
        harness.advance(5);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS), harness.now_ms - 1, &[]);
        harness.dispatcher.set_target_reachable(&target_id(0), true, harness.now_ms);
        assert_eq!(harness.take_listing_requests(), [target_id(0)]);
        assert!(harness.lease_until_ms(0).is_some());
    }

    // Guards against ends on a restarted target that stay unlisted while the periodic request waits for the former incarnation.
    polling_restarts_with_the_first_listing_of_an_incarnation(harness: [16]) {
        harness.advance(50);
        harness.take_actions();
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS), harness.now_ms - 1, &[]);
        assert_eq!(harness.take_polling_restarts(), [target_id(0)]);
        harness.advance(5);
        harness.apply_listing_after_restart((2, RESTARTED_CLOCK_MS + 5), harness.now_ms - 1, &[]);
        assert_eq!(harness.take_polling_restarts(), Vec::<String>::new());
    }

    // Guards against the same for a target that has not restarted, but was silent on the connection of the request.
    polling_restarts_when_a_target_answers_again(harness: [16]) {
        harness.dispatcher.set_target_reachable(&target_id(0), false, harness.now_ms);
        assert_eq!(harness.take_polling_restarts(), Vec::<String>::new());
        harness.dispatcher.set_target_reachable(&target_id(0), true, harness.now_ms);
        assert_eq!(harness.take_polling_restarts(), [target_id(0)]);
    }

    // Guards against a restart that only the extra request shows, which may just have been sent to the former incarnation.
    listing_is_requested_without_delay_when_an_answer_shows_a_restart(harness: [16]) {
        harness.advance(50);
        harness.submit(job(JOB, vec![step(1)]));
        let (target, run) = harness.take_starts().remove(0);
        harness.advance(5);
        let (accepted, clock_ms) = (StartOutcome::Accepted, Some(RESTARTED_CLOCK_MS));
        harness.dispatcher.apply_start_outcome(&target, run, 0, accepted, clock_ms, harness.now_ms);
        assert_eq!(harness.take_polling_restarts(), [target_id(0)]);
        let request = harness.dispatcher.listing_request(&target, harness.now_ms);
        assert!(!request.expect("the target is known").may_wait);
    }
}

// Guards against a run of the new incarnation that counts as a loss of the former one after a change of the owner.
#[test]
fn run_of_an_earlier_owner_that_a_restarted_target_lists_is_no_loss_of_the_former_incarnation() {
    let mut earlier_owner = Harness::new(&[16]);
    earlier_owner.submit(job(JOB, vec![step(1)]));
    let (target, run) = earlier_owner.take_starts().remove(0);
    earlier_owner.dispatcher.set_target_reachable(&target, false, earlier_owner.now_ms);
    let mut new_owner = Harness::after_takeover(&[16]);
    let losses = earlier_owner.dispatcher.target_losses().updated_since(0);
    new_owner.dispatcher.merge_target_losses(losses, new_owner.now_ms);
    new_owner.advance(5);
    new_owner.apply_listing_after_restart((2, RESTARTED_CLOCK_MS), new_owner.now_ms, &[run]);
    assert!(!new_owner.dispatcher.target_losses().count(run.task).is_suspect());
}
