//! The stream between a home and this dispatcher.

use std::{pin::Pin, sync::Arc};

use async_std::task;
use futures::{Stream, StreamExt as _, stream};
use ggb_policy::StreamId;
use ggb_wire::v1::{DispatchBatch, HomeBatch, dispatch_server::Dispatch};
use tonic::{Request, Response, Status, Streaming};

use crate::{core::Core, homes::Outbox};

type Batches = Pin<Box<dyn Stream<Item = Result<DispatchBatch, Status>> + Send>>;

pub(crate) struct DispatchService {
    core: Arc<Core>,
}

impl DispatchService {
    pub(crate) const fn new(core: Arc<Core>) -> Self {
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
        let (outbox, woken) = Outbox::new();
        let connected = self.core.connect(Arc::clone(&outbox));
        let stream =
            connected.ok_or_else(|| Status::unavailable("the list of VMs was not seen yet"))?;
        task::spawn(read_batches(Arc::clone(&self.core), stream, request.into_inner()));
        let core = Arc::clone(&self.core);
        let guard = Disconnect { core: Arc::clone(&core), stream };
        let batches = stream::unfold((woken, outbox, guard), move |(woken, outbox, guard)| {
            let core = Arc::clone(&core);
            async move {
                woken.recv().await.ok()?;
                core.count_sent();
                Some((Ok(outbox.take()), (woken, outbox, guard)))
            }
        });
        Ok(Response::new(Box::pin(batches)))
    }
}

/// Disconnects a home when its stream of batches is dropped.
struct Disconnect {
    core: Arc<Core>,
    stream: StreamId,
}

impl Drop for Disconnect {
    fn drop(&mut self) {
        self.core.disconnect(self.stream);
    }
}

async fn read_batches(core: Arc<Core>, stream: StreamId, mut batches: Streaming<HomeBatch>) {
    while let Some(Ok(batch)) = batches.next().await {
        if core.apply(stream, batch).is_err() {
            break;
        }
    }
    core.disconnect(stream);
}
