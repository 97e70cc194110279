//! Injects a plan's faults.

use super::environment::{endpoint, start_engine, unix_ms, EngineSlot, Environment};
use super::link::LinkFaults;
use super::plan::{PlannedFault, SoakFault};
use super::site::CORES;
use crate::engine::Fault;
use crate::record::{EventKind, Status};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tansymux_fault_table::Call;

/// Rate of failing system calls (of 10,000): one in twenty.
const CALL_FAULT_RATE: u32 = 500;
/// Signals that follow a SIGTERM, in steps of [`SIGNAL_STEP`](super::dispatcher::SIGNAL_STEP).
const SIGNAL_SERIES: [&str; 4] = ["-HUP", "-TERM", "-STOP", "-CONT"];
/// How long dispatchers that do not know of an engine's replacement may still send to the old one (ms).
const REPLACEMENT_GRACE_MS: u64 = 700;

impl Environment {
    /// Injects a fault and ends it after its time.
    pub(super) fn inject(&self, planned: PlannedFault) {
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
            SoakFault::SlowEngine(engine, times) => while_on(engine, Fault::Slow(times)),
            SoakFault::FailingEngine(engine, fraction) => while_on(engine, Fault::Errors(fraction)),
            SoakFault::SilentEngine(engine) => while_on(engine, Fault::Silent),
            SoakFault::ResettingEngine(engine, fraction) => {
                while_on(engine, Fault::Resets(fraction))
            }
            SoakFault::SpoilingEngine(engine, fraction) => {
                while_on(engine, Fault::Spoils(fraction))
            }
            SoakFault::FullEngine(engine, fraction) => while_on(engine, Fault::Full(fraction)),
            SoakFault::FaultyReplies(engine, fault) => while_on(engine, Fault::Replies(fault)),
            _ => self.inject_network_fault(fault, time),
        }
    }

    /// Injects faults of the endpoint list and of links.
    fn inject_network_fault(&self, fault: SoakFault, time: Duration) {
        match fault {
            SoakFault::DrainEngine(engine) => self.drain_engine(engine, time),
            SoakFault::ReplaceEngine(engine) => self.replace_engine(engine),
            SoakFault::JoinEngine => self.join_engine(),
            SoakFault::CutToEngine(engine) => {
                self.while_link(engine, time, |faults, on| faults.cut_to_engine = on);
            }
            SoakFault::CutFromEngine(engine) => {
                self.while_link(engine, time, |faults, on| faults.cut_from_engine = on);
            }
            SoakFault::ResetLink(engine) => {
                self.reset_link(engine);
                self.while_link(engine, time, |faults, on| faults.resets = on);
            }
            SoakFault::SplitLink(engine) => {
                self.while_link(engine, time, |faults, on| faults.splits = on);
            }
            SoakFault::ForgetIdle(engine) => {
                self.while_link(engine, 2 * time, |faults, on| faults.forgets = on);
            }
            SoakFault::LateConnects(engine) => {
                self.while_link(engine, time, |faults, on| faults.accepts_none = on);
            }
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
            _ => self.inject_dispatcher_fault(fault, time),
        }
    }

    /// Injects faults of a dispatcher's process and of its clients.
    fn inject_dispatcher_fault(&self, fault: SoakFault, time: Duration) {
        match fault {
            SoakFault::Restart(dispatcher) => self.slots[dispatcher].restart(&[]),
            SoakFault::SignalSeries(dispatcher) => {
                self.slots[dispatcher].restart(&SIGNAL_SERIES);
            }
            SoakFault::Crash(dispatcher) => self.slots[dispatcher].crash(),
            SoakFault::Stall(dispatcher, stall_ms) => {
                self.slots[dispatcher].stall(Duration::from_millis(stall_ms));
            }
            SoakFault::Reload(dispatcher, count) => self.slots[dispatcher].reload(count),
            SoakFault::StepClock(dispatcher, step_s) => {
                let table = self.slots[dispatcher].shim().table();
                table.set_wall_offset_ns(step_s * 1_000_000_000);
            }
            SoakFault::ClientsLeave(dispatcher) => {
                self.leave_generations[dispatcher].fetch_add(1, Ordering::SeqCst);
            }
            _ => self.inject_call_fault(fault, time),
        }
    }

    /// Injects failing system calls of a dispatcher.
    fn inject_call_fault(&self, fault: SoakFault, time: Duration) {
        match fault {
            SoakFault::Interrupt(dispatcher) => self.fail_calls(dispatcher, libc::EINTR, time),
            SoakFault::NoBuffers(dispatcher) => self.fail_calls(dispatcher, libc::ENOBUFS, time),
            SoakFault::ShortCalls(dispatcher) => {
                let table = self.slots[dispatcher].shim().table();
                table.shorten(Call::Recv, 3000);
                table.shorten(Call::Writev, 3000);
                thread::sleep(time);
                table.clear();
            }
            SoakFault::FailAccepts(dispatcher) => {
                let table = self.slots[dispatcher].shim().table();
                table.fail(Call::Accept, libc::ECONNABORTED, 2000, None);
                table.fail(Call::Socket, libc::ENFILE, 1000, None);
                table.fail(Call::Bind, libc::EADDRINUSE, 1000, None);
                thread::sleep(time);
                table.clear();
            }
            _ => {}
        }
    }

    fn fail_calls(&self, dispatcher: usize, errno: i32, time: Duration) {
        let table = self.slots[dispatcher].shim().table();
        for call in [Call::Recv, Call::Writev, Call::RecvFrom, Call::SendTo] {
            table.fail(call, errno, CALL_FAULT_RATE, None);
        }
        if errno == libc::EINTR {
            table.fail(Call::Read, errno, CALL_FAULT_RATE, None);
        }
        thread::sleep(time);
        table.clear();
    }

    fn fault_engine(&self, engine: usize, fault: Fault) {
        self.engines()[engine].engine.fault(fault);
    }

    fn while_link(&self, engine: usize, time: Duration, set: impl Fn(&mut LinkFaults, bool)) {
        self.engines()[engine]
            .link
            .change(|faults| set(faults, true));
        thread::sleep(time);
        self.engines()[engine]
            .link
            .change(|faults| set(faults, false));
    }

    fn reset_link(&self, engine: usize) {
        self.engines()[engine].link.reset_all();
    }

    /// Drains an engine, removes it and starts another one, cold, under its address.
    fn drain_engine(&self, engine: usize, time: Duration) {
        let id = self.engines()[engine].engine.id.clone();
        self.names.set(&id, Status::Draining);
        thread::sleep(time);
        self.names.set(&id, Status::Gone);
        thread::sleep(time / 2);
        self.replace_engine(engine);
    }

    /// Replaces an engine by another one under the same address.
    fn replace_engine(&self, engine: usize) {
        let (old, new, address) = {
            let mut engines = self.engines();
            let slot = &mut engines[engine];
            slot.generation += 1;
            let id = format!("s-{engine}-{}", slot.generation);
            let engine = start_engine(&id, &self.plan, &self.context);
            let old = std::mem::replace(&mut slot.engine, engine.clone());
            slot.link.set_target(engine.address);
            slot.link.reset_all();
            (old, engine, slot.link.address)
        };
        old.stop();
        self.names.set(&old.id, Status::Gone);
        self.names.add(endpoint(&new.id, address, unix_ms()));
        thread::sleep(Duration::from_millis(REPLACEMENT_GRACE_MS));
        // Dispatchers that do not know of the change send as to the old engine: the rule applies to the others.
        if !self.hides_list() {
            self.context.record.push(EventKind::Started {
                engine: new.id,
                cores: CORES,
            });
        }
    }

    /// Adds an engine, which is cold.
    fn join_engine(&self) {
        let (id, address) = {
            let mut engines = self.engines();
            let slot = EngineSlot::start(engines.len(), &self.plan, &self.context);
            let id = slot.engine.id.clone();
            let address = slot.link.address;
            engines.push(slot);
            (id, address)
        };
        self.context.record.push(EventKind::Started {
            engine: id.clone(),
            cores: CORES,
        });
        self.names.add(endpoint(&id, address, unix_ms()));
    }
}
