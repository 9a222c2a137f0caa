use super::{
    host::Host,
    hosts::Hosts,
    late_start::LateStart,
    pending_step::PendingStep,
    place::{Locality, choose_hosts_by, slots_on},
    room_deadlines::RoomSize,
    round::Round,
    speed_preference::SpeedPreference,
};
use crate::{
    StepKey,
    scheduler::{JobScheduler, Now},
};
use std::time::Duration;
use strum::IntoEnumIterator;

/// For how long a run that a deadline has let start is kept from preemption, if its step was not preempted before.
const MIN_KEPT_TIME: Duration = Duration::from_secs(2);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 3;

impl JobScheduler {
    /// Starts the least that can start together of a step that preferences have kept from room until its deadline: where room is left
    /// free for urgent work or drained for other steps and, while the service is mostly free, also on workers in quarantine and off
    /// the rack of its data. Returns whether it was started.
    pub(super) fn place_despite_preferences(
        &mut self,
        pending: &PendingStep,
        round: &mut Round,
    ) -> bool {
        let now = round.now;
        if may_wait(pending, round) {
            self.clear_deadlines(&pending.key);
            return false;
        }
        match self.work_of(pending, now) {
            Work::None => {}
            Work::LateStarts => return false,
            Work::Other => {
                self.note_work(&pending.key, now);
                return false;
            }
        }
        let mut due = None;
        for size in RoomSize::iter() {
            let slots = room_for(pending, round, size);
            if self.note_room_for(&pending.key, size, slots > 0, now) {
                due = due.or(Some((size, slots)));
            }
        }
        due.is_some_and(|(size, slots)| {
            let part = least_part(pending, slots / size.times());
            self.start_part(&part, round)
        })
    }

    /// Notes that a step has work which no deadline has let start.
    pub(super) fn note_work(&mut self, key: &StepKey, now: Now) {
        let entry = self.jobs.get_mut(&key.job);
        if let Some(deadlines) = entry.and_then(|entry| entry.room_deadlines.get_mut(key)) {
            deadlines.note_work(now.boot);
        }
    }

    /// Forgets since when a step has been kept from room.
    fn clear_deadlines(&mut self, key: &StepKey) {
        if let Some(entry) = self.jobs.get_mut(&key.job) {
            entry.room_deadlines.remove(key);
        }
    }

    /// Notes whether there is room for a step that waits. Returns whether there was until its deadline.
    fn note_room_for(&mut self, key: &StepKey, size: RoomSize, has_room: bool, now: Now) -> bool {
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let deadlines = entry.room_deadlines.entry(key.clone()).or_default();
        deadlines.note(size, has_room, now.boot)
    }

    fn start_part(&mut self, part: &PendingStep, round: &mut Round) -> bool {
        let now = round.now;
        let preference = SpeedPreference::beside_urgent_steps(part, now.wall);
        let hosts = reachable(part, &round.hosts);
        let choose = |locality| choose_hosts_by(hosts, part, locality, preference, Host::free);
        let chosen = choose(Locality::Local).or_else(|| choose(locality(part, &round.hosts)));
        let Some(chosen) = chosen else {
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

/// Whether a step has no deadline: its result is of no use any more, and the room is wanted by steps whose result is.
fn may_wait(pending: &PendingStep, round: &Round) -> bool {
    pending.is_hopeless(round.now.wall) && !round.hosts.is_mostly_free(&pending.service)
}

/// Returns for how many tasks of a step there is room, or 0 if the least that can start together does not fit as often as the size
/// asks for.
fn room_for(pending: &PendingStep, round: &mut Round, size: RoomSize) -> usize {
    let failures = round.scarce_room.entry(size).or_default();
    if failures.rules_out(pending) {
        return 0;
    }
    let hosts = reachable(pending, &round.hosts);
    let slots = slots_on(hosts, pending, locality(pending, &round.hosts), Host::free);
    if slots >= pending.min_tasks().saturating_mul(size.times()) {
        return slots;
    }
    failures.record(pending);
    0
}

/// The hosts that a step may use whose deadline has passed.
fn reachable<'a>(pending: &PendingStep, hosts: &'a Hosts) -> &'a [Host] {
    if hosts.is_mostly_free(&pending.service) {
        hosts.with_quarantined()
    } else {
        hosts.usable()
    }
}

/// Where a step may run relative to its data whose deadline has passed. A gang that is to stay on one rack waits for one, since all its members would be slow.
fn locality(pending: &PendingStep, hosts: &Hosts) -> Locality {
    if hosts.is_mostly_free(&pending.service) && !pending.step().same_rack {
        Locality::Any
    } else {
        Locality::Local
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
