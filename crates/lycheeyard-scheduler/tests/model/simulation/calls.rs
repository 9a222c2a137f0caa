//! Sends calls and applies them when they arrive.

use super::{
    PREPARE_LEASE_MS, Simulation, TASK_LEASE_MS,
    records::{record_version, workers_of},
    worker_id,
};
use crate::call::{Body, Call};
use lycheeyard_protocol::{
    AcceleratorIndex, Epoch, JobRecord, JobState, Timestamp,
    platform::{PrepareReply, StartRequest, StopRequest, TaskRequest},
};
use lycheeyard_scheduler::task_id;
use std::collections::BTreeSet;

impl Simulation {
    pub(super) fn save(&mut self, from: usize, job: usize, version: u64, record: JobRecord) {
        self.schedulers[from].jobs[job].unconfirmed_write = Some((version, record.clone()));
        self.send(from, job, Body::Save(version, Box::new(record)));
    }

    pub(super) fn prepare(&mut self, from: usize, job: usize, record: &JobRecord) {
        self.schedulers[from].jobs[job].prepared = Some(BTreeSet::new());
        self.schedulers[from].jobs[job].effect_at = self.now;
        for worker in workers_of(record) {
            let req = TaskRequest {
                task: task_id(record, &worker_id(worker)).expect("identifier is valid"),
                organisation: record.spec.organisation.clone(),
                job: record.spec.job.clone(),
                accelerators: BTreeSet::from([AcceleratorIndex(0)]),
                epoch: record.epoch,
                lease_until: Timestamp(self.now + self.schedulers[from].skew + PREPARE_LEASE_MS),
                checkpoint_ms: 0,
                payload: String::new(),
            };
            self.send(from, job, Body::Prepare(worker, req));
        }
    }

    pub(super) fn start(&mut self, from: usize, job: usize, record: &JobRecord, epoch: Epoch) {
        self.schedulers[from].jobs[job].effect_at = self.now;
        for worker in workers_of(record) {
            let req = StartRequest {
                task: task_id(record, &worker_id(worker)).expect("identifier is valid"),
                epoch,
                lease_until: Timestamp(self.now + self.schedulers[from].skew + TASK_LEASE_MS),
            };
            self.send(from, job, Body::Start(worker, req));
        }
    }

    pub(super) fn stop(&mut self, from: usize, job: usize, record: &JobRecord) {
        for worker in workers_of(record) {
            let task = task_id(record, &worker_id(worker)).expect("identifier is valid");
            self.send(from, job, Body::Stop(worker, task));
        }
    }

    pub(super) fn send(&mut self, from: usize, job: usize, body: Body) {
        self.calls.push(Call {
            from,
            job,
            sent_at: self.now,
            body,
        });
    }

    /// Delivers a call; its response is lost unless `answered`.
    pub fn deliver(&mut self, call: usize, answered: bool) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(call % self.calls.len());
        let (from, job, sent_at) = (call.from, call.job, call.sent_at);
        let now = Timestamp(self.now);
        if call
            .body
            .worker()
            .is_some_and(|worker| self.partitioned_workers.contains(&(from, worker)))
        {
            return;
        }
        match call.body {
            Body::Save(version, record) => self.deliver_save(from, job, version, &record, answered),
            Body::Prepare(worker, req) => {
                let reply = self.workers[worker].prepare(req, now);
                let prepared = self.schedulers[from].jobs[job].prepared.as_mut();
                let in_time = sent_at + 800 > self.now;
                if let Some(prepared) = prepared
                    && answered
                    && in_time
                    && reply == PrepareReply::Prepared
                {
                    prepared.insert(worker);
                }
            }
            Body::Start(worker, req) => {
                let report = self.workers[worker].start(&req, false, now);
                if answered {
                    self.schedulers[from].record_report(worker, report, sent_at);
                }
            }
            Body::Stop(worker, task) => {
                let req = StopRequest {
                    tasks: BTreeSet::from([task]),
                    checkpoint: false,
                };
                let report = self.workers[worker].stop(&req, now);
                if answered {
                    self.schedulers[from].record_report(worker, report, sent_at);
                }
            }
        }
    }

    pub fn drop_call(&mut self, call: usize) {
        if !self.calls.is_empty() {
            self.calls.remove(call % self.calls.len());
        }
    }

    pub(super) fn deliver_save(
        &mut self,
        from: usize,
        job: usize,
        version: u64,
        record: &JobRecord,
        answered: bool,
    ) {
        if !self.reaches_store(from) {
            return;
        }
        let present = &mut self.records[job];
        if present.0 == version {
            self.version += 1;
            *present = (self.version, record.clone());
        }
        if !answered {
            return;
        }
        let (version, present) = present.clone();
        let saved = present == *record;
        let view = &mut self.schedulers[from].jobs[job];
        let is_own_write = view
            .unconfirmed_write
            .as_ref()
            .is_some_and(|(_, written)| written == record);
        let before = view.stored.as_ref().map(|(_, record)| record.attempts);
        record_version(view, version, present);
        let placed = before != Some(record.attempts);
        let starts = saved && is_own_write && placed && record.state == JobState::Starting;
        if starts && self.schedulers[from].lease(self.now) == Some(record.epoch) {
            self.prepare(from, job, record);
        }
    }
}
