//! Where tasks run, how runs end, and copies of jobs.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod bench;

use bench::*;

cases! {
    a_job_is_complete_when_all_ends_are_listed(bench: [32]) {
        bench.submit(job(JOB, vec![step(2)]));
        assert_eq!(bench.starts().len(), 2);
        bench.list(0, &[(run(1, 1), 50)], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(bench.answers(), []);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done), (2, run(1, 1), RunEnd::Done)]);
        assert_eq!(bench.answers(), [JobAnswer::Completed]);
    }

    later_steps_wait_for_earlier_ones(bench: [48]) {
        let second = StepSpec { after: vec![0], ..step(1) };
        bench.submit(job(JOB, vec![step(1), second]));
        assert_eq!(bench.starts(), [("t-0".to_owned(), run(0, 1))]);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        let next = Run { task: format!("{JOB}.0.1.0").parse().unwrap(), number: 1 };
        assert_eq!(bench.starts(), [("t-0".to_owned(), next)]);
    }

    the_fullest_target_that_fits_is_chosen(bench: [48, 32, 16]) {
        bench.submit(job(JOB, vec![step(1)]));
        assert_eq!(bench.starts(), [("t-2".to_owned(), run(0, 1))]);
    }

    a_required_label_is_kept(bench: [16, 32]) {
        let step = StepSpec { required_label: Some("rack-1".to_owned()), ..step(1) };
        bench.submit(job(JOB, vec![step]));
        assert_eq!(bench.starts(), [("t-1".to_owned(), run(0, 1))]);
    }

    the_rack_of_the_data_goes_first(bench: [16, 32]) {
        let step = StepSpec { near_rack: Some("rack-1".to_owned()), ..step(1) };
        bench.submit(job(JOB, vec![step]));
        assert_eq!(bench.starts(), [("t-1".to_owned(), run(0, 1))]);
    }

    no_target_gets_more_tasks_of_a_step_than_allowed(bench: [48, 48]) {
        let step = StepSpec { per_target_max: Some(1), ..step(3) };
        bench.submit(job(JOB, vec![step]));
        assert_eq!(bench.starts().len(), 2);
    }

    a_run_that_never_began_frees_its_room_when_it_is_stopped(bench: [16]) {
        let ticket = bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Unanswered);
        bench.dispatcher.withdraw(ticket, bench.now_ms);
        bench.pass(200);
        assert_eq!(bench.stops(), [run(0, 1)]);
        // Listings are held back for longer than the pause between two orders to stop.
        for _ in 0..3 {
            let asked_at_ms = bench.now_ms;
            bench.pass(300);
            bench.list_asked(asked_at_ms, 0);
        }
        bench.submit(job("00000000000000bb", vec![step(1)]));
        assert_eq!(bench.starts().len(), 1);
    }

    an_order_that_may_arrive_keeps_its_room_when_it_is_stopped(bench: [48]) {
        let mut hopeless = job(JOB, vec![step(2)]);
        hopeless.queue.max_attempts = 1;
        bench.submit(hopeless);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(bench.stops(), [run(1, 1)]);
        bench.pass(10);
        let free_before = bench.dispatcher.load().free_cpu_milli;
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(bench.dispatcher.load().free_cpu_milli, free_before);
        bench.pass(100);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(bench.dispatcher.load().free_cpu_milli, 48_000);
    }

    a_failed_task_goes_elsewhere_until_its_attempts_are_used(bench: [16, 16]) {
        bench.submit(job(JOB, vec![step(1)]));
        assert_eq!(bench.starts(), [("t-0".to_owned(), run(0, 1))]);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Failed)]);
        assert_eq!(bench.starts(), [("t-1".to_owned(), run(0, 2))]);
        bench.list(1, &[], &[(1, run(0, 2), RunEnd::Failed)]);
        assert_eq!(bench.starts(), [("t-0".to_owned(), run(0, 3))]);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Failed), (2, run(0, 3), RunEnd::Failed)]);
        assert_eq!(bench.answers(), [JobAnswer::Failed]);
    }

    a_copy_of_a_finished_job_gets_its_answer(bench: [16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        bench.actions();
        bench.submit(job(JOB, vec![step(1)]));
        assert_eq!(bench.answers(), [JobAnswer::Completed]);
    }

    a_copy_of_a_running_job_joins_it(bench: [16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.submit(job(JOB, vec![step(1)]));
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(bench.answers(), [JobAnswer::Completed, JobAnswer::Completed]);
    }

    a_job_that_nobody_waits_for_is_stopped(bench: [16]) {
        let ticket = bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Accepted);
        bench.dispatcher.withdraw(ticket, bench.now_ms);
        bench.pass(160);
        assert_eq!(bench.stops(), [run(0, 1)]);
    }

    a_copy_of_a_job_that_is_being_stopped_waits_for_the_end(bench: [16, 16]) {
        let ticket = bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Accepted);
        bench.dispatcher.withdraw(ticket, bench.now_ms);
        bench.pass(160);
        bench.actions();
        bench.submit(job(JOB, vec![step(1)]));
        assert_eq!(bench.starts(), []);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        assert_eq!(bench.starts().len(), 1);
    }

    a_job_that_was_given_up_and_comes_back_is_not_refused(bench: [16]) {
        let ticket = bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Accepted);
        bench.dispatcher.withdraw(ticket, bench.now_ms);
        bench.pass(160);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        bench.submit(job("00000000000000bb", vec![step(1)]));
        bench.actions();
        // Its entry process stood still, and asks on with the token of the claim.
        bench.submit(Submission { held_under: Some(7), ..job(JOB, vec![step(1)]) });
        bench.pass(1_000);
        assert_eq!(bench.answers(), []);
    }

    a_stop_that_has_no_effect_is_sent_again(bench: [16]) {
        let ticket = bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Accepted);
        bench.dispatcher.withdraw(ticket, bench.now_ms);
        bench.pass(160);
        assert_eq!(bench.stops(), [run(0, 1)]);
        bench.pass(110);
        assert_eq!(bench.stops(), [run(0, 1)]);
    }

    an_unanswered_order_is_not_repeated_while_it_may_be_carried_out(bench: [16, 16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.actions();
        bench.settle(0, run(0, 1), StartOutcome::Unanswered);
        bench.list(0, &[], &[]);
        assert_eq!(bench.starts(), []);
        bench.pass(105);
        bench.list(0, &[], &[]);
        assert_eq!(bench.starts().len(), 1);
    }

    an_unanswered_order_that_was_carried_out_goes_on(bench: [16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Unanswered);
        bench.pass(105);
        bench.list(0, &[(run(0, 1), 60)], &[]);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(bench.answers(), [JobAnswer::Completed]);
    }

    a_run_that_stands_still_is_stopped_and_started_elsewhere(bench: [16, 16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Accepted);
        bench.actions();
        bench.list(0, &[(run(0, 1), 0)], &[]);
        bench.pass(350);
        bench.list(0, &[(run(0, 1), 0)], &[]);
        bench.pass(5);
        assert_eq!(bench.stops(), [run(0, 1)]);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Stopped)]);
        assert_eq!(bench.starts(), [("t-1".to_owned(), run(0, 2))]);
    }

    a_silent_target_is_written_off_only_after_its_lease(bench: [16, 16]) {
        bench.submit(job(JOB, vec![step(1)]));
        bench.settle(0, run(0, 1), StartOutcome::Accepted);
        bench.dispatcher.target_mut("t-0").unwrap().note_lease_sent(bench.now_ms);
        bench.dispatcher.target_answers("t-0", false, bench.now_ms);
        bench.actions();
        bench.pass(1_000);
        assert_eq!(bench.starts(), []);
        bench.pass(100);
        assert_eq!(bench.starts(), [("t-1".to_owned(), run(0, 2))]);
    }

    targets_that_fail_what_they_start_get_no_more(bench: [32, 32]) {
        for number in 0..2_u64 {
            let id = format!("{number:016x}");
            bench.submit(job(&id, vec![step(1)]));
            let started = bench.starts();
            let run = Run { task: format!("{id}.0.0.0").parse().unwrap(), number: 1 };
            assert_eq!(started, [("t-0".to_owned(), run)]);
            bench.list(0, &[], &[(number + 1, run, RunEnd::Failed)]);
            let next = Run { number: 2, ..run };
            assert_eq!(bench.starts(), [("t-1".to_owned(), next)]);
            bench.list(1, &[], &[(number + 1, next, RunEnd::Done)]);
            bench.actions();
        }
        bench.submit(job(JOB, vec![step(1)]));
        assert_eq!(bench.starts(), [("t-1".to_owned(), run(0, 1))]);
    }

    hopeless_jobs_do_not_count_against_targets(bench: [16, 16]) {
        for number in 0..3_u64 {
            let id = format!("{number:016x}");
            bench.submit(job(&id, vec![step(1)]));
            for attempt in 1..=3 {
                let run = Run { task: format!("{id}.0.0.0").parse().unwrap(), number: attempt };
                let (target, started) = bench.starts().pop().unwrap();
                assert_eq!(started, run);
                let at = usize::from(target == "t-1");
                bench.list(at, &[], &[(number * 3 + u64::from(attempt), run, RunEnd::Failed)]);
            }
            bench.actions();
        }
        assert_eq!(bench.dispatcher.load().sound_targets, 2);
    }

    a_draining_target_gets_no_new_task(bench: [16, 32]) {
        bench.dispatcher.upsert_target(TargetInfo { draining: true, ..target(0, 16) });
        bench.submit(job(JOB, vec![step(1)]));
        assert_eq!(bench.starts(), [("t-1".to_owned(), run(0, 1))]);
    }
}
