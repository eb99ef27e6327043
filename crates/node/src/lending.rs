//! Parts of jobs on their way to the owners of other zones.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures::{
    channel::oneshot,
    future::{Either, select},
    pin_mut,
};
use ggb_http::Sent;
use ggb_model::Zone;
use ggb_placement::{JobAnswer, LENT_GONE_MS, LentOutcome, Offer, Submission};
use ggb_telemetry::log_event;

use crate::{
    owner::Owner,
    peer_api::{JobReply, send_job},
    shared::Shared,
};

/// Has a part of a job run on the targets of another zone, until it is recalled.
pub(crate) async fn lend(
    owner: Arc<Owner>,
    part: u64,
    zone: Zone,
    submission: Submission,
    recalled: oneshot::Receiver<()>,
) {
    let outcome = {
        let answered = offer(owner.shared(), &zone, &submission);
        pin_mut!(answered);
        match select(answered, recalled).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => LentOutcome::Lost,
        }
    };
    if outcome == LentOutcome::Lost {
        task::sleep(Duration::from_millis(LENT_GONE_MS)).await;
    }
    owner.lent_settled(part, outcome);
}

async fn offer(shared: &Shared, zone: &Zone, submission: &Submission) -> LentOutcome {
    let lender = {
        let ownership = shared.ownership.lock();
        ownership.owner_of(zone).map(|owner| owner.heartbeat.node.ip)
    };
    let Some(lender) = lender else { return LentOutcome::Refused };
    let addr = shared.peer_addr(lender);
    let mut offer = Offer::new(submission.clone());
    loop {
        match send_job(shared, addr, offer.submission()).await {
            Ok(JobReply::Pending { token }) => offer.pending(token),
            Ok(JobReply::Answered(JobAnswer::Completed)) => return LentOutcome::Completed,
            Ok(JobReply::Answered(JobAnswer::Failed)) => return LentOutcome::Failed,
            Ok(JobReply::Answered(JobAnswer::Refused { .. })) | Err(Sent::No) => {
                return LentOutcome::Refused;
            }
            Ok(JobReply::Answered(
                JobAnswer::GivenUp
                | JobAnswer::Moved { .. }
                | JobAnswer::NotTaken
                | JobAnswer::Unknown,
            ))
            | Err(Sent::Maybe) => {
                log_event!(warn, RequestResumed, job = %submission.job.id, zone = %zone);
                return LentOutcome::Lost;
            }
        }
    }
}
