//! Processes of several zones that elect owners over a simulated network, in virtual time.

mod check;
mod faults;
mod heartbeats;
mod schedule;
mod targets;

use std::{cmp::Reverse, collections::BinaryHeap, net::IpAddr};

use ggb_membership::{HEARTBEAT_INTERVAL_MS, Node, Ownership, OwnershipChange};
use ggb_model::Zone;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub use faults::Limits;
use schedule::ScheduledEvent;
use targets::{Disobedience, Target, TargetRequest, TargetView};

/// Unix time at the start of a simulation.
const UNIX_START_MS: u64 = 1_800_000_000_000;

/// Longest time between the starts of processes that start together.
const START_JITTER_MS: u64 = 300;

/// Longest one-way latency of a message.
const MAX_LATENCY_MS: u64 = 3;

/// Interval at which a process reads the list of VMs.
const VM_LIST_INTERVAL_MS: u64 = 15_000;

/// Delay before the list of VMs is read again after a failure.
const VM_LIST_RETRY_DELAY_MS: u64 = 250;

/// Number of targets of each zone.
const TARGETS_PER_ZONE: usize = 2;

/// A VM and the process that runs on it.
pub struct Vm {
    node: Node,
    zone: usize,
    clock_offset_ms: i64,
    /// Number of processes that were started on the VM; that of the last one is its incarnation.
    incarnations: u64,
    process: Option<Process>,
}

/// A running process.
struct Process {
    ownership: Ownership,
    /// Number of heartbeat rounds until now.
    round: u64,
    /// What the process knows of its zone's targets as their owner.
    targets: Vec<TargetView>,
}

/// One process of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    pub vm: usize,
    pub incarnation: u64,
}

/// A claim of a process to the targets of its zone.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    pub zone: usize,
    pub process: ProcessId,
    pub token: u64,
    pub at_ms: u64,
}

/// Processes, targets and the network between them.
pub struct Network {
    pub now_ms: u64,
    rng: ChaCha8Rng,
    prints: bool,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    event_count: u64,
    zones: Vec<Zone>,
    pub vms: Vec<Vm>,
    targets: Vec<Target>,
    /// Pairs of VMs of which the second receives nothing from the first.
    cut_links: Vec<(usize, usize)>,
    loss_percent: u64,
    is_store_available: bool,
    /// All claims, in the order of their time.
    pub claims: Vec<Claim>,
    requests: Vec<TargetRequest>,
    disobedience: Vec<Disobedience>,
}

impl Network {
    /// Starts the processes of all VMs, of which zone N has `vms_per_zone[N]`.
    pub fn new(seed: u64, vms_per_zone: &[usize]) -> Self {
        let mut network = Network {
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            prints: std::env::var_os("GGB_SEED").is_some(),
            events: BinaryHeap::new(),
            event_count: 0,
            zones: Vec::new(),
            vms: Vec::new(),
            targets: Vec::new(),
            cut_links: Vec::new(),
            loss_percent: 0,
            is_store_available: true,
            claims: Vec::new(),
            requests: Vec::new(),
            disobedience: Vec::new(),
        };
        for (zone, vm_count) in vms_per_zone.iter().enumerate() {
            network.add_zone(zone, *vm_count);
        }
        network.targets = vec![Target::default(); TARGETS_PER_ZONE * vms_per_zone.len()];
        network.start_together(&(0..network.vms.len()).collect::<Vec<_>>());
        network
    }

    fn add_zone(&mut self, zone: usize, vm_count: usize) {
        let zone_name: Zone = format!("zone-{zone}").parse().expect("`zone-N` is a valid name");
        // Tokens must differ for neighbouring addresses as well as for distant ones.
        let address_step = [1, 1_000][self.random_below(2) as usize];
        for number in 1..=vm_count as u32 {
            let ip = 0x0a00_0000 + ((zone as u32 + 1) << 16) + number * address_step;
            let node = Node {
                name: format!("{zone_name}-{number}"),
                ip: IpAddr::from(ip.to_be_bytes()),
                zone: zone_name.clone(),
                cpu_milli: 250,
            };
            let clock_offset_ms = self.random_below(2) as i64 * self.random_clock_step_ms();
            let vm = Vm { node, zone, clock_offset_ms, incarnations: 0, process: None };
            self.vms.push(vm);
        }
        self.zones.push(zone_name);
    }

    /// Returns a random number below `end`.
    pub fn random_below(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end)
    }

    fn random_latency_ms(&mut self) -> u64 {
        1 + self.random_below(MAX_LATENCY_MS)
    }

    fn is_lost(&mut self) -> bool {
        self.loss_percent > 0 && self.random_below(100) < self.loss_percent
    }

    fn print(&self, text: impl FnOnce() -> String) {
        if self.prints {
            println!("{:>6} ms: {}", self.now_ms, text());
        }
    }

    /// Schedules `event` at `at_ms`, but not in the past.
    pub fn at(&mut self, at_ms: u64, event: impl FnOnce(&mut Network) + 'static) {
        let at_ms = at_ms.max(self.now_ms);
        let number = self.event_count;
        self.event_count += 1;
        self.events.push(Reverse(ScheduledEvent { at_ms, number, event: Box::new(event) }));
    }

    /// Advances the time to `end_ms`.
    pub fn run_until(&mut self, end_ms: u64) {
        while self.events.peek().is_some_and(|Reverse(next)| next.at_ms <= end_ms) {
            let Some(Reverse(next)) = self.events.pop() else { break };
            self.now_ms = next.at_ms;
            (next.event)(self);
        }
        self.now_ms = end_ms;
    }

    /// Returns the VMs of a zone.
    pub fn vms_of(&self, zone: usize) -> Vec<usize> {
        (0..self.vms.len()).filter(|vm| self.vms[*vm].zone == zone).collect()
    }

    /// Returns the number of zones.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the VMs whose processes own the targets of a zone.
    pub fn owners_of(&self, zone: usize) -> Vec<usize> {
        let mut vms = self.vms_of(zone);
        vms.retain(|vm| self.vms[*vm].claim_token().is_some());
        vms
    }

    /// Returns the process on a VM.
    fn process_id(&self, vm: usize) -> ProcessId {
        ProcessId { vm, incarnation: self.vms[vm].incarnations }
    }

    /// Returns a process, if it still runs.
    fn process_mut(&mut self, id: ProcessId) -> Option<&mut Process> {
        let vm = &mut self.vms[id.vm];
        vm.process.as_mut().filter(|_| vm.incarnations == id.incarnation)
    }

    /// Starts the process of a VM that has none.
    pub fn start(&mut self, vm: usize) {
        if self.vms[vm].process.is_some() {
            return;
        }
        self.print(|| format!("{} starts", self.vms[vm].node.name));
        let now_ms = self.now_ms;
        let vm_state = &mut self.vms[vm];
        vm_state.incarnations += 1;
        vm_state.process = Some(Process {
            ownership: Ownership::new(vm_state.node.clone(), vm_state.incarnations, now_ms),
            round: 0,
            targets: Vec::new(),
        });
        let id = self.process_id(vm);
        self.at(now_ms, move |network| network.begin_round(id, 0));
        let read_at_ms = now_ms + self.random_latency_ms();
        self.at(read_at_ms, move |network| network.read_vm_list(id));
    }

    /// Starts the processes of `vms` one shortly after another; returns the time of the last start.
    pub fn start_together(&mut self, vms: &[usize]) -> u64 {
        let mut last_start_ms = self.now_ms;
        for vm in vms.iter().copied() {
            let at_ms = self.now_ms + self.random_below(START_JITTER_MS);
            last_start_ms = last_start_ms.max(at_ms);
            self.at(at_ms, move |network| network.start(vm));
        }
        last_start_ms
    }

    /// Reads the list of VMs, if the store is available.
    fn read_vm_list(&mut self, id: ProcessId) {
        let is_available = self.is_store_available;
        let nodes: Vec<Node> = self.vms.iter().map(|vm| vm.node.clone()).collect();
        if self.process_mut(id).is_none() {
            return;
        }
        if is_available {
            self.update_members(id, |ownership| ownership.set_vm_list(&nodes));
        }
        let delay_ms = if is_available { VM_LIST_INTERVAL_MS } else { VM_LIST_RETRY_DELAY_MS };
        self.at(self.now_ms + delay_ms, move |network| network.read_vm_list(id));
    }

    /// Updates the members that a process knows. A new one begins the next round at once.
    fn update_members<T>(
        &mut self,
        id: ProcessId,
        update: impl FnOnce(&mut Ownership) -> T,
    ) -> Option<T> {
        let process = self.process_mut(id)?;
        let members_before = process.ownership.members().as_slice().len();
        let output = update(&mut process.ownership);
        if process.ownership.members().as_slice().len() > members_before {
            let round = process.round;
            self.at(self.now_ms, move |network| network.begin_round(id, round));
        }
        Some(output)
    }

    /// Begins a round of heartbeats, unless it has begun already.
    fn begin_round(&mut self, id: ProcessId, round: u64) {
        let Some(process) = self.process_mut(id).filter(|process| process.round == round) else {
            return;
        };
        process.round += 1;
        self.update_ownership(id);
        self.send_round(id, round);
        let next_ms = self.now_ms + HEARTBEAT_INTERVAL_MS;
        self.at(next_ms, move |network| network.begin_round(id, round + 1));
    }

    /// Claims or releases the ownership of the zone if due. Returns whether it changed.
    fn update_ownership(&mut self, id: ProcessId) -> bool {
        let now_ms = self.now_ms;
        let unix_ms =
            (UNIX_START_MS + now_ms).saturating_add_signed(self.vms[id.vm].clock_offset_ms);
        let zone = self.vms[id.vm].zone;
        let Some(process) = self.process_mut(id) else { return false };
        let Some(change) = process.ownership.tick(unix_ms, now_ms) else { return false };
        self.print(|| format!("{}: {change:?}", self.vms[id.vm].node.name));
        if let OwnershipChange::Claimed { token, .. } = change {
            self.claims.push(Claim { zone, process: id, token, at_ms: now_ms });
            self.spawn_owner(self.claims.len() - 1);
        }
        true
    }
}

impl Vm {
    /// Returns the token of the claim of the VM's process, if it is an owner.
    fn claim_token(&self) -> Option<u64> {
        self.process.as_ref()?.ownership.claim_token()
    }
}
