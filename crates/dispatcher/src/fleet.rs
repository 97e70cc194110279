//! The fleet on sockets: datagrams in and out, this dispatcher's reports, and engines that are out by agreement. What
//! is decided, crates/rollout and crates/coordination decide.

use crate::clock::Clock;
use crate::notify::Notify;
use crate::query_registry::{EndpointEntry, QueryRegistry};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tansymux::events::{EndpointState, Outcome};
use tansymux::settings::{RawSettings, SettingsMap};
use tansymux_coordination::limits::Unit;
use tansymux_coordination::{Stand, Why};
use tansymux_operator_config::{number_of, schema};
use tansymux_rollout::evidence::{Evidence as Ends, Terms};
use tansymux_rollout::{Fleet, Own};
use tansymux_zone_evacuation::{Evidence, ZoneUse};

/// What it says of itself is put together so often (ms).
const SAYS_EVERY: f64 = 200.0;
/// Datagrams taken in at a time, before those that answer go out.
const MAX_AT_ONCE: usize = 128;
const PAUSE: Duration = Duration::from_millis(20);

/// The environment names the turn under which the program is started.
pub const TURN_VARIABLE: &str = "TANSYMUX_TURN";

pub struct FleetService {
    fleet: RefCell<Fleet>,
    socket: Async<UdpSocket>,
    clock: Clock,
    notify: Rc<Notify>,
    registry: Rc<QueryRegistry>,
    evidence: RefCell<Ends>,
    bad: Cell<Option<Terms>>,
    zone: u32,
    version: Cell<u32>,
    settings: SettingsMap,
    listed: RefCell<Vec<EndpointEntry>>,
    said: Cell<f64>,
    /// The engines that were out at the last look.
    outs: RefCell<Vec<(u64, Why)>>,
    sent: Cell<u64>,
    heard: Cell<u64>,
    stand: Cell<Option<bool>>,
}

impl FleetService {
    /// None where the file tells of no fleet.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(
        told: Option<&schema::Fleet>,
        settings: &SettingsMap,
        clock: Clock,
        registry: Rc<QueryRegistry>,
        seed: u64,
    ) -> Result<Option<Rc<Self>>, String> {
        let Some(told) = told else { return Ok(None) };
        let turn = std::env::var(TURN_VARIABLE)
            .ok()
            .and_then(|turn| u64::from_str_radix(turn.trim(), 16).ok());
        let mut own = tansymux_operator_config::fleet(told, turn.unwrap_or(0))
            .ok_or("fleet: a needed key is missing")?;
        let zone = settings.get("zone").map_or(0, |zone| number_of(zone));
        own.zones
            .iter_mut()
            .for_each(|(own_zone, _)| *own_zone = zone);
        let listen: SocketAddr = told
            .listen()
            .parse()
            .map_err(|e| format!("fleet.listen: {e}"))?;
        let socket =
            Async::<UdpSocket>::bind(listen).map_err(|e| format!("fleet.listen {listen}: {e}"))?;
        // The seed of the decisions is told by the platform and may come again; a life of a member may not.
        let seed = seed ^ (clock.now() * 1000.0) as u64 ^ u64::from(std::process::id()) << 32;
        let side = Rc::new(FleetService {
            fleet: RefCell::new(Fleet::new(&own, clock.now(), seed)),
            socket,
            clock,
            notify: Rc::default(),
            registry: registry.clone(),
            evidence: RefCell::default(),
            bad: Cell::new(terms_of(told)),
            zone,
            version: Cell::new(version_of(told)),
            settings: settings.clone(),
            listed: RefCell::default(),
            said: Cell::new(f64::NEG_INFINITY),
            outs: RefCell::default(),
            sent: Cell::default(),
            heard: Cell::default(),
            stand: Cell::default(),
        });
        let reports = side.clone();
        registry
            .counters
            .extra_reports
            .borrow_mut()
            .push(Box::new(move |text| reports.report(text)));
        Ok(Some(side))
    }

    /// Takes on what may change while it runs; the rest waits for the next start.
    pub fn set(&self, told: Option<&schema::Fleet>) {
        let own = told.and_then(|told| tansymux_operator_config::fleet(told, 0));
        let (Some(told), Some(own)) = (told, own) else {
            return tracing::warn!(
                "the fleet stays as it was: the operators' file tells of none any more"
            );
        };
        self.bad.set(terms_of(told));
        self.version.set(version_of(told));
        self.fleet
            .borrow_mut()
            .set(own.told, own.keys, own.zones.map(|(_, zones)| zones));
    }

    /// Hears and tells until dropped.
    pub async fn run(self: Rc<Self>) {
        let mut bytes = [0; 512];
        loop {
            let next = self.tells();
            let heard = async {
                let heard = self.socket.recv_from(&mut bytes).await;
                Some(heard)
            };
            let time = async {
                Timer::at(self.clock.instant(next)).await;
                None
            };
            let told = async {
                self.notify.notified().await;
                None
            };
            match future::or(heard, future::or(time, told)).await {
                Some(Ok((count, from))) => {
                    self.hears(from, &bytes[..count]);
                    for _ in 1..MAX_AT_ONCE {
                        let Ok((count, from)) = self.socket.get_ref().recv_from(&mut bytes) else {
                            break;
                        };
                        self.hears(from, &bytes[..count]);
                    }
                }
                Some(Err(e)) => {
                    tracing::warn!(error = %e, "the fleet's datagrams could not be heard");
                    Timer::after(PAUSE).await;
                }
                None => {}
            }
            future::yield_now().await;
        }
    }

    fn hears(&self, from: SocketAddr, bytes: &[u8]) {
        self.heard.set(self.heard.get() + 1);
        self.fleet
            .borrow_mut()
            .handle(self.clock.now(), from, bytes);
    }

    /// Sends what is due; when to look again.
    fn tells(&self) -> f64 {
        let (out, next) = self.fleet.borrow_mut().poll(self.clock.now());
        for (to, bytes) in out {
            match self.socket.get_ref().send_to(&bytes, to) {
                Ok(_) => self.sent.set(self.sent.get() + 1),
                // As one that is lost on its way; a host that is not there is no news here.
                Err(e) => tracing::debug!(%to, error = %e, "a datagram of the fleet was not sent"),
            }
        }
        next
    }

    /// What this dispatcher sees of its zones.
    pub fn sees(&self, evidence: Vec<Evidence>, alone: bool) {
        self.fleet.borrow_mut().sees(evidence, alone);
    }

    /// How a zone may be used, as the fleet agreed.
    pub fn use_of(&self, zone: &str) -> ZoneUse {
        self.fleet.borrow().use_of(number_of(zone))
    }

    /// Whether zones are left and returned to as a fleet.
    pub fn has_zones(&self) -> bool {
        self.fleet.borrow().zoned().is_some()
    }

    /// This member goes: the others are told at once.
    pub fn leave(&self) {
        self.fleet.borrow_mut().leave(self.clock.now());
        self.tells();
    }

    /// A attempt ended: what that says of the engine.
    pub fn ended(&self, now: f64, engine_id: u64, outcome: Outcome) {
        if self.bad.get().is_none() {
            return;
        }
        let bad = match outcome {
            Outcome::Completed => false,
            Outcome::Error | Outcome::Reset | Outcome::Timeout | Outcome::NoConnection => true,
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent => return,
        };
        self.evidence.borrow_mut().ended(now, engine_id, bad);
    }

    /// The list as it was told: kept, and given back as this dispatcher is to take it. An engine that is out by
    /// agreement drains for it, whatever the list says.
    pub fn listed(&self, engines: &mut [EndpointEntry]) {
        let mut listed = self.listed.borrow_mut();
        for engine in engines.iter() {
            listed.retain(|known| known.engine_id != engine.engine_id);
            if engine.status != EndpointState::Gone {
                listed.push(engine.clone());
            }
        }
        listed.sort_by_key(|engine| engine.engine_id);
        let cores = |kind: &str| {
            self.settings
                .for_kind(kind, "family-info.cores-by-kind")
                .unwrap_or(1.0)
        };
        let unit = |engine: &EndpointEntry| Unit {
            id: engine.engine_id,
            zone: number_of(&engine.zone),
            version: 0,
            there: engine.status == EndpointState::Ready,
            capacity: cores(&engine.kind),
        };
        let units: Vec<Unit> = listed.iter().map(unit).collect();
        let mut fleet = self.fleet.borrow_mut();
        fleet.engines(&units);
        for engine in engines
            .iter_mut()
            .filter(|engine| engine.status == EndpointState::Ready)
        {
            if fleet.engine_out(engine.engine_id).is_some() {
                engine.status = EndpointState::Draining;
            }
        }
    }

    /// Says how this dispatcher does, where it is time; what changed for engines, as a list of those.
    pub fn look(&self, now: f64, busy: f64, threads: f64) -> Vec<EndpointEntry> {
        if now - self.said.get() < SAYS_EVERY {
            return Vec::new();
        }
        self.said.set(now);
        let counters = &self.registry.counters;
        let good = counters.completed.get() as u32;
        let all = good.wrapping_add((counters.failed.get() + counters.rejected.get()) as u32);
        let bad = self
            .bad
            .get()
            .and_then(|terms| self.evidence.borrow_mut().bad(now, &terms));
        let mut fleet = self.fleet.borrow_mut();
        let (zone, version) = (self.zone, self.version.get());
        fleet.says(Own {
            zone,
            version,
            busy,
            threads,
            good,
            all,
            bad,
        });
        let leads = matches!(fleet.stand(), Some(Stand::Leads(_)));
        if self.stand.replace(Some(leads)) != Some(leads) {
            tracing::info!(leads, "leads the fleet, or no more");
        }
        let listed = self.listed.borrow();
        let out = |engine: &EndpointEntry| {
            fleet
                .engine_out(engine.engine_id)
                .map(|why| (engine.engine_id, why))
        };
        let outs: Vec<(u64, Why)> = listed.iter().filter_map(out).collect();
        let before = self.outs.replace(outs.clone());
        let is_in =
            |some: &[(u64, Why)], engine_id: u64| some.iter().any(|(out, _)| *out == engine_id);
        let mut changed = Vec::new();
        for engine in listed.iter() {
            match (
                is_in(&before, engine.engine_id),
                is_in(&outs, engine.engine_id),
            ) {
                (false, true) => {
                    tracing::warn!(engine = %format_args!("{:08x}", engine.engine_id), "an engine is out by agreement");
                    changed.push(engine.clone());
                }
                (true, false) => {
                    tracing::info!(engine = %format_args!("{:08x}", engine.engine_id), "an engine is back by agreement");
                    // As one that starts: all dispatchers come back to it at once.
                    changed.push(EndpointEntry {
                        started: Some(now),
                        ..engine.clone()
                    });
                }
                _ => {}
            }
        }
        changed
    }

    /// Lines for the counters.
    fn report(&self, text: &mut String) {
        let fleet = self.fleet.borrow();
        let now = self.clock.now();
        let leader = fleet.agent().leader(now);
        let leads = matches!(fleet.stand(), Some(Stand::Leads(_)));
        let recalls = matches!(fleet.stand(), Some(Stand::Recalls { .. }));
        for (name, value) in [
            ("fleet_members", fleet.group().present_count() as u64),
            ("fleet_leads", u64::from(leads)),
            ("fleet_recalls", u64::from(recalls)),
            ("fleet_leader_known", u64::from(leader.is_some())),
            ("fleet_halted", u64::from(fleet.agent().halt().is_some())),
            ("fleet_engines_out", fleet.engines_out() as u64),
            (
                "fleet_zones_out",
                fleet
                    .zoned()
                    .map_or(0, |zoned| zoned.guide.statuses().count() as u64),
            ),
            ("fleet_datagrams_sent", self.sent.get()),
            ("fleet_datagrams_heard", self.heard.get()),
        ] {
            let _ = writeln!(text, "{name} {value}");
        }
    }
}

fn terms_of(told: &schema::Fleet) -> Option<Terms> {
    told.ejection.as_ref().map(|ejection| Terms {
        ends: ejection.ends(),
        part: ejection.part(),
    })
}

fn version_of(told: &schema::Fleet) -> u32 {
    number_of(told.version.as_deref().unwrap_or(env!("CARGO_PKG_VERSION")))
}
