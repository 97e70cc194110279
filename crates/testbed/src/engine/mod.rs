//! Stand-in engines. [`start_scripted_engine`] starts an engine that passes each frame to a closure. [`Engine`] runs
//! queries concurrently on simulated cores, sends progress notes, records events, and simulates injected faults.
//!
//! Start reading at [`Engine::start`], then at the `attempt` module.

mod attempt;
mod protocol;
mod reply_channel;
mod reply_faults;
mod result_pages;
mod scripted;

pub use reply_faults::ReplyFault;
pub use result_pages::ResultShape;

pub use scripted::{
    fill_accept_backlog, start_delayed_engine, start_scripted_engine, write_result,
    write_result_of, ReceivedFrame,
};

use crate::record::{EventKind, Record};
use crate::wire::read_frame;
use attempt::Attempt;
use protocol::{Reply, Request, NO_FIELDS};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use reply_channel::ReplyChannel;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

/// A fault of an engine. Fractions are probabilities per request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// Queries run slower by this factor.
    Slow(f64),
    /// This fraction of the queries fails after a short delay. They have no effect, but are recorded as possibly
    /// executed.
    Errors(f64),
    /// This fraction of the queries is rejected as if the engine were full.
    Full(f64),
    /// The engine closes the connection on this fraction of the requests.
    Resets(f64),
    /// New queries and health checks get no reply. Queries that are already running and requests for pages still do.
    Silent,
    /// This fraction of the answers is malformed.
    Spoils(f64),
    /// A fault of replies and connections.
    Replies(ReplyFault),
}

/// The true work and result of a query, which engines simulate.
#[derive(Debug, Clone, Copy)]
pub struct QueryWork {
    /// Work on one core (ms).
    pub work_ms: f64,
    /// Number of threads that the query runs on.
    pub threads: f64,
    /// Whether the query changes tables.
    pub changes_tables: bool,
    /// The group of tables that the query uses; engines do not read it.
    pub tables: u32,
    /// The form of the result.
    pub result: ResultShape,
}

impl Default for QueryWork {
    /// The work assumed for a query that was not registered.
    fn default() -> Self {
        QueryWork {
            work_ms: 1.0,
            threads: 1.0,
            changes_tables: false,
            tables: 0,
            result: ResultShape::OneRow,
        }
    }
}

/// State shared by all engines of a run.
#[derive(Debug, Default)]
pub struct RunContext {
    /// Record of the observed events.
    pub record: Arc<Record>,
    /// Work of the registered queries, by query id.
    pub query_work: Mutex<HashMap<String, QueryWork>>,
}

impl RunContext {
    /// Registers the work of a query for the engines. Must be called before the query is sent.
    pub fn register(&self, query_id: String, work: QueryWork) {
        self.query_work
            .lock()
            .expect("the lock is not poisoned")
            .insert(query_id, work);
    }

    /// Returns the complete answer expected for a query whose result has numbered rows, and none for other queries.
    pub fn expected_answer(&self, query_id: &str) -> Option<String> {
        match self.work_of(query_id).result {
            ResultShape::OneRow => None,
            ResultShape::Numbered { pages } => Some(result_pages::numbered_answer(query_id, pages)),
        }
    }

    fn work_of(&self, query_id: &str) -> QueryWork {
        let query_work = self.query_work.lock().expect("the lock is not poisoned");
        query_work.get(query_id).copied().unwrap_or_default()
    }
}

/// Capacity and timing of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Number of cores.
    pub cores: f64,
    /// Maximum number of running threads per core; a query that needs more is rejected as full.
    pub max_threads_per_core: f64,
    /// Interval between progress notes (ms).
    pub progress_interval_ms: f64,
    /// Fraction of its full speed at which a cold engine starts.
    pub cold_speed_fraction: f64,
    /// Time from the start until full speed (ms).
    pub warm_up_ms: f64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            cores: 8.0,
            max_threads_per_core: 16.0,
            progress_interval_ms: 100.0,
            cold_speed_fraction: 1.0,
            warm_up_ms: 0.0,
        }
    }
}

#[derive(Debug)]
struct State {
    fault: Fault,
    /// Number of running threads.
    threads: f64,
    started: Instant,
    rng: Pcg32,
    /// Core time that queries have used (ms).
    busy_ms: f64,
}

/// A running engine. It runs until [`Engine::stop`] is called or the process exits.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Engine id in endpoint lists and in the record.
    pub id: String,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    spec: EngineSpec,
    context: Arc<RunContext>,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
    /// Open connections, by the address of the dispatcher's socket.
    streams: Arc<Mutex<HashMap<SocketAddr, TcpStream>>>,
}

impl Engine {
    /// Starts an engine on the loopback.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(id: &str, spec: EngineSpec, seed: u64, context: Arc<RunContext>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let state = State {
            fault: Fault::None,
            threads: 0.0,
            started: Instant::now(),
            rng: Pcg32::seed_from_u64(seed),
            busy_ms: 0.0,
        };
        let engine = Engine {
            id: id.to_owned(),
            address: listener
                .local_addr()
                .expect("a bound socket has an address"),
            spec,
            context,
            state: Arc::new(Mutex::new(state)),
            stopped: Arc::default(),
            streams: Arc::default(),
        };
        let server = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        engine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn streams(&self) -> MutexGuard<'_, HashMap<SocketAddr, TcpStream>> {
        self.streams.lock().expect("the lock is not poisoned")
    }

    /// Injects a fault, which replaces the previous one.
    pub fn inject_fault(&self, fault: Fault) {
        self.state().fault = fault;
        self.context.record.push(EventKind::Fault {
            engine: self.id.clone(),
            fault: format!("{fault:?}"),
        });
    }

    /// Simulates a restart: the engine is cold and begins to warm up.
    pub fn restart_cold(&self) {
        self.state().started = Instant::now();
        self.context.record.push(EventKind::Started {
            engine: self.id.clone(),
            cores: self.spec.cores,
        });
    }

    /// Stops the engine: open connections are closed, new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for (_, stream) in self.streams().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accept loop, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Core time that queries have used since the engine was started (ms).
    pub fn used_core_ms(&self) -> f64 {
        self.state().busy_ms
    }

    /// Number of running threads.
    pub fn running_threads(&self) -> f64 {
        self.state().threads
    }

    /// Serves a connection until it closes, and then cancels the attempts that are still running on it.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(registered), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else {
            return;
        };
        self.streams().insert(peer, registered);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let channel = ReplyChannel::new(self.clone(), stream);
        let mut reader = BufReader::new(reader);
        let mut attempts: Vec<Arc<Attempt>> = Vec::new();
        while let Some(fields) = read_frame(&mut reader) {
            if !self.handle_frame(&fields, &mut attempts, &channel) {
                break;
            }
            channel.pause_before_read();
        }
        channel.close();
        self.streams().remove(&peer);
        for attempt in &attempts {
            attempt.cancel();
        }
    }

    /// Handles a frame. Returns whether its connection stays open.
    fn handle_frame(
        &self,
        fields: &[String],
        attempts: &mut Vec<Arc<Attempt>>,
        channel: &ReplyChannel,
    ) -> bool {
        let command = fields.first().map_or("", String::as_str);
        let id = fields.get(1).cloned().unwrap_or_default();
        match Request::parse(command) {
            Request::Fetch => {
                let attempt = Arc::new(Attempt::new(id));
                attempts.retain(|attempt| Arc::strong_count(attempt) > 1);
                attempts.push(attempt.clone());
                return self.accept(attempt, fields, channel);
            }
            Request::Abort => {
                if let Some(attempt) = attempts.iter().find(|attempt| attempt.id == id) {
                    attempt.cancel();
                }
            }
            Request::HealthCheck if self.state().fault != Fault::Silent => {
                return channel.send(&id, Reply::Healthy, NO_FIELDS, "");
            }
            Request::Page => {
                let page = fields.get(2).and_then(|number| number.parse().ok());
                return channel.send_page(&id, page.unwrap_or(usize::MAX));
            }
            Request::Release => channel.release_result(&id),
            _ => {}
        }
        true
    }

    /// The current speed of a thread, relative to that of a single thread on a warm engine.
    fn speed(&self) -> f64 {
        let state = self.state();
        let core_share = (self.spec.cores / state.threads.max(1.0)).min(1.0);
        let age_ms = state.started.elapsed().as_secs_f64() * 1000.0;
        let warm_up_fraction = if self.spec.warm_up_ms > 0.0 {
            (age_ms / self.spec.warm_up_ms).min(1.0)
        } else {
            1.0
        };
        let warm_speed = self.spec.cold_speed_fraction
            + (1.0 - self.spec.cold_speed_fraction) * warm_up_fraction;
        let slowdown = if let Fault::Slow(factor) = state.fault {
            factor
        } else {
            1.0
        };
        core_share * warm_speed / slowdown
    }
}
