use super::{
    host::Host,
    hosts::Hosts,
    late_start::LateStart,
    pending_step::PendingStep,
    place::{Locality, choose_hosts_by, slots_on},
    room_deadlines::{FoundRoom, RoomPlace, RoomSize},
    round::Round,
    speed_preference::SpeedPreference,
};
use crate::{
    BootTime, Resources, Step, StepKey,
    scheduler::{JobScheduler, Now},
};
use lycheeyard_protocol::ServiceId;
use std::time::Duration;
use strum::IntoEnumIterator;

/// For how long a run that a deadline has let start is kept from preemption, if its step was not preempted before.
const MIN_KEPT_TIME: Duration = Duration::from_secs(2);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 3;

impl JobScheduler {
    /// Starts the least that can start together of a step that preferences have kept from room until its deadline: where room is left
    /// free for urgent work or drained for other steps and, at a deadline of its own, also on workers in quarantine and on any rack.
    /// Returns whether it was started.
    pub(super) fn place_despite_preferences(
        &mut self,
        pending: &PendingStep,
        round: &mut Round,
    ) -> bool {
        let now = round.now;
        match self.work_of(pending, now) {
            Work::None => {}
            Work::LateStarts => return false,
            Work::Other => {
                self.note_work(&pending.key, now);
                return false;
            }
        }
        let slots = PlaceSlots::find(pending, round);
        let mut due = None;
        for size in RoomSize::iter() {
            let place = slots.best_place(pending, size);
            let room = match place {
                Some(place) => FoundRoom::In(place),
                None if has_room_if_allowed(pending, size, round) => FoundRoom::NotAllowedYet,
                None => FoundRoom::Nowhere,
            };
            if self.note_room_for(pending, size, room, round) {
                due = due.or_else(|| Some((size, place?)));
            }
        }
        let due = due.filter(|_| !may_wait(pending, round));
        due.is_some_and(|(size, place)| {
            let part = least_part(pending, slots.of(place) / size.times());
            self.start_part(&part, place, round)
        })
    }

    /// Notes that a step has work which no deadline has let start.
    pub(super) fn note_work(&mut self, key: &StepKey, now: Now) {
        let entry = self.jobs.get_mut(&key.job);
        if let Some(deadlines) = entry.and_then(|entry| entry.room_deadlines.get_mut(key)) {
            deadlines.note_work(now.boot);
        }
    }

    /// When a step may next start on workers in quarantine, if there is room for it there; `None` if there is no room for it on any worker
    /// that the advisor has not denied, or it may wait.
    pub(super) fn quarantine_deadline(
        &self,
        pending: &PendingStep,
        round: &Round,
    ) -> Option<BootTime> {
        if may_wait(pending, round) {
            return None;
        }
        let entry = self.jobs.get(&pending.key.job)?;
        let deadlines = entry.room_deadlines.get(&pending.key)?;
        let is_anywhere_soon = counts_anywhere_soon(pending.step(), &pending.service, &round.hosts);
        deadlines.first(RoomPlace::Anywhere, is_anywhere_soon)
    }

    /// Forgets since when a step has been kept from room.
    fn clear_deadlines(&mut self, key: &StepKey) {
        if let Some(entry) = self.jobs.get_mut(&key.job) {
            entry.room_deadlines.remove(key);
        }
    }

    /// Notes the room of a size for a step that waits. Returns whether its deadline for that place has passed.
    fn note_room_for(
        &mut self,
        pending: &PendingStep,
        size: RoomSize,
        room: FoundRoom,
        round: &Round,
    ) -> bool {
        let Some(entry) = self.jobs.get_mut(&pending.key.job) else {
            return false;
        };
        let deadlines = entry.room_deadlines.entry(pending.key.clone());
        let is_anywhere_soon = counts_anywhere_soon(pending.step(), &pending.service, &round.hosts);
        deadlines
            .or_default()
            .note(size, room, is_anywhere_soon, round.now.boot)
    }

    fn start_part(&mut self, part: &PendingStep, place: RoomPlace, round: &mut Round) -> bool {
        let now = round.now;
        let Some(chosen) = choose_in(place, part, &round.hosts, now) else {
            return false;
        };
        let tasks: Vec<(usize, usize)> = part.tasks.iter().copied().zip(chosen).collect();
        self.start_tasks(part, &tasks, &mut round.hosts, now);
        self.keep_runs(part, round);
        true
    }

    /// Protects runs that a deadline has let start from preemption by steps without a guarantee, for as long as they need to be worth
    /// their start: twice as long after each preemption of their step, so that the step is done after few of them.
    fn keep_runs(&mut self, part: &PendingStep, round: &Round) {
        let now = round.now;
        if part.step().long_running {
            self.clear_deadlines(&part.key);
            return;
        }
        let entry = self.jobs.get(&part.key.job);
        let preemptions = entry.and_then(|entry| entry.preemptions.get(&part.key));
        let doublings = preemptions.map_or(0, |&count| count.min(MAX_DOUBLINGS));
        let kept_until = now.boot.after(MIN_KEPT_TIME * (1 << doublings));
        for &index in &part.tasks {
            if let Some(run) = self.runs.get_mut(&part.key.task(index)) {
                run.late_start = Some(LateStart {
                    kept_until,
                    drained_for: round.drained_for(&run.worker.id).cloned(),
                });
            }
        }
    }

    /// Returns what is at work of the job of a step, on workers that report. Each task of a long-running step counts for itself.
    fn work_of(&self, pending: &PendingStep, now: Now) -> Work {
        if pending.step().long_running {
            return Work::None;
        }
        let runs = self.runs_of_job(&pending.key.job);
        let at_work = runs.filter(|(_, run)| {
            let worker = self.workers.get(&run.worker.id);
            let reports = worker.is_some_and(|worker| !worker.is_unresponsive(now.boot));
            reports && run.stop_reason.is_none()
        });
        let works = at_work.map(|(_, run)| match run.late_start {
            Some(_) => Work::LateStarts,
            None => Work::Other,
        });
        works.max().unwrap_or(Work::None)
    }
}

/// What of a job is at work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Work {
    /// Nothing.
    None,
    /// Only what deadlines have let start, so that the job keeps them.
    LateStarts,
    /// Also work that no preference kept from starting.
    Other,
}

/// Whether the earlier deadline holds for room anywhere. Callers are promised the same of a long-running step at any load.
pub(super) fn counts_anywhere_soon(step: &Step, service: &ServiceId, hosts: &Hosts) -> bool {
    step.long_running || hosts.is_mostly_free(service)
}

/// Whether a step waits although its deadline has passed: its result is of no use any more, and the room is wanted by steps whose result
/// is. It starts once less than half of the service is in use.
fn may_wait(pending: &PendingStep, round: &Round) -> bool {
    pending.is_hopeless(round.now.wall) && !round.hosts.is_mostly_free(&pending.service)
}

/// For how many tasks of a step there is room, by place; 0 where the least that can start together does not fit.
struct PlaceSlots {
    preferred: usize,
    anywhere: usize,
    /// Counted while the service is mostly free, else as `anywhere`.
    everywhere: usize,
}

impl PlaceSlots {
    fn find(pending: &PendingStep, round: &mut Round) -> Self {
        let preferred = slots_in(RoomPlace::Preferred, pending, round);
        let is_the_same = !pending.has_locality() && !round.hosts.has_quarantined();
        let anywhere = if is_the_same {
            preferred
        } else {
            slots_in(RoomPlace::Anywhere, pending, round)
        };
        let may_repeat =
            !pending.avoided_workers.is_empty() && round.hosts.is_mostly_free(&pending.service);
        let everywhere = if may_repeat {
            slots_in(RoomPlace::Everywhere, &on_any_worker(pending), round)
        } else {
            anywhere
        };
        Self {
            preferred,
            anywhere,
            everywhere,
        }
    }

    fn of(&self, place: RoomPlace) -> usize {
        match place {
            RoomPlace::Preferred => self.preferred,
            RoomPlace::Anywhere => self.anywhere,
            RoomPlace::Everywhere => self.everywhere,
        }
    }

    /// The best place in which the least that can start together fits as often as the size asks for. Beside room that it would fill, a
    /// step does not spend its attempts on workers on which it has failed.
    fn best_place(&self, pending: &PendingStep, size: RoomSize) -> Option<RoomPlace> {
        let wanted = pending.min_tasks().saturating_mul(size.times());
        let mut places = RoomPlace::iter()
            .filter(|place| *place != RoomPlace::Everywhere || size == RoomSize::Ample);
        places.find(|place| self.of(*place) >= wanted)
    }
}

fn slots_in(place: RoomPlace, pending: &PendingStep, round: &mut Round) -> usize {
    let failures = round.scarce_room.entry(place).or_default();
    if failures.rules_out(pending) {
        return 0;
    }
    let slots = match place {
        RoomPlace::Preferred => slots_on(round.hosts.usable(), pending, Locality::Local, startable),
        RoomPlace::Anywhere | RoomPlace::Everywhere => slots_on(
            round.hosts.with_quarantined(),
            pending,
            Locality::Any,
            startable,
        ),
    };
    if slots >= pending.min_tasks() {
        return slots;
    }
    // Other steps may use the workers in quarantine that this one avoids.
    if pending.avoided_workers.is_empty() {
        failures.record(pending);
    }
    0
}

/// The free resources of a host; none where its runs use more than its capacity, since nothing may start there.
fn startable(host: &Host) -> Resources {
    if host.is_over_capacity() {
        Resources::default()
    } else {
        host.free()
    }
}

/// Chooses hosts for a step whose deadline has passed: of those in the place, the ones where it runs best.
fn choose_in(place: RoomPlace, part: &PendingStep, hosts: &Hosts, now: Now) -> Option<Vec<usize>> {
    let preference = SpeedPreference::beside_urgent_steps(part, now.wall);
    let choose = |hosts, locality| choose_hosts_by(hosts, part, locality, preference, Host::free);
    let preferred = || choose(hosts.usable(), Locality::Local);
    let anywhere = || {
        preferred()
            .or_else(|| choose(hosts.usable(), Locality::Any))
            .or_else(|| choose(hosts.with_quarantined(), Locality::Local))
            .or_else(|| choose(hosts.with_quarantined(), Locality::Any))
    };
    match place {
        RoomPlace::Preferred => preferred(),
        RoomPlace::Anywhere => anywhere(),
        RoomPlace::Everywhere => anywhere().or_else(|| {
            let part = on_any_worker(part);
            let hosts = hosts.with_quarantined();
            choose_hosts_by(hosts, &part, Locality::Any, preference, Host::free)
        }),
    }
}

/// Whether there is room of a size for a step that needs tickets if the advisor allows each worker that it has not denied.
fn has_room_if_allowed(pending: &PendingStep, size: RoomSize, round: &mut Round) -> bool {
    if !pending.permits.is_advised() {
        return false;
    }
    let allowed = PendingStep {
        permits: pending.permits.assuming_allowed(),
        ..pending.clone()
    };
    let slots = PlaceSlots::find(&allowed, round);
    slots.best_place(&allowed, size).is_some()
}

/// The same tasks, which may also run on workers in quarantine on which they have failed.
fn on_any_worker(pending: &PendingStep) -> PendingStep {
    PendingStep {
        uses_avoided_workers: true,
        ..pending.clone()
    }
}

/// The tasks that have to start: one task, all members of a gang, or up to `limit` tasks of a long-running step.
fn least_part(pending: &PendingStep, limit: usize) -> PendingStep {
    let mut part = pending.clone();
    let least = pending.min_tasks();
    let tasks = if part.step().long_running {
        limit.max(least)
    } else {
        least
    };
    part.tasks.truncate(tasks);
    part
}
