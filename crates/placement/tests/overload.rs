//! Which jobs are shed, delayed and given up while more work waits than can start in time.

#[macro_use]
#[allow(dead_code, unused_imports, reason = "the other tests use the rest")]
mod harness;

use std::time::{Duration, Instant};

use harness::*;

/// Runs the tasks of a job of 6 one after the other, so slowly that it is late, and queues a job that is
/// in time. Returns the job that starts first after `done` tasks.
fn first_started_after(harness: &mut Harness, done: u64) -> String {
    let mut late = job(JOB, vec![step(6)]);
    late.queue.stretch = 6.5;
    harness.submit(late);
    for number in 1..=done {
        let run = harness.take_starts()[0].1;
        harness.advance(200);
        if number == done {
            let mut timely = job(&id_of(1), vec![step(1)]);
            timely.queue.stretch = 20.0;
            harness.submit(timely);
            harness.advance(5);
        }
        harness.apply_listing(0, &[], &[(number, run, RunEnd::Done)]);
    }
    harness.take_starts()[0].1.task.job.as_str().to_owned()
}

/// Takes the pending actions and returns the requests that were refused, with the reasons.
fn take_refusals(harness: &mut Harness) -> Vec<(u64, RefusalReason)> {
    let refusals = harness.take_actions().into_iter().filter_map(|action| match action {
        Action::Answer { request, answer: JobAnswer::Refused { reason, .. } } => {
            Some((request.0, reason))
        }
        _ => None,
    });
    refusals.collect()
}

cases! {
    // Guards against a queue in which a cheap job keeps its place until it is refused anyway.
    waiting_job_gives_way_to_a_more_urgent_arrival(harness: [16]) {
        harness.submit(job_of_priority(&id_of(1), 1, 1));
        harness.submit(job_of_priority(&id_of(2), 2, 1));
        assert_eq!(take_refusals(&mut harness), []);
        harness.submit(job_of_priority(&id_of(3), 0, 1));
        harness.submit(job_of_priority(&id_of(4), 0, 1));
        assert_eq!(take_refusals(&mut harness), [(1, RefusalReason::Displaced)]);
    }

    // Guards against one queue that keeps the others of its priority out.
    waiting_job_of_a_busy_queue_gives_way_to_an_idle_queue(harness: [16]) {
        for number in 0..2 {
            harness.submit(job_of_queue(&id_of(number), "busy", 1, 1));
        }
        harness.submit(job_of_queue(&id_of(2), "busy", 1, 1));
        harness.submit(job_of_queue(&id_of(3), "idle", 1, 1));
        let refusals = take_refusals(&mut harness);
        assert_eq!(refusals, [(2, RefusalReason::Displaced)]);
    }

    // Guards against shedding a job that has waited longer than an equal one.
    last_of_equal_jobs_is_shed_first(harness: [32]) {
        for number in 0..6 {
            harness.submit(job_of_priority(&id_of(number), 1, 1));
            harness.now_ms += 1;
        }
        assert_eq!(take_refusals(&mut harness), []);
        harness.submit(job_of_priority(&id_of(6), 2, 1));
        let refusals = take_refusals(&mut harness);
        assert_eq!(refusals, [(5, RefusalReason::Displaced), (4, RefusalReason::Displaced)]);
    }

    // Guards against a job that is lost or answered from the cache when its caller tries again.
    shed_job_that_is_submitted_again_is_a_new_arrival(harness: [16]) {
        harness.submit(job_of_priority(&id_of(1), 1, 1));
        let blocking = harness.take_starts()[0].1;
        harness.submit(job_of_priority(&id_of(2), 2, 1));
        harness.submit(job_of_priority(&id_of(3), 0, 1));
        harness.submit(job_of_priority(&id_of(4), 0, 1));
        assert_eq!(take_refusals(&mut harness), [(1, RefusalReason::Displaced)]);
        harness.apply_listing(0, &[], &[(1, blocking, RunEnd::Done)]);
        let first = harness.take_starts()[0].1;
        harness.apply_listing(0, &[], &[(2, first, RunEnd::Done)]);
        let second = harness.take_starts()[0].1;
        harness.submit(job_of_priority(&id_of(2), 2, 1));
        assert_eq!(take_refusals(&mut harness), []);
        harness.apply_listing(0, &[], &[(3, second, RunEnd::Done)]);
        let starts = harness.take_starts();
        assert_eq!(starts[0].1.task.job.as_str(), id_of(2));
    }

    // Guards against work that is lost since the last task of a late job waits behind all others.
    late_job_with_little_work_left_keeps_its_place(harness: [16]) {
        assert_eq!(first_started_after(&mut harness, 5), JOB);
    }

    // Guards against late jobs that take the place of those in time for much work.
    late_job_with_much_work_left_comes_after_timely_jobs(harness: [16]) {
        assert_ne!(first_started_after(&mut harness, 4), JOB);
    }

    // Guards against an estimate that outweighs free capacity: the queue ahead waits for a label that
    // the arriving job does not need.
    job_with_free_capacity_is_neither_shed_nor_sheds(harness: [16, 16]) {
        let labelled = StepSpec { required_label: Some("rack-0".into()), ..step(1) };
        for number in 0..3 {
            let mut waiting = job_of_priority(&id_of(number), 1, 1);
            waiting.job.steps = vec![labelled.clone()];
            harness.submit(waiting);
        }
        let mut urgent = job_of_priority(&id_of(3), 0, 1);
        urgent.job.steps = vec![labelled];
        assert_eq!(take_refusals(&mut harness), []);
        harness.submit(urgent);
        assert_eq!(take_refusals(&mut harness), []);
        harness.submit(job_of_priority(&id_of(4), 2, 1));
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 1, "{starts:?}");
        assert_eq!(starts[0].1.task.job.as_str(), id_of(4));
    }

    // Guards against giving up on the caller only when the deadline has nearly passed.
    started_job_is_given_up_when_the_work_ahead_of_it_passes_its_deadline(harness: [16]) {
        let blocking = job_of_priority(&id_of(1), 0, 1);
        harness.submit(blocking);
        for number in 2..8 {
            // The predecessor has started these jobs, so that they are not shed.
            harness.submit(Submission {
                earlier_runs: EarlierRuns::OwnZone,
                ..job_of_priority(&id_of(number), 0, 1)
            });
        }
        harness.take_actions();
        harness.submit(Submission {
            earlier_runs: EarlierRuns::OwnZone,
            deadline_ms: 500,
            ..job_of_priority(&id_of(8), 1, 1)
        });
        harness.advance(5);
        assert_eq!(harness.take_answers(), [JobAnswer::GivenUp]);
    }
}

/// Prints the time of a decision at an owner of 350 targets with 2,000 waiting tasks; the bound for a VM
/// with half a core is 100 us.
#[test]
#[ignore = "measures time, for a release build by hand"]
fn time_of_an_arrival_with_2000_waiting_tasks() {
    let mut harness = Harness::new(&[16; 350]);
    for number in 0..350 {
        harness.submit(job_of_priority(&id_of(number), 1, 1));
    }
    for number in 350..1_050 {
        let priority = (number % 3) as u8;
        let tasks = [3, 2, 4][usize::from(priority)];
        harness.submit(Submission {
            earlier_runs: EarlierRuns::OwnZone,
            ..job_of_priority(&id_of(number), priority, tasks)
        });
    }
    harness.take_actions();
    let waiting_tasks = harness.dispatcher.load().queued_tasks;
    let mut times: Vec<Duration> = Vec::new();
    for number in 1_050..2_050 {
        let submission = job_of_priority(&id_of(number), (number % 3) as u8, 2);
        let start = Instant::now();
        harness.submit(submission);
        times.push(start.elapsed());
    }
    times.sort_unstable();
    let tick_start = Instant::now();
    harness.dispatcher.tick(harness.now_ms + 5);
    let tick = tick_start.elapsed();
    println!(
        "{waiting_tasks} waiting tasks: median {:?}, 99th percentile {:?}, tick {tick:?}",
        times[500], times[990]
    );
}
