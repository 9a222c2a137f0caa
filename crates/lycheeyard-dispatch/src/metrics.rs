use crate::{
    admission::Refusal,
    config::VerifiedConfig,
    intake::IntakeError,
    pass_part::PassPart,
    ports::{CommitOutcome, KvError},
};
use lycheeyard_jobs::{
    BootTime, MaintenanceAnswer, QueueBacklog, RunEnd, StartAnswer, Stats, StopReason, WaitingStep,
};
use lycheeyard_protocol::{Epoch, QueueId};
use opentelemetry::{
    KeyValue,
    global::meter,
    metrics::{Counter, Gauge, Histogram},
};
use std::{collections::BTreeMap, slice, sync::LazyLock, time::Duration};
use strum::{Display, IntoStaticStr};

static METRICS: LazyLock<DispatchMetrics> = LazyLock::new(DispatchMetrics::new);

/// The kind of a caller's request, for metrics.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// A job submission.
    Submit,
    /// A query for a job's state.
    Show,
    /// A job cancellation.
    Cancel,
    /// A count of waiting jobs.
    Count,
    /// Any other request.
    Other,
}

/// The kind of a call to the store, for metrics.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreCall {
    /// A read of one key.
    Get,
    /// A read of one key that may be some seconds old.
    StaleGet,
    /// A read of a page of keys.
    Range,
    /// A watch for changes.
    Watch,
    /// A transaction that writes.
    Commit,
    /// A transaction that only compares revisions.
    Check,
    /// The grant, renewal or revocation of a lease.
    Lease,
}

/// What became of a query that this instance could not answer, for metrics.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RelayOutcome {
    /// A peer has answered it.
    Answered,
    /// Of the peers that were asked none could answer it.
    Unanswered,
    /// No peer is known, or none is asked shortly after none could answer.
    NoPeer,
}

#[derive(Debug)]
struct DispatchMetrics {
    calls: Counter<u64>,
    call_duration: Histogram<f64>,
    refused_calls: Counter<u64>,
    unserved_calls: Counter<u64>,
    relayed_queries: Counter<u64>,
    store_calls: Counter<u64>,
    store_call_duration: Histogram<f64>,
    starts: Counter<u64>,
    stops: Counter<u64>,
    run_ends: Counter<u64>,
    failed_reports: Counter<u64>,
    throttles: Counter<u64>,
    advice: Counter<u64>,
    maintenance: Counter<u64>,
    rejected_records: Counter<u64>,
    long_waits: Counter<u64>,
    terms: Counter<u64>,
    plan_duration: Histogram<f64>,
    pass_part_duration: Histogram<f64>,
    refused_submissions: Counter<u64>,
    queue_backlog: Gauge<f64>,
    closed_organisations: Gauge<u64>,
    epoch: Gauge<u64>,
    queued_jobs: Gauge<u64>,
    running_jobs: Gauge<u64>,
    runs: Gauge<u64>,
    workers: Gauge<u64>,
    used_accelerators: Gauge<u64>,
    evacuated_data_centres: Gauge<u64>,
    evacuating_runs: Gauge<u64>,
    slow_workers: Gauge<u64>,
    config_checks: Counter<u64>,
    config_revision: Gauge<u64>,
    config_age: Gauge<f64>,
}

impl DispatchMetrics {
    fn new() -> Self {
        let meter = meter("lycheeyard");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        let seconds = |name: &'static str| {
            let bounds = vec![0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];
            meter.f64_histogram(name).with_boundaries(bounds).build()
        };
        Self {
            calls: counter("lycheeyard_dispatch_calls"),
            call_duration: seconds("lycheeyard_dispatch_call_duration_seconds"),
            refused_calls: counter("lycheeyard_dispatch_refused_calls"),
            unserved_calls: counter("lycheeyard_dispatch_unserved_calls"),
            relayed_queries: counter("lycheeyard_dispatch_relayed_queries"),
            store_calls: counter("lycheeyard_dispatch_store_calls"),
            store_call_duration: seconds("lycheeyard_dispatch_store_call_duration_seconds"),
            starts: counter("lycheeyard_dispatch_starts"),
            stops: counter("lycheeyard_dispatch_stops"),
            run_ends: counter("lycheeyard_dispatch_run_ends"),
            failed_reports: counter("lycheeyard_dispatch_failed_reports"),
            throttles: counter("lycheeyard_dispatch_paces"),
            advice: counter("lycheeyard_dispatch_advice_requests"),
            maintenance: counter("lycheeyard_dispatch_maintenance_orders"),
            rejected_records: counter("lycheeyard_dispatch_rejected_records"),
            long_waits: counter("lycheeyard_dispatch_long_waits"),
            terms: counter("lycheeyard_dispatch_terms"),
            plan_duration: seconds("lycheeyard_dispatch_plan_duration_seconds"),
            pass_part_duration: seconds("lycheeyard_dispatch_pass_part_duration_seconds"),
            refused_submissions: counter("lycheeyard_dispatch_refused_submissions"),
            queue_backlog: meter
                .f64_gauge("lycheeyard_dispatch_queue_backlog_seconds")
                .build(),
            closed_organisations: gauge("lycheeyard_dispatch_closed_organisations"),
            epoch: gauge("lycheeyard_dispatch_epoch"),
            queued_jobs: gauge("lycheeyard_dispatch_queued_jobs"),
            running_jobs: gauge("lycheeyard_dispatch_running_jobs"),
            runs: gauge("lycheeyard_dispatch_runs"),
            workers: gauge("lycheeyard_dispatch_workers"),
            used_accelerators: gauge("lycheeyard_dispatch_used_accelerators"),
            evacuated_data_centres: gauge("lycheeyard_dispatch_evacuated_data_centres"),
            evacuating_runs: gauge("lycheeyard_dispatch_evacuating_runs"),
            slow_workers: gauge("lycheeyard_dispatch_slow_workers"),
            config_checks: counter("lycheeyard_dispatch_config_checks"),
            config_revision: gauge("lycheeyard_dispatch_config_revision"),
            config_age: meter
                .f64_gauge("lycheeyard_dispatch_config_age_seconds")
                .build(),
        }
    }
}

/// Counts a caller's request by its kind and HTTP status, and records its duration.
pub fn record_call(kind: CallKind, status: u16, elapsed: Duration) {
    let kind = KeyValue::new("call", <&'static str>::from(kind));
    let status = KeyValue::new("status", i64::from(status));
    METRICS.calls.add(1, &[kind.clone(), status]);
    METRICS.call_duration.record(elapsed.as_secs_f64(), &[kind]);
}

/// Counts a caller's request that was refused before anything was done for it.
pub fn record_refusal(refusal: Refusal) {
    let refusal = KeyValue::new("refusal", refusal.to_string());
    METRICS.refused_calls.add(1, &[refusal]);
}

/// Counts a caller's request that was admitted and could not be served, by its kind and the reason.
pub fn record_unserved_call(kind: CallKind, err: &IntakeError) {
    let kind = KeyValue::new("call", <&'static str>::from(kind));
    let reason = KeyValue::new("reason", err.reason());
    METRICS.unserved_calls.add(1, &[kind, reason]);
}

/// Counts a query that this instance could not answer itself.
pub(crate) fn record_relay(outcome: RelayOutcome) {
    let outcome = KeyValue::new("outcome", <&'static str>::from(outcome));
    METRICS.relayed_queries.add(1, &[outcome]);
}

/// Counts a call to the store by its kind and result, and records its duration.
pub fn record_store_call(call: StoreCall, result: &'static str, elapsed: Duration) {
    let call = KeyValue::new("call", <&'static str>::from(call));
    let result = KeyValue::new("result", result);
    METRICS.store_calls.add(1, &[call.clone(), result]);
    METRICS
        .store_call_duration
        .record(elapsed.as_secs_f64(), &[call]);
}

/// Records the revision of the configuration, and the seconds since it was last verified.
pub fn record_config(current: &VerifiedConfig, now: BootTime) {
    if let Some(config) = &current.config {
        METRICS.config_revision.record(config.revision.0, &[]);
    }
    let age = now.since(current.verified_at);
    METRICS.config_age.record(age.as_secs_f64(), &[]);
}

/// Counts a check whether the configuration has changed.
pub(crate) fn record_config_check(outcome: &Result<CommitOutcome, KvError>) {
    let result = match outcome {
        Ok(CommitOutcome::Done(_)) => "unchanged",
        Ok(CommitOutcome::Conflict(_)) => "changed",
        Ok(CommitOutcome::NoLease | CommitOutcome::Unknown) | Err(_) => "failed",
    };
    METRICS
        .config_checks
        .add(1, &[KeyValue::new("result", result)]);
}

/// Counts a submission that was refused because its queue is closed.
pub(crate) fn record_refused_submission(queue: &QueueId) {
    METRICS.refused_submissions.add(1, &[queue_label(queue)]);
}

/// Records the backlogs of queues as the holder computes them.
pub(crate) fn record_backlogs(backlogs: &BTreeMap<QueueId, QueueBacklog>) {
    for (queue, backlog) in backlogs {
        let label = queue_label(queue);
        let closed = u64::try_from(backlog.closed).unwrap_or(u64::MAX);
        let longest = backlog.longest.as_secs_f64();
        METRICS
            .queue_backlog
            .record(longest, slice::from_ref(&label));
        METRICS.closed_organisations.record(closed, &[label]);
    }
}

fn queue_label(queue: &QueueId) -> KeyValue {
    KeyValue::new("queue", queue.to_string())
}

pub(crate) fn record_start(answer: StartAnswer) {
    let answer = KeyValue::new("answer", answer.to_string());
    METRICS.starts.add(1, &[answer]);
}

pub(crate) fn record_stop(reason: StopReason) {
    let reason = KeyValue::new("reason", reason.to_string());
    METRICS.stops.add(1, &[reason]);
}

pub(crate) fn record_run_end(outcome: RunEnd) {
    let label = KeyValue::new("how", outcome.to_string());
    METRICS.run_ends.add(1, &[label]);
}

pub(crate) fn record_failed_report() {
    METRICS.failed_reports.add(1, &[]);
}

/// Counts an order that sets the CPU share of a run.
pub(crate) fn record_throttle(confirmed: bool) {
    let result = if confirmed { "confirmed" } else { "failed" };
    METRICS.throttles.add(1, &[KeyValue::new("result", result)]);
}

/// Counts a request to the advisor.
pub(crate) fn record_advice(answered: bool) {
    let result = if answered { "answered" } else { "failed" };
    METRICS.advice.add(1, &[KeyValue::new("result", result)]);
}

/// Counts an order to begin maintenance.
pub(crate) fn record_maintenance(answer: MaintenanceAnswer) {
    let answer = KeyValue::new("answer", answer.to_string());
    METRICS.maintenance.add(1, &[answer]);
}

/// Counts a record that the store will never take.
pub(crate) fn record_rejected_record(kind: &'static str) {
    METRICS
        .rejected_records
        .add(1, &[KeyValue::new("record", kind)]);
}

/// Counts a step that waits long while nothing of its job runs.
pub(crate) fn record_long_wait(waiting: &WaitingStep) {
    let reason = KeyValue::new("reason", waiting.wait.to_string());
    let has_room = KeyValue::new("has_ample_room", waiting.room.is_ample());
    let is_ample_anywhere = waiting.room_anywhere.is_ample();
    let has_room_anywhere = KeyValue::new("has_ample_room_anywhere", is_ample_anywhere);
    let queue = queue_label(&waiting.queue);
    METRICS
        .long_waits
        .add(1, &[reason, queue, has_room, has_room_anywhere]);
}

pub(crate) fn record_plan(elapsed: Duration) {
    METRICS.plan_duration.record(elapsed.as_secs_f64(), &[]);
}

/// Records how long a part of a pass of the scheduling loop took.
pub(crate) fn record_pass_part(part: PassPart, elapsed: Duration) {
    let part = KeyValue::new("part", <&'static str>::from(part));
    METRICS
        .pass_part_duration
        .record(elapsed.as_secs_f64(), &[part]);
}

pub(crate) fn record_term(epoch: Epoch) {
    METRICS.terms.add(1, &[]);
    METRICS.epoch.record(epoch.0, &[]);
}

/// Records the scheduler's statistics.
pub(crate) fn record_stats(stats: Stats) {
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    METRICS.queued_jobs.record(count(stats.queued), &[]);
    METRICS.running_jobs.record(count(stats.running), &[]);
    METRICS.runs.record(count(stats.runs), &[]);
    METRICS.workers.record(count(stats.workers), &[]);
    METRICS.slow_workers.record(count(stats.slow_workers), &[]);
    METRICS
        .used_accelerators
        .record(u64::from(stats.accelerators_used), &[]);
    METRICS
        .evacuated_data_centres
        .record(count(stats.evacuated_data_centres), &[]);
    METRICS
        .evacuating_runs
        .record(count(stats.evacuating_runs), &[]);
}

/// Resets the gauges of a term to zero, since this instance no longer schedules.
pub(crate) fn record_no_term() {
    METRICS.epoch.record(0, &[]);
    record_stats(Stats::default());
}
