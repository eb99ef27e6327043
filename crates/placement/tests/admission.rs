//! Which jobs wait, and which are refused or given up.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod bench;

use bench::*;

cases! {
    a_task_that_fits_nowhere_is_refused_for_good(bench: [8]) {
        bench.submit(job(JOB, vec![step(1)]));
        let reason = RefusalReason::TooLarge;
        assert_eq!(bench.answers(), [JobAnswer::Refused { reason, retry_after_ms: 0 }]);
    }

    a_full_queue_refuses_at_once(bench: [16]) {
        for number in 0..40 {
            bench.submit(job(&format!("{number:016x}"), vec![step(1)]));
        }
        let refused = bench.answers();
        assert!(refused.len() > 30, "refused: {}", refused.len());
    }

    what_waits_too_long_is_refused_before_it_starts(bench: [48]) {
        bench.submit(job(JOB, vec![step(3)]));
        bench.submit(job("00000000000000bb", vec![step(1)]));
        bench.actions();
        bench.pass(100);
        let answers = bench.answers();
        let reason = RefusalReason::StillQueued;
        assert_eq!(answers, [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
    }

    a_job_that_can_not_end_in_time_is_given_up_at_once(bench: [16]) {
        bench.submit(Submission { deadline_ms: 300, ..job(JOB, vec![step(2)]) });
        bench.actions();
        bench.pass(240);
        assert_eq!(bench.answers(), []);
        bench.pass(20);
        let actions = bench.actions();
        let answers = actions.iter().filter(|action| matches!(action, Action::Answer { .. }));
        let is_given_up = |action: &Action| {
            matches!(action, Action::Answer { answer: JobAnswer::GivenUp, .. })
        };
        assert!(answers.clone().count() == 1 && answers.clone().all(is_given_up), "{actions:?}");
        assert!(actions.iter().any(|action| matches!(action, Action::Stop { .. })), "{actions:?}");
    }

    a_late_job_with_much_left_goes_last(bench: [16]) {
        assert_eq!(bench.first_of_late_and_timely(6), "00000000000000bb");
    }

    a_job_of_several_steps_waits_by_its_longest_chain(bench: [48]) {
        bench.submit(job(JOB, vec![step(3)]));
        let second = StepSpec { after: vec![0], ..step(1) };
        bench.submit(job("00000000000000bb", vec![step(1), second]));
        bench.actions();
        bench.pass(100);
        assert_eq!(bench.answers(), []);
        bench.pass(50);
        let reason = RefusalReason::StillQueued;
        assert_eq!(bench.answers(), [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
    }
}
