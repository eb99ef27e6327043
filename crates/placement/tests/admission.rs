//! Admission, refusal and giving up of jobs.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use harness::*;

cases! {
    task_larger_than_all_targets_is_refused_without_retry(harness: [8]) {
        harness.submit(job(JOB, vec![step(1)]));
        let reason = RefusalReason::TooLarge;
        assert_eq!(harness.take_answers(), [JobAnswer::Refused { reason, retry_after_ms: 0 }]);
    }

    jobs_beyond_queue_capacity_are_refused_at_once(harness: [16]) {
        for number in 0..40 {
            harness.submit(job(&format!("{number:016x}"), vec![step(1)]));
        }
        let refused = harness.take_answers();
        assert!(refused.len() > 30, "refused: {}", refused.len());
    }

    job_queued_too_long_is_refused_as_still_queued(harness: [48]) {
        harness.submit(job(JOB, vec![step(3)]));
        harness.submit(job("00000000000000bb", vec![step(1)]));
        harness.take_actions();
        harness.advance(100);
        let answers = harness.take_answers();
        let reason = RefusalReason::StillQueued;
        assert_eq!(answers, [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
    }

    started_job_that_cannot_meet_its_deadline_is_given_up(harness: [16]) {
        harness.submit(Submission { deadline_ms: 300, ..job(JOB, vec![step(2)]) });
        harness.take_actions();
        harness.advance(240);
        assert_eq!(harness.take_answers(), []);
        harness.advance(20);
        let actions = harness.take_actions();
        let answers = actions.iter().filter(|action| matches!(action, Action::Answer { .. }));
        let is_given_up = |action: &Action| {
            matches!(action, Action::Answer { answer: JobAnswer::GivenUp, .. })
        };
        assert!(answers.clone().count() == 1 && answers.clone().all(is_given_up), "{actions:?}");
        assert!(actions.iter().any(|action| matches!(action, Action::Stop { .. })), "{actions:?}");
    }

    late_job_is_scheduled_after_timely_job(harness: [16]) {
        assert_eq!(harness.first_started_of_late_and_timely(6), "00000000000000bb");
    }

    queue_time_limit_of_multi_step_job_follows_its_critical_path(harness: [48]) {
        harness.submit(job(JOB, vec![step(3)]));
        let second = StepSpec { after: vec![0], ..step(1) };
        harness.submit(job("00000000000000bb", vec![step(1), second]));
        harness.take_actions();
        harness.advance(100);
        assert_eq!(harness.take_answers(), []);
        harness.advance(50);
        let reason = RefusalReason::StillQueued;
        assert_eq!(harness.take_answers(), [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
    }

    // Guards against a queued job whose caller is not told before its deadline that it has not run.
    unstarted_job_is_refused_before_the_deadline_of_its_caller(harness: [14]) {
        harness.submit(job("00000000000000bb", vec![step(1)]));
        let mut waiting = Submission { deadline_ms: 300, ..job(JOB, vec![step(1)]) };
        waiting.queue.stretch = 20.0;
        harness.submit(waiting);
        harness.take_actions();
        harness.advance(245);
        assert_eq!(harness.take_answers(), []);
        harness.advance(10);
        let reason = RefusalReason::StillQueued;
        let answers = harness.take_answers();
        assert_eq!(answers, [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
        harness.advance(50);
        harness.apply_listing(0, &[], &[]);
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against a wait for the deadline by a job that can't end before it.
    unstarted_job_that_cannot_end_before_the_deadline_of_its_caller_is_refused_at_once(harness: [14]) {
        harness.submit(job("00000000000000bb", vec![step(1)]));
        let slow = StepSpec { estimate_ms: 400, ..step(1) };
        let mut waiting = Submission { deadline_ms: 300, ..job(JOB, vec![slow]) };
        waiting.queue.stretch = 20.0;
        harness.submit(waiting);
        harness.take_actions();
        harness.advance(110);
        let reason = RefusalReason::StillQueued;
        let answers = harness.take_answers();
        assert_eq!(answers, [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
    }

    // Guards against a job that its entry process sends again after the refusal, and that then counts as one whose tasks have run.
    queued_job_is_refused_only_while_its_entry_process_waits_for_the_answer(harness: [14]) {
        harness.submit(job("00000000000000bb", vec![step(1)]));
        harness.advance(5);
        harness.take_actions();
        let request = harness.submit(job(JOB, vec![step(1)]));
        harness.advance(70);
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.advance(20);
        let now_ms = harness.now_ms;
        let again = Submission { waited_ms: 90, holder: Some(ClaimId(0)), ..job(JOB, vec![step(1)]) };
        harness.dispatcher.submit(again, RequestId(9), now_ms);
        harness.advance(5);
        let reason = RefusalReason::StillQueued;
        let answers = harness.take_answers();
        assert_eq!(answers, [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
        harness.advance(200);
        harness.apply_listing(0, &[], &[]);
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against a job that is held until the deadline of its caller, since only another zone may have started it.
    job_with_an_offloaded_part_whose_other_tasks_cannot_end_in_time_is_given_up(harness: [14]) {
        harness.submit(job("00000000000000bb", vec![step(1)]));
        harness.report_capacity("b", 1);
        let mut waiting = Submission { deadline_ms: 300, ..job(JOB, vec![step(2)]) };
        waiting.queue.stretch = 20.0;
        harness.submit(waiting);
        assert_eq!(harness.take_offloaded_parts(), [("b".to_owned(), 1)]);
        harness.advance(245);
        assert_eq!(harness.take_answers(), []);
        harness.advance(10);
        assert_eq!(harness.take_answers(), [JobAnswer::GivenUp]);
    }

    // Guards against a job that is held although runs in other zones are waited for until after its deadline.
    job_that_may_not_start_again_before_its_deadline_is_given_up_once_its_runs_are_known(harness: [14]) {
        let earlier_runs = EarlierRuns::AnyZone;
        harness.advance(50);
        harness.submit(Submission { earlier_runs, waited_ms: 400, ..job(JOB, vec![step(1)]) });
        harness.advance(50);
        assert_eq!(harness.take_answers(), []);
        harness.apply_listing(0, &[], &[]);
        harness.advance(5);
        assert_eq!(harness.take_answers(), [JobAnswer::GivenUp]);
    }

    // Guards against a job that counts as started, and is held until its deadline, although no target has begun a run.
    job_whose_only_start_was_rejected_is_refused_when_it_is_queued_too_long(harness: [14, 14]) {
        let unanswered = "00000000000000bb";
        harness.submit(job(JOB, vec![step(1)]));
        harness.submit(job(unanswered, vec![step(1)]));
        let starts = harness.take_starts();
        let outcomes = [StartOutcome::NoRoom, StartOutcome::Unanswered];
        for ((target, run), outcome) in starts.into_iter().zip(outcomes) {
            let now_ms = harness.now_ms;
            harness.dispatcher.apply_start_outcome(&target, run, 0, outcome, None, now_ms);
            harness.dispatcher.set_target_reachable(&target, false, now_ms);
        }
        harness.take_actions();
        harness.advance(100);
        let answers = harness.take_answers();
        let is_refused = |answer: &JobAnswer| {
            matches!(answer, JobAnswer::Refused { reason: RefusalReason::StillQueued, .. })
        };
        assert!(answers.len() == 1 && answers.iter().all(is_refused), "{answers:?}");
    }

    // Guards against a refusal of a job whose caller has returned and of which a task has run.
    job_with_a_listed_end_is_not_refused(harness: [14]) {
        harness.submit(job("00000000000000bb", vec![step(1)]));
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        harness.take_actions();
        let mut patient = job(JOB, vec![step(1)]);
        patient.queue.stretch = 3.0;
        harness.submit(patient);
        assert_eq!(harness.take_answers(), []);
        harness.advance(200);
        assert_eq!(harness.take_answers(), []);
    }

    // Guards against the same for a job that is not admitted.
    job_with_a_listed_end_that_is_not_admitted_is_not_refused(harness: [14]) {
        harness.submit(job("00000000000000bb", vec![step(1)]));
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        harness.take_actions();
        harness.submit(job(JOB, vec![step(8)]));
        assert_eq!(harness.take_answers(), []);
    }
}
