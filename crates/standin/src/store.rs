//! Stand-in for the platform's store: rows, transactions and a change feed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{sync::Mutex as AsyncMutex, task};
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use error_stack::Report;
use ggb_http::{HttpError, HttpServer, ServerLimits, json_response, read_body};
use http_types::{Request, Response, StatusCode, Url};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};

const MAX_BODY_BYTES: usize = 1 << 20;

/// Time that a transaction takes, like a synchronous write to disk.
const WRITE_DURATION_MS: u64 = 3;

/// Maximum number of rows in one page if the request sets no limit.
const DEFAULT_PAGE_ROWS: usize = 500;

/// Interval at which a feed request checks for changes while it waits.
const FEED_POLL_MS: u64 = 10;

/// Fault that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Handles all requests.
    #[default]
    Up,
    /// Rejects all requests with status 503.
    Down,
    /// Delays the handling of each request.
    Slow {
        /// Delay of each request.
        delay_ms: u64,
    },
    /// Processes transactions, but responds with status 504 instead of the result.
    DropsResponses {
        /// Number of results to withhold before the store works normally again.
        count: u32,
    },
}

#[derive(Clone, Debug)]
struct StoredRow {
    table: String,
    key: String,
    /// Value in base64; absent if the row was removed.
    value: Option<String>,
    /// Version of the row's last change.
    version: u64,
}

#[derive(Default)]
struct StoreState {
    /// Rows sorted by table and key, including removed ones.
    rows: Vec<StoredRow>,
    /// Version of the last change.
    version: u64,
    /// Changes up to this version are no longer in the feed.
    compacted_version: u64,
    mode: StoreMode,
    /// Modes of single tables, which take precedence over `mode`.
    table_modes: Vec<(String, StoreMode)>,
    read_count: u64,
    write_count: u64,
}

struct Shared {
    state: Mutex<StoreState>,
    /// Held during a transaction, so that transactions are serialized.
    transaction_lock: AsyncMutex<()>,
}

/// Stand-in for the platform's store, which serves its HTTP API from memory.
pub struct StoreStandin {
    shared: Arc<Shared>,
    server: HttpServer,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<ExpectedVersion>,
    #[serde(default)]
    writes: Vec<WrittenRow>,
    #[serde(default)]
    remove: Vec<RemovedRow>,
}

/// Version that a row must have for the transaction to commit; 0 if it must not exist.
#[derive(Deserialize)]
struct ExpectedVersion {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Deserialize)]
struct WrittenRow {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct RemovedRow {
    table: String,
    key: String,
}

impl StoreStandin {
    /// Starts a store that listens on `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> Result<Self, Report<HttpError>> {
        let shared =
            Arc::new(Shared { state: Mutex::default(), transaction_lock: AsyncMutex::new(()) });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request: Request| {
                let shared = Arc::clone(&shared);
                async move { handle(&shared, request).await }
            }
        };
        let limits = ServerLimits { max_connections: 20_000 };
        let server = HttpServer::bind(addr, limits, handler).await?;
        Ok(StoreStandin { shared, server })
    }

    /// Returns the address that the store listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Writes a row directly, without a transaction over HTTP.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.shared.state.lock().write(table, key, Some(BASE64.encode(value)));
    }

    /// Removes a row directly, without a transaction over HTTP.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.state.lock().write(table, key, None);
    }

    /// Returns the key and the decoded value of each row whose key starts with `prefix`.
    pub fn rows(&self, table: &str, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.shared.state.lock();
        let rows = state.live_rows(table).filter(|row| row.key.starts_with(prefix));
        rows.map(|row| (row.key.clone(), row.decode_value())).collect()
    }

    /// Returns the number of reads and of transactions handled so far.
    pub fn operation_counts(&self) -> (u64, u64) {
        let state = self.shared.state.lock();
        (state.read_count, state.write_count)
    }

    /// Sets the fault that the store injects for all tables without a mode of their own.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.state.lock().mode = mode;
    }

    /// Sets the fault that the store injects for one table; `Up` removes the table's own mode.
    pub fn set_table_mode(&self, table: &str, mode: StoreMode) {
        let mut state = self.shared.state.lock();
        state.table_modes.retain(|(other, _)| other != table);
        if mode != StoreMode::Up {
            state.table_modes.push((table.to_owned(), mode));
        }
    }

    /// Discards the history of changes, so that feed requests from older versions fail.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock();
        state.compacted_version = state.version;
    }
}

impl StoreState {
    /// Returns the index of a row, or the index at which to insert it.
    fn find_row(&self, table: &str, key: &str) -> Result<usize, usize> {
        let compare = |row: &StoredRow| (row.table.as_str(), row.key.as_str()).cmp(&(table, key));
        self.rows.binary_search_by(compare)
    }

    /// Sets the value of a row, or removes the row if `value` is `None`.
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let version = self.version;
        match self.find_row(table, key) {
            Ok(index) => (self.rows[index].value, self.rows[index].version) = (value, version),
            Err(index) => {
                let (table, key) = (table.to_owned(), key.to_owned());
                self.rows.insert(index, StoredRow { table, key, value, version });
            }
        }
    }

    /// Returns the version of a row, or 0 if it doesn't exist.
    fn version_of(&self, table: &str, key: &str) -> u64 {
        let found = self.find_row(table, key).ok().map(|index| &self.rows[index]);
        found.filter(|row| row.value.is_some()).map_or(0, |row| row.version)
    }

    fn live_rows(&self, table: &str) -> impl Iterator<Item = &StoredRow> {
        let start = self.rows.partition_point(|row| row.table.as_str() < table);
        let of_table = self.rows[start..].iter().take_while(move |row| row.table == table);
        of_table.filter(|row| row.value.is_some())
    }

    /// Returns the rows of `table` that changed after a version, in the order of their changes.
    fn rows_changed_after(&self, table: &str, after: u64) -> Vec<Value> {
        let changed = self.rows.iter().filter(|row| row.table == table && row.version > after);
        let mut changed: Vec<&StoredRow> = changed.collect();
        changed.sort_by_key(|row| row.version);
        changed.into_iter().map(StoredRow::to_json).collect()
    }

    /// Applies a transaction if all rows have the versions that it expects; returns whether they do.
    fn apply(&mut self, transaction: Transaction) -> bool {
        let is_current = |row: &ExpectedVersion| self.version_of(&row.table, &row.key) == row.ver;
        if !transaction.expected_rev.iter().all(is_current) {
            return false;
        }
        for row in transaction.writes {
            self.write(&row.table, &row.key, Some(row.value));
        }
        for row in transaction.remove {
            self.write(&row.table, &row.key, None);
        }
        true
    }

    /// Returns the mode that applies to requests for `table`.
    fn mode_of(&self, table: &str) -> StoreMode {
        let table_mode = self.table_modes.iter().find(|(other, _)| other == table);
        table_mode.map_or(self.mode, |(_, mode)| *mode)
    }

    /// Returns whether to withhold the result of a transaction on `table`, and counts it.
    fn withholds_result(&mut self, table: &str) -> bool {
        let table_mode = self.table_modes.iter_mut().find(|(other, _)| other == table);
        match table_mode.map_or(&mut self.mode, |(_, mode)| mode) {
            StoreMode::DropsResponses { count } if *count > 0 => {
                *count -= 1;
                true
            }
            _ => false,
        }
    }
}

impl StoredRow {
    /// Returns the value as bytes; empty if the row was removed.
    fn decode_value(&self) -> Vec<u8> {
        let value = self.value.as_deref().unwrap_or_default();
        BASE64.decode(value).expect("values are checked to be valid base64 before they are written")
    }

    fn to_json(&self) -> Value {
        json!({
            "table": self.table,
            "part": "",
            "key": self.key,
            "value": self.value,
            "ver": self.version,
            "deleted": self.value.is_none(),
        })
    }
}

async fn handle(shared: &Shared, mut request: Request) -> Response {
    let url = request.url().clone();
    match url.path() {
        "/v1/rows-get" => {
            let table = query_param(&url, "table").unwrap_or_default();
            if let Err(response) = delay_or_reject(shared, &table).await {
                return response;
            }
            read_page(&mut shared.state.lock(), &table, &url)
        }
        "/v1/rows-feed" => {
            let table = query_param(&url, "table").unwrap_or_default();
            match delay_or_reject(shared, &table).await {
                Ok(()) => read_feed(&shared.state, &table, &url).await,
                Err(response) => response,
            }
        }
        "/v1/rows-tx" => {
            let body = read_body(&mut request, MAX_BODY_BYTES).await.unwrap_or_default();
            match serde_json::from_slice::<Transaction>(&body) {
                Ok(transaction) => commit(shared, transaction).await,
                Err(_) => Response::new(StatusCode::BadRequest),
            }
        }
        _ => Response::new(StatusCode::NotFound),
    }
}

/// Delays a request for `table`, or returns the response that rejects it, as the mode requires.
async fn delay_or_reject(shared: &Shared, table: &str) -> Result<(), Response> {
    let mode = shared.state.lock().mode_of(table);
    match mode {
        StoreMode::Down => return Err(Response::new(StatusCode::ServiceUnavailable)),
        StoreMode::Slow { delay_ms } => task::sleep(Duration::from_millis(delay_ms)).await,
        StoreMode::Up | StoreMode::DropsResponses { .. } => {}
    }
    Ok(())
}

/// Returns a page of the rows of `table`.
fn read_page(state: &mut StoreState, table: &str, url: &Url) -> Response {
    state.read_count += 1;
    let from = query_param(url, "from").unwrap_or_default();
    let until = query_param(url, "target");
    let limit =
        query_param(url, "limit").and_then(|limit| limit.parse().ok()).unwrap_or(DEFAULT_PAGE_ROWS);
    let in_range =
        |row: &&StoredRow| row.key >= from && until.as_ref().is_none_or(|until| row.key < *until);
    let mut rows: Vec<Value> =
        state.live_rows(table).filter(in_range).map(StoredRow::to_json).collect();
    let more_pages = rows.len() > limit;
    rows.truncate(limit);
    let body = json!({
        "rows": rows, "morePages": more_pages, "ver": state.version, "nowMs": 0,
    });
    json_response(StatusCode::Ok, &body)
}

/// Returns the changes of `table` after a version; waits for one for at most `waitMs`.
async fn read_feed(state: &Mutex<StoreState>, table: &str, url: &Url) -> Response {
    let number = |name| query_param(url, name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let (after, mut remaining_ms) = (number("after"), number("waitMs"));
    loop {
        {
            let mut state = state.lock();
            if after < state.compacted_version {
                return Response::new(StatusCode::Gone);
            }
            let rows = state.rows_changed_after(table, after);
            if !rows.is_empty() || remaining_ms == 0 {
                state.read_count += 1;
                let body = json!({ "rows": rows, "ver": state.version, "nowMs": 0 });
                return json_response(StatusCode::Ok, &body);
            }
        }
        task::sleep(Duration::from_millis(FEED_POLL_MS)).await;
        remaining_ms = remaining_ms.saturating_sub(FEED_POLL_MS);
    }
}

/// Applies a transaction, or rejects it with status 412 if a row has an unexpected version.
async fn commit(shared: &Shared, transaction: Transaction) -> Response {
    let table = transaction.table().to_owned();
    if let Err(response) = delay_or_reject(shared, &table).await {
        return response;
    }
    let is_base64 = |row: &WrittenRow| BASE64.decode(&row.value).is_ok();
    if !transaction.writes.iter().all(is_base64) {
        return Response::new(StatusCode::BadRequest);
    }
    let transaction_guard = shared.transaction_lock.lock().await;
    task::sleep(Duration::from_millis(WRITE_DURATION_MS)).await;
    let mut state = shared.state.lock();
    state.write_count += 1;
    let is_committed = state.apply(transaction);
    drop(transaction_guard);
    match is_committed {
        _ if state.withholds_result(&table) => Response::new(StatusCode::GatewayTimeout),
        true => json_response(StatusCode::Ok, &json!({ "ver": state.version, "nowMs": 0 })),
        false => json_response(StatusCode::PreconditionFailed, &json!({ "rows": [] })),
    }
}

impl Transaction {
    /// Returns the table of the transaction's first row; empty if it has no rows.
    fn table(&self) -> &str {
        let expected = self.expected_rev.iter().map(|row| &row.table);
        let written = self.writes.iter().map(|row| &row.table);
        let removed = self.remove.iter().map(|row| &row.table);
        expected.chain(written).chain(removed).next().map_or("", |table| table.as_str())
    }
}

fn query_param(url: &Url, name: &str) -> Option<String> {
    url.query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}
