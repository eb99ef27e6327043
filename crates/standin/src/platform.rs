//! A table service and a list of VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{sync::Mutex as AsyncMutex, task};
use error_stack::Report;
use ggb_config::{Row, Transaction, Version};
use ggb_http::{HttpError, HttpServer, ServerLimits, json_response, read_body};
use ggb_membership::{Vm, VmState};
use ggb_model::Incarnation;
use ggb_platform::{ListRequest, ReadRequest, VmListing};
use http_types::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

const BODY_BYTES: usize = 4 << 20;
const SYNCED_WRITE_MS: u64 = 3;

/// How the table service misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum TableFault {
    /// Not at all.
    #[default]
    None,
    /// It refuses every call.
    Down,
    /// It answers late.
    Slow {
        /// By how much.
        delay_ms: u64,
    },
    /// It commits, and then fails instead of answering, this many times.
    LoseAnswers {
        /// How often.
        count: u32,
    },
}

#[derive(Default)]
struct State {
    /// Sorted by key.
    rows: Vec<Row>,
    next_version: u64,
    vms: Vec<Vm>,
    list_version: u64,
    fault: TableFault,
    list_down: bool,
    reads: u64,
    writes: u64,
}

struct Shared {
    state: Mutex<State>,
    /// Held while a write is synced, so that writes come one after the other.
    sync: AsyncMutex<()>,
}

/// A running stand-in for the platform.
pub struct PlatformStandin {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl PlatformStandin {
    /// Binds to `addr` with an empty table and an empty list.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> Result<Self, Report<HttpError>> {
        let shared =
            Arc::new(Shared { state: Mutex::new(State::default()), sync: AsyncMutex::new(()) });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request| respond(Arc::clone(&shared), request)
        };
        let limits = ServerLimits { connections: 20_000 };
        let server = HttpServer::bind(addr, limits, handler).await?;
        Ok(PlatformStandin { server, shared })
    }

    /// Returns the address that the stand-in listens on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Sets how the table service misbehaves.
    pub fn set_table_fault(&self, fault: TableFault) {
        self.shared.state.lock().fault = fault;
    }

    /// Switches the list of VMs off or on.
    pub fn set_list_down(&self, down: bool) {
        self.shared.state.lock().list_down = down;
    }

    /// Adds a VM to the list or replaces the one with the same address.
    pub fn list_vm(&self, vm: Vm) {
        self.shared.state.lock().insert_vm(vm);
    }

    /// Takes a VM off the list.
    pub fn unlist_vm(&self, addr: SocketAddr) {
        self.shared.state.lock().remove_vm(addr);
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, addr: SocketAddr) {
        self.shared.state.lock().mark_leaving(addr);
    }

    /// Returns the reads and writes answered so far.
    pub fn operations(&self) -> (u64, u64) {
        let state = self.shared.state.lock();
        (state.reads, state.writes)
    }

    /// Returns all rows under `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.shared.state.lock().rows_under(prefix)
    }
}

impl State {
    fn rows_under(&self, prefix: &str) -> Vec<Row> {
        let start = self.rows.partition_point(|row| row.key.as_str() < prefix);
        let under = self.rows[start..].iter().take_while(|row| row.key.starts_with(prefix));
        under.cloned().collect()
    }

    /// Inserts a VM, with a fresh incarnation where the list gives none.
    fn insert_vm(&mut self, mut vm: Vm) {
        if vm.incarnation == Incarnation::default() {
            vm.incarnation = Incarnation(rand::random());
        }
        self.remove_vm(vm.addr);
        self.vms.push(vm);
    }

    fn remove_vm(&mut self, addr: SocketAddr) {
        self.vms.retain(|vm| vm.addr != addr);
        self.list_version += 1;
    }

    fn mark_leaving(&mut self, addr: SocketAddr) {
        let leaving = self.vms.iter_mut().filter(|vm| vm.addr == addr);
        leaving.for_each(|vm| vm.state = VmState::Leaving);
        self.list_version += 1;
    }

    fn version(&self, key: &str) -> Version {
        match self.rows.binary_search_by(|row| row.key.as_str().cmp(key)) {
            Ok(at) => self.rows[at].version,
            Err(_) => Version::ABSENT,
        }
    }

    /// Applies a transaction if all of its conditions hold.
    fn commit(&mut self, transaction: Transaction) -> bool {
        let holds = transaction.conditions.iter().all(|c| self.version(&c.key) == c.version);
        if !holds {
            return false;
        }
        for write in transaction.writes {
            self.next_version += 1;
            let version = Version(self.next_version);
            let row = Row { key: write.key, value: write.value, version };
            match self.rows.binary_search_by(|other| other.key.cmp(&row.key)) {
                Ok(at) => self.rows[at] = row,
                Err(at) => self.rows.insert(at, row),
            }
        }
        true
    }
}

/// A request to the stand-in itself.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
enum Control {
    Table(TableFault),
    ListVms { vms: Vec<Vm> },
    UnlistVm { addr: SocketAddr },
    MarkLeaving { addr: SocketAddr },
}

async fn respond(shared: Arc<Shared>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let body = match read_body(&mut request, BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return failure(StatusCode::BadRequest, &error.to_string()),
    };
    match path.as_str() {
        "/v1/vms" => list(&shared, &body),
        "/v1/table/read" => read(&shared, &body).await,
        "/v1/table/commit" => commit(&shared, &body).await,
        "/control" => control(&shared, &body),
        _ => failure(StatusCode::NotFound, "expected a path of the platform"),
    }
}

fn list(shared: &Shared, body: &[u8]) -> Response {
    let Ok(request) = serde_json::from_slice::<ListRequest>(body) else {
        return failure(StatusCode::BadRequest, "expected a filter");
    };
    let state = shared.state.lock();
    if state.list_down {
        return failure(StatusCode::ServiceUnavailable, "the list is down");
    }
    let version = state.list_version;
    let allowed = || state.vms.iter().filter(|vm| request.filter.allows(vm)).cloned().collect();
    let vms = (request.known_version != Some(version)).then(allowed);
    json_response(StatusCode::Ok, &VmListing { version, vms })
}

async fn read(shared: &Shared, body: &[u8]) -> Response {
    if let Err(response) = suffer_fault(shared).await {
        return response;
    }
    let Ok(request) = serde_json::from_slice::<ReadRequest>(body) else {
        return failure(StatusCode::BadRequest, "expected a prefix");
    };
    let mut state = shared.state.lock();
    state.reads += 1;
    json_response(StatusCode::Ok, &state.rows_under(&request.prefix))
}

async fn commit(shared: &Shared, body: &[u8]) -> Response {
    if let Err(response) = suffer_fault(shared).await {
        return response;
    }
    let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
        return failure(StatusCode::BadRequest, "expected a transaction");
    };
    let synced = shared.sync.lock().await;
    task::sleep(Duration::from_millis(SYNCED_WRITE_MS)).await;
    let mut state = shared.state.lock();
    let committed = state.commit(transaction);
    state.writes += 1;
    drop(synced);
    match state.fault {
        TableFault::LoseAnswers { count } if count > 0 => {
            let left = TableFault::LoseAnswers { count: count - 1 };
            state.fault = if count == 1 { TableFault::None } else { left };
            failure(StatusCode::GatewayTimeout, "the answer is lost")
        }
        _ if committed => json_response(StatusCode::Ok, &json!({ "committed": true })),
        _ => json_response(StatusCode::Conflict, &json!({ "committed": false })),
    }
}

async fn suffer_fault(shared: &Shared) -> Result<(), Response> {
    let fault = shared.state.lock().fault;
    match fault {
        TableFault::Down => Err(failure(StatusCode::ServiceUnavailable, "the table is down")),
        TableFault::Slow { delay_ms } => {
            task::sleep(Duration::from_millis(delay_ms)).await;
            Ok(())
        }
        TableFault::None | TableFault::LoseAnswers { .. } => Ok(()),
    }
}

fn control(shared: &Shared, body: &[u8]) -> Response {
    let control = match serde_json::from_slice(body) {
        Ok(control) => control,
        Err(error) => return failure(StatusCode::BadRequest, &error.to_string()),
    };
    let mut state = shared.state.lock();
    match control {
        Control::Table(fault) => state.fault = fault,
        Control::ListVms { vms } => vms.into_iter().for_each(|vm| state.insert_vm(vm)),
        Control::UnlistVm { addr } => state.remove_vm(addr),
        Control::MarkLeaving { addr } => state.mark_leaving(addr),
    }
    json_response(StatusCode::Ok, &json!({ "done": true }))
}

fn failure(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({ "error": message }))
}
