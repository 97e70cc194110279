//! Injection of a plan's faults.

use super::deployment::CORES;
use super::environment::{endpoint, start_engine, unix_ms, EngineSlot, Environment};
use super::link::LinkFaults;
use super::plan::{PlannedFault, SoakFault};
use crate::engine::Fault;
use crate::record::{EventKind, Status};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tansymux_fault_table::Call;

/// Rate of failing system calls (per 10,000 calls).
const CALL_FAULT_RATE: u32 = 500;
/// Signals that follow a SIGTERM, at intervals of [`SIGNAL_STEP`](super::dispatcher::SIGNAL_STEP).
const SIGNAL_SERIES: [&str; 4] = ["-HUP", "-TERM", "-STOP", "-CONT"];
/// Time after an engine's replacement for which dispatchers may still take the new engine for the old, warm one (ms).
const REPLACEMENT_GRACE_MS: u64 = 700;

impl Environment {
    /// Injects a fault and ends it after its duration.
    pub(super) fn inject(&self, planned: PlannedFault) {
        let PlannedFault { for_ms, fault, .. } = planned;
        let duration = Duration::from_secs_f64(for_ms / 1000.0);
        self.context.record.push(EventKind::Fault {
            engine: String::new(),
            fault: format!("{fault} for {for_ms:.0} ms"),
        });
        let with_fault = |engine, engine_fault: Fault| {
            self.set_engine_fault(engine, engine_fault);
            thread::sleep(duration);
            self.set_engine_fault(engine, Fault::None);
        };
        match fault {
            SoakFault::SlowEngine(engine, factor) => with_fault(engine, Fault::Slow(factor)),
            SoakFault::FailingEngine(engine, fraction) => {
                with_fault(engine, Fault::Errors(fraction))
            }
            SoakFault::SilentEngine(engine) => with_fault(engine, Fault::Silent),
            SoakFault::ResettingEngine(engine, fraction) => {
                with_fault(engine, Fault::Resets(fraction))
            }
            SoakFault::SpoilingEngine(engine, fraction) => {
                with_fault(engine, Fault::Spoils(fraction))
            }
            SoakFault::FullEngine(engine, fraction) => with_fault(engine, Fault::Full(fraction)),
            SoakFault::FaultyReplies(engine, fault) => with_fault(engine, Fault::Replies(fault)),
            _ => self.inject_network_fault(fault, duration),
        }
    }

    /// Injects a fault of the endpoint list, a link or the name service.
    fn inject_network_fault(&self, fault: SoakFault, duration: Duration) {
        match fault {
            SoakFault::DrainEngine(engine) => self.drain_engine(engine, duration),
            SoakFault::ReplaceEngine(engine) => self.replace_engine(engine),
            SoakFault::JoinEngine => self.join_engine(),
            SoakFault::CutToEngine(engine) => {
                self.with_link_fault(engine, duration, |faults, on| faults.cut_to_engine = on);
            }
            SoakFault::CutFromEngine(engine) => {
                self.with_link_fault(engine, duration, |faults, on| faults.cut_from_engine = on);
            }
            SoakFault::ResetLink(engine) => {
                self.reset_link(engine);
                self.with_link_fault(engine, duration, |faults, on| faults.resets = on);
            }
            SoakFault::SplitLink(engine) => {
                self.with_link_fault(engine, duration, |faults, on| faults.splits = on);
            }
            SoakFault::ForgetIdle(engine) => {
                self.with_link_fault(engine, 2 * duration, |faults, on| faults.drops_idle = on);
            }
            SoakFault::LateConnects(engine) => {
                self.with_link_fault(engine, duration, |faults, on| faults.blocks_connects = on);
            }
            SoakFault::SilentNames => {
                self.name_service_proxy.set_silent(true);
                thread::sleep(duration);
                self.name_service_proxy.set_silent(false);
            }
            SoakFault::SlowNames(delay_ms) => {
                self.name_service_proxy.set_delay_ms(delay_ms);
                thread::sleep(duration);
                self.name_service_proxy.set_delay_ms(0);
            }
            _ => self.inject_dispatcher_fault(fault, duration),
        }
    }

    /// Injects a fault of a dispatcher's process or its clients.
    fn inject_dispatcher_fault(&self, fault: SoakFault, duration: Duration) {
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
                self.disconnect_generations[dispatcher].fetch_add(1, Ordering::SeqCst);
            }
            _ => self.inject_call_fault(fault, duration),
        }
    }

    /// Injects failing or short system calls of a dispatcher.
    fn inject_call_fault(&self, fault: SoakFault, duration: Duration) {
        match fault {
            SoakFault::Interrupt(dispatcher) => self.fail_calls(dispatcher, libc::EINTR, duration),
            SoakFault::NoBuffers(dispatcher) => {
                self.fail_calls(dispatcher, libc::ENOBUFS, duration)
            }
            SoakFault::ShortCalls(dispatcher) => {
                let table = self.slots[dispatcher].shim().table();
                table.shorten(Call::Recv, 3000);
                table.shorten(Call::Writev, 3000);
                thread::sleep(duration);
                table.clear();
            }
            SoakFault::FailAccepts(dispatcher) => {
                let table = self.slots[dispatcher].shim().table();
                table.fail(Call::Accept, libc::ECONNABORTED, 2000, None);
                table.fail(Call::Socket, libc::ENFILE, 1000, None);
                table.fail(Call::Bind, libc::EADDRINUSE, 1000, None);
                thread::sleep(duration);
                table.clear();
            }
            _ => {}
        }
    }

    fn fail_calls(&self, dispatcher: usize, errno: i32, duration: Duration) {
        let table = self.slots[dispatcher].shim().table();
        for call in [Call::Recv, Call::Writev, Call::RecvFrom, Call::SendTo] {
            table.fail(call, errno, CALL_FAULT_RATE, None);
        }
        if errno == libc::EINTR {
            table.fail(Call::Read, errno, CALL_FAULT_RATE, None);
        }
        thread::sleep(duration);
        table.clear();
    }

    fn set_engine_fault(&self, engine: usize, fault: Fault) {
        self.engines()[engine].engine.inject_fault(fault);
    }

    fn with_link_fault(
        &self,
        engine: usize,
        duration: Duration,
        set: impl Fn(&mut LinkFaults, bool),
    ) {
        self.engines()[engine]
            .link
            .change(|faults| set(faults, true));
        thread::sleep(duration);
        self.engines()[engine]
            .link
            .change(|faults| set(faults, false));
    }

    fn reset_link(&self, engine: usize) {
        self.engines()[engine].link.reset_all();
    }

    /// Drains an engine, removes it and starts a cold replacement at its address.
    fn drain_engine(&self, engine: usize, duration: Duration) {
        let id = self.engines()[engine].engine.id.clone();
        self.name_service.set_status(&id, Status::Draining);
        thread::sleep(duration);
        self.name_service.set_status(&id, Status::Gone);
        thread::sleep(duration / 2);
        self.replace_engine(engine);
    }

    /// Replaces an engine by a cold one at the same address.
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
        self.name_service.set_status(&old.id, Status::Gone);
        self.name_service.add(endpoint(&new.id, address, unix_ms()));
        thread::sleep(Duration::from_millis(REPLACEMENT_GRACE_MS));
        // Until a dispatcher receives the update, it takes the new engine for the old, warm one. The slow-start rule
        // therefore applies only if the name service is neither silent nor slow.
        if !self.delays_endpoint_list() {
            self.context.record.push(EventKind::Started {
                engine: new.id,
                cores: CORES,
            });
        }
    }

    /// Adds a cold engine.
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
        self.name_service.add(endpoint(&id, address, unix_ms()));
    }
}
