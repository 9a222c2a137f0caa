use super::{
    ListenerKind,
    entry::{ConnectionId, Entry, Phase, Rank, SMALL_BYTES},
    metrics::{count_ended, count_held, count_open},
};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// What became of a wish for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HoldOutcome {
    /// The connection holds the memory.
    Held,
    /// To be tried again once a connection has ended: some are being closed for it, or all others have whole requests.
    Wait,
    /// The connection is being closed, or it is the first to be closed when memory is short.
    Refused,
}

/// All accepted connections of a process and the memory that they hold.
#[derive(Debug)]
pub(super) struct Table {
    entries: BTreeMap<ConnectionId, Entry>,
    last_id: ConnectionId,
    counts: BTreeMap<ListenerKind, usize>,
    max_bytes: usize,
    held_bytes: usize,
    /// The part of `held_bytes` that connections hold which are being closed.
    closing_bytes: usize,
}

impl Table {
    pub fn new(max_bytes: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            last_id: ConnectionId::default(),
            counts: BTreeMap::new(),
            max_bytes,
            held_bytes: 0,
            closing_bytes: 0,
        }
    }

    pub fn add(&mut self, listener: ListenerKind, now: Instant, deadline: Instant) -> ConnectionId {
        self.last_id.0 += 1;
        let entry = Entry::new(listener, now, deadline);
        self.entries.insert(self.last_id, entry);
        *self.counts.entry(listener).or_default() += 1;
        count_open(listener);
        self.last_id
    }

    pub fn remove(&mut self, id: ConnectionId) {
        self.set_held(id, 0);
        if let Some(entry) = self.entries.remove(&id) {
            *self.counts.entry(entry.listener).or_default() -= 1;
            count_ended(entry.listener);
        }
    }

    pub fn get(&self, id: ConnectionId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    /// The number of connections of a listener, those included that are being closed.
    pub fn count(&self, listener: ListenerKind) -> usize {
        self.counts.get(&listener).copied().unwrap_or_default()
    }

    /// Lets a connection hold `bytes` in all. Where they do not fit, closes connections of a lower rank, and calls `on_close` for each.
    pub fn hold(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
        mut on_close: impl FnMut(ListenerKind),
    ) -> HoldOutcome {
        let Some(entry) = self.entries.get(&id) else {
            return HoldOutcome::Refused;
        };
        if entry.is_ending() {
            return HoldOutcome::Refused;
        }
        let held = entry.held_bytes;
        let limit = self.limit_for(bytes);
        if bytes > limit {
            return HoldOutcome::Refused;
        }
        if bytes <= held || self.held_bytes - held + bytes <= limit {
            self.set_held(id, bytes);
            return HoldOutcome::Held;
        }
        let own_rank = entry.rank(id, bytes, now);
        while self.held_bytes - self.closing_bytes - held + bytes > limit {
            match self.lowest_but(id, now) {
                None => return HoldOutcome::Wait,
                Some((rank, _)) if own_rank.is_some_and(|own_rank| own_rank <= rank) => {
                    return HoldOutcome::Refused;
                }
                Some((_, victim)) => {
                    let closed = self.close(victim);
                    closed.into_iter().for_each(&mut on_close);
                }
            }
        }
        HoldOutcome::Wait
    }

    /// Records what a connection holds, whether it fits or not.
    pub fn set_held(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            count_held(entry.held_bytes, bytes);
            self.held_bytes = self.held_bytes - entry.held_bytes + bytes;
            if entry.is_ending() {
                self.closing_bytes = self.closing_bytes - entry.held_bytes + bytes;
            }
            entry.held_bytes = bytes;
        }
    }

    /// Closes the connection of the lowest rank, of `listener` if one is given. Returns its listener; `None` if there is none to close.
    pub fn close_lowest(
        &mut self,
        listener: Option<ListenerKind>,
        now: Instant,
    ) -> Option<ListenerKind> {
        let is_of = |_, entry: &Entry| listener.is_none_or(|listener| entry.listener == listener);
        let (_, victim) = self.lowest(now, is_of)?;
        self.close(victim)
    }

    /// Closes the connections of a listener whose requests have not arrived as a whole. Returns their number.
    pub fn close_incomplete(&mut self, listener: ListenerKind) -> usize {
        let is_incomplete = |entry: &Entry| {
            matches!(entry.phase, Phase::New | Phase::Head | Phase::Body)
                && entry.listener == listener
                && !entry.is_ending()
        };
        let entries = self.entries.iter();
        let incomplete = entries.filter(|(_, entry)| is_incomplete(entry));
        let incomplete: Vec<ConnectionId> = incomplete.map(|(&id, _)| id).collect();
        for &id in &incomplete {
            self.close(id);
        }
        incomplete.len()
    }

    fn limit_for(&self, bytes: usize) -> usize {
        if bytes > SMALL_BYTES {
            self.max_bytes / 4 * 3
        } else {
            self.max_bytes
        }
    }

    /// Finds the connection to be closed first for the memory that another one needs.
    fn lowest_but(&self, other: ConnectionId, now: Instant) -> Option<(Rank, ConnectionId)> {
        self.lowest(now, |id, entry| id != other && entry.held_bytes > 0)
    }

    fn lowest(
        &self,
        now: Instant,
        is_candidate: impl Fn(ConnectionId, &Entry) -> bool,
    ) -> Option<(Rank, ConnectionId)> {
        let candidates = self
            .entries
            .iter()
            .filter(|&(&id, entry)| is_candidate(id, entry));
        let ranked = candidates.filter_map(|(&id, entry)| {
            let rank = entry.rank(id, entry.held_bytes, now)?;
            Some((rank, id))
        });
        ranked.min()
    }

    /// Makes a connection end, which holds its memory until then. Returns its listener.
    fn close(&mut self, id: ConnectionId) -> Option<ListenerKind> {
        let entry = self.entries.get(&id)?;
        entry.end();
        self.closing_bytes += entry.held_bytes;
        Some(entry.listener)
    }
}
