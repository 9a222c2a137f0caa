use super::{RunnerLoad, SlotLoan, choose_runner, demand::Demand};
use lycheeyard_protocol::{Incarnation, RunnerId};
use std::{collections::BTreeMap, time::Duration};

/// One answer's weight in the smoothed latency is one part in this many.
const SMOOTHING: u32 = 8;
/// One slot in this many is kept beyond the own demand.
const RESERVE: u32 = 32;

/// The slots of one runner that belong to this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerSlots {
    /// The runner.
    pub id: RunnerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// This instance's own share of its slots.
    pub share: u32,
    /// The most requests this instance may have there, loans included.
    pub max_in_flight: u32,
}

#[derive(Clone, Debug)]
struct Place {
    slots: RunnerSlots,
    lent: Vec<SlotLoan>,
    borrowed: Vec<SlotLoan>,
    open: bool,
    closed_until: Duration,
}

/// The runners of one service as this instance uses them; a runner keeps its position for its life.
#[derive(Clone, Debug, Default)]
pub struct RunnerSet {
    loads: Vec<RunnerLoad>,
    places: Vec<Place>,
    positions: BTreeMap<(RunnerId, Incarnation), usize>,
    turn: usize,
    demand: Demand,
}

impl RunnerSet {
    /// Replaces the runners that take new work; the others finish what they have.
    pub fn update(&mut self, runners: Vec<RunnerSlots>, now: Duration) {
        for place in &mut self.places {
            place.open = false;
        }
        for slots in runners {
            match self.position(&slots.id, slots.incarnation) {
                Some(index) => {
                    self.places[index].slots = slots;
                    self.places[index].open = true;
                }
                None => self.insert(slots),
            }
        }
        self.refresh(now);
    }

    /// The position of a runner's life.
    #[must_use]
    pub fn position(&self, id: &RunnerId, incarnation: Incarnation) -> Option<usize> {
        self.positions.get(&(id.clone(), incarnation)).copied()
    }

    /// Stops new work for a runner that leaves.
    pub fn close(&mut self, index: usize) {
        self.places[index].open = false;
        self.loads[index].share = 0;
    }

    /// Sends no new work to a runner that failed until the given time.
    pub fn pause(&mut self, index: usize, until: Duration, now: Duration) {
        self.places[index].closed_until = until;
        self.refresh_one(index, now);
    }

    /// Takes a slot of the cheapest runner.
    pub fn take(&mut self, avoid: Option<usize>) -> Option<usize> {
        self.turn = self.turn.wrapping_add(1);
        let index = choose_runner(&self.loads, self.turn, avoid)?;
        self.loads[index].in_flight += 1;
        self.demand.begin();
        Some(index)
    }

    /// Gives a slot back and takes the time of an answer in, where there was one.
    pub fn put_back(&mut self, index: usize, latency: Option<Duration>) {
        self.demand.end();
        let load = &mut self.loads[index];
        load.in_flight = load.in_flight.saturating_sub(1);
        if let Some(latency) = latency {
            let sample = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
            load.latency_us = smooth(load.latency_us, sample);
        }
    }

    /// Ends loans and pauses whose time has come.
    pub fn refresh(&mut self, now: Duration) {
        self.demand.advance(now);
        for index in 0..self.places.len() {
            self.refresh_one(index, now);
        }
    }

    /// Lends up to `wanted` free slots beyond the recent peak of the own demand and a reserve.
    pub fn lend(&mut self, wanted: u32, until: Duration, now: Duration) -> Vec<SlotLoan> {
        self.demand.advance(now);
        let slots = self.slots();
        let kept = self.demand.peak().saturating_add(slots.div_ceil(RESERVE));
        let mut spare = slots.saturating_sub(kept).min(self.free()).min(wanted);
        let mut loans = Vec::new();
        for index in 0..self.places.len() {
            let present = self.loads[index];
            let own_lent: u32 = self.places[index].lent.iter().map(|loan| loan.slots).sum();
            let own = self.places[index].slots.share.saturating_sub(own_lent);
            let slots = present
                .share
                .saturating_sub(present.in_flight)
                .min(own)
                .min(spare);
            if slots == 0 {
                continue;
            }
            spare -= slots;
            let runner = self.places[index].slots.id.clone();
            let loan = SlotLoan {
                runner,
                slots,
                until,
            };
            self.places[index].lent.push(loan.clone());
            loans.push(loan);
            self.refresh_one(index, now);
        }
        loans
    }

    /// Takes slots on loan.
    pub fn borrow(&mut self, loans: Vec<SlotLoan>, now: Duration) {
        for loan in loans {
            let found = |place: &Place| place.open && place.slots.id == loan.runner;
            if let Some(index) = self.places.iter().position(found) {
                self.places[index].borrowed.push(loan);
                self.refresh_one(index, now);
            }
        }
    }

    /// The slots that this instance may use now.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.loads.iter().map(|load| load.share).sum()
    }

    /// The slots that are free now.
    #[must_use]
    pub fn free(&self) -> u32 {
        let free = |load: &RunnerLoad| load.share.saturating_sub(load.in_flight);
        self.loads.iter().map(free).sum()
    }

    /// Whether any runner is open, be it paused.
    #[must_use]
    pub fn has_open(&self) -> bool {
        self.places.iter().any(|place| place.open)
    }

    /// The loads by position.
    #[must_use]
    pub fn loads(&self) -> &[RunnerLoad] {
        &self.loads
    }

    fn insert(&mut self, slots: RunnerSlots) {
        let life = (slots.id.clone(), slots.incarnation);
        let place = Place {
            slots,
            lent: Vec::new(),
            borrowed: Vec::new(),
            open: true,
            closed_until: Duration::ZERO,
        };
        let unused = |index: &usize| !self.places[*index].open && self.loads[*index].in_flight == 0;
        if let Some(index) = (0..self.places.len()).find(unused) {
            self.positions.retain(|_, position| *position != index);
            self.positions.insert(life, index);
            self.places[index] = place;
            self.loads[index] = RunnerLoad::default();
        } else {
            self.positions.insert(life, self.places.len());
            self.places.push(place);
            self.loads.push(RunnerLoad::default());
        }
    }

    fn refresh_one(&mut self, index: usize, now: Duration) {
        let place = &mut self.places[index];
        place.lent.retain(|loan| loan.until > now);
        place.borrowed.retain(|loan| loan.until > now);
        let sum = |loans: &[SlotLoan]| loans.iter().map(|loan| loan.slots).sum::<u32>();
        let share = (place.slots.share + sum(&place.borrowed)).saturating_sub(sum(&place.lent));
        let usable = place.open && place.closed_until <= now;
        self.loads[index].share = if usable {
            share.min(place.slots.max_in_flight)
        } else {
            0
        };
    }
}

fn smooth(present: u32, sample: u32) -> u32 {
    if present == 0 {
        return sample;
    }
    let weighted = u64::from(present) * u64::from(SMOOTHING - 1) + u64::from(sample);
    u32::try_from(weighted / u64::from(SMOOTHING)).unwrap_or(u32::MAX)
}
