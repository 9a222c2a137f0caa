use super::{event::Event, incarnation_lines::log_incarnations, run_end_lines::RunEndLines};
use lycheeyard_jobs::{JobScheduler, Now, WorkerKey};
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{info, warn};

/// The effect of applied events on the term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventOutcome {
    /// The term continues.
    Applied {
        /// How many of the batches that were being written are durable.
        written: usize,
        /// Whether a much larger instance asks this one to hand over.
        is_hand_over_requested: bool,
    },
    /// Another instance holds a newer term.
    Deposed,
}

/// Applies the event that was received, if there is one, and all others that are already queued.
pub(super) fn apply_events(
    first: Option<Event>,
    inbox: &mut UnboundedReceiver<Event>,
    scheduler: &mut JobScheduler,
    run_ends: &mut RunEndLines,
    now: Now,
) -> EventOutcome {
    let mut written = 0;
    let mut is_hand_over_requested = false;
    let mut next = first.or_else(|| inbox.try_recv().ok());
    while let Some(event) = next {
        match event {
            Event::Deposed => return EventOutcome::Deposed,
            Event::HandOverRequested => is_hand_over_requested = true,
            Event::Written(batch) => {
                run_ends.log_ended_jobs(&batch);
                scheduler.batch_committed(batch, now);
                written += 1;
            }
            Event::Reported(report) => {
                run_ends.add(&report, scheduler);
                scheduler.worker_reported(&report, now);
                log_given_up_ends(&scheduler.take_given_up_ends());
            }
            other => apply_event(other, scheduler, now),
        }
        next = inbox.try_recv().ok();
    }
    log_incarnations(&scheduler.take_incarnation_changes());
    EventOutcome::Applied {
        written,
        is_hand_over_requested,
    }
}

fn log_given_up_ends(workers: &[WorkerKey]) {
    for worker in workers {
        warn!(worker = %worker.id, incarnation = %worker.incarnation, "worker: too many ends follow one of a job that is set aside, or one whose row cannot be read; they are acknowledged, and what they say is lost");
    }
}

fn apply_event(event: Event, scheduler: &mut JobScheduler, now: Now) {
    match event {
        Event::Submitted(job) => scheduler.add_job(*job, None, now),
        Event::Cancelled(id) => scheduler.cancel_job(&id, now),
        Event::RequestsListed(ids) => scheduler.requests_listed(ids),
        Event::WorkerListed(worker) => scheduler.worker_listed(*worker, now),
        Event::WorkerUnlisted(id) => scheduler.worker_unlisted(&id),
        Event::WorkersListed(workers) => scheduler.workers_listed(workers, now),
        Event::EvacuationsChanged(data_centres) => {
            scheduler.set_evacuated_data_centres(data_centres);
        }
        Event::IncarnationEnded(key) => {
            if scheduler.worker_lost(&key, now) {
                warn!(worker = %key.id, incarnation = %key.incarnation, "worker: this incarnation has ended");
            }
        }
        Event::WorkerRestarted(key, incarnation) => {
            scheduler.worker_restarted(&key, incarnation, now);
        }
        Event::ReportFailed(key) => scheduler.report_failed(&key, now),
        Event::LeaseSent(key, sent_at, until) => scheduler.lease_extended(&key, sent_at, until),
        Event::LeaseNotSent(key, sent_at) => scheduler.lease_not_extended(&key, sent_at),
        Event::StartAnswered(task, run, worker, answer) => {
            scheduler.start_answered(&task, run, &worker, answer, now);
        }
        Event::StopConfirmed(task, run, worker) => {
            scheduler.stop_answered(&task, run, &worker, now);
        }
        Event::Throttled(task, run, share) => scheduler.throttle_answered(&task, run, share),
        Event::Advised(request, answer) => scheduler.advice_answered(&request, &answer, now),
        Event::WaveListed(wave) => {
            info!(wave = %wave.number, machines = wave.machines.len(), cap = wave.cap, due_at = %wave.due_at, "wave: listed");
            scheduler.wave_listed(*wave, now);
        }
        Event::MachinesListed(machines, requested_at) => {
            scheduler.machines_listed(machines, requested_at);
        }
        Event::MaintenanceAnswered(order, answer) => {
            scheduler.maintenance_answered(order.wave, &order.machine, answer, now);
        }
        Event::RecordRejected(id) => scheduler.record_rejected(&id, now),
        Event::SilentWorkersWritten => scheduler.silent_workers_written(),
        Event::ArchiveListed(jobs) => scheduler.archive_listed(jobs, now),
        Event::Archived(jobs) => scheduler.jobs_archived(jobs, now),
        Event::AdviceFailed => scheduler.advice_failed(now),
        // The pass that follows starts the pollers that have waited for the epoch.
        Event::EpochDrawn
        | Event::Reported(_)
        | Event::Written(_)
        | Event::HandOverRequested
        | Event::Deposed => {}
    }
}
