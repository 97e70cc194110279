//! Stand-in engines. `scripted` answers each frame as a closure says. `Engine` is one with cores, that runs queries
//! side by side, tells of progress, keeps a record, and fails as it is told to.

use crate::record::{EventKind, Record};
use crate::wire::{frame, list_value, write_frame};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An engine whose connections' frames come out of the channel; `react` writes what is to be answered.
pub fn scripted(
    react: impl Fn(&[String], &mut TcpStream) + Send + Clone + 'static,
) -> (SocketAddr, Receiver<(Vec<String>, Instant)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let (tell, told) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tell, react) = (tell.clone(), react.clone());
            thread::spawn(move || {
                let Ok(reader) = stream.try_clone() else {
                    return;
                };
                let (mut reader, mut writer) = (BufReader::new(reader), stream);
                while let Some(parts) = frame(&mut reader) {
                    let _ = tell.send((parts.clone(), Instant::now()));
                    react(&parts, &mut writer);
                }
            });
        }
    });
    (address, told)
}

/// From now on no connection comes up at this listener, as at a machine that vanished, as long as what is returned is
/// held and nobody accepts: its backlog is as short as it gets, and full.
pub fn refuse_silently(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    socket2::SockRef::from(listener)
        .listen(0)
        .expect("a listener listens");
    let next = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    std::iter::from_fn(next).collect()
}

/// What an engine does with what comes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// All runs take so many times as long.
    Slow(f64),
    /// This part of the queries ends with an error after a moment; of them what changes tables may have run.
    Errors(f64),
    /// Says full, this part of the time.
    Full(f64),
    /// Ends connections on this part of the requests.
    Resets(f64),
    /// Hears all and says nothing.
    Silent,
    /// Answers what can't be read.
    Spoils(f64),
}

/// What the queries of a run are, by their ids: the engines' side of the truth.
#[derive(Debug, Clone, Copy)]
pub struct QueryWork {
    /// Milliseconds on one core, and threads at most.
    pub work: f64,
    pub threads: f64,
    pub changes: bool,
    /// Group of tables that a load holds.
    pub tables: u32,
}

/// What all engines of a run share.
#[derive(Debug, Default)]
pub struct RunContext {
    pub record: Arc<Record>,
    pub works: Mutex<HashMap<String, QueryWork>>,
}

impl RunContext {
    /// Tells the engines the truth about a query, before it is sent.
    pub fn register(&self, query_id: String, work: QueryWork) {
        self.works
            .lock()
            .expect("no holder panics")
            .insert(query_id, work);
    }
}

#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    pub cores: f64,
    /// More running threads a core than this are answered as full.
    pub max_threads_a_core: f64,
    /// Time between notes (ms).
    pub progress_interval_ms: f64,
    /// While cold it does this part of its work, rising to all in so long (ms).
    pub cold_from: f64,
    pub warm_after: f64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            cores: 8.0,
            max_threads_a_core: 16.0,
            progress_interval_ms: 100.0,
            cold_from: 1.0,
            warm_after: 0.0,
        }
    }
}

#[derive(Debug)]
struct State {
    fault: Fault,
    threads: f64,
    started: Instant,
    rng: Pcg32,
    busy: f64,
}

/// A running stand-in engine, until it is stopped or the process ends.
#[derive(Debug, Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    spec: EngineSpec,
    world: Arc<RunContext>,
    state: Arc<Mutex<State>>,
    down: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<SocketAddr, TcpStream>>>,
}

/// A attempt that runs.
struct Run {
    id: String,
    given_up: AtomicBool,
}

const STEP: Duration = Duration::from_millis(2);

impl Engine {
    pub fn start(id: &str, spec: EngineSpec, seed: u64, world: Arc<RunContext>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let rng = Pcg32::seed_from_u64(seed);
        let state = State {
            fault: Fault::None,
            threads: 0.0,
            started: Instant::now(),
            rng,
            busy: 0.0,
        };
        let engine = Engine {
            id: id.to_owned(),
            address,
            spec,
            world,
            state: Arc::new(Mutex::new(state)),
            down: Arc::default(),
            streams: Arc::default(),
        };
        let own = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.down.load(Ordering::Relaxed) {
                    drop(stream);
                    return;
                }
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        engine
    }

    pub fn fault(&self, fault: Fault) {
        self.state.lock().expect("no holder panics").fault = fault;
        self.world.record.push(EventKind::Fault {
            engine: self.id.clone(),
            fault: format!("{fault:?}"),
        });
    }

    /// Starts anew: cold from now on.
    pub fn restart_cold(&self) {
        self.state.lock().expect("no holder panics").started = Instant::now();
        self.world.record.push(EventKind::Started {
            engine: self.id.clone(),
            cores: self.spec.cores,
        });
    }

    /// Ends: what is open is reset, what comes is refused.
    pub fn stop(&self) {
        self.down.store(true, Ordering::Relaxed);
        for (_, stream) in self.streams.lock().expect("no holder panics").drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, so that it closes.
        let _ = TcpStream::connect(self.address);
    }

    /// Core time (ms) that it has given so far.
    pub fn busy(&self) -> f64 {
        self.state.lock().expect("no holder panics").busy
    }

    /// Threads that run at the moment.
    pub fn threads(&self) -> f64 {
        self.state.lock().expect("no holder panics").threads
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(kept), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else {
            return;
        };
        self.streams
            .lock()
            .expect("no holder panics")
            .insert(peer, kept);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(stream));
        let mut reader = BufReader::new(reader);
        let mut runs: Vec<Arc<Run>> = Vec::new();
        while let Some(parts) = frame(&mut reader) {
            let (word, id) = (
                parts.first().map_or("", String::as_str),
                parts.get(1).cloned().unwrap_or_default(),
            );
            match word {
                "fetch" => {
                    let run = Arc::new(Run {
                        id,
                        given_up: AtomicBool::new(false),
                    });
                    runs.retain(|run| Arc::strong_count(run) > 1);
                    runs.push(run.clone());
                    if !self.take(run, &parts, &writer) {
                        break;
                    }
                }
                "abort" => {
                    if let Some(run) = runs.iter().find(|run| run.id == id) {
                        run.given_up.store(true, Ordering::Relaxed);
                    }
                }
                "alive" | "stats"
                    if self.state.lock().expect("no holder panics").fault != Fault::Silent =>
                {
                    write_frame(
                        &mut *writer.lock().expect("no holder panics"),
                        &[&id, "FIT", "-", ""],
                    );
                }
                _ => {}
            }
        }
        let _ = writer
            .lock()
            .expect("no holder panics")
            .shutdown(Shutdown::Both);
        self.streams.lock().expect("no holder panics").remove(&peer);
        runs.iter()
            .for_each(|run| run.given_up.store(true, Ordering::Relaxed));
    }

    /// Takes a request in; whether its connection goes on.
    fn take(&self, run: Arc<Run>, parts: &[String], writer: &Arc<Mutex<TcpStream>>) -> bool {
        let known = self
            .world
            .works
            .lock()
            .expect("no holder panics")
            .get(&run.id)
            .copied();
        let work = known.unwrap_or(QueryWork {
            work: 1.0,
            threads: 1.0,
            changes: false,
            tables: 0,
        });
        let record = &self.world.record;
        record.push(EventKind::Arrived {
            engine: self.id.clone(),
            id: run.id.clone(),
            work_ms: work.work,
        });
        let limit = parts
            .get(2)
            .and_then(|fields| list_value(fields, "limit")?.parse::<f64>().ok())
            .unwrap_or(1e9);
        let (fault, lot, crowded) = {
            let mut state = self.state.lock().expect("no holder panics");
            let lot: f64 = state.rng.random();
            let crowded =
                state.threads + work.threads > self.spec.cores * self.spec.max_threads_a_core;
            if !crowded {
                state.threads += work.threads;
            }
            (state.fault, lot, crowded)
        };
        let end = |word: &str, ran: bool| {
            let (engine, id, word) = (self.id.clone(), run.id.clone(), word.to_owned());
            record.push(EventKind::Ended {
                engine,
                id,
                reply: word,
                ran,
            });
        };
        let leave = || self.state.lock().expect("no holder panics").threads -= work.threads;
        if crowded || matches!(fault, Fault::Full(part) if lot < part) {
            if !crowded {
                leave();
            }
            end("WAIT", false);
            return write_frame(
                &mut *writer.lock().expect("no holder panics"),
                &[&run.id, "WAIT", "-", ""],
            );
        }
        if matches!(fault, Fault::Resets(part) if lot < part) {
            leave();
            record.push(EventKind::GivenUp {
                engine: self.id.clone(),
                id: run.id.clone(),
            });
            return false;
        }
        let (own, writer) = (self.clone(), writer.clone());
        thread::spawn(move || {
            own.run(&run, work, limit, fault, lot, &writer);
            own.state.lock().expect("no holder panics").threads -= work.threads;
        });
        true
    }

    /// How fast a thread runs at the moment, against one alone on a warm engine.
    fn speed(&self) -> f64 {
        let state = self.state.lock().expect("no holder panics");
        let crowd = (self.spec.cores / state.threads.max(1.0)).min(1.0);
        let age = state.started.elapsed().as_secs_f64() * 1000.0;
        let warm = if self.spec.warm_after > 0.0 {
            (age / self.spec.warm_after).min(1.0)
        } else {
            1.0
        };
        let cold = self.spec.cold_from + (1.0 - self.spec.cold_from) * warm;
        let slow = if let Fault::Slow(times) = state.fault {
            times
        } else {
            1.0
        };
        crowd * cold / slow
    }

    fn run(
        &self,
        run: &Run,
        work: QueryWork,
        limit: f64,
        fault: Fault,
        lot: f64,
        writer: &Mutex<TcpStream>,
    ) {
        let record = &self.world.record;
        let given_up = || run.given_up.load(Ordering::Relaxed);
        let gives_up = || {
            record.push(EventKind::GivenUp {
                engine: self.id.clone(),
                id: run.id.clone(),
            })
        };
        let write = |word: &str, fields: &str, body: &str| {
            write_frame(
                &mut *writer.lock().expect("no holder panics"),
                &[&run.id, word, fields, body],
            )
        };
        let end = |word: &str, ran: bool| {
            let (engine, id, word) = (self.id.clone(), run.id.clone(), word.to_owned());
            record.push(EventKind::Ended {
                engine,
                id,
                reply: word,
                ran,
            });
        };
        if fault == Fault::Silent {
            let from = Instant::now();
            while !given_up() && from.elapsed().as_secs_f64() * 1000.0 < limit {
                thread::sleep(STEP);
            }
            return gives_up();
        }
        if matches!(fault, Fault::Errors(part) if lot < part) {
            thread::sleep(Duration::from_millis(3));
            end("BROKE", true);
            write("BROKE", "-", "");
            return;
        }
        let needs = work.work / work.threads;
        let (mut done, mut last, mut told) = (0.0, Instant::now(), Instant::now());
        let from = last;
        while done < needs {
            thread::sleep(STEP.min(Duration::from_secs_f64((needs - done).max(0.0) / 1000.0)));
            let now = Instant::now();
            let step = (now - last).as_secs_f64() * 1000.0 * self.speed();
            last = now;
            done += step;
            self.state.lock().expect("no holder panics").busy += step * work.threads;
            if given_up() || from.elapsed().as_secs_f64() * 1000.0 > limit + 200.0 {
                return gives_up();
            }
            if now.duration_since(told).as_secs_f64() * 1000.0 >= self.spec.progress_interval_ms {
                told = now;
                write(
                    "TELL",
                    &format!("tell=frac,num={:.4}", (done / needs).min(0.9999)),
                    "",
                );
            }
        }
        if work.changes {
            record.push(EventKind::Applied {
                engine: self.id.clone(),
                id: run.id.clone(),
            });
        }
        end("DONE", true);
        if matches!(fault, Fault::Spoils(part) if lot < part) {
            let _ = std::io::Write::write_all(
                &mut *writer.lock().expect("no holder panics"),
                b"*4\r\n$1\r\n\xff\xfe no",
            );
            return;
        }
        let rows = if work.changes { "" } else { "a\tb\tc\n" };
        write("DONE", "batches=1", rows);
    }
}
