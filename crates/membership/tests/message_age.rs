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

/// A message between the two VMs.
#[derive(Clone, Copy)]
enum Message {
    /// Of the recipient to the sender of jobs.
    Heartbeat { incarnation: u64, clock_ms: u64 },
    Job {
        incarnation: u64,
        clock_ms: u64,
        sent_at_ms: u64,
        recipient_incarnation: u64,
        recipient_time: RecipientTime,
        /// Time at which the recipient replied with a reading, if the job is sent again.
        reading_sent_at_ms: Option<u64>,
    },
    /// The recipient's reply to a job that it did not take.
    Reading { incarnation: u64, clock: ClockReading, sent_at_ms: u64 },
}

/// Sends heartbeats and jobs with random delays between two VMs that restart. Returns the number of
/// jobs that were taken.
fn run(seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut clock_permille = || rng.random_range(990..=1_010);
    let mut sender = Vm::start(SENDER, clock_permille());
    let mut recipient = Vm::start(RECIPIENT, clock_permille());
    // Messages and the times of their arrival.
    let mut in_flight: Vec<(u64, Message)> = Vec::new();
    let mut taken = 0;
    for now_ms in 1..20_000 {
        if rng.random_range(0..2_000) == 0 {
            sender.restart(now_ms);
        }
        if rng.random_range(0..4_000) == 0 {
            recipient.restart(now_ms);
        }
        let is_held_up = rng.random_range(0..5) == 0;
        let delay_ms = rng.random_range(0..if is_held_up { MAX_DELAY_MS } else { 5 });
        let job = |reading: Option<(ClockReading, u64)>, sender: &Vm, recipient: &Vm| {
            let clock_ms = sender.clock_ms(now_ms);
            let recipient_time = match reading {
                Some((clock, _)) => RecipientTime::AtLeast(clock),
                None => recipient_time(&sender.process, clock_ms),
            };
            Message::Job {
                incarnation: sender.incarnation,
                clock_ms,
                sent_at_ms: now_ms,
                recipient_incarnation: recipient.incarnation,
                recipient_time,
                reading_sent_at_ms: reading.map(|(_, sent_at_ms)| sent_at_ms),
            }
        };
        if now_ms % 100 == 0 {
            let (incarnation, clock_ms) = (recipient.incarnation, recipient.clock_ms(now_ms));
            in_flight.push((now_ms + delay_ms, Message::Heartbeat { incarnation, clock_ms }));
        }
        if rng.random_range(0..20) == 0 {
            in_flight.push((now_ms + delay_ms, job(None, &sender, &recipient)));
        }
        let arrived = in_flight.extract_if(.., |(arrives_at_ms, _)| *arrives_at_ms <= now_ms);
        for (_, message) in arrived.collect::<Vec<_>>() {
            match message {
                Message::Heartbeat { incarnation, clock_ms } => {
                    let heartbeat = process(RECIPIENT, incarnation).heartbeat(clock_ms);
                    sender.process.record_heartbeat(heartbeat, sender.clock_ms(now_ms));
                }
                Message::Reading { incarnation, clock, sent_at_ms } => {
                    if incarnation == sender.incarnation {
                        let again = job(Some((clock, sent_at_ms)), &sender, &recipient);
                        in_flight.push((now_ms + delay_ms, again));
                    }
                }
                Message::Job {
                    incarnation,
                    clock_ms,
                    sent_at_ms,
                    recipient_incarnation,
                    recipient_time,
                    reading_sent_at_ms,
                } => {
                    let message_sender = process(SENDER, incarnation).message_sender(clock_ms);
                    let recipient_ms = recipient.clock_ms(now_ms);
                    let max_age_ms = recipient.process.max_message_age_ms(
                        &message_sender,
                        recipient_time,
                        recipient_ms,
                    );
                    let is_same_recipient = recipient_incarnation == recipient.incarnation;
                    let age_ms =
                        is_same_recipient.then(|| recipient_ms - recipient.clock_ms(sent_at_ms));
                    assert!(
                        max_age_ms.is_none_or(|max_age_ms| {
                            age_ms.is_some_and(|age_ms| age_ms <= max_age_ms)
                        }),
                        "a job of age {age_ms:?} ms counts as {max_age_ms:?} ms old at {now_ms} ms"
                    );
                    if max_age_ms.is_some_and(|max_age_ms| max_age_ms <= MAX_AGE_MS) {
                        taken += 1;
                        continue;
                    }
                    let is_reading_current = matches!(
                        recipient_time,
                        RecipientTime::AtLeast(clock) if clock.incarnation == recipient.incarnation
                    );
                    let is_answered_in_time = reading_sent_at_ms
                        .is_some_and(|sent_at_ms| now_ms - sent_at_ms < MAX_AGE_MS - 20);
                    assert!(
                        !(is_answered_in_time && is_reading_current),
                        "a job with a reading that was just sent is not taken at {now_ms} ms"
                    );
                    let clock = recipient.process.clock_reading(recipient_ms);
                    let reading = Message::Reading { incarnation, clock, sent_at_ms: now_ms };
                    in_flight.push((now_ms + delay_ms, reading));
                }
            }
        }
    }
    taken
}

// Guards against jobs that count as new although they were held up, whoever was replaced meanwhile.
#[test]
fn age_of_a_job_is_never_underestimated_and_jobs_just_sent_are_taken() {
    for seed in 0..200 {
        println!("seed {seed}");
        let taken = run(seed);
        assert!(taken > 500, "{taken} jobs were taken");
    }
}
