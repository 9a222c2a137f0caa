use super::{clock::block_for, link::Link, start_fault::StartFault};
use lycheeyard_clients::CallError;
use lycheeyard_dispatch::{
    ReportAnswer, ReportRequest, StartReply, WorkerCallError, WorkerCalls, WorkerClock,
};
use lycheeyard_jobs::{
    EndNumber, EndReport, RunEnd, RunNumber, RunReport, StartOrder, StopOrder, TaskKey,
    ThrottleOrder, WorkerInfo,
};
use lycheeyard_protocol::{Epoch, Incarnation, JobId, Percent, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::{Instant, sleep, sleep_until};

const ANSWER_TIME: Duration = Duration::from_millis(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_LEASE_MS: u64 = 6000;

/// One instance's connections to in-memory workers that all instances share. The payload of a job is the run time of
/// its tasks in milliseconds.
#[derive(Clone, Debug)]
pub struct FakeWorkers {
    data: Arc<Mutex<Data>>,
    start: Instant,
    pub link: Link,
}

#[derive(Debug, Default)]
struct Data {
    workers: BTreeMap<WorkerId, Worker>,
    /// How many start calls were sent in each term, lost ones included.
    start_calls: BTreeMap<Epoch, usize>,
    /// When the last start call to each worker was sent, also if it was lost.
    last_start_calls: BTreeMap<WorkerId, Instant>,
    /// What happens to the next start calls of a job, in the order of the calls.
    start_faults: BTreeMap<JobId, VecDeque<StartFault>>,
    /// Workers that answer no report request, and execute each after this time.
    late_reports: BTreeMap<WorkerId, Duration>,
    /// Workers whose reports do not say which incarnation answers.
    anonymous: BTreeSet<WorkerId>,
    /// Each executed start.
    starts: Vec<(TaskKey, RunNumber, Epoch)>,
    violations: Vec<String>,
}

#[derive(Debug, Default)]
struct Worker {
    /// How many times it has started again under its id, which is one less than its incarnation.
    restarts: u64,
    /// When it started; its own clock counts from then.
    born: u64,
    epoch: Epoch,
    lease_until: u64,
    runs: BTreeMap<TaskKey, (RunNumber, Instant)>,
    /// For each task, its newest run that has ended or was stopped here; this run and older ones do not start again.
    closed: BTreeMap<TaskKey, RunNumber>,
    ended: Vec<EndReport>,
    next_end: u64,
    /// The ordered CPU shares.
    shares: BTreeMap<TaskKey, Percent>,
}

impl Data {
    /// Returns a worker for a call in a term, and fences terms that are older than the newest it has seen.
    fn fenced_worker(
        &mut self,
        epoch: Epoch,
        id: &WorkerId,
    ) -> Result<&mut Worker, WorkerCallError> {
        let worker = self.workers.entry(id.clone()).or_default();
        if epoch < worker.epoch {
            return Err(WorkerCallError::Fenced);
        }
        worker.epoch = epoch;
        Ok(worker)
    }
}

impl Worker {
    fn end(&mut self, task: &TaskKey, outcome: RunEnd) {
        let Some((run, _)) = self.runs.remove(task) else {
            return;
        };
        self.closed.insert(task.clone(), run);
        self.next_end += 1;
        self.ended.push(EndReport {
            number: EndNumber(self.next_end),
            task: task.clone(),
            run,
            outcome,
            checkpoint: None,
        });
    }

    /// Its own clock at a time on the common clock.
    fn clock(&self, clock: u64) -> u64 {
        clock - self.born
    }

    /// Extends the lease until a time on its own clock, for the longest lease at most.
    fn extend_lease(&mut self, until: u64, clock: u64) {
        let until = until.min(self.clock(clock) + MAX_LEASE_MS);
        self.lease_until = self.lease_until.max(until);
    }

    fn advance(&mut self, clock: u64) {
        let now = Instant::now();
        let is_lapsed = self.lease_until <= self.clock(clock);
        let ended = self
            .runs
            .iter()
            .filter(|(_, (_, end))| is_lapsed || *end <= now);
        let ended: Vec<TaskKey> = ended.map(|(task, _)| task.clone()).collect();
        for task in ended {
            let outcome = if is_lapsed {
                RunEnd::Lapsed
            } else {
                RunEnd::Done
            };
            self.end(&task, outcome);
        }
    }
}

impl Default for FakeWorkers {
    fn default() -> Self {
        Self {
            data: Arc::default(),
            start: Instant::now(),
            link: Link::default(),
        }
    }
}

impl FakeWorkers {
    /// Creates connections for another instance to the same workers.
    pub fn connect(&self, link: &Link) -> Self {
        Self {
            link: link.clone(),
            ..self.clone()
        }
    }

    /// Sets what happens to the next start calls of a job, in the order of the calls.
    pub fn set_start_faults(&self, job: &JobId, faults: &[StartFault]) {
        let faults = faults.iter().copied().collect();
        self.lock().start_faults.insert(job.clone(), faults);
    }

    /// Lets a worker answer no report request, and execute each after `delay`; without one it answers again.
    pub fn set_late_reports(&self, id: &WorkerId, delay: Option<Duration>) {
        let mut data = self.lock();
        match delay {
            Some(delay) => data.late_reports.insert(id.clone(), delay),
            None => data.late_reports.remove(id),
        };
    }

    /// Sets whether a worker's reports leave out which incarnation answers.
    pub fn set_anonymous(&self, id: &WorkerId, is_anonymous: bool) {
        let mut data = self.lock();
        if is_anonymous {
            data.anonymous.insert(id.clone());
        } else {
            data.anonymous.remove(id);
        }
    }

    /// Executes a report request after a delay. Nobody gets the answer.
    fn execute_report_later(&self, id: WorkerId, req: ReportRequest, delay: Duration) {
        let workers = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let clock = workers.clock();
            let mut data = workers.lock();
            let Ok(worker) = data.fenced_worker(req.epoch, &id) else {
                return;
            };
            if let Some(lease) = req.lease_until {
                worker.extend_lease(lease.0, clock);
            }
            worker.ended.retain(|end| end.number > req.acknowledge);
        });
    }

    /// Starts a worker again under its id: it has lost all that it knew, and its clock and counts start anew.
    pub fn restart(&self, id: &WorkerId) {
        let restarts = self.lock().workers.get(id).map(|worker| worker.restarts);
        self.restart_as(id, 2 + restarts.unwrap_or_default());
    }

    /// As [`Self::restart`], with the given incarnation.
    pub fn restart_as(&self, id: &WorkerId, incarnation: u64) {
        let clock = self.clock();
        let mut data = self.lock();
        let worker = data.workers.entry(id.clone()).or_default();
        *worker = Worker {
            restarts: incarnation - 1,
            born: clock,
            ..Worker::default()
        };
    }

    /// Returns all executed starts.
    pub fn starts(&self) -> Vec<(TaskKey, RunNumber, Epoch)> {
        self.lock().starts.clone()
    }

    /// Returns the worker that runs a task.
    pub fn worker_of(&self, task: &TaskKey) -> Option<WorkerId> {
        let data = self.lock();
        let mut workers = data.workers.iter();
        let found = workers.find(|(_, worker)| worker.runs.contains_key(task));
        found.map(|(id, _)| id.clone())
    }

    /// Returns how many start calls were sent in the first term.
    pub fn start_calls_of_first_term(&self) -> usize {
        let data = self.lock();
        data.start_calls
            .values()
            .next()
            .copied()
            .unwrap_or_default()
    }

    /// Returns when the last start call to a worker was sent.
    pub fn last_start_call(&self, worker: &WorkerId) -> Option<Instant> {
        self.lock().last_start_calls.get(worker).copied()
    }

    /// Returns a description of each start of a task that was already running.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    fn clock(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).expect("elapsed time fits u64")
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        let clock = self.clock();
        let mut data = self.data.lock().expect("lock is not poisoned");
        for worker in data.workers.values_mut() {
            worker.advance(clock);
        }
        data
    }

    async fn call(&self, worker: &WorkerId, deadline: Instant) -> Result<(), WorkerCallError> {
        self.link.wait_until_unfrozen().await;
        block_for(self.link.state().call_cost);
        if self.link.state().workers_silent || self.link.is_silent(worker) {
            return Self::no_answer(deadline).await;
        }
        sleep(ANSWER_TIME).await;
        Ok(())
    }

    fn note_start_call(&self, worker: &WorkerId, epoch: Epoch) {
        let mut data = self.lock();
        *data.start_calls.entry(epoch).or_default() += 1;
        data.last_start_calls.insert(worker.clone(), Instant::now());
    }

    fn next_start_fault(&self, job: &JobId) -> Option<StartFault> {
        self.lock().start_faults.get_mut(job)?.pop_front()
    }

    /// Executes a start order after a delay. Nobody gets the answer.
    fn execute_start_later(
        &self,
        order: StartOrder,
        epoch: Epoch,
        until: WorkerClock,
        delay: Duration,
    ) {
        let workers = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = workers.execute_start(&order, epoch, until);
        });
    }

    /// Executes a start order as a worker does.
    fn execute_start(
        &self,
        order: &StartOrder,
        epoch: Epoch,
        until: WorkerClock,
    ) -> Result<StartReply, WorkerCallError> {
        let clock = self.clock();
        let mut data = self.lock();
        let runs_elsewhere = data
            .workers
            .iter()
            .any(|(id, worker)| *id != order.worker.id && worker.runs.contains_key(&order.task));
        let worker = data.fenced_worker(epoch, &order.worker.id)?;
        if until.0 <= worker.clock(clock) {
            return Ok(StartReply::Late);
        }
        worker.extend_lease(until.0, clock);
        if worker
            .runs
            .get(&order.task)
            .is_some_and(|(run, _)| *run == order.run)
        {
            return Ok(StartReply::Present);
        }
        if worker
            .closed
            .get(&order.task)
            .is_some_and(|closed| *closed >= order.run)
        {
            return Ok(StartReply::Superseded);
        }
        let is_duplicate = runs_elsewhere || worker.runs.contains_key(&order.task);
        let run_time: u64 = order
            .payload
            .parse()
            .expect("payload is a run time in milliseconds");
        let end = Instant::now() + Duration::from_millis(run_time);
        worker.runs.insert(order.task.clone(), (order.run, end));
        if is_duplicate {
            data.violations.push(format!("{} runs twice", order.task));
        }
        data.starts.push((order.task.clone(), order.run, epoch));
        Ok(StartReply::Present)
    }

    async fn no_answer<T>(deadline: Instant) -> Result<T, WorkerCallError> {
        sleep_until(deadline).await;
        let address = SocketAddr::from(([127, 0, 0, 1], 2));
        Err(WorkerCallError::NoAnswer(CallError::NoResponse(address)))
    }
}

impl WorkerCalls for FakeWorkers {
    async fn start(
        &self,
        order: &StartOrder,
        epoch: Epoch,
        until: WorkerClock,
        deadline: Instant,
    ) -> Result<StartReply, WorkerCallError> {
        self.note_start_call(&order.worker.id, epoch);
        match self.next_start_fault(&order.task.step.job) {
            Some(StartFault::ExecutedAfter(delay)) => {
                self.execute_start_later(order.clone(), epoch, until, delay);
                return Self::no_answer(deadline).await;
            }
            Some(StartFault::DelayedBy(delay)) => sleep(delay).await,
            Some(StartFault::OtherWorker) => {
                self.call(&order.worker.id, deadline).await?;
                return Err(WorkerCallError::IncarnationEnded);
            }
            Some(StartFault::Refused(reply)) => {
                self.call(&order.worker.id, deadline).await?;
                return Ok(reply);
            }
            None => {}
        }
        if self.link.state().starts_lost {
            let lost = Self::no_answer(deadline).await;
            self.link.wait_until_unfrozen().await;
            return lost;
        }
        self.call(&order.worker.id, deadline).await?;
        self.execute_start(order, epoch, until)
    }

    async fn stop(
        &self,
        order: &StopOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> Result<(), WorkerCallError> {
        self.call(&order.worker.id, deadline).await?;
        let mut data = self.lock();
        let worker = data.fenced_worker(epoch, &order.worker.id)?;
        worker.end(&order.task, RunEnd::Stopped);
        let closed = worker.closed.entry(order.task.clone()).or_default();
        *closed = (*closed).max(order.run);
        Ok(())
    }

    async fn throttle(
        &self,
        order: &ThrottleOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> Result<(), WorkerCallError> {
        self.call(&order.worker.id, deadline).await?;
        let mut data = self.lock();
        let worker = data.fenced_worker(epoch, &order.worker.id)?;
        worker.shares.insert(order.task.clone(), order.share);
        Ok(())
    }

    async fn report(
        &self,
        worker: &WorkerInfo,
        req: ReportRequest,
        deadline: Instant,
    ) -> Result<ReportAnswer, WorkerCallError> {
        let delay = self.lock().late_reports.get(&worker.key.id).copied();
        if let Some(delay) = delay {
            self.execute_report_later(worker.key.id.clone(), req, delay);
            return Self::no_answer(deadline).await;
        }
        self.call(&worker.key.id, deadline).await?;
        let until = Instant::now() + req.wait;
        let answer = loop {
            {
                let clock = self.clock();
                let mut data = self.lock();
                let is_anonymous = data.anonymous.contains(&worker.key.id);
                let state = data.fenced_worker(req.epoch, &worker.key.id)?;
                if let Some(lease) = req.lease_until {
                    state.extend_lease(lease.0, clock);
                }
                state.ended.retain(|end| end.number > req.acknowledge);
                if !state.ended.is_empty() || until <= Instant::now() {
                    let running = state.runs.iter().map(|(task, (run, _))| RunReport {
                        task: task.clone(),
                        run: *run,
                        checkpoint: None,
                        progress: Percent(
                            u8::try_from(clock / 100 % 100).expect("remainder is below 100"),
                        ),
                        recent: None,
                    });
                    break ReportAnswer {
                        incarnation: (!is_anonymous).then_some(Incarnation(1 + state.restarts)),
                        clock: WorkerClock(state.clock(clock)),
                        running: running.collect(),
                        ended: state.ended.clone(),
                        is_partial: false,
                    };
                }
            }
            sleep(POLL_INTERVAL).await;
        };
        self.link.wait_until_unfrozen().await;
        Ok(answer)
    }
}
