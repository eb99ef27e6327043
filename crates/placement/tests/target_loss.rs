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

    new_owner_starts_no_task_beside_runs_of_unknown_demand(harness: [16]) {
        let mut new_owner = Harness::after_takeover(&[32]);
        new_owner.apply_listing(0, &[(run(0, 1), 10)], &[]);
        new_owner.submit(job("00000000000000bb", vec![step(1)]));
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(new_owner.take_starts().len(), 1);
        drop(harness);
    }
}
