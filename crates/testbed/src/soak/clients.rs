//! Clients of a soak. They send requests on open or new connections, complete or in parts, singly or pipelined, and some
//! disconnect before the answer.

use super::dispatcher::{ClientEndpoint, DispatcherSlot};
use crate::client::ClientQuery;
use crate::engine::{QueryWork, ResultShape, RunContext};
use crate::invariants::Effect;
use crate::record::EventKind;
use crate::wire::{field, read_response, RETRY_AFTER_FIELD};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request that is sent on an idle connection at most this long before the connection's close is repeated elsewhere
/// (protocol).
const CROSSING: Duration = Duration::from_millis(50);
/// How long after its time limit an answer is still awaited.
const ANSWER_MARGIN: Duration = Duration::from_millis(1500);
/// Interval at which a waiting client checks whether it is to disconnect.
const WAIT_SLICE: Duration = Duration::from_millis(50);
/// How much of a wrong answer is recorded (characters).
const MAX_SHOWN_CHARS: usize = 200;
/// How long a client tries to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Mean queries a second of one client.
const QUERIES_PER_S: f64 = 9.0;
/// Median work of a query (ms on one core).
pub const MEAN_WORK_MS: f64 = 15.0;

/// A class of the soak's traffic.
#[derive(Debug, Clone, Copy)]
pub struct SoakClass {
    /// Its name.
    pub name: &'static str,
    /// What its queries do to data.
    pub effect: Effect,
    /// The longest wait of its clients, as a fraction of the longest one of all classes.
    deadline_fraction: f64,
    /// Its latency objective (ms).
    pub objective_ms: f64,
    weight: f64,
}

impl SoakClass {
    /// The longest wait of its clients (ms), where `max_deadline_ms` is that of all classes.
    pub fn deadline_ms(&self, max_deadline_ms: f64) -> f64 {
        self.deadline_fraction * max_deadline_ms
    }
}

/// Look-ups, loads, and posts with an idempotency key.
pub const CLASSES: [SoakClass; 3] = [
    SoakClass {
        name: "look",
        effect: Effect::ReadOnly,
        deadline_fraction: 0.8,
        objective_ms: 300.0,
        weight: 0.7,
    },
    SoakClass {
        name: "load",
        effect: Effect::NonIdempotent,
        deadline_fraction: 1.0,
        objective_ms: 800.0,
        weight: 0.15,
    },
    SoakClass {
        name: "post",
        effect: Effect::IdempotencyKey,
        deadline_fraction: 1.0,
        objective_ms: 600.0,
        weight: 0.15,
    },
];

/// How a client sends its next request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestMode {
    /// On the open connection, where there is one.
    Keep,
    /// On a new connection.
    Fresh,
    /// In two writes.
    Parts,
    /// With a close or a reset before the answer.
    Leave,
    /// Several requests in one write.
    Pipeline,
    /// Only a part of the request, followed by a close.
    Abandon,
}

/// One client, and the state that all clients share.
pub struct SoakClient {
    /// The index of the dispatcher to which the client sends its queries.
    pub dispatcher: usize,
    /// The client's number among those of its dispatcher.
    pub number: u64,
    /// The slot of its dispatcher.
    pub slot: Arc<DispatcherSlot>,
    /// The ground truth for the engines, and the record.
    pub context: Arc<RunContext>,
    /// Set at the run's end.
    pub is_over: Arc<AtomicBool>,
    /// Increases when all clients of this dispatcher disconnect together.
    pub leave_generation: Arc<AtomicU64>,
    /// Whether clients declare the cost of their queries.
    pub has_estimates: bool,
    /// The longest deadline of all classes (ms).
    pub max_deadline_ms: f64,
}

struct Connection {
    stream: TcpStream,
    epoch: u64,
    is_used: bool,
}

impl Connection {
    /// Whether the dispatcher has ended the connection, as a client sees before it sends.
    fn has_ended(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// How a wait for an answer ended.
enum Waited {
    Answered { keeps_alive: bool },
    Ended,
}

impl SoakClient {
    /// Sends queries until the run is over.
    pub fn run(&self, seed: u64) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut kept: Option<Connection> = None;
        let mut sequence = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            let pause_s = rng.random_range(0.2..1.8) / QUERIES_PER_S;
            thread::sleep(Duration::from_secs_f64(pause_s));
            let endpoint = self.slot.client_endpoint();
            let mode = draw_request_mode(&mut rng);
            let is_kept = |kept: &Connection| {
                let takes_requests = self.slot.takes_requests(kept.epoch);
                mode != RequestMode::Fresh && takes_requests && !kept.has_ended()
            };
            let connection = match kept.take().filter(is_kept) {
                Some(kept) => Some(kept),
                None => self.connect(endpoint),
            };
            let Some(connection) = connection else {
                continue;
            };
            kept = self.send(connection, mode, &mut sequence, &mut rng);
        }
    }

    fn connect(&self, endpoint: ClientEndpoint) -> Option<Connection> {
        if !endpoint.takes_connections {
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.slot.listen, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection {
            stream,
            epoch: endpoint.epoch,
            is_used: false,
        })
    }

    /// Draws a query and registers its ground truth for the engines.
    fn query(&self, epoch: u64, sequence: &mut u64, rng: &mut Pcg64) -> (ClientQuery, SoakClass) {
        *sequence += 1;
        let id = (self.dispatcher as u64 + 1) << 48
            | (epoch & 0xff) << 40
            | (self.number & 0xff) << 32
            | *sequence;
        let mut draw: f64 = rng.random();
        let mut class = CLASSES[0];
        for candidate in CLASSES {
            class = candidate;
            draw -= candidate.weight;
            if draw < 0.0 {
                break;
            }
        }
        let work = MEAN_WORK_MS * rng.random_range(0.3..1.7);
        let wait = class.deadline_ms(self.max_deadline_ms) * rng.random_range(0.25..1.0);
        let tables: u32 = rng.random_range(1..30);
        let statement = match class.name {
            "look" => format!("select rate from sales_{tables}.lanes where id = {sequence}"),
            _ => format!("insert into sales_{tables}.lanes values ({sequence})"),
        };
        let path = format!("/invoke/{}", class.name);
        let mut query = ClientQuery::new(id, &path, class.name, &statement, wait.floor());
        if self.has_estimates {
            query.cost = Some(work * rng.random_range(0.7..1.4));
        }
        self.context.register(
            query.id(),
            QueryWork {
                work,
                threads: 1.0,
                changes: class.effect != Effect::ReadOnly,
                tables,
                result: ResultShape::Numbered {
                    pages: draw_page_count(rng),
                },
            },
        );
        (query, class)
    }

    /// Records requests that are sent in one write. They are answered one after the other, so that each one's time limit
    /// includes those before it.
    fn record_asked(&self, queries: &[ClientQuery]) {
        let mut max_wait_ms = 0.0;
        for query in queries {
            max_wait_ms += query.wait;
            self.context.record.push(EventKind::Asked {
                id: query.id(),
                class: query.class.clone(),
                max_wait_ms,
                key: None,
            });
        }
    }

    /// Sends one or more requests in a mode. Returns the connection, if it stays open.
    fn send(
        &self,
        connection: Connection,
        mode: RequestMode,
        sequence: &mut u64,
        rng: &mut Pcg64,
    ) -> Option<Connection> {
        let count = if mode == RequestMode::Pipeline {
            rng.random_range(2..12)
        } else {
            1
        };
        let queries: Vec<ClientQuery> = (0..count)
            .map(|_| self.query(connection.epoch, sequence, rng).0)
            .collect();
        let bytes: Vec<u8> = queries.iter().flat_map(ClientQuery::bytes).collect();
        let mut stream = &connection.stream;
        let mut unsent = bytes.as_slice();
        if matches!(mode, RequestMode::Parts | RequestMode::Abandon) {
            let cut = rng.random_range(1..bytes.len());
            stream.write_all(&bytes[..cut]).ok()?;
            thread::sleep(Duration::from_millis(rng.random_range(1..120)));
            if mode == RequestMode::Abandon {
                return None;
            }
            unsent = &bytes[cut..];
        }
        self.record_asked(&queries);
        if stream.write_all(unsent).is_err() {
            self.exclude(&queries);
            return None;
        }
        let sent = Instant::now();
        if mode == RequestMode::Leave {
            self.leave(&connection, &queries, rng);
            return None;
        }
        self.await_answers(connection, &queries, sent)
    }

    fn leave(&self, connection: &Connection, queries: &[ClientQuery], rng: &mut Pcg64) {
        thread::sleep(Duration::from_millis(rng.random_range(0..80)));
        if rng.random_bool(0.5) {
            let socket = socket2::SockRef::from(&connection.stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        for query in queries {
            let id = query.id();
            self.context.record.push(EventKind::Left { id });
        }
    }

    fn await_answers(
        &self,
        mut connection: Connection,
        queries: &[ClientQuery],
        sent: Instant,
    ) -> Option<Connection> {
        let generation = self.leave_generation.load(Ordering::SeqCst);
        let mut until = sent + ANSWER_MARGIN;
        for (nth, query) in queries.iter().enumerate() {
            until += Duration::from_secs_f64(query.wait / 1000.0);
            match self.await_answer(&connection, query, until, generation) {
                Waited::Answered { keeps_alive: true } => connection.is_used = true,
                Waited::Answered { keeps_alive: false } => {
                    // What was sent behind the last request of a connection is sent again elsewhere.
                    self.exclude(&queries[nth + 1..]);
                    return None;
                }
                Waited::Ended => {
                    self.on_ended(&connection, &queries[nth..], sent, generation);
                    return None;
                }
            }
        }
        Some(connection)
    }

    fn await_answer(
        &self,
        connection: &Connection,
        query: &ClientQuery,
        until: Instant,
        generation: u64,
    ) -> Waited {
        if !self.await_first_byte(&connection.stream, until, generation) {
            return Waited::Ended;
        }
        let _ = connection.stream.set_read_timeout(Some(ANSWER_MARGIN));
        // Reads no byte beyond the answer: the next one belongs to the next query.
        let mut reader = BufReader::with_capacity(1, &connection.stream);
        let Some(response) = read_response(&mut reader) else {
            return Waited::Ended;
        };
        let retry_after_ms =
            field(&response.head, RETRY_AFTER_FIELD).and_then(|value| value.parse().ok());
        if response.status == 200 {
            self.check_rows(query, &response.body);
        }
        self.context.record.push(EventKind::Answered {
            id: query.id(),
            status: response.status,
            retry_after_ms,
        });
        let closes = field(&response.head, "Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Waited::Answered {
            keeps_alive: !closes,
        }
    }

    /// Records an answer whose rows are not those of its query's result, whole and in order.
    fn check_rows(&self, query: &ClientQuery, body: &str) {
        let id = query.id();
        let expected = self.context.expected_answer(&id);
        if expected.is_some_and(|expected| expected != body) {
            let rows = body.chars().take(MAX_SHOWN_CHARS).collect();
            self.context.record.push(EventKind::WrongRows { id, rows });
        }
    }

    /// Waits for the first byte of an answer in slices, so that this client can disconnect together with the others.
    /// Returns false where the connection or the wait ended before.
    fn await_first_byte(&self, stream: &TcpStream, until: Instant, generation: u64) -> bool {
        let _ = stream.set_read_timeout(Some(WAIT_SLICE));
        let mut first = [0];
        loop {
            match stream.peek(&mut first) {
                Ok(0) => return false,
                Ok(_) => return true,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
            let leaves = self.leave_generation.load(Ordering::SeqCst) != generation;
            if leaves || Instant::now() > until {
                return false;
            }
        }
    }

    /// Records that no answer to these queries is owed.
    fn exclude(&self, queries: &[ClientQuery]) {
        for query in queries {
            let id = query.id();
            self.context.record.push(EventKind::Excluded { id });
        }
    }

    /// Handles the end of a connection, or of the client's wait, with queries unanswered.
    fn on_ended(
        &self,
        connection: &Connection,
        queries: &[ClientQuery],
        sent: Instant,
        generation: u64,
    ) {
        if self.leave_generation.load(Ordering::SeqCst) != generation {
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
            for query in queries {
                let id = query.id();
                self.context.record.push(EventKind::Left { id });
            }
            return;
        }
        // A crash is visible a short time after the reset that it causes.
        thread::sleep(Duration::from_millis(30));
        if self.slot.has_crashed(connection.epoch) {
            return self.exclude(queries);
        }
        let elapsed = sent.elapsed();
        if connection.is_used && elapsed < CROSSING {
            return self.exclude(queries);
        }
        for query in queries {
            self.context.record.push(EventKind::Lost {
                id: query.id(),
                how: format!(
                    "no answer {} ms after it was sent on a {} connection",
                    elapsed.as_millis(),
                    if connection.is_used { "used" } else { "new" }
                ),
            });
        }
    }
}

/// Draws the number of pages of a result: one for most, eight at most.
fn draw_page_count(rng: &mut Pcg64) -> usize {
    if rng.random_bool(0.6) {
        1
    } else {
        rng.random_range(2..=8)
    }
}

fn draw_request_mode(rng: &mut Pcg64) -> RequestMode {
    match rng.random_range(0..100) {
        0..55 => RequestMode::Keep,
        55..72 => RequestMode::Fresh,
        72..80 => RequestMode::Parts,
        80..90 => RequestMode::Leave,
        90..96 => RequestMode::Pipeline,
        _ => RequestMode::Abandon,
    }
}
