use super::{RunnerLoad, SlotLoan, choose_runner, demand::Demand};
use lycheeyard_protocol::{Incarnation, RunnerId};
use std::{collections::BTreeMap, time::Duration};

/// Each response contributes one part in this many to the smoothed latency.
const SMOOTHING_FACTOR: u32 = 8;
/// One slot in this many is kept as a reserve beyond this instance's own demand.
const RESERVE_DIVISOR: u32 = 32;

/// The slots of one runner that belong to this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerSlots {
    /// The runner.
    pub id: RunnerId,
    /// The incarnation of the runner.
    pub incarnation: Incarnation,
    /// This instance's own share of the runner's slots.
    pub share: u32,
    /// Maximum number of requests that this instance may have in flight there, loans included.
    pub max_in_flight: u32,
}

#[derive(Clone, Debug)]
struct RunnerEntry {
    slots: RunnerSlots,
    lent: Vec<SlotLoan>,
    borrowed: Vec<SlotLoan>,
    is_open: bool,
    paused_until: Duration,
}

/// The runners of one service with this instance's use of them.
///
/// An incarnation of a runner keeps its position at least while it is open or has requests in flight.
#[derive(Clone, Debug, Default)]
pub struct RunnerSet {
    loads: Vec<RunnerLoad>,
    entries: Vec<RunnerEntry>,
    positions: BTreeMap<(RunnerId, Incarnation), usize>,
    search_start: usize,
    demand: Demand,
}

impl RunnerSet {
    /// Replaces the runners that accept new requests; the others finish the requests that they have.
    pub fn update(&mut self, runners: Vec<RunnerSlots>, now: Duration) {
        for entry in &mut self.entries {
            entry.is_open = false;
        }
        for slots in runners {
            match self.position(&slots.id, slots.incarnation) {
                Some(index) => {
                    self.entries[index].slots = slots;
                    self.entries[index].is_open = true;
                }
                None => self.insert(slots),
            }
        }
        self.refresh(now);
    }

    /// Returns the position of an incarnation of a runner.
    #[must_use]
    pub fn position(&self, id: &RunnerId, incarnation: Incarnation) -> Option<usize> {
        self.positions.get(&(id.clone(), incarnation)).copied()
    }

    /// Stops new requests to a runner that is draining.
    pub fn close(&mut self, index: usize) {
        self.entries[index].is_open = false;
        self.loads[index].share = 0;
    }

    /// Sends no new requests to a failed runner until the given time.
    pub fn pause(&mut self, index: usize, until: Duration, now: Duration) {
        self.entries[index].paused_until = until;
        self.refresh_entry(index, now);
    }

    /// Takes a slot of the runner with the lowest expected response time and returns the runner's position.
    pub fn take(&mut self, avoid: Option<usize>) -> Option<usize> {
        self.search_start = self.search_start.wrapping_add(1);
        let index = choose_runner(&self.loads, self.search_start, avoid)?;
        self.loads[index].in_flight += 1;
        self.demand.begin();
        Some(index)
    }

    /// Releases a slot and records the response time, if there was a response.
    pub fn release(&mut self, index: usize, latency: Option<Duration>) {
        self.demand.end();
        let load = &mut self.loads[index];
        load.in_flight = load.in_flight.saturating_sub(1);
        if let Some(latency) = latency {
            let sample = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
            load.latency_us = smooth(load.latency_us, sample);
        }
    }

    /// Ends the loans and pauses that have expired.
    pub fn refresh(&mut self, now: Duration) {
        self.demand.advance(now);
        for index in 0..self.entries.len() {
            self.refresh_entry(index, now);
        }
    }

    /// Lends up to `wanted` free slots beyond the recent peak of this instance's own demand and a reserve.
    pub fn lend(&mut self, wanted: u32, until: Duration, now: Duration) -> Vec<SlotLoan> {
        self.demand.advance(now);
        let slots = self.slots();
        let reserved = self
            .demand
            .peak()
            .saturating_add(slots.div_ceil(RESERVE_DIVISOR));
        let mut spare = slots.saturating_sub(reserved).min(self.free()).min(wanted);
        let mut loans = Vec::new();
        for index in 0..self.entries.len() {
            let current = self.loads[index];
            let own_lent: u32 = self.entries[index].lent.iter().map(|loan| loan.slots).sum();
            let own = self.entries[index].slots.share.saturating_sub(own_lent);
            let slots = current
                .share
                .saturating_sub(current.in_flight)
                .min(own)
                .min(spare);
            if slots == 0 {
                continue;
            }
            spare -= slots;
            let runner = self.entries[index].slots.id.clone();
            let loan = SlotLoan {
                runner,
                slots,
                until,
            };
            self.entries[index].lent.push(loan.clone());
            loans.push(loan);
            self.refresh_entry(index, now);
        }
        loans
    }

    /// Adds slots that another instance lends; loans of runners that are not open are ignored.
    pub fn borrow(&mut self, loans: Vec<SlotLoan>, now: Duration) {
        for loan in loans {
            let found = |entry: &RunnerEntry| entry.is_open && entry.slots.id == loan.runner;
            if let Some(index) = self.entries.iter().position(found) {
                self.entries[index].borrowed.push(loan);
                self.refresh_entry(index, now);
            }
        }
    }

    /// Returns the number of slots that this instance may currently use.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.loads.iter().map(|load| load.share).sum()
    }

    /// Returns the number of slots that are currently free.
    #[must_use]
    pub fn free(&self) -> u32 {
        let free = |load: &RunnerLoad| load.share.saturating_sub(load.in_flight);
        self.loads.iter().map(free).sum()
    }

    /// Returns `true` if any runner is open, even if it is paused.
    #[must_use]
    pub fn has_open(&self) -> bool {
        self.entries.iter().any(|entry| entry.is_open)
    }

    /// Returns the loads, by position.
    #[must_use]
    pub fn loads(&self) -> &[RunnerLoad] {
        &self.loads
    }

    fn insert(&mut self, slots: RunnerSlots) {
        let key = (slots.id.clone(), slots.incarnation);
        let entry = RunnerEntry {
            slots,
            lent: Vec::new(),
            borrowed: Vec::new(),
            is_open: true,
            paused_until: Duration::ZERO,
        };
        let unused =
            |index: &usize| !self.entries[*index].is_open && self.loads[*index].in_flight == 0;
        if let Some(index) = (0..self.entries.len()).find(unused) {
            self.positions.retain(|_, position| *position != index);
            self.positions.insert(key, index);
            self.entries[index] = entry;
            self.loads[index] = RunnerLoad::default();
        } else {
            self.positions.insert(key, self.entries.len());
            self.entries.push(entry);
            self.loads.push(RunnerLoad::default());
        }
    }

    fn refresh_entry(&mut self, index: usize, now: Duration) {
        let entry = &mut self.entries[index];
        entry.lent.retain(|loan| loan.until > now);
        entry.borrowed.retain(|loan| loan.until > now);
        let sum = |loans: &[SlotLoan]| loans.iter().map(|loan| loan.slots).sum::<u32>();
        let share = (entry.slots.share + sum(&entry.borrowed)).saturating_sub(sum(&entry.lent));
        let usable = entry.is_open && entry.paused_until <= now;
        self.loads[index].share = if usable {
            share.min(entry.slots.max_in_flight)
        } else {
            0
        };
    }
}

fn smooth(current: u32, sample: u32) -> u32 {
    if current == 0 {
        return sample;
    }
    let weighted = u64::from(current) * u64::from(SMOOTHING_FACTOR - 1) + u64::from(sample);
    u32::try_from(weighted / u64::from(SMOOTHING_FACTOR)).unwrap_or(u32::MAX)
}
