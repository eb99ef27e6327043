//! The transactional table that profiles, claims and the audit trail are kept in.

use std::{net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt as _};
use futures::{FutureExt as _, future::BoxFuture};
use ggb_adapter::{CommitOutcome, Store};
use ggb_config::{Row, Transaction, Version};
use ggb_http::HttpClient;
use ggb_model::Step;

use crate::PlatformError;

/// The table of the platform's store that holds the rows of profiles, claims and the audit
/// trail.
pub const TABLE: &str = "greengagebeam";

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All writes took effect.
    Done,
    /// A condition did not hold, so nothing took effect.
    Conflict,
}

/// The platform's transactional table.
pub trait Table: Send + Sync + 'static {
    /// Reads all rows under `prefix` as of one instant, sorted by key.
    fn read<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Row>, Report<PlatformError>>>;

    /// Commits a transaction; an error leaves open whether it took effect.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Commit, Report<PlatformError>>>;
}

/// The table in the platform's store.
#[derive(Debug)]
pub struct StoreTable {
    addr: SocketAddr,
    store: Store,
}

impl StoreTable {
    /// Returns a client of the store at `addr`.
    pub fn new(addr: SocketAddr, client: Arc<HttpClient>) -> Self {
        StoreTable { addr, store: Store::new(client, addr) }
    }

    async fn read_rows(&self, prefix: &str) -> Result<Vec<Row>, Report<PlatformError>> {
        let read = self.store.rows_with_prefix(TABLE, prefix).await;
        let read =
            read.change_context_lazy(|| PlatformError::new(Step::Receive, self.addr, "no rows"))?;
        let rows = read.rows.into_iter().map(|row| {
            let value = String::from_utf8(row.value.unwrap_or_default());
            let value = value.change_context_lazy(|| {
                let message = format!("row `{}`: expected text", row.key);
                PlatformError::new(Step::Decode, self.addr, message)
            })?;
            Ok(Row { key: row.key, value, version: Version(row.version) })
        });
        rows.collect()
    }

    async fn commit_once(
        &self,
        transaction: &Transaction,
    ) -> Result<Commit, Report<PlatformError>> {
        let conditions = transaction.conditions.iter();
        let writes = transaction.writes.iter();
        let commit = ggb_adapter::RowTransaction {
            table: TABLE,
            expected: conditions.map(|row| (row.key.as_str(), row.version.0)).collect(),
            writes: writes.map(|row| (row.key.as_str(), row.value.as_bytes())).collect(),
        };
        let failed = || PlatformError::new(Step::Commit, self.addr, "the outcome is not known");
        match self.store.commit(&commit).await.change_context_lazy(failed)? {
            CommitOutcome::Done => Ok(Commit::Done),
            CommitOutcome::Conflict => Ok(Commit::Conflict),
        }
    }
}

impl Table for StoreTable {
    fn read<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Row>, Report<PlatformError>>> {
        self.read_rows(prefix).boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Commit, Report<PlatformError>>> {
        self.commit_once(transaction).boxed()
    }
}
