//! Jobs that run on the targets of another zone.
//!
//! Answers the load of zones whose crests differ by seconds: a job that would have to wait
//! in its own zone is offered once to the zone that has the most room, which starts it at
//! once or refuses it.

use std::{sync::Arc, time::Duration};

use async_std::task;
use ggb_http::Sent;
use ggb_membership::Node;
use ggb_placement::{JobAnswer, LEASE_GONE_MS, Lending, RefusalReason, Submission};
use ggb_telemetry::log_event;

use crate::{
    owner::Owner,
    peer_api::{JobReply, send_job},
    shared::Shared,
};

/// How long after the last message to the owner of another zone nothing of a lent job can
/// run there any more: it stops a job that nobody asks for, and what it can't stop lapses.
const LENT_GONE_MS: u64 = LEASE_GONE_MS + 150;

/// Runs a job on the zone's own targets, or names the owner of a zone that has more room.
pub(crate) async fn dispatch(
    shared: &Shared,
    owner: &Arc<Owner>,
    submission: Submission,
) -> JobReply {
    let may_lend = submission.lending == Lending::Allowed && !submission.resumed;
    let id = submission.job.id;
    let tasks = submission.job.task_count() as u64;
    let borrow = || {
        let lender = shared.ownership.lock().borrow_room(tasks, shared.now_ms())?;
        log_event!(debug, JobLent, job = %id, zone = %lender.zone, tasks);
        Some(JobReply::Elsewhere(lender))
    };
    if may_lend
        && owner.would_wait(&submission)
        && let Some(elsewhere) = borrow()
    {
        return elsewhere;
    }
    match owner.submit(submission).answer().await {
        refused @ JobAnswer::Refused {
            reason: RefusalReason::Overloaded | RefusalReason::StillQueued,
            ..
        } if may_lend => borrow().unwrap_or(JobReply::Answered(refused)),
        answer => JobReply::Answered(answer),
    }
}

/// What came of a job that was lent.
pub(crate) enum Lent {
    /// Its answer.
    Answered(JobAnswer),
    /// It did not run.
    Refused,
    /// Contact was lost; tasks of it may have run, and nothing of it runs any more.
    Lost,
}

/// Has a job run on the targets of `lender`'s zone.
///
/// Runs in the process that holds the caller's connection, so that the job is given up when
/// the caller goes.
pub(crate) async fn lend(shared: &Shared, lender: &Node, submission: &Submission) -> Lent {
    let lent = Submission { lending: Lending::Lent, ..submission.clone() };
    let addr = shared.peer_addr(lender.ip);
    let mut sent_at_ms = shared.now_ms();
    loop {
        match send_job(shared, addr, &lent).await {
            Ok(JobReply::Pending) => sent_at_ms = shared.now_ms(),
            Ok(JobReply::Answered(JobAnswer::Refused { .. }) | JobReply::Elsewhere(_))
            | Err(Sent::No) => return Lent::Refused,
            Ok(JobReply::Answered(JobAnswer::Moved { .. } | JobAnswer::Unknown))
            | Err(Sent::Maybe) => break,
            Ok(JobReply::Answered(answer)) => return Lent::Answered(answer),
        }
    }
    log_event!(warn, RequestResumed, job = %submission.job.id, zone = %lender.zone);
    let gone_at_ms = sent_at_ms + LENT_GONE_MS;
    let left_ms = gone_at_ms.saturating_sub(shared.now_ms());
    task::sleep(Duration::from_millis(left_ms)).await;
    Lent::Lost
}
