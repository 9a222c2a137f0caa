//! The store, the workers and the calls between them, in virtual time.

use crate::{
    call::{Body, Call},
    machine::Broken,
    scheduler::Scheduler,
};
use lycheeyard_protocol::{
    AcceleratorIndex, Allocation, Epoch, InstanceId, JobRecord, JobSpec, JobState, Placement,
    Preemption, Priority, Shape, StopNote, Timestamp, WorkerId,
    platform::{PrepareReply, RenewRequest, StartRequest, StopRequest, TaskRequest, TaskState},
};
use lycheeyard_scheduler::{
    DataCentreMembers, JobStep, RenewalRight, StopProgress, next_step, renewal_right, settle_stop,
    task_id,
};
use lycheeyard_standin::WorkerState;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub const WORKERS: usize = 3;
pub const JOBS: usize = 2;
pub const SILENCE_MS: u64 = 2000;
const LEASE_MS: u64 = 3000;
const TASK_LEASE_MS: u64 = 4000;
const PREPARE_LEASE_MS: u64 = 1500;
const FRESH_MS: u64 = 1000;
const CLOCK_ERROR_MS: u64 = 200;
const START_MS: u64 = 1_000_000;

/// Everything there is.
#[derive(Clone, Debug)]
pub struct World {
    pub schedulers: Vec<Scheduler>,
    broken: Broken,
    now: u64,
    store_up: bool,
    records: Vec<(u64, JobRecord)>,
    version: u64,
    lease: (Epoch, u64),
    workers: Vec<WorkerState>,
    calls: Vec<Call>,
    cut: BTreeSet<(usize, usize)>,
    cut_off: BTreeSet<usize>,
}

pub fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("a name")
}

pub fn index(worker: &WorkerId) -> usize {
    worker.as_str()[1..].parse().expect("a number")
}

impl World {
    pub fn new(broken: Broken) -> Self {
        let record = |job| (1, JobRecord::submitted(spec(job), Timestamp(0)));
        let skew = |number| number * CLOCK_ERROR_MS;
        Self {
            schedulers: (0..2)
                .map(|number| Scheduler::new(WORKERS, JOBS, skew(number)))
                .collect(),
            broken,
            now: START_MS,
            store_up: true,
            records: (0..JOBS).map(record).collect(),
            version: 1,
            lease: (Epoch(0), 0),
            workers: (0..WORKERS)
                .map(|index| WorkerState::new(worker_id(index), 1))
                .collect(),
            calls: Vec::new(),
            cut: BTreeSet::new(),
            cut_off: BTreeSet::new(),
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
    }

    pub fn set_store(&mut self, up: bool) {
        self.store_up = up;
    }

    /// Cuts or mends the way from a scheduler to a worker.
    pub fn cut_worker(&mut self, from: usize, worker: usize, cut: bool) {
        if cut {
            self.cut.insert((from, worker));
        } else {
            self.cut.remove(&(from, worker));
        }
    }

    /// Cuts or mends the way from a scheduler to the store.
    pub fn cut_store(&mut self, from: usize, cut: bool) {
        if cut {
            self.cut_off.insert(from);
        } else {
            self.cut_off.remove(&from);
        }
    }

    fn reaches_store(&self, from: usize) -> bool {
        self.store_up && !self.cut_off.contains(&from)
    }

    /// Lets a scheduler do everything that it can at once, with no call lost.
    pub fn round(&mut self, from: usize, first: usize) {
        self.acquire(from);
        self.read(from);
        (0..WORKERS).for_each(|worker| self.poll(from, worker));
        (0..JOBS).for_each(|job| self.act(from, job, first));
        let mut next = 0;
        while next < self.calls.len() {
            if self.calls[next].from == from {
                self.deliver(next, true);
            } else {
                next += 1;
            }
        }
    }

    pub fn restart_worker(&mut self, worker: usize) {
        self.workers[worker].restart();
    }

    /// Takes or renews the scheduler lease.
    pub fn acquire(&mut self, from: usize) {
        if !self.reaches_store(from) {
            return;
        }
        let now = self.now;
        let scheduler = &mut self.schedulers[from];
        let mine = scheduler.lease(now) == Some(self.lease.0);
        if !mine && self.lease.1 > now {
            return;
        }
        if !mine {
            self.lease.0 = self.lease.0.next();
            scheduler.jobs.iter_mut().for_each(|known| {
                known.prepared = None;
                known.effect_at = now;
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
        for (known, (version, record)) in scheduler.jobs.iter_mut().zip(&self.records) {
            learn(known, *version, record.clone());
        }
    }

    /// Asks a worker for its tasks, and renews those that the records name if that is allowed.
    pub fn poll(&mut self, from: usize, worker: usize) {
        if self.cut.contains(&(from, worker)) {
            return;
        }
        let now = self.now;
        let held = self.schedulers[from].lease(now);
        let renews = self.right(from) == RenewalRight::Renew;
        let scheduler = &self.schedulers[from];
        let records = scheduler
            .jobs
            .iter()
            .filter_map(|known| known.stored.as_ref());
        let named = records.filter(|(_, record)| {
            let gang = scheduler.gang(record, 0, Epoch(0), now);
            renews && record.state == JobState::Running && !gang.must_lapse()
        });
        let tasks = named
            .filter(|(_, record)| names(record, &worker_id(worker)))
            .map(|(_, record)| task_id(record, &worker_id(worker)).expect("a name"));
        let req = RenewRequest {
            tasks: tasks.collect(),
            lease_until: Timestamp(now + scheduler.skew + TASK_LEASE_MS),
            epoch: held.unwrap_or_default(),
            known_version: None,
        };
        let report = self.workers[worker].renew(&req, Timestamp(now));
        self.schedulers[from].absorb(worker, report, now);
    }

    fn right(&self, from: usize) -> RenewalRight {
        if self.broken == Broken::RenewsAlways {
            return RenewalRight::Renew;
        }
        let other: InstanceId = "e2".parse().expect("a name");
        let members = DataCentreMembers {
            live: BTreeSet::from([other]),
            peer_holds_lease: self.schedulers[1 - from].lease(self.now).is_some(),
            others_listed: true,
        };
        let scheduler = &self.schedulers[from];
        let holds = scheduler.lease(self.now).is_some();
        let fresh = scheduler.read_at + FRESH_MS > self.now || holds;
        renewal_right(fresh, &members)
    }

    /// Lets a scheduler take the next step of a job.
    pub fn act(&mut self, from: usize, job: usize, first: usize) {
        let Some(epoch) = self.schedulers[from].lease(self.now) else {
            return;
        };
        let known = self.schedulers[from].jobs[job].clone();
        if let Some((version, record)) = known.doubt {
            self.send(from, job, Body::Save(version, Box::new(record)));
            return;
        }
        let Some((version, record)) = known.stored else {
            return;
        };
        if record.state == JobState::Queued {
            self.place(from, job, version, record, epoch, first);
            return;
        }
        if let Some(prepared) = known.prepared {
            self.follow_prepare(from, job, &record, epoch, &prepared);
            return;
        }
        let now = Timestamp(self.now + self.schedulers[from].skew);
        let gang = self.schedulers[from].gang(&record, known.effect_at, epoch, self.now);
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
                let lapse = match self.broken {
                    Broken::TrustsSilence => Duration::ZERO,
                    _ if never_started(&record) => {
                        Duration::from_millis(PREPARE_LEASE_MS + CLOCK_ERROR_MS)
                    }
                    _ => Duration::from_millis(FRESH_MS + TASK_LEASE_MS + 2 * CLOCK_ERROR_MS),
                };
                match settle_stop(&record, &gang, now, lapse, &BTreeSet::new()) {
                    StopProgress::Shrunk(next) | StopProgress::Released(next) => {
                        self.save(from, job, version, next);
                    }
                    StopProgress::Unchanged => self.stop(from, job, &record),
                }
            }
            _ => {}
        }
    }

    fn place(
        &mut self,
        from: usize,
        job: usize,
        version: u64,
        record: JobRecord,
        epoch: Epoch,
        first: usize,
    ) {
        let wanted: Vec<WorkerId> = (first..first + 2).map(worker_id).collect();
        let known = &self.schedulers[from].jobs;
        let records = known.iter().filter_map(|known| {
            let doubt = known.doubt.as_ref();
            doubt.or(known.stored.as_ref()).map(|(_, record)| record)
        });
        let mut taken = records.flat_map(|record| wanted.iter().map(|w| names(record, w)));
        if taken.any(|taken| taken) {
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

    fn follow_prepare(
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
            // The calls timed out.
            let note = StopNote {
                since: Timestamp(now + self.schedulers[from].skew),
                checkpoint_until: Timestamp(0),
                checkpoint_ms: None,
                failed_on: BTreeSet::new(),
                never_started: true,
                lost: false,
            };
            self.schedulers[from].jobs[job].prepared = None;
            let (version, record) = self.schedulers[from].jobs[job]
                .stored
                .clone()
                .expect("known");
            self.begin_stop(from, job, version, record, note);
        }
    }

    fn begin_stop(
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

    fn save(&mut self, from: usize, job: usize, version: u64, record: JobRecord) {
        self.schedulers[from].jobs[job].doubt = Some((version, record.clone()));
        self.send(from, job, Body::Save(version, Box::new(record)));
    }

    fn prepare(&mut self, from: usize, job: usize, record: &JobRecord) {
        self.schedulers[from].jobs[job].prepared = Some(BTreeSet::new());
        self.schedulers[from].jobs[job].effect_at = self.now;
        for worker in workers_of(record) {
            let req = TaskRequest {
                task: task_id(record, &worker_id(worker)).expect("a name"),
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

    fn start(&mut self, from: usize, job: usize, record: &JobRecord, epoch: Epoch) {
        self.schedulers[from].jobs[job].effect_at = self.now;
        for worker in workers_of(record) {
            let req = StartRequest {
                task: task_id(record, &worker_id(worker)).expect("a name"),
                epoch,
                lease_until: Timestamp(self.now + self.schedulers[from].skew + TASK_LEASE_MS),
            };
            self.send(from, job, Body::Start(worker, req));
        }
    }

    fn stop(&mut self, from: usize, job: usize, record: &JobRecord) {
        for worker in workers_of(record) {
            let task = task_id(record, &worker_id(worker)).expect("a name");
            self.send(from, job, Body::Stop(worker, task));
        }
    }

    fn send(&mut self, from: usize, job: usize, body: Body) {
        self.calls.push(Call {
            from,
            job,
            sent_at: self.now,
            body,
        });
    }

    /// Lets a call arrive; its answer may be lost.
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
            .is_some_and(|worker| self.cut.contains(&(from, worker)))
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
                    self.schedulers[from].absorb(worker, report, sent_at);
                }
            }
            Body::Stop(worker, task) => {
                let req = StopRequest {
                    tasks: BTreeSet::from([task]),
                    checkpoint: false,
                };
                let report = self.workers[worker].stop(&req, now);
                if answered {
                    self.schedulers[from].absorb(worker, report, sent_at);
                }
            }
        }
    }

    pub fn drop_call(&mut self, call: usize) {
        if !self.calls.is_empty() {
            self.calls.remove(call % self.calls.len());
        }
    }

    fn deliver_save(
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
        let known = &mut self.schedulers[from].jobs[job];
        let asked_for = known
            .doubt
            .as_ref()
            .is_some_and(|(_, doubt)| doubt == record);
        let before = known.stored.as_ref().map(|(_, record)| record.attempts);
        learn(known, version, present);
        let placed = before != Some(record.attempts);
        let starts = saved && asked_for && placed && record.state == JobState::Starting;
        if starts && self.schedulers[from].lease(self.now) == Some(record.epoch) {
            self.prepare(from, job, record);
        }
    }

    /// What must hold at every moment.
    pub fn check(&mut self) {
        let now = Timestamp(self.now);
        let mut attempts: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for worker in &mut self.workers {
            let report = worker.report(now);
            let running = report
                .tasks
                .iter()
                .filter(|t| t.state == TaskState::Running);
            let running: Vec<_> = running.collect();
            assert!(
                running.len() <= 1,
                "two tasks on one accelerator: {running:?}"
            );
            for task in running {
                let attempt = task.task.as_str().split('.').nth(2).expect("an attempt");
                let attempts = attempts.entry(task.job.to_string()).or_default();
                attempts.insert(attempt.to_owned());
            }
        }
        for (job, attempts) in attempts {
            assert!(attempts.len() < 2, "{job} runs twice: {attempts:?}");
        }
    }
}

/// A newer version ends a doubt, since the doubtful write named the older one.
fn learn(known: &mut crate::scheduler::Known, version: u64, record: JobRecord) {
    if known
        .stored
        .as_ref()
        .is_some_and(|(old, _)| *old >= version)
    {
        return;
    }
    known.doubt = None;
    known.prepared = None;
    known.stored = Some((version, record));
}

fn never_started(record: &JobRecord) -> bool {
    record
        .stopping
        .as_ref()
        .is_some_and(|note| note.never_started)
}

fn names(record: &JobRecord, worker: &WorkerId) -> bool {
    let mut allocations = record.placement.iter().flat_map(|p| &p.allocations);
    allocations.any(|allocation| allocation.worker == *worker)
}

fn workers_of(record: &JobRecord) -> Vec<usize> {
    let allocations = record.placement.iter().flat_map(|p| &p.allocations);
    allocations
        .map(|allocation| index(&allocation.worker))
        .collect()
}

fn allocation(worker: WorkerId) -> Allocation {
    Allocation {
        worker,
        accelerators: BTreeSet::from([AcceleratorIndex(0)]),
    }
}

fn spec(job: usize) -> JobSpec {
    JobSpec {
        organisation: "org-a".parse().expect("a name"),
        job: format!("job-{job}").parse().expect("a name"),
        data_centre: "dc1".parse().expect("a name"),
        shape: Shape::new(2, 1).expect("a shape"),
        priority: Priority::Normal,
        preemption: Preemption::Checkpoint,
        guaranteed: false,
        run_time_ms: 60_000,
        window_ms: None,
        payload: String::new(),
    }
}
