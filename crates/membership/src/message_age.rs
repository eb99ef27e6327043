//! Ages of messages, which the recipient measures on its own clock.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::{MessageSender, Ownership, PeerClock};

/// Reading of the monotonic clock of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClockReading {
    /// Incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time since the start of the process.
    pub clock_ms: u64,
}

/// What the sender of a message knows of the recipient's clock at the time of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecipientTime {
    /// The sender is of a former build, which does not report it.
    #[default]
    NotReported,
    /// The sender knows nothing of the recipient's clock.
    Unknown,
    /// The recipient's clock showed this time or a later one.
    AtLeast(ClockReading),
}

impl Ownership {
    /// Returns the reading of this process's clock at `now_ms`.
    pub const fn clock_reading(&self, now_ms: u64) -> ClockReading {
        ClockReading { incarnation: self.incarnation(), clock_ms: now_ms }
    }

    /// Returns what this process knows of the clock of the process at `ip`, for a message that it
    /// sends at `now_ms`.
    pub fn recipient_time(&self, ip: IpAddr, now_ms: u64) -> RecipientTime {
        let at_ip = self.peers().iter().filter(|peer| peer.heartbeat.node.ip == ip);
        // After a VM was replaced at its address, the one that was heard last counts.
        let peer = at_ip.max_by_key(|peer| peer.last_heartbeat_ms);
        peer.map_or(RecipientTime::Unknown, |peer| {
            RecipientTime::AtLeast(peer.clock().reading(now_ms))
        })
    }

    /// Records the reading that the process at `ip` sent in reply to a message of `sent_at_ms`.
    ///
    /// A reading below the estimate for that time shows that the clock stood still, as in a
    /// suspended VM; the estimate then begins anew.
    pub fn record_reading(
        &mut self,
        ip: IpAddr,
        reading: ClockReading,
        sent_at_ms: u64,
        now_ms: u64,
    ) {
        let ClockReading { incarnation, clock_ms } = reading;
        let is_behind = |estimate: ClockReading| {
            estimate.incarnation == incarnation && clock_ms < estimate.clock_ms
        };
        let peers = self.peers_mut().iter_mut();
        for peer in peers.filter(|peer| peer.heartbeat.node.ip == ip) {
            if is_behind(peer.clock().reading(sent_at_ms)) {
                peer.set_clock(PeerClock::new(incarnation, clock_ms, now_ms));
            }
        }
    }

    /// Returns the time that has passed at most since a message was sent, or `None` if that is not
    /// known.
    ///
    /// A reading of this process's own clock limits the age whichever incarnation of the sender
    /// sent the message, heard or not. A reading in the future shows that this clock stood still,
    /// as in a suspended VM.
    pub fn max_message_age_ms(
        &self,
        sender: &MessageSender,
        recipient_time: RecipientTime,
        now_ms: u64,
    ) -> Option<u64> {
        match recipient_time {
            RecipientTime::AtLeast(reading) if reading.incarnation == self.incarnation() => {
                now_ms.checked_sub(reading.clock_ms)
            }
            RecipientTime::AtLeast(_) | RecipientTime::Unknown => None,
            RecipientTime::NotReported => self.delay_ms(sender, now_ms),
        }
    }
}
