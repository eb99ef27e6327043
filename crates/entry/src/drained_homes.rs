//! Drained homes and the sealed session tables that they handed off.

use std::net::SocketAddr;

use ggb_model::{HomeId, Sequence, SessionId};
use ggb_session::{SealedTable, SubmissionStatus};
use parking_lot::RwLock;

/// Time after which a drained home and its sealed table are removed.
const RETENTION_MS: u64 = 3_600_000;
/// Maximum number of drained homes that are kept; later ones are ignored.
const MAX_DRAINED_HOMES: usize = 4_096;

#[derive(Debug)]
struct DrainedHome {
    home: HomeId,
    /// Processes that hold the sealed table; empty while they are not known.
    holders: Vec<SocketAddr>,
    recorded_ms: u64,
    /// Position of this home in the order in which the process recorded drained homes.
    drained_home_number: u64,
    /// Sealed table of the home, if this process holds it.
    table: Option<SealedTable>,
}

/// Drained homes that a peer has not received yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct NewerDrainedHomes {
    /// Drained homes, each with the processes that hold its sealed table.
    pub(crate) homes: Vec<(HomeId, Vec<SocketAddr>)>,
    /// Number of the drained home that this process recorded last.
    pub(crate) last_number: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by home.
    homes: Vec<DrainedHome>,
    last_number: u64,
}

/// Registry of drained homes, the holders of their sealed tables, and the tables held here.
#[derive(Debug)]
pub(crate) struct DrainedHomes {
    /// Maximum total size of the sealed tables that are held here.
    max_table_bytes: usize,
    state: RwLock<State>,
}

impl State {
    const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn position(&self, home: HomeId) -> Result<usize, usize> {
        self.homes.binary_search_by_key(&home, |drained| drained.home)
    }
}

impl DrainedHomes {
    pub(crate) fn new(max_table_bytes: usize) -> Self {
        DrainedHomes { max_table_bytes, state: RwLock::default() }
    }

    /// Records that a home drained and which processes hold its sealed table.
    ///
    /// The first holders that are given for a home are kept.
    pub(crate) fn record_drained(&self, home: HomeId, holders: &[SocketAddr], now_ms: u64) {
        let mut state = self.state.write();
        let holders = holders.to_vec();
        match state.position(home) {
            Ok(index) if state.homes[index].holders.is_empty() && !holders.is_empty() => {
                let drained_home_number = state.next_number();
                let drained = &mut state.homes[index];
                (drained.holders, drained.drained_home_number, drained.recorded_ms) =
                    (holders, drained_home_number, now_ms);
            }
            Ok(_) => {}
            Err(_) if state.homes.len() >= MAX_DRAINED_HOMES => {}
            Err(index) => {
                let drained_home_number = state.next_number();
                let drained = DrainedHome {
                    home,
                    holders,
                    recorded_ms: now_ms,
                    drained_home_number,
                    table: None,
                };
                state.homes.insert(index, drained);
            }
        }
    }

    /// Stores a chunk of a sealed table and records its holders.
    ///
    /// Returns `false` if the limit on the size of sealed tables or on drained homes is reached.
    pub(crate) fn adopt_table(
        &self,
        table: SealedTable,
        holders: &[SocketAddr],
        now_ms: u64,
    ) -> bool {
        let home = table.home();
        if table.session_count() > 0
            && self.table_bytes() + table.size_bytes() > self.max_table_bytes
        {
            return false;
        }
        self.record_drained(home, holders, now_ms);
        let mut state = self.state.write();
        let Ok(index) = state.position(home) else { return false };
        match &mut state.homes[index].table {
            _ if table.session_count() == 0 => {}
            Some(kept) => kept.merge(table),
            slot => *slot = Some(table),
        }
        true
    }

    fn table_bytes(&self) -> usize {
        let state = self.state.read();
        state
            .homes
            .iter()
            .filter_map(|drained| drained.table.as_ref())
            .map(SealedTable::size_bytes)
            .sum()
    }

    /// Looks up a submission in the sealed table of its home, if the table is held here.
    pub(crate) fn lookup(&self, id: &SessionId, sequence: Sequence) -> Option<SubmissionStatus> {
        let state = self.state.read();
        let index = state.position(id.home).ok()?;
        Some(state.homes[index].table.as_ref()?.lookup(id, sequence))
    }

    /// Returns the holders of a home's sealed table, or `None` if the home is not known to have
    /// drained.
    pub(crate) fn holders(&self, home: HomeId) -> Option<Vec<SocketAddr>> {
        let state = self.state.read();
        let index = state.position(home).ok()?;
        Some(state.homes[index].holders.clone())
    }

    /// Returns the drained homes recorded after the one numbered `after`.
    ///
    /// A peer sends the number of the last drained home that it received, so that it receives
    /// every one once, even after a network partition of any length.
    pub(crate) fn recorded_after(&self, after: u64) -> NewerDrainedHomes {
        let state = self.state.read();
        let newer = state.homes.iter().filter(|drained| drained.drained_home_number > after);
        NewerDrainedHomes {
            homes: newer.map(|drained| (drained.home, drained.holders.clone())).collect(),
            last_number: state.last_number,
        }
    }

    /// Removes homes whose retention period is over.
    pub(crate) fn evict_expired(&self, now_ms: u64) {
        self.state
            .write()
            .homes
            .retain(|drained| now_ms.saturating_sub(drained.recorded_ms) < RETENTION_MS);
    }

    /// Returns the number of drained homes whose sealed tables are held here.
    pub(crate) fn table_count(&self) -> usize {
        self.state.read().homes.iter().filter(|drained| drained.table.is_some()).count()
    }
}
