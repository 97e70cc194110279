//! Handles the events of connections: connects, writes, frames and closes.

use super::EnginePool;
use crate::clock::Clock;
use crate::engine::channel::error::ChannelError;
use crate::engine::channel::handler::ChannelHandler;
use crate::engine::channel::Channel;
use crate::engine::connection::{ConnectionState, FrameEvent};
use crate::engine::protocol;
use crate::engine::protocol_error::ProtocolError;
use crate::engine::reports::AttemptReport;
use crate::engine::resp::Frame;
use crate::ids::EngineId;
use crate::ignored_reply::IgnoredReply;
use crate::query_registry::{AttemptKey, Event};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of ignored replies that are logged per connection: bounds the log volume of an engine that floods.
const MAX_LOGGED_IGNORED_REPLIES: u64 = 8;

impl ChannelHandler for EnginePool {
    fn clock(&self) -> Clock {
        self.clock
    }

    fn connect_timeout(&self) -> Duration {
        self.settings.connect_timeout()
    }

    fn read_buffer(&self) -> &RefCell<Vec<u8>> {
        &self.read_buffer
    }

    fn on_local_connect_fault(&self, channel: &Channel, error: &io::Error) {
        let engine_id = EngineId(channel.engine_id);
        tracing::warn!(%engine_id, %error, "connect failed on this machine");
        self.registry.counters.local_connect_faults.increment();
    }

    fn on_connect_timeout(self: &Rc<Self>, channel: &Rc<Channel>) {
        self.handle_connect_timeout(channel);
    }

    fn on_connected(&self, channel: &Channel) {
        let mut connection = channel.connection.borrow_mut();
        if connection.state() == ConnectionState::ConnectTimedOut {
            self.registry.counters.connects_after_timeout.increment();
        }
        let engine_id = EngineId(channel.engine_id);
        tracing::debug!(connection = %channel.id, %engine_id, "engine connection up");
        connection.on_connected(self.clock.now());
        drop(connection);
        self.engines
            .with_mut(channel.engine_id, |engine| engine.on_connected());
        self.silence_detector.on_reachable(channel.engine_id);
    }

    fn on_writable(&self, channel: &Channel) -> Option<AttemptKey> {
        // Enforces the start limits right before each write. The guard checks the next request once more.
        self.abandoner.abandon_too_late(channel);
        self.gate.begin_next(channel)
    }

    fn on_attempt_begun(&self, channel: &Channel, key: &AttemptKey) {
        self.registry
            .on_attempt_begun(key, channel.id, self.clock.now());
    }

    fn on_written(&self, channel: &Channel) {
        let ended_attempts = channel.connection.borrow_mut().take_written_last_commands();
        for attempt in ended_attempts {
            self.reporter.on_last_command(attempt);
        }
    }

    fn on_frame(&self, channel: &Channel, frame: &Frame) -> Result<(), ProtocolError> {
        let now_ms = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        if let Some(reuse) = connection.take_idle_reuse() {
            self.reuse_tracker.record_answered(now_ms, reuse);
        }
        let event = connection.receive(frame, now_ms)?;
        drop(connection);
        self.silence_detector.on_frame(channel.engine_id, now_ms);
        self.report_frame(channel, frame, event, now_ms);
        Ok(())
    }

    fn on_closed(&self, channel: &Rc<Channel>, error: Option<&ChannelError>) {
        self.allocator.release(channel);
        self.close_handler.close(channel, error);
    }
}

impl EnginePool {
    /// Reports the event of a frame to the admission controller.
    fn report_frame(&self, channel: &Channel, frame: &Frame, event: FrameEvent, now_ms: f64) {
        let engine_id = channel.engine_id;
        match event {
            FrameEvent::AttemptEnded {
                query_id,
                attempt,
                outcome,
                cause,
                sent_ms,
                deadline_ms,
                pages,
            } => self.reporter.report(AttemptReport {
                query_id,
                attempt,
                outcome,
                cause,
                connection: Some(channel.id),
                engine_id,
                deadline_ms,
                latency_ms: now_ms - sent_ms,
                pages,
            }),
            FrameEvent::Progress {
                query_id,
                attempt,
                note,
            } => self.registry.push_event(Event::ProgressReported {
                query_id,
                attempt,
                kind: note.kind,
                amount: note.amount,
            }),
            FrameEvent::HealthCheckAnswered(outcome) => {
                self.reporter.report_health(engine_id, outcome, 1);
            }
            FrameEvent::PageArrived => {}
            FrameEvent::Ignored(reason) => self.on_ignored_reply(channel, frame, reason),
        }
    }

    /// Counts an ignored reply. Logs it if it is among the first [`MAX_LOGGED_IGNORED_REPLIES`] of its connection and
    /// is not an unused progress note.
    fn on_ignored_reply(&self, channel: &Channel, frame: &Frame, reason: IgnoredReply) {
        self.registry.counters.count_ignored_reply(reason);
        let count = channel.ignored_replies.get() + 1;
        channel.ignored_replies.set(count);
        if reason == IgnoredReply::UnusedNote || count > MAX_LOGGED_IGNORED_REPLIES {
            return;
        }
        tracing::info!(
            connection = %channel.id,
            engine_id = %EngineId(channel.engine_id),
            client_id = protocol::reply_id(frame).ok(),
            reply = protocol::reply_name(frame),
            %reason,
            "engine reply ignored"
        );
    }
}
