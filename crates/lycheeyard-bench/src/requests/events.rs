use std::{collections::BTreeMap, time::Duration};

/// A queue of events in order of virtual time; events of the same time keep the order in which they were added.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    events: BTreeMap<(Duration, u64), E>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn push(&mut self, at: Duration, event: E) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
