//! Stand-in engines. [`scripted`] answers each frame by a closure. [`Engine`] has cores, runs queries concurrently, reports
//! progress, keeps a record, and simulates injected faults.
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
    engine_answering_after, refuse_silently, scripted, write_result, write_result_of, ReceivedFrame,
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

/// How an engine misbehaves. Fractions are probabilities of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It works.
    None,
    /// All runs take this many times as long.
    Slow(f64),
    /// This fraction of the queries ends with an error after a short delay; those that change tables may have run.
    Errors(f64),
    /// This fraction of the queries is answered as full.
    Full(f64),
    /// This fraction of the requests ends its connection.
    Resets(f64),
    /// It reads all requests and answers none.
    Silent,
    /// This fraction of the answers is malformed.
    Spoils(f64),
    /// A fault of replies and connections.
    Replies(ReplyFault),
}

/// The ground truth of a query, for engines.
#[derive(Debug, Clone, Copy)]
pub struct QueryWork {
    /// Work on one core (ms).
    pub work: f64,
    /// Threads that it runs on.
    pub threads: f64,
    /// Whether it changes tables.
    pub changes: bool,
    /// The group of tables that a load locks.
    pub tables: u32,
    /// The form of its result.
    pub result: ResultShape,
}

impl Default for QueryWork {
    /// The work of a query that was not registered.
    fn default() -> Self {
        QueryWork {
            work: 1.0,
            threads: 1.0,
            changes: false,
            tables: 0,
            result: ResultShape::OneRow,
        }
    }
}

/// What all engines of a run share.
#[derive(Debug, Default)]
pub struct RunContext {
    /// What was observed.
    pub record: Arc<Record>,
    /// The ground truth of queries, by their ids.
    pub works: Mutex<HashMap<String, QueryWork>>,
}

impl RunContext {
    /// Registers the ground truth of a query for the engines, before the query is sent.
    pub fn register(&self, query_id: String, work: QueryWork) {
        self.works
            .lock()
            .expect("no holder panics")
            .insert(query_id, work);
    }

    /// The whole answer with a query's result, where its rows are numbered.
    pub fn expected_answer(&self, query_id: &str) -> Option<String> {
        match self.work_of(query_id).result {
            ResultShape::OneRow => None,
            ResultShape::Numbered { pages } => Some(result_pages::numbered_answer(query_id, pages)),
        }
    }

    fn work_of(&self, query_id: &str) -> QueryWork {
        let works = self.works.lock().expect("no holder panics");
        works.get(query_id).copied().unwrap_or_default()
    }
}

/// What an engine can do.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Its cores.
    pub cores: f64,
    /// More running threads a core than this are answered as full.
    pub max_threads_a_core: f64,
    /// Time between progress notes (ms).
    pub progress_interval_ms: f64,
    /// The fraction of its speed that it starts with.
    pub cold_from: f64,
    /// How long it takes to reach its full speed (ms).
    pub warm_after_ms: f64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            cores: 8.0,
            max_threads_a_core: 16.0,
            progress_interval_ms: 100.0,
            cold_from: 1.0,
            warm_after_ms: 0.0,
        }
    }
}

#[derive(Debug)]
struct State {
    fault: Fault,
    /// Threads that run.
    threads: f64,
    started: Instant,
    rng: Pcg32,
    /// Core time that queries have used (ms).
    busy_ms: f64,
}

/// A running engine; it ends when it is stopped or with the process.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its name in lists and in the record.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    spec: EngineSpec,
    context: Arc<RunContext>,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
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
        let own = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        engine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn streams(&self) -> MutexGuard<'_, HashMap<SocketAddr, TcpStream>> {
        self.streams.lock().expect("no holder panics")
    }

    /// Injects a fault, which replaces the one before.
    pub fn fault(&self, fault: Fault) {
        self.state().fault = fault;
        self.context.record.push(EventKind::Fault {
            engine: self.id.clone(),
            fault: format!("{fault:?}"),
        });
    }

    /// Simulates a restart: from now on the engine warms up.
    pub fn restart_cold(&self) {
        self.state().started = Instant::now();
        self.context.record.push(EventKind::Started {
            engine: self.id.clone(),
            cores: self.spec.cores,
        });
    }

    /// Stops the engine: open connections are reset, new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for (_, stream) in self.streams().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, so that it closes.
        let _ = TcpStream::connect(self.address);
    }

    /// Core time that queries have used since the engine's start (ms).
    pub fn busy(&self) -> f64 {
        self.state().busy_ms
    }

    /// Threads that run now.
    pub fn threads(&self) -> f64 {
        self.state().threads
    }

    /// Serves a connection until it ends; attempts that still run on it are cancelled then.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(kept), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else {
            return;
        };
        self.streams().insert(peer, kept);
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
        let word = fields.first().map_or("", String::as_str);
        let id = fields.get(1).cloned().unwrap_or_default();
        match Request::parse(word) {
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

    /// The speed of a thread now, relative to that of a single thread on a warm engine.
    fn speed(&self) -> f64 {
        let state = self.state();
        let sharing = (self.spec.cores / state.threads.max(1.0)).min(1.0);
        let age_ms = state.started.elapsed().as_secs_f64() * 1000.0;
        let warmth = if self.spec.warm_after_ms > 0.0 {
            (age_ms / self.spec.warm_after_ms).min(1.0)
        } else {
            1.0
        };
        let warm_speed = self.spec.cold_from + (1.0 - self.spec.cold_from) * warmth;
        let slowdown = if let Fault::Slow(times) = state.fault {
            times
        } else {
            1.0
        };
        sharing * warm_speed / slowdown
    }
}
