use crate::ports::WorkerClock;
use lycheeyard_jobs::{BootTime, MAX_ORDER_DELAY};

/// The clocks of workers and of this instance differ in rate by one part in this many at most.
const CLOCK_RATE_PARTS: u64 = 50;

/// The start orders to one worker that its next incarnation may carry out or have carried out, as nothing proves that the present one
/// or none has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnsettledStarts {
    /// How many senders have start orders for the worker.
    senders: u32,
    /// When the last report request was sent that the present incarnation has answered.
    asked_at: Option<BootTime>,
    /// When the last start was answered whose answer does not prove which incarnation gave it.
    unproven_at: Option<BootTime>,
    /// Until when a copy that got no answer may be carried out.
    copies_until: Option<BootTime>,
}

/// Whether the start orders to a worker are settled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Settlement {
    /// The incarnation that they were meant for has carried them out, or nobody has and will.
    Settled,
    /// Some are being sent.
    BeingSent,
    /// Some were carried out by an incarnation that the next report will prove.
    Unproven,
    /// Copies of some may be carried out later.
    MayBeCarriedOut,
}

impl UnsettledStarts {
    /// Notes that orders are meant for another incarnation from now on. The first report request to it acknowledges nothing, so that its
    /// answer lists what it has carried out before.
    pub fn begin_incarnation(&mut self) {
        self.asked_at = None;
        self.unproven_at = None;
    }

    pub fn begin_sending(&mut self) {
        self.senders += 1;
    }

    pub fn end_sending(&mut self) {
        self.senders = self.senders.saturating_sub(1);
    }

    /// Adds a start that was carried out before `now`, when the worker's clock showed `clock`.
    pub fn add_carried_out(&mut self, clock: Option<WorkerClock>, now: BootTime) {
        if !self.shows_present_incarnation(clock, now) {
            self.unproven_at = self.unproven_at.max(Some(now));
        }
    }

    /// Whether an answer that arrived at `now` is of the present incarnation. The clock of a later one, which has started after the
    /// present one last answered, shows less than the time since that request was sent.
    fn shows_present_incarnation(&self, clock: Option<WorkerClock>, now: BootTime) -> bool {
        let (Some(clock), Some(asked_at)) = (clock, self.asked_at) else {
            return false;
        };
        let elapsed_ms = now.0.saturating_sub(asked_at.0);
        clock.0 > elapsed_ms.saturating_add(elapsed_ms / CLOCK_RATE_PARTS + 1)
    }

    /// Adds a copy of a start order that was sent before `sent_at`.
    pub fn add_unanswered(&mut self, sent_at: BootTime) {
        let until = sent_at.after(MAX_ORDER_DELAY);
        self.copies_until = self.copies_until.max(Some(until));
    }

    /// Notes that the incarnation that the orders are meant for has answered a request that was sent at `asked_at`: what was carried
    /// out before was so by this incarnation.
    pub fn note_report(&mut self, asked_at: BootTime) {
        self.asked_at = Some(asked_at);
        self.unproven_at = self.unproven_at.filter(|at| *at > asked_at);
    }

    pub fn settlement(&self, now: BootTime) -> Settlement {
        if self.senders > 0 {
            Settlement::BeingSent
        } else if self.unproven_at.is_some() {
            Settlement::Unproven
        } else if self.copies_until.is_some_and(|until| !until.is_past(now)) {
            Settlement::MayBeCarriedOut
        } else {
            Settlement::Settled
        }
    }
}
