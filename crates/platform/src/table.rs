//! The transactional table that contains profiles, claims and the audit trail.

use std::{net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt as _};
use futures::{FutureExt as _, future::BoxFuture};
use ggb_adapter::{CommitOutcome, Store};
use ggb_config::{Row, Transaction, Version};
use ggb_http::HttpClient;
use ggb_model::Step;

use crate::PlatformError;

/// Name of the store's table that contains profiles, claims and the audit trail.
pub const STATE_TABLE: &str = "greengagebeam";

/// Outcome of a transaction, as answered by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All writes were applied.
    Done,
    /// A condition was not met; nothing was written.
    Conflict,
}

/// Access to the platform's transactional table.
pub trait Table: Send + Sync + 'static {
    /// Returns a consistent snapshot of the rows whose keys start with `prefix`, sorted by key.
    fn read<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Row>, Report<PlatformError>>>;

    /// Commits a transaction. If an error is returned, the transaction may have been applied.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Commit, Report<PlatformError>>>;
}

/// The table [`STATE_TABLE`] in the platform's store.
#[derive(Debug)]
pub struct StoreTable {
    addr: SocketAddr,
    store: Store,
}

impl StoreTable {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: SocketAddr, client: Arc<HttpClient>) -> Self {
        StoreTable { addr, store: Store::new(client, addr) }
    }

    async fn read_rows(&self, prefix: &str) -> Result<Vec<Row>, Report<PlatformError>> {
        let read = self.store.rows_with_prefix(STATE_TABLE, prefix).await;
        let read = read.change_context_lazy(|| {
            PlatformError::new(Step::Receive, self.addr, "the rows could not be read")
        })?;
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

    async fn commit_transaction(
        &self,
        transaction: &Transaction,
    ) -> Result<Commit, Report<PlatformError>> {
        let conditions = transaction.conditions.iter();
        let writes = transaction.writes.iter();
        let commit = ggb_adapter::RowTransaction {
            table: STATE_TABLE,
            expected: conditions.map(|row| (row.key.as_str(), row.version.0)).collect(),
            writes: writes.map(|row| (row.key.as_str(), row.value.as_bytes())).collect(),
        };
        let failed = || {
            PlatformError::new(Step::Commit, self.addr, "the outcome of the transaction is unknown")
        };
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
        self.commit_transaction(transaction).boxed()
    }
}
