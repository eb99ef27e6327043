//! Homes that drained, and what is known of their sessions.

use std::net::SocketAddr;

use ggb_model::{HomeId, Sequence, SessionId};
use ggb_session::{Lookup, SealedTable};
use parking_lot::RwLock;

const KEEP_MS: u64 = 3_600_000;
const MOST_HOMES: usize = 4_096;

#[derive(Debug)]
struct Moved {
    home: HomeId,
    holders: Vec<SocketAddr>,
    learned_ms: u64,
    /// Position in the order in which this process learned of moves.
    number: u64,
    table: Option<SealedTable>,
}

/// What a peer has not been told yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct MovedNews {
    pub(crate) moves: Vec<(HomeId, Vec<SocketAddr>)>,
    /// The number of the last move told.
    pub(crate) last: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by home.
    homes: Vec<Moved>,
    last_number: u64,
}

/// Homes that drained.
#[derive(Debug)]
pub(crate) struct MovedHomes {
    /// The most bytes of sealed tables that are kept.
    most_bytes: usize,
    state: RwLock<State>,
}

impl State {
    const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn position(&self, home: HomeId) -> Result<usize, usize> {
        self.homes.binary_search_by_key(&home, |moved| moved.home)
    }
}

impl MovedHomes {
    pub(crate) fn new(most_bytes: usize) -> Self {
        MovedHomes { most_bytes, state: RwLock::default() }
    }

    /// Records who holds the sealed table of a home.
    pub(crate) fn learn(&self, home: HomeId, holders: &[SocketAddr], now_ms: u64) {
        let mut state = self.state.write();
        let holders = holders.to_vec();
        match state.position(home) {
            Ok(at) if state.homes[at].holders.is_empty() && !holders.is_empty() => {
                let number = state.next_number();
                let moved = &mut state.homes[at];
                (moved.holders, moved.number, moved.learned_ms) = (holders, number, now_ms);
            }
            Ok(_) => {}
            Err(_) if state.homes.len() >= MOST_HOMES => {}
            Err(at) => {
                let number = state.next_number();
                let moved = Moved { home, holders, learned_ms: now_ms, number, table: None };
                state.homes.insert(at, moved);
            }
        }
    }

    /// Keeps a part of a sealed table; returns whether there was room for it.
    pub(crate) fn adopt(&self, part: SealedTable, holders: &[SocketAddr], now_ms: u64) -> bool {
        let home = part.home();
        if part.sessions() > 0 && self.table_bytes() + part.bytes() > self.most_bytes {
            return false;
        }
        self.learn(home, holders, now_ms);
        let mut state = self.state.write();
        let Ok(at) = state.position(home) else { return false };
        match &mut state.homes[at].table {
            _ if part.sessions() == 0 => {}
            Some(table) => table.merge(part),
            none => *none = Some(part),
        }
        true
    }

    fn table_bytes(&self) -> usize {
        let state = self.state.read();
        state.homes.iter().filter_map(|moved| moved.table.as_ref()).map(SealedTable::bytes).sum()
    }

    /// Returns what the sealed table of a session's home says, if it is kept here.
    pub(crate) fn lookup(&self, id: &SessionId, sequence: Sequence) -> Option<Lookup> {
        let state = self.state.read();
        let at = state.position(id.home).ok()?;
        Some(state.homes[at].table.as_ref()?.lookup(id, sequence))
    }

    /// Returns who holds the sealed table of a home.
    pub(crate) fn holders(&self, home: HomeId) -> Option<Vec<SocketAddr>> {
        let state = self.state.read();
        let at = state.position(home).ok()?;
        Some(state.homes[at].holders.clone())
    }

    /// Returns the moves learned after the one numbered `after`.
    ///
    /// A peer names the last move that it has had, so that news survives a cut of
    /// any length and is sent to each peer once.
    pub(crate) fn news(&self, after: u64) -> MovedNews {
        let state = self.state.read();
        let fresh = state.homes.iter().filter(|moved| moved.number > after);
        MovedNews {
            moves: fresh.map(|moved| (moved.home, moved.holders.clone())).collect(),
            last: state.last_number,
        }
    }

    /// Forgets homes that drained long ago.
    pub(crate) fn evict(&self, now_ms: u64) {
        self.state.write().homes.retain(|moved| now_ms.saturating_sub(moved.learned_ms) < KEEP_MS);
    }

    /// Returns the number of homes whose tables are kept here.
    pub(crate) fn tables(&self) -> usize {
        self.state.read().homes.iter().filter(|moved| moved.table.is_some()).count()
    }
}
