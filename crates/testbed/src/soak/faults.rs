//! Injects the plan's faults.

use super::link::Link;
use super::link::LinkFaults;
use super::plan::{PlannedFault, SoakFault};
use super::site::CORES;
use super::world::{endpoint, start_engine, unix_ms, EngineSlot, World};
use crate::engine::Fault;
use crate::record::{EventKind, Status};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tansymux_fault_table::Call;

/// One call in twenty.
const CALL_FAULT_RATE: u32 = 500;
/// A replaced engine is sent to by those who were not told yet for at most this time (ms).
const UNTOLD_MS: u64 = 700;

impl World {
    /// Plays a fault to its end.
    pub(super) fn play_fault(&self, planned: PlannedFault) {
        let PlannedFault { for_ms, fault, .. } = planned;
        let time = Duration::from_secs_f64(for_ms / 1000.0);
        self.context.record.push(EventKind::Fault {
            engine: String::new(),
            fault: format!("{fault} for {for_ms:.0} ms"),
        });
        let while_on = |engine, on: Fault| {
            self.fault_engine(engine, on);
            thread::sleep(time);
            self.fault_engine(engine, Fault::None);
        };
        match fault {
            SoakFault::SlowEngine(e, times) => while_on(e, Fault::Slow(times)),
            SoakFault::FailingEngine(e, fraction) => while_on(e, Fault::Errors(fraction)),
            SoakFault::SilentEngine(e) => while_on(e, Fault::Silent),
            SoakFault::ResettingEngine(e, fraction) => while_on(e, Fault::Resets(fraction)),
            SoakFault::SpoilingEngine(e, fraction) => while_on(e, Fault::Spoils(fraction)),
            SoakFault::FullEngine(e, fraction) => while_on(e, Fault::Full(fraction)),
            _ => self.play_outer_fault(fault, time),
        }
    }

    /// Faults of links, lists and the dispatchers' places.
    fn play_outer_fault(&self, fault: SoakFault, time: Duration) {
        match fault {
            SoakFault::DrainEngine(e) => self.drain_engine(e, time),
            SoakFault::ReplaceEngine(e) => self.replace_engine(e),
            SoakFault::JoinEngine => self.join_engine(),
            SoakFault::CutToEngine(e) => self.while_link(e, time, |f, on| f.cut_to_engine = on),
            SoakFault::CutFromEngine(e) => self.while_link(e, time, |f, on| f.cut_from_engine = on),
            SoakFault::ResetLink(e) => {
                self.reset_link(e);
                self.while_link(e, time, |f, on| f.resets = on);
            }
            SoakFault::SplitLink(e) => self.while_link(e, time, |f, on| f.splits = on),
            SoakFault::ForgetIdle(e) => self.while_link(e, 2 * time, |f, on| f.forgets = on),
            SoakFault::LateConnects(e) => self.while_link(e, time, |f, on| f.accepts_none = on),
            SoakFault::SilentNames => {
                self.names_link.set_silent(true);
                thread::sleep(time);
                self.names_link.set_silent(false);
            }
            SoakFault::SlowNames(delay_ms) => {
                self.names_link.set_delay_ms(delay_ms);
                thread::sleep(time);
                self.names_link.set_delay_ms(0);
            }
            SoakFault::Restart(d) => self.places[d].restart(),
            SoakFault::Crash(d) => self.places[d].crash(),
            SoakFault::Stall(d, millis) => self.places[d].stall(Duration::from_millis(millis)),
            SoakFault::Reload(d, count) => self.places[d].reload(count),
            SoakFault::StepClock(d, step_s) => {
                let table = self.places[d].shim().table();
                table.set_wall_offset_ns(step_s * 1_000_000_000);
            }
            SoakFault::ClientsLeave(d) => {
                self.leave_generations[d].fetch_add(1, Ordering::SeqCst);
            }
            _ => self.play_call_fault(fault, time),
        }
    }

    /// Failing system calls of a dispatcher.
    fn play_call_fault(&self, fault: SoakFault, time: Duration) {
        match fault {
            SoakFault::Interrupt(d) => self.fail_calls(d, libc::EINTR, time),
            SoakFault::NoBuffers(d) => self.fail_calls(d, libc::ENOBUFS, time),
            SoakFault::ShortCalls(d) => {
                let table = self.places[d].shim().table();
                table.shorten(Call::Recv, 3000);
                table.shorten(Call::Writev, 3000);
                thread::sleep(time);
                table.clear();
            }
            SoakFault::FailAccepts(d) => {
                let table = self.places[d].shim().table();
                table.fail(Call::Accept, libc::ECONNABORTED, 2000, None);
                table.fail(Call::Socket, libc::ENFILE, 1000, None);
                table.fail(Call::Bind, libc::EADDRINUSE, 1000, None);
                thread::sleep(time);
                table.clear();
            }
            _ => {}
        }
    }

    fn fail_calls(&self, d: usize, errno: i32, time: Duration) {
        let table = self.places[d].shim().table();
        for call in [Call::Recv, Call::Writev, Call::RecvFrom, Call::SendTo] {
            table.fail(call, errno, CALL_FAULT_RATE, None);
        }
        if errno == libc::EINTR {
            table.fail(Call::Read, errno, CALL_FAULT_RATE, None);
        }
        thread::sleep(time);
        table.clear();
    }

    fn fault_engine(&self, e: usize, fault: Fault) {
        self.engines()[e].engine.fault(fault);
    }

    fn while_link(&self, e: usize, time: Duration, set: impl Fn(&mut LinkFaults, bool)) {
        self.engines()[e].link.change(|faults| set(faults, true));
        thread::sleep(time);
        self.engines()[e].link.change(|faults| set(faults, false));
    }

    fn reset_link(&self, e: usize) {
        self.engines()[e].link.reset_all();
    }

    /// Drains, is gone, and another one comes in its place, cold.
    fn drain_engine(&self, e: usize, time: Duration) {
        let id = self.engines()[e].engine.id.clone();
        self.names.set(&id, Status::Draining);
        thread::sleep(time);
        self.names.set(&id, Status::Gone);
        thread::sleep(time / 2);
        self.replace_engine(e);
    }

    /// Another engine starts under the address: the one before has ended.
    fn replace_engine(&self, e: usize) {
        let (old, new, address) = {
            let mut engines = self.engines();
            let slot = &mut engines[e];
            slot.generation += 1;
            let id = format!("s-{e}-{}", slot.generation);
            let engine = start_engine(&id, &self.plan, &self.context);
            let old = std::mem::replace(&mut slot.engine, engine.clone());
            slot.link.set_target(engine.address);
            slot.link.reset_all();
            (old, engine, slot.link.address)
        };
        old.stop();
        self.names.set(&old.id, Status::Gone);
        self.names.add(endpoint(&new.id, address, unix_ms()));
        thread::sleep(Duration::from_millis(UNTOLD_MS));
        // Who was not told sends as to the engine before: the rule counts what those do who were.
        if !self.hides_list() {
            self.context.record.push(EventKind::Started {
                engine: new.id,
                cores: CORES,
            });
        }
    }

    /// A further engine joins, cold.
    fn join_engine(&self) {
        let (id, address) = {
            let mut engines = self.engines();
            let id = format!("s-{}", engines.len());
            let engine = start_engine(&id, &self.plan, &self.context);
            let link = Link::start(engine.address, self.plan.seed ^ engines.len() as u64);
            let address = link.address;
            engines.push(EngineSlot {
                link,
                engine,
                generation: 0,
            });
            (id, address)
        };
        self.context.record.push(EventKind::Started {
            engine: id.clone(),
            cores: CORES,
        });
        self.names.add(endpoint(&id, address, unix_ms()));
    }
}
