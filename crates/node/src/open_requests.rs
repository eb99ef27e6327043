//! The requests of callers that wait for an answer.

use std::sync::Arc;

use ggb_placement::JobId;
use parking_lot::Mutex;

/// The requests that wait for an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenRequests(Arc<Mutex<Entries>>);

#[derive(Debug, Default)]
struct Entries {
    next: u64,
    /// Sorted by number.
    open: Vec<(u64, OpenRequest)>,
}

/// A request that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) job: JobId,
    pub(crate) received_at_ms: u64,
}

/// Keeps a request among the open ones until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard {
    requests: OpenRequests,
    number: u64,
}

impl OpenRequests {
    /// Adds a request, for as long as the guard is kept.
    pub(crate) fn enter(&self, request: OpenRequest) -> OpenGuard {
        let mut entries = self.0.lock();
        let number = entries.next;
        entries.next += 1;
        entries.open.push((number, request));
        OpenGuard { requests: self.clone(), number }
    }

    /// Returns the requests that are open now, oldest first.
    pub(crate) fn list(&self) -> Vec<OpenRequest> {
        self.0.lock().open.iter().map(|(_, request)| *request).collect()
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut entries = self.requests.0.lock();
        if let Ok(at) = entries.open.binary_search_by_key(&self.number, |(number, _)| *number) {
            entries.open.remove(at);
        }
    }
}
