use super::{
    event::Event,
    log_lines::{log_ends, log_jobs},
};
use lycheeyard_jobs::{JobScheduler, Now};
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{info, warn};

/// What the events that were taken up mean for the term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Taken {
    /// It goes on.
    GoOn,
    /// It goes on, and the records that were being written are durable.
    Written,
    /// Another instance schedules.
    Deposed,
}

/// Takes up an event and all others that have come.
pub(super) fn take_events(
    first: Event,
    inbox: &mut UnboundedReceiver<Event>,
    scheduler: &mut JobScheduler,
    now: Now,
) -> Taken {
    let mut taken = Taken::GoOn;
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            Event::Deposed => return Taken::Deposed,
            Event::Written(batch) => {
                log_jobs(&batch);
                scheduler.batch_committed(batch, now);
                taken = Taken::Written;
            }
            other => take_event(other, scheduler, now),
        }
        next = inbox.try_recv().ok();
    }
    taken
}

fn take_event(event: Event, scheduler: &mut JobScheduler, now: Now) {
    match event {
        Event::Submitted(job) => scheduler.add_job(*job, None, now),
        Event::Cancelled(id) => scheduler.cancel_job(&id, now),
        Event::WorkerListed(worker) => scheduler.worker_listed(*worker, now),
        Event::WorkerUnlisted(id) => scheduler.worker_unlisted(&id),
        Event::WorkersListed(workers) => scheduler.workers_listed(workers, now),
        Event::Reported(report) => {
            log_ends(&report);
            scheduler.worker_reported(&report, now);
        }
        Event::WorkerGone(key) => {
            warn!(worker = %key.id, incarnation = %key.incarnation, "worker: this life has ended");
            scheduler.worker_lost(&key, now);
        }
        Event::LeaseSent(key, sent_at) => scheduler.lease_extended(&key, sent_at),
        Event::Started(task, run, answer) => scheduler.start_answered(&task, run, answer, now),
        Event::StopConfirmed(task, run) => scheduler.stop_answered(&task, run, now),
        Event::Paced(task, run, share) => scheduler.throttle_answered(&task, run, share),
        Event::Advised(request, answer) => scheduler.advice_answered(&request, &answer, now),
        Event::WaveListed(wave) => {
            info!(wave = %wave.number, machines = wave.machines.len(), cap = wave.cap, due_at = %wave.due_at, "wave: listed");
            scheduler.wave_listed(*wave, now);
        }
        Event::MachinesListed(machines, asked_at) => scheduler.machines_listed(machines, asked_at),
        Event::Maintained(order, answer) => {
            scheduler.maintenance_answered(order.wave, &order.machine, answer, now);
        }
        Event::AdviceFailed => scheduler.advice_failed(now),
        Event::Written(_) | Event::Deposed => {}
    }
}
