//! The periodic listing requests of an owner.

use std::sync::Arc;

use futures::channel::oneshot;

/// The current periodic listing request to each target.
#[derive(Default)]
pub(crate) struct ListingPolls {
    /// Senders that restart polling, sorted by target.
    restart_senders: Vec<(Arc<str>, oneshot::Sender<()>)>,
}

impl ListingPolls {
    /// Records that a request to a target begins. The receiver gets a message if the request is to be
    /// abandoned, and is cancelled by a later call for the same target.
    pub(crate) fn begin(&mut self, target: &Arc<str>) -> oneshot::Receiver<()> {
        let (sender, restarted) = oneshot::channel();
        match self.restart_senders.binary_search_by(|(polled, _)| polled.cmp(target)) {
            Ok(index) => self.restart_senders[index].1 = sender,
            Err(index) => self.restart_senders.insert(index, (Arc::clone(target), sender)),
        }
        restarted
    }

    /// Abandons the current request to a target, so that the next one begins.
    pub(crate) fn restart(&mut self, target: &str) {
        let senders = &mut self.restart_senders;
        if let Ok(index) = senders.binary_search_by(|(polled, _)| (**polled).cmp(target)) {
            // Fails if the request has ended, in which case the next one begins anyway.
            senders.remove(index).1.send(()).ok();
        }
    }

    /// Forgets the requests that have ended.
    pub(crate) fn remove_ended(&mut self) {
        self.restart_senders.retain(|(_, sender)| !sender.is_canceled());
    }
}
