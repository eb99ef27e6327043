//! RPC service for the streams of homes.

use std::{pin::Pin, sync::Arc};

use async_std::task;
use futures::{Stream, StreamExt as _, stream};
use ggb_policy::StreamId;
use ggb_wire::v1::{DispatchBatch, HomeBatch, dispatch_server::Dispatch};
use tonic::{Request, Response, Status, Streaming};

use crate::{core::DispatcherCore, homes::Outbox};

type Batches = Pin<Box<dyn Stream<Item = Result<DispatchBatch, Status>> + Send>>;

pub(crate) struct DispatchService {
    core: Arc<DispatcherCore>,
}

impl DispatchService {
    pub(crate) const fn new(core: Arc<DispatcherCore>) -> Self {
        DispatchService { core }
    }
}

#[tonic::async_trait]
impl Dispatch for DispatchService {
    type LeaseStream = Batches;

    async fn lease(
        &self,
        request: Request<Streaming<HomeBatch>>,
    ) -> Result<Response<Batches>, Status> {
        let (outbox, wake_signal) = Outbox::new();
        let connected = self.core.connect(Arc::clone(&outbox));
        let stream =
            connected.ok_or_else(|| Status::unavailable("the list of VMs was not seen yet"))?;
        task::spawn(apply_batches(Arc::clone(&self.core), stream, request.into_inner()));
        let core = Arc::clone(&self.core);
        let guard = DisconnectGuard { core: Arc::clone(&core), stream };
        let batches =
            stream::unfold((wake_signal, outbox, guard), move |(wake_signal, outbox, guard)| {
                let core = Arc::clone(&core);
                async move {
                    wake_signal.recv().await.ok()?;
                    core.count_sent_batch();
                    Some((Ok(outbox.take_batch()), (wake_signal, outbox, guard)))
                }
            });
        Ok(Response::new(Box::pin(batches)))
    }
}

/// Disconnects a home when its stream of batches is dropped.
struct DisconnectGuard {
    core: Arc<DispatcherCore>,
    stream: StreamId,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.core.disconnect(self.stream);
    }
}

/// Applies the batches of a home until its stream ends or a batch is invalid.
async fn apply_batches(
    core: Arc<DispatcherCore>,
    stream: StreamId,
    mut batches: Streaming<HomeBatch>,
) {
    while let Some(Ok(batch)) = batches.next().await {
        if core.apply(stream, batch).is_err() {
            break;
        }
    }
    core.disconnect(stream);
}
