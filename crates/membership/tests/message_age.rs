//! Ages of messages that are held up while their sender or recipient restarts.

use std::net::IpAddr;

use ggb_membership::{ClockReading, Node, Ownership, RecipientTime};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

fn node(number: u8) -> Node {
    Node {
        name: format!("a-{number}"),
        ip: IpAddr::from([10, 0, 0, number]),
        zone: "a".parse().expect("the zone name is valid"),
        cpu_milli: 250,
    }
}

const SENDER: u8 = 1;
const RECIPIENT: u8 = 2;

fn process(number: u8, incarnation: u64) -> Ownership {
    Ownership::new(node(number), incarnation, 0)
}

/// Returns what a sender knows of the recipient's clock at its time `now_ms`.
fn recipient_time(sender: &Ownership, now_ms: u64) -> RecipientTime {
    sender.recipient_time(node(RECIPIENT).ip, now_ms)
}

/// Returns a sender that got a heartbeat of the recipient, sent at `clock_ms`, at its time
/// `now_ms`.
fn sender_that_heard(clock_ms: u64, now_ms: u64) -> Ownership {
    let mut sender = process(SENDER, 1);
    sender.record_heartbeat(process(RECIPIENT, 1).heartbeat(clock_ms), now_ms);
    sender
}

macro_rules! cases {
    ($($name:ident($recipient:ident) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let $recipient = process(RECIPIENT, 1);
                $body
            }
        )+
    };
}

cases! {
    message_of_a_replaced_sender_shows_the_time_for_which_it_was_held_up(recipient) {
        let mut recipient = recipient;
        let sender = sender_that_heard(1_000, 50_001);
        let recipient_time = recipient_time(&sender, 50_100);
        recipient.record_heartbeat(process(SENDER, 2).heartbeat(10), 3_000);
        let message_sender = sender.message_sender(50_100);
        let age_ms = recipient.max_message_age_ms(&message_sender, recipient_time, 4_100);
        assert!(age_ms.is_some_and(|age_ms| (3_000..3_010).contains(&age_ms)), "{age_ms:?}");
    }

    message_of_a_sender_that_was_never_heard_shows_its_age(recipient) {
        let sender = sender_that_heard(1_000, 101);
        let recipient_time = recipient_time(&sender, 110);
        let age_ms =
            recipient.max_message_age_ms(&sender.message_sender(110), recipient_time, 1_012);
        assert!(age_ms.is_some_and(|age_ms| age_ms < 10), "{age_ms:?}");
    }

    first_heartbeat_that_was_held_up_hides_no_age(recipient) {
        let mut recipient = recipient;
        let sender = sender_that_heard(1_000, 50_001);
        let recipient_time = recipient_time(&sender, 50_100);
        recipient.record_heartbeat(sender.heartbeat(50_090), 4_100);
        let message_sender = sender.message_sender(50_100);
        let age_ms = recipient.max_message_age_ms(&message_sender, recipient_time, 4_100);
        assert!(age_ms.is_some_and(|age_ms| age_ms >= 3_000), "{age_ms:?}");
    }

    message_to_a_former_incarnation_of_the_recipient_has_no_known_age(recipient) {
        let message_sender = process(SENDER, 1).message_sender(100);
        let reading = ClockReading { incarnation: 9, clock_ms: 100 };
        let recipient_time = RecipientTime::AtLeast(reading);
        assert_eq!(recipient.max_message_age_ms(&message_sender, recipient_time, 100), None);
    }

    // The clock of a suspended VM stands still.
    message_from_a_time_that_the_clock_has_not_reached_has_no_known_age(recipient) {
        let message_sender = process(SENDER, 1).message_sender(100);
        let reading = ClockReading { incarnation: 1, clock_ms: 101 };
        let recipient_time = RecipientTime::AtLeast(reading);
        assert_eq!(recipient.max_message_age_ms(&message_sender, recipient_time, 100), None);
    }

    // The recipient's clock shows 1,010 in place of 4,010 after its VM was suspended for 3 s.
    message_held_up_for_as_long_as_its_recipient_was_suspended_does_not_count_as_new(recipient) {
        let mut sender = sender_that_heard(1_000, 50_001);
        let estimate = recipient_time(&sender, 53_011);
        let message_sender = sender.message_sender(53_011);
        assert_eq!(recipient.max_message_age_ms(&message_sender, estimate, 1_011), None);
        let reading = recipient.clock_reading(1_011);
        sender.record_reading(node(RECIPIENT).ip, reading, 53_011, 53_012);
        let estimate = recipient_time(&sender, 53_020);
        let message_sender = sender.message_sender(53_020);
        let age_ms = recipient.max_message_age_ms(&message_sender, estimate, 4_019);
        assert!(age_ms.is_some_and(|age_ms| age_ms >= 3_000), "{age_ms:?}");
    }

    message_of_a_replaced_sender_of_a_former_build_has_no_known_age(recipient) {
        let mut recipient = recipient;
        recipient.record_heartbeat(process(SENDER, 2).heartbeat(10), 3_000);
        let message_sender = process(SENDER, 1).message_sender(50_100);
        let recipient_time = RecipientTime::NotReported;
        assert_eq!(recipient.max_message_age_ms(&message_sender, recipient_time, 4_100), None);
    }
}

/// Longest time for which the simulated network holds a message up.
const MAX_DELAY_MS: u64 = 5_000;

/// Age up to which the recipient takes a job.
const MAX_AGE_MS: u64 = 600;

/// A VM whose process is started again at random times. Its clock runs up to 1% fast or slow.
struct Vm {
    number: u8,
    process: Ownership,
    incarnation: u64,
    started_at_ms: u64,
    clock_permille: u64,
}

impl Vm {
    fn start(number: u8, clock_permille: u64) -> Self {
        Vm { number, process: process(number, 1), incarnation: 1, started_at_ms: 0, clock_permille }
    }

    fn restart(&mut self, now_ms: u64) {
        self.incarnation += 1;
        self.process = process(self.number, self.incarnation);
        self.started_at_ms = now_ms;
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.started_at_ms) * self.clock_permille / 1_000
    }
}

/// A job on its way to the recipient.
#[derive(Clone, Copy)]
struct Job {
    sender: u64,
    clock_ms: u64,
    recipient_time: RecipientTime,
    sent_at_ms: u64,
    /// Incarnation of the recipient when the job was sent.
    sent_to: u64,
    /// Time at which the recipient sent the reading in `recipient_time`, unless that is an estimate.
    reading_sent_at_ms: Option<u64>,
}

/// A message between the two VMs.
#[derive(Clone, Copy)]
enum Message {
    /// Of the recipient to the sender of jobs.
    Heartbeat {
        incarnation: u64,
        clock_ms: u64,
    },
    Job(Job),
    /// The recipient's reply to a job of `sender` that it did not take.
    Reading {
        sender: u64,
        clock: ClockReading,
        sent_at_ms: u64,
    },
}

/// Two VMs of which one sends heartbeats and the other one jobs.
struct Network {
    rng: ChaCha8Rng,
    now_ms: u64,
    sender: Vm,
    recipient: Vm,
    /// Messages and the times of their arrival.
    in_flight: Vec<(u64, Message)>,
    /// Number of jobs that were taken.
    taken: usize,
}

impl Network {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sender = Vm::start(SENDER, rng.random_range(990..=1_010));
        let recipient = Vm::start(RECIPIENT, rng.random_range(990..=1_010));
        Network { rng, now_ms: 0, sender, recipient, in_flight: Vec::new(), taken: 0 }
    }

    /// Sends a message, of which one in five is held up.
    fn send(&mut self, message: Message) {
        let is_held_up = self.rng.random_range(0..5) == 0;
        let delay_ms = self.rng.random_range(0..if is_held_up { MAX_DELAY_MS } else { 5 });
        self.in_flight.push((self.now_ms + delay_ms, message));
    }

    /// Sends a job with an estimate of the recipient's clock, or with a reading and the time at which
    /// the recipient sent it.
    fn send_job(&mut self, reading: Option<(ClockReading, u64)>) {
        let clock_ms = self.sender.clock_ms(self.now_ms);
        let recipient_time = match reading {
            Some((clock, _)) => RecipientTime::AtLeast(clock),
            None => recipient_time(&self.sender.process, clock_ms),
        };
        self.send(Message::Job(Job {
            sender: self.sender.incarnation,
            clock_ms,
            recipient_time,
            sent_at_ms: self.now_ms,
            sent_to: self.recipient.incarnation,
            reading_sent_at_ms: reading.map(|(_, sent_at_ms)| sent_at_ms),
        }));
    }

    /// Lets a millisecond pass.
    fn step(&mut self) {
        self.now_ms += 1;
        if self.rng.random_range(0..2_000) == 0 {
            self.sender.restart(self.now_ms);
        }
        if self.rng.random_range(0..4_000) == 0 {
            self.recipient.restart(self.now_ms);
        }
        if self.now_ms.is_multiple_of(100) {
            let clock_ms = self.recipient.clock_ms(self.now_ms);
            self.send(Message::Heartbeat { incarnation: self.recipient.incarnation, clock_ms });
        }
        if self.rng.random_range(0..20) == 0 {
            self.send_job(None);
        }
        let now_ms = self.now_ms;
        let arrived = self.in_flight.extract_if(.., |(arrives_at_ms, _)| *arrives_at_ms <= now_ms);
        for (_, message) in arrived.collect::<Vec<_>>() {
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Heartbeat { incarnation, clock_ms } => {
                let heartbeat = process(RECIPIENT, incarnation).heartbeat(clock_ms);
                let now_ms = self.sender.clock_ms(self.now_ms);
                self.sender.process.record_heartbeat(heartbeat, now_ms);
            }
            Message::Job(job) => self.receive_job(job),
            Message::Reading { sender, clock, sent_at_ms } if sender == self.sender.incarnation => {
                self.send_job(Some((clock, sent_at_ms)));
            }
            Message::Reading { .. } => {}
        }
    }

    /// Takes a job or replies with a reading, and checks the job's age against the true one.
    fn receive_job(&mut self, job: Job) {
        let now_ms = self.recipient.clock_ms(self.now_ms);
        let message_sender = process(SENDER, job.sender).message_sender(job.clock_ms);
        let recipient = &self.recipient.process;
        let max_age_ms = recipient.max_message_age_ms(&message_sender, job.recipient_time, now_ms);
        let age_ms = (job.sent_to == self.recipient.incarnation)
            .then(|| now_ms - self.recipient.clock_ms(job.sent_at_ms));
        assert!(
            max_age_ms.is_none() || age_ms.is_some_and(|age_ms| Some(age_ms) <= max_age_ms),
            "a job of age {age_ms:?} ms counts as {max_age_ms:?} ms old at {now_ms} ms"
        );
        if max_age_ms.is_some_and(|max_age_ms| max_age_ms <= MAX_AGE_MS) {
            self.taken += 1;
            return;
        }
        let is_reading_current = matches!(
            job.recipient_time,
            RecipientTime::AtLeast(clock) if clock.incarnation == self.recipient.incarnation
        );
        let is_reading_new = job
            .reading_sent_at_ms
            .is_some_and(|sent_at_ms| self.now_ms - sent_at_ms < MAX_AGE_MS - 20);
        assert!(
            !(is_reading_current && is_reading_new),
            "a job with a reading that was just sent is not taken at {now_ms} ms"
        );
        let clock = recipient.clock_reading(now_ms);
        let sent_at_ms = self.now_ms;
        self.send(Message::Reading { sender: job.sender, clock, sent_at_ms });
    }
}

// Guards against jobs that count as new although they were held up, whoever was replaced meanwhile.
#[test]
fn age_of_a_job_is_never_underestimated_and_jobs_just_sent_are_taken() {
    for seed in 0..200 {
        println!("seed {seed}");
        let mut network = Network::new(seed);
        (0..20_000).for_each(|_| network.step());
        assert!(network.taken > 500, "{} jobs were taken", network.taken);
    }
}
