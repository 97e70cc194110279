//! What the decisions are called with, and what they write to. A protocol implements both traits.

use crate::control::Control;

/// One round's events, in order. `deliver` calls the handlers of `Control` with decoded fields.
pub trait Feed {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn Writer);
}

/// Takes the decisions as they are made. Times are milliseconds.
pub trait Writer {
    /// Sends query `id` to engine `engine_id`.
    fn submit(&mut self, id: u64, engine_id: u64, bounds: Bounds);
    fn reject(&mut self, id: u64, retry_after: f64);
    fn fail(&mut self, id: u64);
    fn cancel(&mut self, id: u64, attempt: usize);
    /// Priority and memory grant (MB, 0 leaves it to the engine) of the query's next attempts.
    fn grant(&mut self, id: u64, priority: u8, memory: f64);
    fn probe(&mut self, engine_id: u64);
    /// Sends a few bytes to another dispatcher, or to all others, where the site lets them talk.
    fn tell(&mut self, peer: Option<u32>, content: &[u8]);
    fn timer(&mut self, delay: f64, handle: u64);
    /// Asks for pushed changes of the engine list.
    fn watch_list(&mut self);
    fn note(&mut self, text: &str);
}

/// What holds for one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// It is abandoned at this clock reading.
    pub until: f64,
    /// What has not begun to go out by then does not any more: the rules allowed it up to there.
    pub begin_by: f64,
    /// That it may run and nobody hear of it does no harm, as it may be sent again.
    pub harmless: bool,
}

/// What a query's text shows beyond what its client told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Text {
    /// How sure the estimate of its cost is, from 0 to 1.
    pub sure: f64,
    /// It may change tables, whatever its resource group promises.
    pub alters: bool,
}

impl Text {
    /// Nothing was read: what the client told holds.
    pub const UNREAD: Text = Text {
        sure: 1.0,
        alters: false,
    };
}

/// How a attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Error,
    Full,
    Timeout,
    NoConnection,
    Reset,
    Cancelled,
    NotSent,
}

/// Which kind of engine list comes, or that none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListForm {
    Changes,
    Full,
    Remembered,
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineStatus {
    Ready,
    Draining,
    Gone,
}

/// What the progress notes say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    Progress,
    Spills,
    Waits,
}
