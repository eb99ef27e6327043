//! Registry of the caller requests that have no answer yet.

use std::sync::Arc;

use ggb_placement::JobId;
use parking_lot::Mutex;

/// The caller requests that have no answer yet; clones share one registry.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenRequests(Arc<Mutex<Entries>>);

#[derive(Debug, Default)]
struct Entries {
    next_id: u64,
    /// Open requests by id, in ascending order of the ids.
    open: Vec<(u64, OpenRequest)>,
}

/// A caller request that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) job: JobId,
    pub(crate) received_at_ms: u64,
}

/// Removes a request from the open ones when dropped.
#[derive(Debug)]
pub(crate) struct OpenRequestGuard {
    requests: OpenRequests,
    id: u64,
}

impl OpenRequests {
    /// Adds a request, which stays open until the returned guard is dropped.
    pub(crate) fn insert(&self, request: OpenRequest) -> OpenRequestGuard {
        let mut entries = self.0.lock();
        let id = entries.next_id;
        entries.next_id += 1;
        entries.open.push((id, request));
        OpenRequestGuard { requests: self.clone(), id }
    }

    /// Returns the open requests, oldest first.
    pub(crate) fn list(&self) -> Vec<OpenRequest> {
        self.0.lock().open.iter().map(|(_, request)| *request).collect()
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let mut entries = self.requests.0.lock();
        if let Ok(index) = entries.open.binary_search_by_key(&self.id, |(id, _)| *id) {
            entries.open.remove(index);
        }
    }
}
