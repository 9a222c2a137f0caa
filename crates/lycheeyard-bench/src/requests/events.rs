use std::{collections::BTreeMap, time::Duration};

/// Events in the order of virtual time; those of the same time keep the order in which they were added.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    events: BTreeMap<(Duration, u64), E>,
    added: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            added: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: Duration, event: E) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Takes the next event out.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
