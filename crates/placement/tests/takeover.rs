//! What an owner does with what earlier owners ordered.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod bench;

use bench::*;

cases! {
    a_job_of_an_overlapping_owner_waits_for_what_that_one_lent(bench: [48]) {
        bench.pass(5_000);
        bench.list(0, &[], &[]);
        let moved = Submission { earlier_runs: EarlierRuns::AnyZone, ..job(JOB, vec![step(2)]) };
        bench.submit(Submission { deadline_ms: 9_000, ..moved });
        bench.pass(LENT_GONE_MS - 30);
        assert_eq!(bench.starts(), []);
        bench.pass(60);
        assert_eq!(bench.starts().len(), 2);
    }

    a_job_of_an_owner_that_may_still_hold_it_waits_longer(bench: [48]) {
        bench.pass(5_000);
        bench.list(0, &[], &[]);
        let lost = Submission { earlier_runs: EarlierRuns::StillHeld, ..job(JOB, vec![step(2)]) };
        bench.submit(Submission { deadline_ms: 9_000, ..lost });
        // Its owner asks for 400 ms, and gives the job up 150 ms later.
        bench.pass(550 + LENT_GONE_MS - 30);
        assert_eq!(bench.starts(), []);
        bench.pass(60);
        assert_eq!(bench.starts().len(), 2);
    }

    a_lease_that_an_earlier_owner_renewed_counts(bench: [16, 16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Accepted);
        bench.dispatcher.target_answers("t-0", false, bench.now_ms);
        bench.actions();
        bench.pass(1_000);
        assert_eq!(bench.starts(), []);
    }

    a_higher_token_ends_every_start(bench: [16, 16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Fenced);
        bench.actions();
        assert!(bench.dispatcher.is_fenced_off());
        bench.submit(job("00000000000000bb", vec![step(1)]));
        assert_eq!(bench.starts(), []);
    }

    a_new_owner_goes_on_with_what_runs(bench: [16]) {
        let mut later = Bench::taking_over(&[16]);
        let resumed = Submission { earlier_runs: EarlierRuns::OwnZone, ..job(JOB, vec![step(1)]) };
        later.submit(resumed);
        assert_eq!(later.starts(), []);
        later.list(0, &[(run(0, 1), 30)], &[]);
        assert_eq!(later.starts(), []);
        later.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(later.answers(), [JobAnswer::Completed]);
        assert_eq!(bench.answers(), []);
    }

    an_earlier_end_elsewhere_does_not_free_the_current_run(bench: [16]) {
        let mut later = Bench::taking_over(&[16, 16]);
        later.list(0, &[], &[]);
        let resumed = Submission { earlier_runs: EarlierRuns::OwnZone, ..job(JOB, vec![step(1)]) };
        later.submit(resumed);
        later.pass(1_100);
        assert_eq!(later.starts(), [("t-0".to_owned(), run(0, 1))]);
        later.list(1, &[], &[(1, run(0, 1), RunEnd::Lapsed)]);
        assert_eq!(later.starts(), []);
        assert_eq!(bench.answers(), []);
    }

    a_new_owner_stops_what_nobody_asks_for(bench: [16]) {
        bench.list(0, &[(run(0, 1), 30)], &[]);
        bench.pass(205);
        assert_eq!(bench.stops(), [run(0, 1)]);
    }

    a_new_owner_starts_nothing_twice_before_it_knows_all_targets(bench: [16]) {
        let mut later = Bench::taking_over(&[16, 16]);
        later.list(0, &[], &[]);
        let resumed = Submission { earlier_runs: EarlierRuns::OwnZone, ..job(JOB, vec![step(1)]) };
        later.submit(resumed);
        later.pass(1_000);
        assert_eq!(later.starts(), []);
        later.pass(100);
        assert_eq!(later.starts().len(), 1);
        assert_eq!(bench.answers(), []);
    }

    a_new_life_of_a_target_gets_a_higher_token(bench: [16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.actions();
        bench.list_life(2, 0, &[], &[]);
        assert_eq!(bench.starts(), []);
        bench.settle(0, run(0, 1), StartOutcome::Fenced);
        assert!(!bench.dispatcher.is_fenced_off());
        let offsets: Vec<u64> = bench.actions().iter().filter_map(|action| match action {
            Action::Start { token_offset, .. } => Some(*token_offset),
            _ => None,
        }).collect();
        assert_eq!(offsets, [1]);
    }

    nothing_starts_after_a_pause_before_the_targets_have_answered(bench: [16]) {
        bench.now_ms += 3_000;
        bench.submit(job(JOB, vec![step(1)]));
        assert_eq!(bench.starts(), []);
        bench.list(0, &[], &[]);
        assert_eq!(bench.starts().len(), 1);
    }
}
