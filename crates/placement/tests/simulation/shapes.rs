//! Shapes of the jobs that callers submit.

/// Shape of a job.
#[derive(Clone, Copy)]
pub struct JobShape {
    pub queue: &'static str,
    pub priority: u8,
    pub count: u16,
    pub cpu_milli: u64,
    pub work_ms: u64,
    pub fails: bool,
    pub crashes: bool,
}

/// Wide, short, most urgent job.
pub const SLOT_CHECK: JobShape = JobShape {
    queue: "slot-check",
    priority: 0,
    count: 8,
    cpu_milli: 14_000,
    work_ms: 51,
    fails: false,
    crashes: false,
};

/// Narrow job of medium length and priority.
pub const CONFIRM: JobShape = JobShape {
    queue: "confirm",
    priority: 1,
    count: 2,
    cpu_milli: 14_000,
    work_ms: 170,
    fails: false,
    crashes: false,
};

/// Long, least urgent job.
pub const QUOTE: JobShape = JobShape {
    queue: "quote",
    priority: 2,
    count: 4,
    cpu_milli: 14_000,
    work_ms: 760,
    fails: false,
    crashes: false,
};

/// Urgent kind of a customer under heavy load, see `docs/hard-load.md`.
pub const URGENT: JobShape = JobShape { cpu_milli: 16_000, work_ms: 60, ..SLOT_CHECK };

/// Frequent kind of the same customer.
pub const FREQUENT: JobShape = JobShape { cpu_milli: 16_000, work_ms: 200, ..CONFIRM };

/// Rare, long kind of the same customer.
pub const LONG: JobShape = JobShape { cpu_milli: 16_000, work_ms: 900, ..QUOTE };
