//! Homes that drained, and what is known of their sessions.

use std::net::SocketAddr;

use ggb_model::{HomeId, Sequence, SessionId};
use ggb_session::{Lookup, SealedTable};
use parking_lot::RwLock;

const KEEP_MS: u64 = 3_600_000;
const FRESH_MS: u64 = 30_000;
const MOST_HOMES: usize = 4_096;

#[derive(Debug)]
struct Moved {
    home: HomeId,
    holders: Vec<SocketAddr>,
    learned_ms: u64,
    table: Option<SealedTable>,
}

/// Homes that drained, sorted by home.
#[derive(Debug, Default)]
pub(crate) struct MovedHomes {
    homes: RwLock<Vec<Moved>>,
}

impl MovedHomes {
    /// Records who holds the sealed table of a home; returns whether that is news.
    pub(crate) fn learn(&self, home: HomeId, holders: &[SocketAddr], now_ms: u64) -> bool {
        let mut homes = self.homes.write();
        match homes.binary_search_by_key(&home, |moved| moved.home) {
            Ok(at) if homes[at].holders.is_empty() && !holders.is_empty() => {
                homes[at].holders = holders.to_vec();
                homes[at].learned_ms = now_ms;
                true
            }
            Ok(_) => false,
            Err(_) if homes.len() >= MOST_HOMES => false,
            Err(at) => {
                let holders = holders.to_vec();
                homes.insert(at, Moved { home, holders, learned_ms: now_ms, table: None });
                true
            }
        }
    }

    /// Keeps a part of a sealed table.
    pub(crate) fn adopt(&self, part: SealedTable, holders: &[SocketAddr], now_ms: u64) {
        self.learn(part.home(), holders, now_ms);
        if part.sessions() == 0 {
            return;
        }
        let mut homes = self.homes.write();
        let Ok(at) = homes.binary_search_by_key(&part.home(), |moved| moved.home) else { return };
        match &mut homes[at].table {
            Some(table) => table.merge(part),
            none => *none = Some(part),
        }
    }

    /// Returns what the sealed table of a session's home says, if it is kept here.
    pub(crate) fn lookup(&self, id: &SessionId, sequence: Sequence) -> Option<Lookup> {
        let homes = self.homes.read();
        let at = homes.binary_search_by_key(&id.home, |moved| moved.home).ok()?;
        Some(homes[at].table.as_ref()?.lookup(id, sequence))
    }

    /// Returns who holds the sealed table of a home.
    pub(crate) fn holders(&self, home: HomeId) -> Option<Vec<SocketAddr>> {
        let homes = self.homes.read();
        let at = homes.binary_search_by_key(&home, |moved| moved.home).ok()?;
        Some(homes[at].holders.clone())
    }

    /// Returns what was learned lately, or all of it.
    pub(crate) fn news(&self, all: bool, now_ms: u64) -> Vec<(HomeId, Vec<SocketAddr>)> {
        let homes = self.homes.read();
        let fresh = homes.iter().filter(|m| all || now_ms - m.learned_ms.min(now_ms) < FRESH_MS);
        fresh.map(|moved| (moved.home, moved.holders.clone())).collect()
    }

    /// Forgets homes that drained long ago.
    pub(crate) fn evict(&self, now_ms: u64) {
        self.homes.write().retain(|moved| now_ms.saturating_sub(moved.learned_ms) < KEEP_MS);
    }

    /// Returns the number of homes whose tables are kept here.
    pub(crate) fn tables(&self) -> usize {
        self.homes.read().iter().filter(|moved| moved.table.is_some()).count()
    }
}
