//! Offloading of tasks to targets of other zones.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use harness::*;

cases! {
    part_carries_the_age_of_the_last_check_of_the_caller(harness: [16]) {
        harness.report_capacity("zone-b", 8);
        harness.submit(Submission { caller_check_age_ms: 40, ..job(JOB, vec![step(4)]) });
        let ages_ms = harness.take_actions().into_iter().filter_map(|action| match action {
            Action::OffloadPart { submission, .. } => Some(submission.caller_check_age_ms),
            _ => None,
        });
        assert_eq!(ages_ms.collect::<Vec<_>>(), [40]);
    }

    zone_without_targets_offloads_to_another_zone(harness: []) {
        harness.dispatcher.upsert_remote_target(remote_target("b", 32));
        harness.report_capacity("b", 4);
        harness.advance(1_500);
        harness.report_capacity("b", 4);
        harness.submit(job(JOB, vec![step(2)]));
        assert_eq!(harness.take_offloaded_parts(), [("b".to_owned(), 2)]);
    }

    task_is_offloaded_to_the_only_zone_with_its_label(harness: [16]) {
        harness.dispatcher.upsert_remote_target(remote_target("b", 32));
        let large = TargetInfo { labels: vec!["gpu".to_owned()], ..remote_target("c", 32) };
        harness.dispatcher.upsert_remote_target(large);
        harness.report_capacity("b", 9);
        harness.report_capacity("c", 2);
        let step = StepSpec { required_label: Some("gpu".to_owned()), ..step(1) };
        harness.submit(job(JOB, vec![step]));
        assert_eq!(harness.take_offloaded_parts(), [("c".to_owned(), 1)]);
    }

    task_that_fits_in_no_zone_is_refused_without_retry(harness: [16]) {
        harness.dispatcher.upsert_remote_target(remote_target("b", 32));
        harness.report_capacity("b", 9);
        let step = StepSpec { required_label: Some("gpu".to_owned()), ..step(1) };
        harness.submit(job(JOB, vec![step]));
        let reason = RefusalReason::TooLarge;
        assert_eq!(harness.take_answers(), [JobAnswer::Refused { reason, retry_after_ms: 0 }]);
    }

    task_that_fits_only_in_a_full_remote_zone_is_refused(harness: [16]) {
        harness.dispatcher.upsert_remote_target(remote_target("b", 64));
        harness.report_capacity("b", 0);
        let large = Capacity { cpu_milli: 40_000, memory_mb: 64, gpus: 0 };
        harness.submit(job(JOB, vec![StepSpec { demand: large, ..step(1) }]));
        let reason = RefusalReason::Overloaded;
        assert_eq!(harness.take_answers(), [JobAnswer::Refused { reason, retry_after_ms: 1_000 }]);
    }

    unknown_part_with_a_former_holder_is_answered_as_unknown(harness: [16]) {
        harness.submit(Submission {
            holder: Some(ClaimId(7)),
            part: Some(3),
            ..job(JOB, vec![step(1)])
        });
        assert_eq!(harness.take_answers(), [JobAnswer::Unknown]);
    }

    tasks_without_local_capacity_are_offloaded(harness: [16]) {
        harness.dispatcher.update_remote_capacity(&"b".parse().unwrap(), 5, harness.now_ms);
        harness.submit(job(JOB, vec![step(3)]));
        let actions = harness.take_actions();
        let offloaded = actions.iter().find_map(|action| match action {
            Action::OffloadPart { part, submission, .. } => {
                Some((*part, submission.excluded_tasks.clone()))
            }
            _ => None,
        });
        let (part, excluded_tasks) = offloaded.unwrap();
        assert_eq!(excluded_tasks, [(0, 0)]);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), []);
        harness.dispatcher.apply_part_outcome(part, PartOutcome::Completed, harness.now_ms);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
    }

    tasks_of_a_refused_part_run_locally(harness: [16]) {
        harness.dispatcher.update_remote_capacity(&"b".parse().unwrap(), 5, harness.now_ms);
        harness.submit(job(JOB, vec![step(2)]));
        harness.take_actions();
        harness.dispatcher.apply_part_outcome(0, PartOutcome::Refused, harness.now_ms);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(1, 1))]);
    }

    zone_that_refused_a_part_is_skipped_during_backoff(harness: [16]) {
        let zone = "b".parse().unwrap();
        harness.dispatcher.update_remote_capacity(&zone, 5, harness.now_ms);
        harness.submit(job(JOB, vec![step(2)]));
        harness.take_actions();
        harness.dispatcher.apply_part_outcome(0, PartOutcome::Refused, harness.now_ms);
        harness.dispatcher.update_remote_capacity(&zone, 5, harness.now_ms + 5);
        assert!(
            !harness
                .take_actions()
                .iter()
                .any(|action| matches!(action, Action::OffloadPart { .. }))
        );
        harness.dispatcher.update_remote_capacity(&zone, 5, harness.now_ms + 25);
        assert!(
            harness
                .take_actions()
                .iter()
                .any(|action| matches!(action, Action::OffloadPart { .. }))
        );
    }

    later_part_of_a_job_does_not_get_the_cached_answer_of_an_earlier_part(harness: [16]) {
        let part = |number, done| {
            Submission {
                part: Some(number),
                excluded_tasks: vec![(0, done)],
                ..job(JOB, vec![step(2)])
            }
        };
        harness.submit(part(3, 1));
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
        harness.submit(part(4, 0));
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(1, 1))]);
    }

    // Another owner of the zone has nothing but its claim in which it differs for sure.
    part_does_not_get_the_cached_answer_of_a_part_of_another_owner_with_the_same_token(
        harness: [16]
    ) {
        let part_of = |id, done| {
            let mut owner = Harness::after_claim(Claim { id: ClaimId(id), token: TOKEN }, &[]);
            owner.dispatcher.upsert_remote_target(remote_target("b", 32));
            owner.report_capacity("b", 5);
            owner.advance(1_500);
            owner.report_capacity("b", 5);
            owner.submit(Submission { excluded_tasks: vec![(0, done)], ..job(JOB, vec![step(2)]) });
            let parts = owner.take_actions().into_iter().filter_map(|action| match action {
                Action::OffloadPart { submission, .. } => Some(submission),
                _ => None,
            });
            parts.last().expect("the task is offloaded")
        };
        harness.submit(part_of(7, 1));
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        harness.take_actions();
        harness.submit(part_of(1 << 40, 0));
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(1, 1))]);
    }

    whole_job_is_not_attached_to_a_part_of_it(harness: [16]) {
        let part = Submission {
            part: Some(3),
            excluded_tasks: vec![(0, 0)],
            ..job(JOB, vec![step(2)])
        };
        harness.submit(part);
        harness.take_actions();
        harness.submit(job(JOB, vec![step(2)]));
        assert_eq!(harness.take_answers(), [JobAnswer::Unknown]);
    }
}
