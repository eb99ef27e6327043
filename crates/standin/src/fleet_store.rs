//! The store of the users' platform: rows, transactions and a feed of changes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{sync::Mutex as AsyncMutex, task};
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use error_stack::Report;
use ggb_http::{HttpError, HttpServer, ServerLimits, json_response, read_body};
use http_types::{Request, Response, StatusCode, Url};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};

const BODY_BYTES: usize = 1 << 20;

/// How long a write takes to be synced.
const SYNCED_WRITE_MS: u64 = 3;

/// The most rows of one answer.
const PAGE_ROWS: usize = 500;

/// The pause between two looks for changes that a feed waits for.
const FEED_POLL_MS: u64 = 10;

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FleetStoreMode {
    /// It does what it is asked.
    #[default]
    Up,
    /// It refuses every call.
    Down,
    /// It answers later.
    Slow {
        /// By how much.
        delay_ms: u64,
    },
    /// It carries writes out and fails instead of answering, this many times.
    LosesAnswers {
        /// How often.
        count: u32,
    },
}

#[derive(Clone, Debug)]
struct StoredRow {
    table: String,
    key: String,
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    /// Sorted by table and key; removed ones too.
    rows: Vec<StoredRow>,
    version: u64,
    /// Changes up to this version are forgotten.
    compacted: u64,
    mode: FleetStoreMode,
    /// The mode of tables that are treated otherwise.
    table_modes: Vec<(String, FleetStoreMode)>,
    reads: u64,
    writes: u64,
}

struct Shared {
    state: Mutex<State>,
    /// Held while a write is synced, so that writes come one after the other.
    sync: AsyncMutex<()>,
}

/// A running store.
pub struct FleetStore {
    shared: Arc<Shared>,
    server: HttpServer,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Expected>,
    #[serde(default)]
    writes: Vec<Written>,
    #[serde(default)]
    remove: Vec<Removed>,
}

#[derive(Deserialize)]
struct Expected {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Deserialize)]
struct Written {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct Removed {
    table: String,
    key: String,
}

impl FleetStore {
    /// Binds to `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> Result<Self, Report<HttpError>> {
        let shared = Arc::new(Shared { state: Mutex::default(), sync: AsyncMutex::new(()) });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request: Request| {
                let shared = Arc::clone(&shared);
                async move { handle(&shared, request).await }
            }
        };
        let limits = ServerLimits { connections: 20_000 };
        let server = HttpServer::bind(addr, limits, handler).await?;
        Ok(FleetStore { shared, server })
    }

    /// Returns the address that the store listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Writes a row as the operator or a target does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.shared.state.lock().write(table, key, Some(BASE64.encode(value)));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.state.lock().write(table, key, None);
    }

    /// Returns the key and the value of each row whose key starts with `prefix`.
    pub fn rows(&self, table: &str, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.shared.state.lock();
        let live = state.live_rows(table).filter(|row| row.key.starts_with(prefix));
        live.map(|row| (row.key.clone(), row.decoded())).collect()
    }

    /// Returns the reads and writes answered so far.
    pub fn operations(&self) -> (u64, u64) {
        let state = self.shared.state.lock();
        (state.reads, state.writes)
    }

    /// Sets how the store answers.
    pub fn set_mode(&self, mode: FleetStoreMode) {
        self.shared.state.lock().mode = mode;
    }

    /// Sets how the store answers for one table.
    pub fn set_table_mode(&self, table: &str, mode: FleetStoreMode) {
        let mut state = self.shared.state.lock();
        state.table_modes.retain(|(other, _)| other != table);
        if mode != FleetStoreMode::Up {
            state.table_modes.push((table.to_owned(), mode));
        }
    }

    /// Forgets the history of changes.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock();
        state.compacted = state.version;
    }
}

impl State {
    fn position(&self, table: &str, key: &str) -> Result<usize, usize> {
        let name = |row: &StoredRow| (row.table.as_str(), row.key.as_str()).cmp(&(table, key));
        self.rows.binary_search_by(name)
    }

    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let version = self.version;
        match self.position(table, key) {
            Ok(at) => (self.rows[at].value, self.rows[at].version) = (value, version),
            Err(at) => {
                let (table, key) = (table.to_owned(), key.to_owned());
                self.rows.insert(at, StoredRow { table, key, value, version });
            }
        }
    }

    fn version_of(&self, table: &str, key: &str) -> u64 {
        let found = self.position(table, key).ok().map(|at| &self.rows[at]);
        found.filter(|row| row.value.is_some()).map_or(0, |row| row.version)
    }

    fn live_rows(&self, table: &str) -> impl Iterator<Item = &StoredRow> {
        let start = self.rows.partition_point(|row| row.table.as_str() < table);
        let of_table = self.rows[start..].iter().take_while(move |row| row.table == table);
        of_table.filter(|row| row.value.is_some())
    }

    fn rows_after(&self, table: &str, after: u64) -> Vec<Value> {
        let changed = self.rows.iter().filter(|row| row.table == table && row.version > after);
        let mut changed: Vec<&StoredRow> = changed.collect();
        changed.sort_by_key(|row| row.version);
        changed.into_iter().map(StoredRow::to_json).collect()
    }

    /// Applies a transaction if the versions that it expects hold.
    fn apply(&mut self, transaction: Transaction) -> bool {
        let holds = |row: &Expected| self.version_of(&row.table, &row.key) == row.ver;
        if !transaction.expected_rev.iter().all(holds) {
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

    /// Returns how a call about `table` is answered.
    fn mode_of(&self, table: &str) -> FleetStoreMode {
        let own = self.table_modes.iter().find(|(other, _)| other == table);
        own.map_or(self.mode, |(_, mode)| *mode)
    }

    /// Returns whether the answer to a write to `table` gets lost.
    fn loses_answer(&mut self, table: &str) -> bool {
        let own = self.table_modes.iter_mut().find(|(other, _)| other == table);
        match own.map_or(&mut self.mode, |(_, mode)| mode) {
            FleetStoreMode::LosesAnswers { count } if *count > 0 => {
                *count -= 1;
                true
            }
            _ => false,
        }
    }
}

impl StoredRow {
    fn decoded(&self) -> Vec<u8> {
        let value = self.value.as_deref().unwrap_or_default();
        BASE64.decode(value).expect("writes were checked")
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
            let table = query(&url, "table").unwrap_or_default();
            if let Err(response) = admit(shared, &table).await {
                return response;
            }
            get(&mut shared.state.lock(), &table, &url)
        }
        "/v1/rows-feed" => {
            let table = query(&url, "table").unwrap_or_default();
            match admit(shared, &table).await {
                Ok(()) => feed(&shared.state, &table, &url).await,
                Err(response) => response,
            }
        }
        "/v1/rows-tx" => {
            let body = read_body(&mut request, BODY_BYTES).await.unwrap_or_default();
            match serde_json::from_slice::<Transaction>(&body) {
                Ok(transaction) => commit(shared, transaction).await,
                Err(_) => Response::new(StatusCode::BadRequest),
            }
        }
        _ => Response::new(StatusCode::NotFound),
    }
}

/// Lets a call about `table` pass, late or not at all where the mode says so.
async fn admit(shared: &Shared, table: &str) -> Result<(), Response> {
    let mode = shared.state.lock().mode_of(table);
    match mode {
        FleetStoreMode::Down => return Err(Response::new(StatusCode::ServiceUnavailable)),
        FleetStoreMode::Slow { delay_ms } => task::sleep(Duration::from_millis(delay_ms)).await,
        FleetStoreMode::Up | FleetStoreMode::LosesAnswers { .. } => {}
    }
    Ok(())
}

fn get(state: &mut State, table: &str, url: &Url) -> Response {
    state.reads += 1;
    let from = query(url, "from").unwrap_or_default();
    let until = query(url, "target");
    let limit = query(url, "limit").and_then(|limit| limit.parse().ok()).unwrap_or(PAGE_ROWS);
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

async fn feed(state: &Mutex<State>, table: &str, url: &Url) -> Response {
    let number = |name| query(url, name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let (after, mut left_ms) = (number("after"), number("waitMs"));
    loop {
        {
            let mut state = state.lock();
            if after < state.compacted {
                return Response::new(StatusCode::Gone);
            }
            let rows = state.rows_after(table, after);
            if !rows.is_empty() || left_ms == 0 {
                state.reads += 1;
                let body = json!({ "rows": rows, "ver": state.version, "nowMs": 0 });
                return json_response(StatusCode::Ok, &body);
            }
        }
        task::sleep(Duration::from_millis(FEED_POLL_MS)).await;
        left_ms = left_ms.saturating_sub(FEED_POLL_MS);
    }
}

async fn commit(shared: &Shared, transaction: Transaction) -> Response {
    let table = transaction.table().to_owned();
    if let Err(response) = admit(shared, &table).await {
        return response;
    }
    let is_readable = |row: &Written| BASE64.decode(&row.value).is_ok();
    if !transaction.writes.iter().all(is_readable) {
        return Response::new(StatusCode::BadRequest);
    }
    let synced = shared.sync.lock().await;
    task::sleep(Duration::from_millis(SYNCED_WRITE_MS)).await;
    let mut state = shared.state.lock();
    state.writes += 1;
    let is_committed = state.apply(transaction);
    drop(synced);
    match is_committed {
        _ if state.loses_answer(&table) => Response::new(StatusCode::GatewayTimeout),
        true => json_response(StatusCode::Ok, &json!({ "ver": state.version, "nowMs": 0 })),
        false => json_response(StatusCode::PreconditionFailed, &json!({ "rows": [] })),
    }
}

impl Transaction {
    /// Returns the table of the first entry; empty if there is none.
    fn table(&self) -> &str {
        let expected = self.expected_rev.iter().map(|row| &row.table);
        let writes = self.writes.iter().map(|row| &row.table);
        let removed = self.remove.iter().map(|row| &row.table);
        expected.chain(writes).chain(removed).next().map_or("", |table| table.as_str())
    }
}

fn query(url: &Url, name: &str) -> Option<String> {
    url.query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}
