use super::{TaskPace, observation::Observation};
use crate::{
    BootTime, RunEnd, Step, StepKey, TaskKey,
    scheduler::{JobScheduler, Now, Run},
};
use lycheeyard_protocol::{QueueId, WorkerId};
use std::{collections::BTreeSet, time::Duration};

/// How often the speeds are evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// The members of a gang progress alike if their run times differ by no more than this, as a natural logarithm: progress is
/// reported in whole percent, and not at the same time by all members.
const ALIKE: f64 = 0.15;
/// A run is compared with at most this many others.
const MAX_PEERS: usize = 32;

/// A step whose runs are compared.
struct Compared<'a> {
    key: &'a StepKey,
    step: &'a Step,
    queue: &'a QueueId,
}

impl JobScheduler {
    /// Evaluates the speeds of the workers from time to time.
    pub(in crate::scheduler) fn update_speeds(&mut self, now: Now) {
        let due = self.speeds.updated_at.after(EVALUATION_INTERVAL);
        if due.is_past(now.boot) {
            self.evaluate_speeds(now.boot);
        }
    }

    /// Evaluates the speeds if there are workers that were added since the last time.
    pub(crate) fn evaluate_new_workers(&mut self, now: Now) {
        if self.workers.values().any(|entry| entry.speed.is_none()) {
            self.evaluate_speeds(now.boot);
        }
    }

    fn evaluate_speeds(&mut self, now: BootTime) {
        self.speeds.follow(self.workers.values(), now);
        let in_progress = self.observations_in_progress();
        self.speeds.evaluate(&in_progress, now);
        for entry in self.workers.values_mut() {
            entry.speed = Some(self.speeds.speed(&entry.key.id));
        }
    }

    /// Adds what a run that has ended, and is no longer among the runs, says about its worker.
    pub(in crate::scheduler) fn record_speed(
        &mut self,
        task: &TaskKey,
        run: &Run,
        outcome: RunEnd,
        now: BootTime,
    ) {
        if run.is_speed_counted {
            return;
        }
        let Some(compared) = self.compared(&task.step) else {
            return;
        };
        let (queue, step) = (compared.queue.clone(), compared.step);
        let (tasks, is_gang) = (step.tasks, step.gang);
        let ended = match outcome {
            RunEnd::Done => TaskPace::of_done(run, step.expected_ms, now),
            _ => TaskPace::of_progress(run, step.expected_ms),
        };
        let Some(ended) = ended else {
            return;
        };
        let mut others = self.paces_in_progress(&compared, run.number);
        if is_gang && let Some(slowest) = common_pace(&ended, &others) {
            let workers = self.gang_workers(task, run);
            let observation = self.observe_gang(&queue, workers, &slowest);
            let pace = slowest.pace + self.slowest_estimate(&observation.workers);
            self.speeds.add(&observation, now);
            self.pace_mut(&queue).record(pace, &[], 1);
            self.mark_speed_counted(task, run);
            return;
        }
        others.extend(self.ended_paces(&task.step));
        let observation = self.observe(&queue, &ended, &others);
        let peers = self.corrected(&ended, &others);
        let pace = ended.pace + self.speeds.estimate(&ended.worker).0;
        self.speeds.add(&observation, now);
        self.pace_mut(&queue).record(pace, &peers, tasks);
        self.keep_pace(&task.step, ended);
    }

    /// What the runs in progress say about their workers.
    fn observations_in_progress(&self) -> Vec<Observation> {
        let runs: Vec<(&TaskKey, &Run)> = self.runs.iter().collect();
        let mut observations = Vec::new();
        for runs in runs.chunk_by(|a, b| a.0.step == b.0.step && a.1.number == b.1.number) {
            let (task, run) = runs[0];
            let Some(compared) = self.compared(&task.step) else {
                continue;
            };
            let expected_ms = compared.step.expected_ms;
            let uncounted = runs.iter().filter(|(_, run)| !run.is_speed_counted);
            let paces = uncounted.filter_map(|(_, run)| TaskPace::of_progress(run, expected_ms));
            let paces: Vec<TaskPace> = paces.collect();
            let Some((first, others)) = paces.split_first() else {
                continue;
            };
            if compared.step.gang
                && let Some(slowest) = common_pace(first, others)
            {
                let workers = self.gang_workers(task, run);
                observations.push(self.observe_gang(compared.queue, workers, &slowest));
                continue;
            }
            let ended: Vec<TaskPace> = self.ended_paces(compared.key).collect();
            for pace in &paces {
                let mut others = paces.clone();
                others.extend(ended.iter().cloned());
                observations.push(self.observe(compared.queue, pace, &others));
            }
        }
        observations
    }

    fn compared<'a>(&'a self, key: &'a StepKey) -> Option<Compared<'a>> {
        let job = &self.jobs.get(&key.job)?.job;
        let step = job.steps.get(key.step)?;
        let queue = &job.queue;
        (!step.long_running).then_some(Compared { key, step, queue })
    }

    /// The paces of the runs of a step in progress; of a gang, those of run `number`.
    fn paces_in_progress(&self, compared: &Compared, number: crate::RunNumber) -> Vec<TaskPace> {
        let runs = self.runs_of(compared.key).filter(|(_, run)| {
            !run.is_speed_counted && (!compared.step.gang || run.number == number)
        });
        let paces =
            runs.filter_map(|(_, run)| TaskPace::of_progress(run, compared.step.expected_ms));
        paces.collect()
    }

    fn ended_paces(&self, key: &StepKey) -> impl Iterator<Item = TaskPace> + use<'_> {
        let entry = self.jobs.get(&key.job);
        let paces = entry.and_then(|entry| entry.paces.get(key));
        paces.into_iter().flat_map(|paces| paces.iter().cloned())
    }

    fn keep_pace(&mut self, key: &StepKey, pace: TaskPace) {
        if let Some(entry) = self.jobs.get_mut(&key.job) {
            let open = &entry.progress.open;
            entry
                .paces
                .retain(|step, _| open.contains_key(&step.occurrence));
            entry.paces.entry(key.clone()).or_default().push(pace);
        }
    }

    /// The workers of the members of a run's gang, this one included.
    fn gang_workers(&self, task: &TaskKey, run: &Run) -> Vec<WorkerId> {
        let members = self.runs_of(&task.step);
        let members = members.filter(|(_, member)| member.number == run.number);
        let mut workers: BTreeSet<WorkerId> = members
            .map(|(_, member)| member.worker.id.clone())
            .collect();
        workers.insert(run.worker.id.clone());
        workers.into_iter().collect()
    }

    fn mark_speed_counted(&mut self, task: &TaskKey, run: &Run) {
        let members = self.runs.range_mut(task.step.task(0)..);
        let members = members.take_while(|(member, _)| member.step == task.step);
        for (_, member) in members {
            member.is_speed_counted |= member.number == run.number;
        }
    }

    fn observe_gang(
        &self,
        queue: &QueueId,
        workers: Vec<WorkerId>,
        slowest: &TaskPace,
    ) -> Observation {
        let expected = self.pace(queue).expected(&[], 0.0);
        Observation {
            workers,
            value: expected.mean - slowest.pace,
            noise: expected.variance,
            seconds: slowest.seconds,
        }
    }

    /// Compares a run with others of its step that are on other workers.
    fn observe(&self, queue: &QueueId, pace: &TaskPace, others: &[TaskPace]) -> Observation {
        let peers = self.corrected(pace, others);
        let workers: BTreeSet<&WorkerId> =
            elsewhere(pace, others).map(|other| &other.worker).collect();
        let variances = workers.iter().map(|worker| self.speeds.estimate(worker).1);
        let variance: f64 = variances.sum();
        #[expect(clippy::cast_precision_loss, reason = "the number of workers is small")]
        let count = workers.len().max(1) as f64;
        let expected = self
            .pace(queue)
            .expected(&peers, variance / (count * count));
        Observation {
            workers: vec![pace.worker.clone()],
            value: expected.mean - pace.pace,
            noise: expected.variance,
            seconds: pace.seconds,
        }
    }

    /// The paces of other runs as they would be at the usual speed.
    fn corrected(&self, pace: &TaskPace, others: &[TaskPace]) -> Vec<f64> {
        let others = elsewhere(pace, others);
        let corrected = others.map(|other| other.pace + self.speeds.estimate(&other.worker).0);
        corrected.collect()
    }

    fn slowest_estimate(&self, workers: &[WorkerId]) -> f64 {
        let estimates = workers.iter().map(|worker| self.speeds.estimate(worker).0);
        let slowest = estimates.fold(f64::INFINITY, f64::min);
        if slowest.is_finite() { slowest } else { 0.0 }
    }
}

/// The runs on other workers than that of `pace`.
fn elsewhere<'a>(pace: &'a TaskPace, others: &'a [TaskPace]) -> impl Iterator<Item = &'a TaskPace> {
    let others = others.iter();
    others
        .filter(|other| other.worker != pace.worker)
        .take(MAX_PEERS)
}

/// The slowest member of a gang, if all members progress alike.
fn common_pace(pace: &TaskPace, others: &[TaskPace]) -> Option<TaskPace> {
    let members = || others.iter().chain([pace]);
    let slowest = members().max_by(|a, b| a.pace.total_cmp(&b.pace))?;
    let is_alike = members().all(|member| slowest.pace - member.pace <= ALIKE);
    is_alike.then(|| slowest.clone())
}
