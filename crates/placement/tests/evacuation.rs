//! Starts and offers of tasks while zones are evacuated.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use ggb_model::Zone;
use harness::*;

const OTHER_JOB: &str = "00000000000000bb";

/// The answer to a job that an evacuated zone refuses.
const EVACUATED: JobAnswer =
    JobAnswer::Refused { reason: RefusalReason::Evacuated, retry_after_ms: 1_000 };

fn set_evacuated(harness: &mut Harness, own: bool, remote: &[&str]) {
    let zone = |name: &&str| name.parse().expect("tests use valid zone names");
    let remote: Vec<Zone> = remote.iter().map(zone).collect();
    harness.dispatcher.set_evacuated_zones(own, &remote, harness.now_ms);
}

/// Returns a part of a job of three tasks that contains the last two.
fn part() -> Submission {
    Submission { part: Some(3), excluded_tasks: vec![(0, 0)], ..job(JOB, vec![step(3)]) }
}

/// Returns a job of which an earlier owner may have runs in `earlier_runs`.
fn resumed(tasks: u16, earlier_runs: EarlierRuns) -> Submission {
    let run_targets = Some(vec![target_id(0).into()]);
    let job = job(JOB, vec![step(tasks)]);
    Submission { earlier_runs, run_targets, deadline_ms: 9_000, ..job }
}

cases! {
    // Guards against a start from the queue when capacity becomes free.
    waiting_job_is_not_started_and_is_refused_for_another_zone_to_take(harness: [16]) {
        harness.submit(job(OTHER_JOB, vec![step(1)]));
        let running = harness.take_starts()[0].1;
        let mut waiting = job(JOB, vec![step(1)]);
        waiting.queue.stretch = 20.0;
        harness.submit(waiting);
        assert!(harness.take_actions().is_empty());
        set_evacuated(&mut harness, true, &[]);
        assert_eq!(harness.take_answers(), [EVACUATED]);
        harness.apply_listing(0, &[], &[(1, running, RunEnd::Done)]);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
        harness.advance(500);
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against tasks that run there being stopped, or losing their leases.
    running_task_keeps_its_lease_and_its_end_is_acknowledged(harness: [16]) {
        harness.submit(Submission { deadline_ms: 9_000, ..job(JOB, vec![step(1)]) });
        harness.apply_start_outcome(0, run(0, 1), StartOutcome::Accepted);
        set_evacuated(&mut harness, true, &[]);
        assert_eq!(harness.dispatcher.known_runs(), Some(1));
        harness.take_actions();
        harness.apply_listing(0, &[(run(0, 1), 30)], &[]);
        harness.advance(200);
        assert_eq!(harness.take_stops(), []);
        assert!(harness.lease_until_ms(0).is_some());
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
        let request = harness.dispatcher.listing_request("t-0", harness.now_ms).unwrap();
        assert_eq!((request.ack_cursor, harness.dispatcher.known_runs()), (1, Some(0)));
    }

    // Guards against a start of work that another zone offers.
    part_of_another_zone_is_refused_at_once(harness: [16, 16, 16]) {
        set_evacuated(&mut harness, true, &[]);
        harness.submit(part());
        assert_eq!(harness.take_answers(), [EVACUATED]);
        assert_eq!(harness.dispatcher.load().free_tasks, 0);
    }

    // Guards against offers to a zone that reports capacity since it has not learned of the request.
    part_is_not_offered_to_an_evacuated_zone(harness: [16]) {
        harness.report_capacity("b", 5);
        set_evacuated(&mut harness, false, &["b"]);
        let mut wide = job(JOB, vec![step(3)]);
        wide.queue.stretch = 20.0;
        harness.submit(wide);
        harness.report_capacity("b", 5);
        assert_eq!(harness.take_offloaded_parts(), []);
        harness.report_capacity("c", 5);
        assert_eq!(harness.take_offloaded_parts(), [("c".to_owned(), 2)]);
    }

    // Guards against callers of the zone that are refused while other zones have capacity.
    new_job_is_offloaded_to_a_zone_in_service(harness: [16, 16]) {
        set_evacuated(&mut harness, true, &["b"]);
        harness.report_capacity("b", 9);
        harness.report_capacity("c", 2);
        harness.submit(job(JOB, vec![step(2)]));
        assert_eq!(harness.take_offloaded_parts(), [("c".to_owned(), 2)]);
        harness.submit(job(OTHER_JOB, vec![step(1)]));
        assert_eq!(harness.take_answers(), [EVACUATED]);
    }

    // Guards against jobs that wait although no zone may start them.
    job_is_refused_at_once_while_all_zones_are_evacuated(harness: [16]) {
        harness.report_capacity("b", 9);
        set_evacuated(&mut harness, true, &["b"]);
        harness.report_capacity("b", 9);
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_answers(), [EVACUATED]);
    }

    // Guards against a start during the time after a takeover in which jobs are queued.
    new_owner_that_has_heard_no_target_refuses_new_jobs(harness: []) {
        let mut new_owner = Harness::after_takeover(&[16]);
        set_evacuated(&mut new_owner, true, &[]);
        new_owner.submit(job(JOB, vec![step(1)]));
        assert_eq!(new_owner.take_answers(), [EVACUATED]);
        assert_eq!(new_owner.dispatcher.known_runs(), None);
        harness.take_actions();
    }

    // Guards against starts of the other tasks of an adopted job, and against offers of the adopted one.
    new_owner_adopts_runs_and_offers_the_other_tasks(harness: []) {
        let mut new_owner = Harness::after_takeover(&[48]);
        set_evacuated(&mut new_owner, true, &[]);
        new_owner.report_capacity("b", 9);
        new_owner.submit(resumed(2, EarlierRuns::OwnZone));
        assert_eq!(new_owner.take_offloaded_parts(), []);
        new_owner.advance(5);
        new_owner.apply_listing(0, &[(run(0, 1), 30)], &[]);
        assert_eq!(new_owner.take_offloaded_parts(), [("b".to_owned(), 1)]);
        new_owner.advance(100);
        assert_eq!(new_owner.take_starts(), []);
        new_owner.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        new_owner.dispatcher.apply_part_outcome(0, PartOutcome::Completed, new_owner.now_ms);
        assert_eq!(new_owner.take_answers(), [JobAnswer::Completed]);
        harness.take_actions();
    }

    // Guards against a second start in another zone while a run of a lost owner may be active.
    job_with_runs_in_any_zone_is_offered_only_after_they_have_ended(harness: [48]) {
        harness.advance(5_000);
        harness.apply_listing(0, &[], &[]);
        set_evacuated(&mut harness, true, &[]);
        harness.submit(resumed(1, EarlierRuns::AnyZone));
        for _ in 0..(CALLER_EXPIRY_MS - 30) / 20 {
            harness.advance(20);
            harness.report_capacity("b", 9);
        }
        assert_eq!(harness.take_offloaded_parts(), []);
        harness.advance(60);
        harness.report_capacity("b", 9);
        assert_eq!(harness.take_offloaded_parts(), [("b".to_owned(), 1)]);
    }

    // As above, while the zone is in service, as before evacuations were known.
    job_with_runs_in_any_zone_is_not_offered_while_its_zone_is_in_service(harness: [1]) {
        harness.advance(5_000);
        harness.apply_listing(0, &[], &[]);
        harness.submit(resumed(1, EarlierRuns::AnyZone));
        harness.advance(2_000);
        harness.report_capacity("b", 9);
        assert_eq!(harness.take_offloaded_parts(), []);
    }

    // Guards against a start for a caller that sends its job again.
    resubmitted_job_is_not_started_again(harness: [16]) {
        let request = harness.submit(job(JOB, vec![step(2)]));
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        set_evacuated(&mut harness, true, &[]);
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.submit(job(JOB, vec![step(2)]));
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        harness.advance(20);
        assert_eq!(harness.take_starts(), []);
        harness.report_capacity("b", 1);
        assert_eq!(harness.take_offloaded_parts(), [("b".to_owned(), 1)]);
    }

    // Guards against a retry on a target of the zone.
    task_of_a_failed_run_is_retried_in_another_zone(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        let (target, failed) = harness.take_starts().remove(0);
        set_evacuated(&mut harness, true, &[]);
        harness.apply_listing(usize::from(target != "t-0"), &[], &[(1, failed, RunEnd::Failed)]);
        harness.advance(20);
        assert_eq!(harness.take_starts(), []);
        harness.report_capacity("b", 1);
        assert_eq!(harness.take_offloaded_parts(), [("b".to_owned(), 1)]);
    }

    // Guards against a start that the target rejects being sent again.
    task_whose_start_was_rejected_is_not_started_again(harness: [16, 16]) {
        harness.submit(job(JOB, vec![step(1)]));
        let (target, rejected) = harness.take_starts().remove(0);
        set_evacuated(&mut harness, true, &[]);
        let index = usize::from(target != "t-0");
        harness.apply_start_outcome(index, rejected, StartOutcome::NoRoom);
        harness.advance(200);
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against a part that waits for a retry here until its caller has left.
    part_with_a_failed_run_is_returned_once_its_other_runs_have_ended(harness: [16, 16]) {
        harness.submit(part());
        assert_eq!(harness.take_starts().len(), 2);
        set_evacuated(&mut harness, true, &[]);
        harness.apply_listing(0, &[], &[(1, run(1, 1), RunEnd::Failed)]);
        harness.advance(20);
        assert_eq!(harness.take_answers(), []);
        harness.apply_listing(1, &[], &[(1, run(2, 1), RunEnd::Done)]);
        harness.advance(5);
        let done = vec![(0, 0), (0, 2)];
        assert_eq!(harness.take_answers(), [JobAnswer::Returned { done }]);
        harness.advance(500);
        assert_eq!(harness.take_starts(), []);
    }

    // Guards against a second run of the tasks of a returned part that are done.
    only_tasks_of_a_returned_part_that_are_not_done_start_again(harness: [16]) {
        harness.report_capacity("b", 2);
        harness.submit(job(JOB, vec![step(3)]));
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(0, 1))]);
        // The first task is not part of the part, and still runs.
        harness.dispatcher.apply_returned_part(0, &[(0, 0), (0, 2)], harness.now_ms);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done)]);
        assert_eq!(harness.take_starts(), [("t-0".to_owned(), run(1, 1))]);
        harness.apply_listing(0, &[], &[(2, run(1, 1), RunEnd::Done)]);
        assert_eq!(harness.take_answers(), [JobAnswer::Completed]);
    }

    // Guards against a start by a process that was paused and may have missed a request.
    no_task_starts_while_requests_may_have_been_missed(harness: [16, 16]) {
        harness.dispatcher.set_evacuation_known_until(harness.now_ms + 100);
        harness.submit(job(JOB, vec![step(1)]));
        assert_eq!(harness.take_starts().len(), 1);
        harness.advance(100);
        assert_eq!(harness.dispatcher.load().free_tasks, 0);
        let mut patient = job(OTHER_JOB, vec![step(1)]);
        patient.queue.stretch = 20.0;
        harness.submit(patient);
        harness.advance(50);
        assert!(harness.take_actions().is_empty());
        harness.dispatcher.set_evacuation_known_until(harness.now_ms + 100);
        harness.advance(5);
        assert_eq!(harness.take_starts().len(), 1);
    }

    // Guards against a request that is withdrawn and made again, or arrives twice.
    zone_starts_tasks_only_between_withdrawal_and_next_request(harness: [48]) {
        for _ in 0..2 {
            set_evacuated(&mut harness, true, &[]);
        }
        harness.submit(job(OTHER_JOB, vec![step(1)]));
        assert_eq!(harness.take_answers(), [EVACUATED]);
        set_evacuated(&mut harness, false, &[]);
        harness.submit(job(JOB, vec![step(2), StepSpec { after: vec![0], ..step(1) }]));
        assert_eq!(harness.take_starts().len(), 2);
        set_evacuated(&mut harness, true, &[]);
        harness.apply_listing(0, &[], &[(1, run(0, 1), RunEnd::Done), (2, run(1, 1), RunEnd::Done)]);
        harness.advance(20);
        assert_eq!(harness.take_starts(), []);
        set_evacuated(&mut harness, false, &[]);
        assert_eq!(harness.take_starts().len(), 1);
    }

    // Guards against a refusal that is lost between two requests of the same sender.
    job_between_two_submissions_of_its_sender_is_refused_after_the_second(harness: [16]) {
        harness.submit(job(OTHER_JOB, vec![step(1)]));
        let mut waiting = job(JOB, vec![step(1)]);
        waiting.queue.stretch = 20.0;
        let request = harness.submit(waiting.clone());
        harness.dispatcher.remove_request(request, harness.now_ms);
        harness.take_actions();
        set_evacuated(&mut harness, true, &[]);
        assert_eq!(harness.take_answers(), []);
        harness.submit(Submission { holder: Some(ClaimId(0)), ..waiting });
        harness.advance(5);
        assert_eq!(harness.take_answers(), [EVACUATED]);
    }
}

fn left(earlier_runs: EarlierRuns, holder: Option<ClaimId>) -> Submission {
    let mut routed_job = RoutedJob::new(job(JOB, vec![step(2)]));
    let run_targets = Some(vec![target_id(0).into()]);
    match earlier_runs {
        EarlierRuns::None => {}
        EarlierRuns::StillHeld => routed_job.mark_possibly_taken(),
        _ => routed_job.mark_moved(vec![(0, 1)], earlier_runs, run_targets, Some(7)),
    }
    if let Some(claim) = holder {
        routed_job.mark_held_by(claim);
    }
    routed_job.mark_left_zone();
    routed_job.submission().clone()
}

macro_rules! left_zones {
    ($($name:ident: $earlier_runs:ident, $holder:expr => $expected:ident;)+) => {
        $(
            // The listings of the next zone's targets show no run of the former zone.
            #[test]
            fn $name() {
                let submission = left(EarlierRuns::$earlier_runs, $holder);
                assert_eq!(submission.earlier_runs, EarlierRuns::$expected);
                assert_eq!((submission.run_targets, submission.holder), (None, None));
            }
        )+
    };
}

left_zones! {
    job_that_leaves_a_zone_unstarted_may_start_at_once: None, None => None;
    job_that_leaves_a_zone_with_runs_may_have_them_in_any_zone: OwnZone, None => AnyZone;
    job_that_leaves_its_third_zone_may_have_runs_in_any_zone: AnyZone, None => AnyZone;
    job_that_leaves_a_lost_owner_may_still_be_held: StillHeld, None => StillHeld;
    job_that_leaves_its_holder_may_still_be_held: None, Some(ClaimId(7)) => StillHeld;
}

// A refusal says that no task was started, so that the next zone need not wait for any run.
#[test]
fn job_that_its_holder_refused_is_unstarted() {
    let mut routed_job = RoutedJob::new(job(JOB, vec![step(1)]));
    routed_job.mark_held_by(ClaimId(7));
    assert!(!routed_job.is_unstarted());
    routed_job.mark_refused();
    assert!(routed_job.is_unstarted());
}
