use super::SimulatedSite;
use lycheeyard_jobs::{RunEnd, WorkerInfo};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const REPORT_INTERVAL: Duration = Duration::from_millis(1500);
const SHORT_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// A report request without an answer is given up this much later than the answer was due.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// The time from the start of an incarnation until it has answered a report request for another one: the request that was under way
/// is lost with the former incarnation, and another one is sent.
const RECONNECT_TIME: Duration = Duration::from_secs(1);

impl SimulatedSite {
    /// Tells the scheduler of workers that answer its report requests as another incarnation than the one that it asks, and of requests
    /// to addresses that no worker has any more.
    pub(super) fn answer_for_others(&mut self) {
        let asked = self.scheduler.workers_to_poll();
        let is_misdirected = |asked: &&WorkerInfo| {
            let worker = self.workers.get(&asked.key.id);
            worker.is_some_and(|worker| !worker.is_unreachable() && !worker.is_asked_by(asked))
        };
        let misdirected: Vec<WorkerInfo> = asked.filter(is_misdirected).cloned().collect();
        let ids: BTreeSet<_> = misdirected.iter().map(|asked| &asked.key.id).collect();
        self.misdirected_since.retain(|id, _| ids.contains(id));
        for asked in misdirected {
            let since = self.misdirected_since.entry(asked.key.id.clone());
            let since = *since.or_insert(self.now.boot);
            if !since.after(RECONNECT_TIME).is_past(self.now.boot) {
                continue;
            }
            let present = &self.workers[&asked.key.id].info;
            if present.address == asked.address {
                let incarnation = present.key.incarnation;
                self.scheduler
                    .worker_restarted(&asked.key, incarnation, self.now);
            } else {
                self.scheduler.report_failed(&asked.key, self.now);
                self.misdirected_since.remove(&asked.key.id);
            }
        }
    }

    /// Delivers the reports of workers with new ends, and of those whose report interval has passed.
    pub(super) fn deliver_reports(&mut self) {
        let now = self.now.boot;
        let polled = self.scheduler.workers_to_poll();
        let polled: BTreeMap<WorkerId, WorkerInfo> = polled
            .map(|info| (info.key.id.clone(), info.clone()))
            .collect();
        let ended = polled.values();
        for asked in ended.filter(|asked| !self.workers.contains_key(&asked.key.id)) {
            self.scheduler.report_failed(&asked.key, self.now);
        }
        for (id, worker) in &mut self.workers {
            let newest = worker.ended.last().map(|end| end.number);
            let has_new_ends = newest.is_some_and(|newest| newest > worker.reported_end);
            let interval = if worker.reports_often {
                SHORT_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            let is_due = worker.reported_at.after(interval).is_past(now);
            let given_up_at = worker.reported_at.after(interval).after(ANSWER_TIMEOUT);
            if worker.is_unreachable() && given_up_at.is_past(now) {
                self.scheduler.report_failed(&worker.info.key, self.now);
            }
            let is_polled = polled
                .get(id)
                .is_some_and(|asked| worker.is_asked_by(asked));
            if worker.is_unreachable() || !is_polled || !(has_new_ends || is_due) {
                continue;
            }
            let epoch = self.call_epochs.of_polled(&worker.info.key);
            worker.epoch = worker.epoch.max(epoch);
            worker.reported_at = now;
            worker.reported_end = newest.unwrap_or(worker.reported_end);
            let report = worker.report(now);
            self.scheduler.worker_reported(&report, self.now);
        }
    }

    pub(super) fn acknowledge(&mut self) {
        let acknowledgements: Vec<_> = self.scheduler.acknowledgements(self.now).collect();
        for acknowledgement in acknowledgements {
            let Some(worker) = self.workers.get_mut(&acknowledgement.worker.id) else {
                continue;
            };
            if worker.is_unreachable() || worker.info.key != acknowledgement.worker {
                continue;
            }
            worker.reports_often = acknowledgement.reports_often;
            let through = acknowledgement.through;
            let acknowledged = worker.ended.iter().filter(|end| end.number <= through);
            let lapsed = worker.lapsed_through;
            let done =
                acknowledged.filter(|end| end.outcome == RunEnd::Done && end.number > lapsed);
            self.records.done.extend(done.map(|end| end.task.clone()));
            worker.ended.retain(|end| end.number > through);
            if acknowledgement.extends_lease {
                let until = self.now.boot.after(self.limits.lease_on(&worker.info));
                worker.lease_until = worker.lease_until.max(until);
                let key = acknowledgement.worker;
                self.scheduler.lease_extended(&key, self.now.boot, until);
            }
        }
    }
}
