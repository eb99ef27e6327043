//! The transactional table service.

use std::{net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt as _};
use futures::{FutureExt as _, future::BoxFuture};
use ggb_config::{Row, Transaction};
use ggb_http::HttpClient;
use ggb_model::Step;
use http_types::StatusCode;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

const READ_TIMEOUT_MS: u64 = 2_000;
const COMMIT_TIMEOUT_MS: u64 = 2_000;

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All writes took effect.
    Done,
    /// A condition did not hold, so nothing took effect.
    Conflict,
}

/// The body of a read request: all rows whose keys start with a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The prefix.
    pub prefix: String,
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

/// The table service over HTTP.
#[derive(Debug)]
pub struct HttpTable {
    addr: SocketAddr,
    client: Arc<HttpClient>,
}

impl HttpTable {
    /// Returns a client of the table service at `addr`.
    pub const fn new(addr: SocketAddr, client: Arc<HttpClient>) -> Self {
        HttpTable { addr, client }
    }

    async fn read_rows(&self, prefix: &str) -> Result<Vec<Row>, Report<PlatformError>> {
        let failed = |step| move || PlatformError::new(step, self.addr, "expected rows");
        let body = encode(&ReadRequest { prefix: prefix.to_owned() });
        let reply = self.client.post(self.addr, "/v1/table/read", body, READ_TIMEOUT_MS);
        let reply = reply.await.change_context_lazy(failed(Step::Receive))?;
        if reply.status != StatusCode::Ok {
            let message = format!("got status {}, expected 200", reply.status);
            return Err(PlatformError::new(Step::Receive, self.addr, message).into());
        }
        serde_json::from_slice(&reply.body).change_context_lazy(failed(Step::Decode))
    }

    async fn commit_once(&self, body: Vec<u8>) -> Result<Commit, Report<PlatformError>> {
        let failed = || PlatformError::new(Step::Commit, self.addr, "the outcome is not known");
        let reply = self.client.post(self.addr, "/v1/table/commit", body, COMMIT_TIMEOUT_MS);
        match reply.await.change_context_lazy(failed)?.status {
            StatusCode::Ok => Ok(Commit::Done),
            StatusCode::Conflict => Ok(Commit::Conflict),
            status => {
                let message = format!("got status {status}, expected 200 or 409");
                Err(PlatformError::new(Step::Commit, self.addr, message).into())
            }
        }
    }
}

impl Table for HttpTable {
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
        self.commit_once(encode(transaction)).boxed()
    }
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages to the platform have only string keys")
}
