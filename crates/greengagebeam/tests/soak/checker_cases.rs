//! Cases of the checker: when a request without a response counts as lost.

use ggb_placement::{Run, RunEnd};
use ggb_standin::RunRecord;

use crate::{
    callers::{CallerJob, JobRequest, RequestEnd},
    checker,
    fleet::run_spec,
};

const JOB: &str = "00000000000000aa";

const LOST_RESPONSE: &str = "no response, although all faults were planned operations";

/// Time of sending of the first request of each case.
const FIRST_SENT_MS: u64 = 10_000;

/// Time of sending of the second request of each case.
const SECOND_SENT_MS: u64 = 11_301;

fn lost(sent_unix_ms: u64, took_ms: u64) -> JobRequest {
    let sent_at_ms = sent_unix_ms - FIRST_SENT_MS;
    JobRequest { node: 0, sent_at_ms, sent_unix_ms, took_ms, end: RequestEnd::ConnectionLost }
}

fn answered(sent_unix_ms: u64, status: u16, state: &str) -> JobRequest {
    let end = RequestEnd::Answered { status, state: Some(state.to_owned()) };
    JobRequest { end, ..lost(sent_unix_ms, 300) }
}

fn run(number: u32, started_at_ms: u64, ended_at_ms: u64, end: RunEnd) -> RunRecord {
    let task = format!("{JOB}.0.0.0").parse().expect("`JOB` is a valid job id");
    RunRecord { run: Run { task, number }, started_at_ms, ended_at_ms, end }
}

fn lost_responses(requests: &[JobRequest], records: &[RunRecord], planned_only: bool) -> usize {
    let job = CallerJob {
        id: JOB.to_owned(),
        steps: vec![1],
        run_spec: run_spec(100),
        requests: requests.to_vec(),
    };
    let violations = checker::violations(&[job], records, planned_only);
    violations.iter().filter(|violation| violation.starts_with(LOST_RESPONSE)).count()
}

macro_rules! cases {
    ($($name:ident: [$($request:expr),+], [$($run:expr),*] => $lost:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let (requests, records) = ([$($request),+], [$($run),*]);
                assert_eq!(lost_responses(&requests, &records, true), $lost);
                assert_eq!(lost_responses(&requests, &records, false), 0);
            }
        )+
    };
}

cases! {
    runs_of_the_second_request_are_not_lost_with_the_first:
        [lost(FIRST_SENT_MS, 1), answered(SECOND_SENT_MS, 200, "completed")],
        [run(1, SECOND_SENT_MS + 5, SECOND_SENT_MS + 105, RunEnd::Done)] => 0;

    run_that_ended_before_the_second_request_is_not_lost_with_it:
        [answered(FIRST_SENT_MS, 500, "failed"), lost(SECOND_SENT_MS, 1)],
        [run(1, FIRST_SENT_MS + 5, FIRST_SENT_MS + 105, RunEnd::Failed)] => 0;

    connection_that_closes_before_any_run_is_not_lost:
        [lost(FIRST_SENT_MS, 200)], [] => 0;

    run_before_the_end_of_its_connection_is_lost:
        [lost(FIRST_SENT_MS, 20), answered(SECOND_SENT_MS, 200, "completed")],
        [run(1, FIRST_SENT_MS + 5, FIRST_SENT_MS + 105, RunEnd::Done)] => 1;

    run_after_the_end_of_its_connection_is_lost:
        [lost(FIRST_SENT_MS, 1), answered(SECOND_SENT_MS, 200, "completed")],
        [run(1, SECOND_SENT_MS - 1, SECOND_SENT_MS + 99, RunEnd::Done)] => 1;

    run_of_a_lost_request_is_lost_beside_runs_of_the_next:
        [lost(FIRST_SENT_MS, 20), answered(SECOND_SENT_MS, 200, "completed")],
        [
            run(1, FIRST_SENT_MS + 5, FIRST_SENT_MS + 105, RunEnd::Stopped),
            run(2, SECOND_SENT_MS + 5, SECOND_SENT_MS + 105, RunEnd::Done)
        ] => 1;

    run_of_the_last_request_is_lost:
        [lost(FIRST_SENT_MS, 1), lost(SECOND_SENT_MS, 20)],
        [run(1, SECOND_SENT_MS + 500, SECOND_SENT_MS + 600, RunEnd::Done)] => 1;

    run_that_the_second_request_joins_is_lost_with_it:
        [answered(FIRST_SENT_MS, 504, "unknown"), lost(SECOND_SENT_MS, 20)],
        [run(1, FIRST_SENT_MS + 5, SECOND_SENT_MS + 10, RunEnd::Done)] => 1;

    connection_that_ends_late_is_lost:
        [lost(FIRST_SENT_MS, 201)], [] => 1;

    connection_that_ends_late_is_lost_beside_runs_of_the_next:
        [lost(FIRST_SENT_MS, 201), answered(SECOND_SENT_MS, 200, "completed")],
        [run(1, SECOND_SENT_MS + 5, SECOND_SENT_MS + 105, RunEnd::Done)] => 1;
}
