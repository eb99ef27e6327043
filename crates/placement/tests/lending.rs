//! Tasks that run on the targets of other zones.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod bench;

use bench::*;

cases! {
    a_zone_without_targets_uses_another_one(bench: []) {
        bench.dispatcher.upsert_far_target(far_target("b", 32));
        bench.hear_room("b", 4);
        bench.pass(1_500);
        bench.hear_room("b", 4);
        bench.submit(job(JOB, vec![step(2)]));
        assert_eq!(bench.lent(), [("b".to_owned(), 2)]);
    }

    what_only_another_zone_can_hold_goes_there(bench: [16]) {
        bench.dispatcher.upsert_far_target(far_target("b", 32));
        let large = TargetInfo { labels: vec!["gpu".to_owned()], ..far_target("c", 32) };
        bench.dispatcher.upsert_far_target(large);
        bench.hear_room("b", 9);
        bench.hear_room("c", 2);
        let step = StepSpec { required_label: Some("gpu".to_owned()), ..step(1) };
        bench.submit(job(JOB, vec![step]));
        assert_eq!(bench.lent(), [("c".to_owned(), 1)]);
    }

    what_no_zone_can_hold_is_refused_for_good(bench: [16]) {
        bench.dispatcher.upsert_far_target(far_target("b", 32));
        bench.hear_room("b", 9);
        let step = StepSpec { required_label: Some("gpu".to_owned()), ..step(1) };
        bench.submit(job(JOB, vec![step]));
        let reason = RefusalReason::TooLarge;
        assert_eq!(bench.answers(), [JobAnswer::Refused { reason, retry_after_ms: 0 }]);
    }

    what_only_another_zone_can_hold_is_refused_while_that_is_full(bench: [16]) {
        bench.dispatcher.upsert_far_target(far_target("b", 64));
        bench.hear_room("b", 0);
        let large = Capacity { cpu_milli: 40_000, memory_mb: 64, gpus: 0 };
        bench.submit(job(JOB, vec![StepSpec { demand: large, ..step(1) }]));
        let reason = RefusalReason::Overloaded;
        assert_eq!(bench.answers(), [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
    }

    a_part_that_was_given_up_and_comes_back_is_lost(bench: [16]) {
        bench.submit(Submission { held_under: Some(7), part: Some(3), ..job(JOB, vec![step(1)]) });
        assert_eq!(bench.answers(), [JobAnswer::Unknown]);
    }

    tasks_without_room_are_lent(bench: [16]) {
        bench.dispatcher.room_heard(&"b".parse().unwrap(), 5, bench.now_ms);
        bench.submit(job(JOB, vec![step(3)]));
        let actions = bench.actions();
        let lent = actions.iter().find_map(|action| match action {
            Action::Lend { part, submission, .. } => Some((*part, submission.done.clone())),
            _ => None,
        });
        let (part, done) = lent.unwrap();
        assert_eq!(done, [(0, 0)]);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(bench.answers(), []);
        bench.dispatcher.lent_settled(part, LentOutcome::Completed, bench.now_ms);
        assert_eq!(bench.answers(), [JobAnswer::Completed]);
    }

    a_refused_part_comes_back(bench: [16]) {
        bench.dispatcher.room_heard(&"b".parse().unwrap(), 5, bench.now_ms);
        bench.submit(job(JOB, vec![step(2)]));
        bench.actions();
        bench.dispatcher.lent_settled(0, LentOutcome::Refused, bench.now_ms);
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(bench.starts(), [("t-0".to_owned(), run(1, 1))]);
    }

    a_zone_that_refused_is_not_asked_again_at_once(bench: [16]) {
        let zone = "b".parse().unwrap();
        bench.dispatcher.room_heard(&zone, 5, bench.now_ms);
        bench.submit(job(JOB, vec![step(2)]));
        bench.actions();
        bench.dispatcher.lent_settled(0, LentOutcome::Refused, bench.now_ms);
        bench.dispatcher.room_heard(&zone, 5, bench.now_ms + 5);
        assert!(!bench.actions().iter().any(|action| matches!(action, Action::Lend { .. })));
        bench.dispatcher.room_heard(&zone, 5, bench.now_ms + 25);
        assert!(bench.actions().iter().any(|action| matches!(action, Action::Lend { .. })));
    }

    a_later_part_of_a_job_does_not_get_the_answer_of_an_earlier_one(bench: [16]) {
        let part = |number, done| {
            Submission { part: Some(number), done: vec![(0, done)], ..job(JOB, vec![step(2)]) }
        };
        bench.submit(part(3, 1));
        bench.list(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(bench.answers(), [JobAnswer::Completed]);
        bench.submit(part(4, 0));
        assert_eq!(bench.starts(), [("t-0".to_owned(), run(1, 1))]);
    }

    a_whole_job_does_not_join_a_part_of_it(bench: [16]) {
        let part = Submission { part: Some(3), done: vec![(0, 0)], ..job(JOB, vec![step(2)]) };
        bench.submit(part);
        bench.actions();
        bench.submit(job(JOB, vec![step(2)]));
        assert_eq!(bench.answers(), [JobAnswer::Unknown]);
    }
}
