//! The decisions that a scheduler makes from its own view.

use super::{
    CLOCK_ERROR_MS, LEASE_MS, PREPARE_LEASE_MS, RECORDS_FRESHNESS_MS, Simulation, TASK_LEASE_MS,
    records::{allocation, is_placed_on, never_started, record_version, workers_of},
    worker_id,
};
use crate::{call::Body, machine::Defect};
use lycheeyard_protocol::{
    Epoch, InstanceId, JobRecord, JobState, Placement, StopNote, Timestamp, WorkerId,
    platform::RenewRequest,
};
use lycheeyard_scheduler::{
    DataCentreMembers, JobStep, RenewalDecision, StopProgress, advance_stop, decide_renewal,
    next_step, task_id,
};
use std::{collections::BTreeSet, time::Duration};

impl Simulation {
    /// Acquires or renews the scheduler lease.
    pub fn acquire(&mut self, from: usize) {
        if !self.reaches_store(from) {
            return;
        }
        let now = self.now;
        let scheduler = &mut self.schedulers[from];
        let is_holder = scheduler.lease(now) == Some(self.lease.0);
        if !is_holder && self.lease.1 > now {
            return;
        }
        if !is_holder {
            self.lease.0 = self.lease.0.next();
            scheduler.jobs.iter_mut().for_each(|view| {
                view.prepared = None;
                view.effect_at = now;
            });
        }
        self.lease.1 = now + LEASE_MS;
        scheduler.held = Some(self.lease);
        self.read(from);
    }

    /// Reads the job records.
    pub fn read(&mut self, from: usize) {
        if !self.reaches_store(from) {
            return;
        }
        let scheduler = &mut self.schedulers[from];
        scheduler.read_at = self.now;
        for (view, (version, record)) in scheduler.jobs.iter_mut().zip(&self.records) {
            record_version(view, *version, record.clone());
        }
    }

    /// Requests a worker's report and, if allowed, renews the leases of the tasks that the records name.
    pub fn poll(&mut self, from: usize, worker: usize) {
        if self.partitioned_workers.contains(&(from, worker)) {
            return;
        }
        let now = self.now;
        let held = self.schedulers[from].lease(now);
        let renews = self.renewal_decision(from) == RenewalDecision::Renew;
        let scheduler = &self.schedulers[from];
        let records = scheduler
            .jobs
            .iter()
            .filter_map(|view| view.stored.as_ref());
        let named = records.filter(|(_, record)| {
            let gang = scheduler.gang(record, 0, Epoch(0), now);
            renews && record.state == JobState::Running && !gang.must_expire()
        });
        let tasks = named
            .filter(|(_, record)| is_placed_on(record, &worker_id(worker)))
            .map(|(_, record)| task_id(record, &worker_id(worker)).expect("identifier is valid"));
        let req = RenewRequest {
            tasks: tasks.collect(),
            lease_until: Timestamp(now + scheduler.skew + TASK_LEASE_MS),
            epoch: held.unwrap_or_default(),
            known_version: None,
        };
        let report = self.workers[worker].renew(&req, Timestamp(now));
        self.schedulers[from].record_report(worker, report, now);
    }

    pub(super) fn renewal_decision(&self, from: usize) -> RenewalDecision {
        if self.defect == Defect::RenewsWithStaleRecords {
            return RenewalDecision::Renew;
        }
        let other: InstanceId = "e2".parse().expect("identifier is valid");
        let members = DataCentreMembers {
            live: BTreeSet::from([other]),
            peer_holds_lease: self.schedulers[1 - from].lease(self.now).is_some(),
            others_listed: true,
        };
        let scheduler = &self.schedulers[from];
        let holds = scheduler.lease(self.now).is_some();
        let fresh = scheduler.read_at + RECORDS_FRESHNESS_MS > self.now || holds;
        decide_renewal(fresh, &members)
    }

    /// Takes the next step of a job.
    pub fn act(&mut self, from: usize, job: usize, first: usize) {
        let Some(epoch) = self.schedulers[from].lease(self.now) else {
            return;
        };
        let view = self.schedulers[from].jobs[job].clone();
        if let Some((version, record)) = view.unconfirmed_write {
            self.send(from, job, Body::Save(version, Box::new(record)));
            return;
        }
        let Some((version, record)) = view.stored else {
            return;
        };
        if record.state == JobState::Queued {
            self.place(from, job, version, record, epoch, first);
            return;
        }
        if let Some(prepared) = view.prepared {
            self.follow_prepare(from, job, &record, epoch, &prepared);
            return;
        }
        let now = Timestamp(self.now + self.schedulers[from].skew);
        let gang = self.schedulers[from].gang(&record, view.effect_at, epoch, self.now);
        match next_step(&record, &gang, now) {
            JobStep::MarkRunning => {
                let mut next = record.clone();
                next.state = JobState::Running;
                self.save(from, job, version, next);
            }
            JobStep::FinishStart if record.epoch == epoch => {
                self.start(from, job, &record, epoch);
            }
            JobStep::FinishStart => {
                let mut next = record.clone();
                next.epoch = epoch;
                self.save(from, job, version, next);
            }
            JobStep::BeginStop { note, .. } => self.begin_stop(from, job, version, record, note),
            JobStep::ContinueStop => {
                let expiry = match self.defect {
                    Defect::TreatsSilenceAsStopped => Duration::ZERO,
                    _ if never_started(&record) => {
                        Duration::from_millis(PREPARE_LEASE_MS + CLOCK_ERROR_MS)
                    }
                    _ => Duration::from_millis(
                        RECORDS_FRESHNESS_MS + TASK_LEASE_MS + 2 * CLOCK_ERROR_MS,
                    ),
                };
                match advance_stop(&record, &gang, now, expiry, &BTreeSet::new()) {
                    StopProgress::PartlyReleased(next) | StopProgress::Released(next) => {
                        self.save(from, job, version, next);
                    }
                    StopProgress::Unchanged => self.stop(from, job, &record),
                }
            }
            _ => {}
        }
    }

    pub(super) fn place(
        &mut self,
        from: usize,
        job: usize,
        version: u64,
        record: JobRecord,
        epoch: Epoch,
        first: usize,
    ) {
        let wanted: Vec<WorkerId> = (first..first + 2).map(worker_id).collect();
        let views = &self.schedulers[from].jobs;
        let records = views.iter().filter_map(|view| {
            let unconfirmed_write = view.unconfirmed_write.as_ref();
            unconfirmed_write
                .or(view.stored.as_ref())
                .map(|(_, record)| record)
        });
        let mut is_taken =
            records.flat_map(|record| wanted.iter().map(|w| is_placed_on(record, w)));
        if is_taken.any(|is_taken| is_taken) {
            return;
        }
        let mut next = record;
        next.state = JobState::Starting;
        next.epoch = epoch;
        next.attempts += 1;
        next.stopping = None;
        next.placement = Some(Placement {
            allocations: wanted.into_iter().map(allocation).collect(),
        });
        self.save(from, job, version, next);
    }

    pub(super) fn follow_prepare(
        &mut self,
        from: usize,
        job: usize,
        record: &JobRecord,
        epoch: Epoch,
        prepared: &BTreeSet<usize>,
    ) {
        let now = self.now;
        let workers: Vec<usize> = workers_of(record);
        if workers.iter().all(|worker| prepared.contains(worker)) {
            self.schedulers[from].jobs[job].prepared = None;
            self.start(from, job, record, epoch);
            return;
        }
        if self.schedulers[from].jobs[job].effect_at + 800 <= now {
            // The prepare calls have timed out.
            let note = StopNote {
                never_started: true,
                ..StopNote::immediate(Timestamp(now + self.schedulers[from].skew))
            };
            self.schedulers[from].jobs[job].prepared = None;
            let (version, record) = self.schedulers[from].jobs[job]
                .stored
                .clone()
                .expect("prepared job has a stored record");
            self.begin_stop(from, job, version, record, note);
        }
    }

    pub(super) fn begin_stop(
        &mut self,
        from: usize,
        job: usize,
        version: u64,
        mut record: JobRecord,
        note: StopNote,
    ) {
        record.state = JobState::Stopping;
        record.stopping = Some(note);
        self.save(from, job, version, record);
    }
}
