//! Tasks whose targets crash or are cut off while they run.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use harness::*;

/// Time after which the lease of a silent target has expired, with a margin.
const LAPSE_MS: u64 = 1_200;

/// Time for which the caller of a job waits that may see several targets crash.
const LONG_DEADLINE_MS: u64 = 60_000;

fn patient_job(id: &str, steps: Vec<StepSpec>) -> Submission {
    Submission { deadline_ms: LONG_DEADLINE_MS, ..job(id, steps) }
}

/// Plays `rounds` in which each target that started a task crashes and restarts. Returns the
/// number of starts in each round.
fn crash_started_targets(harness: &mut Harness, rounds: u64) -> Vec<usize> {
    let mut starts_per_round = Vec::new();
    for round in 0..rounds {
        let starts = harness.take_starts();
        starts_per_round.push(starts.len());
        for (target, run) in &starts {
            let index = target_index(target);
            harness.apply_start_outcome(index, *run, StartOutcome::Accepted);
            harness.dispatcher.set_target_reachable(target, false, harness.now_ms);
        }
        harness.advance(LAPSE_MS);
        for (target, _) in &starts {
            harness.apply_listing_of_incarnation(10 + round, target_index(target), &[], &[]);
            harness.dispatcher.set_target_reachable(target, true, harness.now_ms);
        }
    }
    starts_per_round
}

/// Completes a job on target 0, so that its ends up to 7 are processed, and starts a task of another
/// job there, whose start is answered with `clock_ms`. Returns its run.
fn start_after_processed_end(harness: &mut Harness, clock_ms: u64) -> Run {
    harness.submit(job("00000000000000bb", vec![step(1)]));
    let (_, first) = harness.take_starts().remove(0);
    harness.apply_start_outcome(0, first, StartOutcome::Accepted);
    harness.apply_listing(0, &[], &[(7, first, RunEnd::Done)]);
    harness.advance(50);
    harness.submit(job(JOB, vec![step(1)]));
    let (target, run) = harness.take_starts().remove(0);
    let (accepted, now_ms) = (StartOutcome::Accepted, harness.now_ms);
    harness.dispatcher.apply_start_outcome(&target, run, 0, accepted, Some(clock_ms), now_ms);
    run
}

fn ack_cursor(harness: &mut Harness) -> u64 {
    let request = harness.dispatcher.listing_request(&target_id(0), harness.now_ms);
    request.expect("the target is known").ack_cursor
}

fn target_index(id: &str) -> usize {
    id.trim_start_matches("t-").parse().expect("the harness numbers its targets")
}

cases! {
    task_that_crashes_its_targets_is_started_twice_at_most(harness: [16, 16, 16, 16, 16, 16]) {
        harness.submit(patient_job(JOB, vec![step(1)]));
        let starts: usize = crash_started_targets(&mut harness, 6).iter().sum();
        assert_eq!(starts, 2);
    }

    resubmitted_task_that_crashed_two_targets_is_not_started_again(harness: [16, 16, 16, 16]) {
        let request = harness.submit(patient_job(JOB, vec![step(1)]));
        crash_started_targets(&mut harness, 1);
        harness.dispatcher.remove_request(request, harness.now_ms);
        assert_eq!(crash_started_targets(&mut harness, 1), [1]);
        harness.submit(patient_job(JOB, vec![step(1)]));
        harness.advance(500);
        assert_eq!(harness.take_starts(), []);
    }

    tasks_of_a_lost_target_start_again_one_at_a_time(harness: [32]) {
        harness.submit(patient_job(JOB, vec![step(2)]));
        assert_eq!(crash_started_targets(&mut harness, 1), [2]);
        let first = harness.take_starts();
        assert_eq!(first.len(), 1);
        harness.apply_listing_of_incarnation(10, 0, &[], &[(1, first[0].1, RunEnd::Done)]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    new_task_does_not_join_a_task_of_a_lost_target(harness: [32]) {
        harness.submit(patient_job(JOB, vec![step(1)]));
        crash_started_targets(&mut harness, 1);
        assert_eq!(harness.take_starts().len(), 1);
        harness.submit(patient_job("00000000000000bb", vec![step(1)]));
        assert_eq!(harness.take_starts(), []);
    }

    task_that_crashes_a_target_beside_others_and_one_alone_fails_its_job(harness: [32]) {
        harness.submit(patient_job(JOB, vec![step(2)]));
        assert_eq!(crash_started_targets(&mut harness, 2), [2, 1]);
        assert_eq!(harness.take_answers(), [JobAnswer::Failed]);
    }

    task_whose_run_was_being_stopped_is_not_to_blame_for_a_crash(harness: [32]) {
        let first = harness.submit(patient_job(JOB, vec![step(2)]));
        assert_eq!(crash_started_targets(&mut harness, 1), [2]);
        let (_, run) = harness.take_starts()[0];
        harness.apply_start_outcome(0, run, StartOutcome::Accepted);
        harness.apply_listing_of_incarnation(10, 0, &[(run, 10)], &[]);
        // The run is stopped, and may have ended before its target crashes.
        harness.dispatcher.remove_request(first, harness.now_ms);
        harness.advance(200);
        assert_eq!(harness.take_stops()[0], run);
        harness.apply_listing_of_incarnation(11, 0, &[], &[]);
        harness.submit(patient_job(JOB, vec![step(2)]));
        harness.advance(50);
        assert_eq!(harness.take_starts().len(), 1);
    }

    end_of_a_restarted_target_is_not_acknowledged_by_the_cursor_of_the_earlier_incarnation(harness: [16]) {
        let run = start_after_processed_end(&mut harness, 20);
        assert_eq!(ack_cursor(&mut harness), 0);
        harness.apply_listing_of_incarnation(2, 0, &[], &[(1, run, RunEnd::Done)]);
        let actions = harness.take_actions();
        let answers =
            actions.iter().filter(|action| matches!(action, Action::Answer { answer: JobAnswer::Completed, .. }));
        assert_eq!(answers.count(), 1);
        assert_eq!(ack_cursor(&mut harness), 1);
    }

    target_that_answers_a_start_with_an_earlier_clock_is_listed_at_once(harness: [16]) {
        start_after_processed_end(&mut harness, 20);
        let is_listing = |action: &Action| matches!(action, Action::RequestListing { .. });
        assert!(harness.take_actions().iter().any(is_listing));
    }

    run_on_a_target_that_restarted_before_its_start_is_no_loss(harness: [16]) {
        let run = start_after_processed_end(&mut harness, 20);
        harness.apply_listing_of_incarnation(2, 0, &[(run, 10)], &[]);
        assert!(!harness.dispatcher.target_losses().count(run.task).is_suspect());
    }

    listing_of_a_restarted_target_is_applied_after_a_late_answer_of_the_earlier_incarnation(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        let (target, run) = harness.take_starts().remove(0);
        harness.apply_listing_of_incarnation(2, 0, &[], &[]);
        let (late_clock_ms, now_ms) = (harness.now_ms + 1_000, harness.now_ms);
        let accepted = StartOutcome::Accepted;
        harness.dispatcher.apply_start_outcome(&target, run, 0, accepted, Some(late_clock_ms), now_ms);
        harness.advance(200);
        harness.apply_listing_of_incarnation(2, 0, &[], &[]);
        assert_eq!(harness.take_starts().len(), 1, "the run was lost with the earlier incarnation");
    }

    cursor_is_kept_if_the_same_incarnation_answers(harness: [16]) {
        let clock_ms = harness.now_ms + 60;
        start_after_processed_end(&mut harness, clock_ms);
        assert_eq!(ack_cursor(&mut harness), 7);
    }

    cursor_is_kept_if_an_answer_is_overtaken_by_a_listing(harness: [16]) {
        harness.submit(job(JOB, vec![step(1)]));
        let (target, started) = harness.take_starts().remove(0);
        let clock_ms = harness.now_ms;
        harness.advance(20);
        harness.apply_listing(0, &[(started, 10)], &[(7, run(9, 1), RunEnd::Done)]);
        let (accepted, now_ms) = (StartOutcome::Accepted, harness.now_ms);
        harness.dispatcher.apply_start_outcome(&target, started, 0, accepted, Some(clock_ms), now_ms);
        assert_eq!(ack_cursor(&mut harness), 7);
    }

    new_owner_gives_up_task_that_crashed_two_targets_of_earlier_owners(harness: [16, 16, 16]) {
        harness.submit(patient_job(JOB, vec![step(1)]));
        crash_started_targets(&mut harness, 2);
        let mut new_owner = Harness::new(&[16, 16]);
        let losses = harness.dispatcher.target_losses().updated_since(0);
        new_owner.dispatcher.merge_target_losses(losses, new_owner.now_ms);
        new_owner.submit(patient_job(JOB, vec![step(1)]));
        assert_eq!(new_owner.take_answers(), [JobAnswer::Failed]);
    }

    target_that_refuses_a_connection_is_lost_with_its_runs(harness: [32, 32]) {
        harness.submit(patient_job(JOB, vec![step(2)]));
        let starts = harness.take_starts();
        let index = target_index(&starts[0].0);
        harness.apply_start_outcome(index, starts[0].1, StartOutcome::Accepted);
        harness.apply_start_outcome(index, starts[1].1, StartOutcome::NotSent);
        let losses = harness.dispatcher.target_losses();
        assert_eq!(losses.count(starts[0].1.task).unsettled, 1);
        assert!(!losses.count(starts[1].1.task).is_suspect(), "its start was not sent");
    }

    loss_of_a_target_is_known_before_its_lease_expires(harness: [16, 16]) {
        harness.submit(patient_job(JOB, vec![step(1)]));
        harness.dispatcher.set_target_reachable("t-0", false, harness.now_ms);
        assert_eq!(harness.dispatcher.target_losses().updated_since(0).count(), 1);
    }

    task_of_two_silent_targets_waits_until_one_was_only_cut_off(harness: [16, 16, 16]) {
        harness.submit(patient_job(JOB, vec![step(1)]));
        for _ in 0..2 {
            let (target, run) = harness.take_starts().remove(0);
            harness.apply_start_outcome(target_index(&target), run, StartOutcome::Accepted);
            harness.dispatcher.set_target_reachable(&target, false, harness.now_ms);
            harness.advance(LAPSE_MS);
        }
        assert_eq!(harness.take_starts(), []);
        harness.apply_listing(0, &[], &[]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    target_that_is_cut_off_and_later_crashes_counts_once(harness: [16, 16]) {
        harness.submit(patient_job(JOB, vec![step(1)]));
        let (target, run) = harness.take_starts().remove(0);
        let index = target_index(&target);
        harness.dispatcher.set_target_reachable(&target, false, harness.now_ms);
        harness.apply_listing(index, &[(run, 10)], &[]);
        harness.dispatcher.set_target_reachable(&target, true, harness.now_ms);
        harness.apply_listing_of_incarnation(2, index, &[], &[]);
        assert_eq!(harness.dispatcher.target_losses().count(run.task).crashed, 1);
    }

    run_of_a_draining_target_that_leaves_is_no_loss(harness: [16, 16]) {
        harness.submit(patient_job(JOB, vec![step(1)]));
        harness.dispatcher.upsert_target(TargetInfo { draining: true, ..target(0, 16) });
        harness.dispatcher.set_target_reachable("t-0", false, harness.now_ms);
        assert!(harness.dispatcher.target_losses().is_empty());
    }

    tasks_of_a_lost_target_start_apart_from_each_other_and_from_new_tasks(harness: [32, 32, 32, 32]) {
        harness.submit(patient_job(JOB, vec![step(2)]));
        let starts = harness.take_starts();
        assert_eq!(starts[0].0, starts[1].0, "both tasks fit one target");
        harness.dispatcher.set_target_reachable(&starts[0].0, false, harness.now_ms);
        harness.advance(LAPSE_MS);
        harness.submit(job("00000000000000bb", vec![step(1)]));
        let mut targets: Vec<String> =
            harness.take_starts().into_iter().map(|(target, _)| target).collect();
        targets.sort_unstable();
        assert_eq!(targets, ["t-1", "t-2", "t-3"]);
    }
}
