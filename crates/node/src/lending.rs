//! Offloads parts of jobs to the owners of other zones.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures::{
    channel::oneshot,
    future::{Either, select},
    pin_mut,
};
use ggb_http::Sent;
use ggb_model::Zone;
use ggb_placement::{CALLER_EXPIRY_MS, JobAnswer, PartOutcome, RoutedJob, Submission};
use ggb_telemetry::log_event;

use crate::{
    owner::Owner,
    peer_api::{JobReply, send_job},
};

/// End of a part.
enum PartEnd {
    Settled(PartOutcome),
    /// The zone is evacuated; the other tasks of the part have no active run.
    Returned {
        done: Vec<(u16, u16)>,
    },
}

/// Runs a part of a job on the targets of another zone and passes the outcome to `owner`.
///
/// Dropping the sender of `cancelled` cancels the part. After a cancellation or a lost contact, the
/// outcome is reported only when nothing of the part can run any more.
pub(crate) async fn offload_part(
    owner: Arc<Owner>,
    part: u64,
    zone: Zone,
    submission: Submission,
    cancelled: oneshot::Receiver<()>,
) {
    let outcome = {
        let send = send_part(&owner, &zone, &submission);
        pin_mut!(send);
        match select(send, cancelled).await {
            Either::Left((PartEnd::Returned { done }, _)) => {
                return owner.apply_returned_part(part, &done);
            }
            Either::Left((PartEnd::Settled(outcome), _)) => outcome,
            Either::Right(_) => PartOutcome::Lost,
        }
    };
    if outcome == PartOutcome::Lost {
        task::sleep(Duration::from_millis(CALLER_EXPIRY_MS)).await;
    }
    owner.apply_part_outcome(part, outcome);
}

/// Sends a part to the owner of `zone` until that owner answers or contact is lost.
async fn send_part(owner: &Owner, zone: &Zone, submission: &Submission) -> PartEnd {
    let shared = owner.shared();
    let received_at_ms = shared.now_ms().saturating_sub(submission.waited_ms);
    let remote_owner = {
        let ownership = shared.ownership.lock();
        ownership.owner_of(zone).map(|owner| owner.heartbeat.node.ip)
    };
    let Some(remote_owner) = remote_owner else {
        return PartEnd::Settled(PartOutcome::Refused);
    };
    let mut clock_reading = None;
    let mut routed_job = RoutedJob::new(submission.clone());
    loop {
        let now_ms = shared.now_ms();
        // The job stays known until its parts have ended or were cancelled.
        let checked_at_ms = owner.caller_checked_at_ms(submission.job.id).unwrap_or(0);
        let submission = routed_job
            .submission_after(now_ms - received_at_ms, now_ms.saturating_sub(checked_at_ms));
        let reply = send_job(shared, remote_owner, submission, now_ms, clock_reading).await;
        let had_reading = clock_reading.take().is_some();
        let outcome = match reply {
            Ok(JobReply::Pending { claim }) => {
                routed_job.mark_held_by(claim);
                continue;
            }
            Ok(JobReply::Resend { clock }) if !had_reading => {
                routed_job.mark_not_taken();
                clock_reading = Some(clock);
                continue;
            }
            Ok(JobReply::Answered(JobAnswer::Returned { done })) => {
                return PartEnd::Returned { done };
            }
            Ok(JobReply::Answered(JobAnswer::Completed)) => PartOutcome::Completed,
            Ok(JobReply::Answered(JobAnswer::Failed)) => PartOutcome::Failed,
            Ok(JobReply::Answered(JobAnswer::Refused { .. })) => PartOutcome::Refused,
            Err(Sent::No) => routed_job.outcome_of_refused_connection(),
            Ok(JobReply::Answered(
                JobAnswer::GivenUp
                | JobAnswer::Moved { .. }
                | JobAnswer::NotTaken
                | JobAnswer::Unknown,
            ))
            | Ok(JobReply::Resend { .. })
            | Err(Sent::Maybe) => {
                log_event!(warn, RequestResumed, job = %submission.job.id, zone = %zone);
                PartOutcome::Lost
            }
        };
        return PartEnd::Settled(outcome);
    }
}
