//! Clients of a soak: on connections that they keep or on new ones, whole or in parts, some of them leaving, some with
//! many requests at once.

use super::dispatcher::{DispatcherPlace, Front};
use crate::client::ClientQuery;
use crate::engine::{QueryWork, RunContext};
use crate::record::EventKind;
use crate::wire::{field, read_response};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request that crosses the close of a resting connection by less than this is sent again (protocol, 50 ms), with as
/// much for a busy machine.
const CROSSING: Duration = Duration::from_millis(150);
/// Later than this after its time an answer is not waited for.
const ANSWER_MARGIN: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Queries of one client a second, about.
const QUERIES_PER_S: f64 = 9.0;
/// Median work of a query (ms on one core).
pub const MEAN_WORK_MS: f64 = 15.0;

/// A class of the soak's traffic.
#[derive(Debug, Clone, Copy)]
pub struct SoakClass {
    /// Its name.
    pub name: &'static str,
    /// The settings' word for its effect.
    pub effect: &'static str,
    /// How long its clients wait at most (ms).
    pub deadline_ms: f64,
    /// Its objective (ms).
    pub objective_ms: f64,
    weight: f64,
}

/// Look-ups, loads, and posts with an idempotency key.
pub const CLASSES: [SoakClass; 3] = [
    SoakClass {
        name: "look",
        effect: "read_like",
        deadline_ms: 2000.0,
        objective_ms: 300.0,
        weight: 0.7,
    },
    SoakClass {
        name: "load",
        effect: "non_idempotent",
        deadline_ms: 2500.0,
        objective_ms: 800.0,
        weight: 0.15,
    },
    SoakClass {
        name: "post",
        effect: "idempotency_key",
        deadline_ms: 2500.0,
        objective_ms: 600.0,
        weight: 0.15,
    },
];

/// How a client asks next.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Manner {
    /// On the connection that it keeps.
    Keep,
    /// On a new connection.
    Fresh,
    /// In two parts.
    Parts,
    /// It leaves before the answer, by a close or a reset.
    Leave,
    /// Several requests at once.
    Pipeline,
    /// Half a request, and then nothing more.
    Abandon,
}

/// One client, and what all share.
pub struct SoakClient {
    /// Which dispatcher it asks, and which of its clients it is.
    pub dispatcher: usize,
    /// Number of the client.
    pub number: u64,
    /// Its dispatcher.
    pub place: Arc<DispatcherPlace>,
    /// The engines' truth, and the record.
    pub context: Arc<RunContext>,
    /// Set at the run's end.
    pub is_over: Arc<AtomicBool>,
    /// Counts up when clients of this dispatcher leave together.
    pub leave_generation: Arc<AtomicU64>,
    /// Clients tell the cost.
    pub has_estimates: bool,
}

struct Connection {
    stream: TcpStream,
    epoch: u64,
    is_used: bool,
}

/// How a wait for an answer ended.
enum Waited {
    Answered { keeps_alive: bool },
    Ended,
}

impl SoakClient {
    /// Asks until the run is over.
    pub fn run(&self, seed: u64) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut kept: Option<Connection> = None;
        let mut sequence = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            let pause_s = rng.random_range(0.2..1.8) / QUERIES_PER_S;
            thread::sleep(Duration::from_secs_f64(pause_s));
            let front = self.place.front();
            if kept.as_ref().is_some_and(|kept| kept.epoch != front.epoch) {
                kept = None;
            }
            let manner = draw_manner(&mut rng);
            let connection = match kept.take().filter(|_| manner != Manner::Fresh) {
                Some(kept) if front.takes_requests => Some(kept),
                _ => self.connect(front),
            };
            let Some(connection) = connection else {
                continue;
            };
            kept = self.ask(connection, manner, &mut sequence, &mut rng);
        }
    }

    fn connect(&self, front: Front) -> Option<Connection> {
        if !front.takes_connections {
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.place.listen, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection {
            stream,
            epoch: front.epoch,
            is_used: false,
        })
    }

    /// A query with the truth about it told to the engines.
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
        let wait = class.deadline_ms * rng.random_range(0.25..1.0);
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
                changes: class.effect != "read_like",
                tables,
            },
        );
        (query, class)
    }

    /// Requests sent at once are answered one after the other: the later ones may wait for those before them.
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

    /// Asks in a manner; the connection, if it goes on.
    fn ask(
        &self,
        connection: Connection,
        manner: Manner,
        sequence: &mut u64,
        rng: &mut Pcg64,
    ) -> Option<Connection> {
        let count = if manner == Manner::Pipeline {
            rng.random_range(2..12)
        } else {
            1
        };
        let queries: Vec<ClientQuery> = (0..count)
            .map(|_| self.query(connection.epoch, sequence, rng).0)
            .collect();
        let bytes: Vec<u8> = queries.iter().flat_map(ClientQuery::bytes).collect();
        let mut stream = &connection.stream;
        if matches!(manner, Manner::Parts | Manner::Abandon) {
            let cut = rng.random_range(1..bytes.len());
            stream.write_all(&bytes[..cut]).ok()?;
            thread::sleep(Duration::from_millis(rng.random_range(1..120)));
            if manner == Manner::Abandon {
                return None;
            }
            self.record_asked(&queries);
            if stream.write_all(&bytes[cut..]).is_err() {
                self.excuse(&queries);
                return None;
            }
        } else {
            self.record_asked(&queries);
            if stream.write_all(&bytes).is_err() {
                self.excuse(&queries);
                return None;
            }
        }
        let sent = Instant::now();
        if manner == Manner::Leave {
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
                    self.excuse(&queries[nth + 1..]);
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
        let slice = Duration::from_millis(50);
        let _ = connection.stream.set_read_timeout(Some(slice));
        // Waits for the first byte in slices, so that it can leave with the others.
        let mut first = [0];
        loop {
            match connection.stream.peek(&mut first) {
                Ok(0) => return Waited::Ended,
                Ok(_) => break,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Waited::Ended,
            }
            let leaves = self.leave_generation.load(Ordering::SeqCst) != generation;
            if leaves || Instant::now() > until {
                return Waited::Ended;
            }
        }
        let _ = connection.stream.set_read_timeout(Some(ANSWER_MARGIN));
        // Reads no byte beyond the answer: the next one belongs to the next query.
        let mut reader = BufReader::with_capacity(1, &connection.stream);
        let Some(response) = read_response(&mut reader) else {
            return Waited::Ended;
        };
        let retry_after_ms =
            field(&response.head, "Srv-Wait-Ms").and_then(|value| value.parse().ok());
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

    fn excuse(&self, queries: &[ClientQuery]) {
        for query in queries {
            let id = query.id();
            self.context.record.push(EventKind::Excused { id });
        }
    }

    /// The connection ended, or the client gives up, with queries unanswered.
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
        // A crash shows a moment later than its reset.
        thread::sleep(Duration::from_millis(30));
        if self.place.has_crashed(connection.epoch) {
            return self.excuse(queries);
        }
        let elapsed = sent.elapsed();
        if connection.is_used && elapsed < CROSSING {
            return self.excuse(queries);
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

fn draw_manner(rng: &mut Pcg64) -> Manner {
    match rng.random_range(0..100) {
        0..55 => Manner::Keep,
        55..72 => Manner::Fresh,
        72..80 => Manner::Parts,
        80..90 => Manner::Leave,
        90..96 => Manner::Pipeline,
        _ => Manner::Abandon,
    }
}
