use super::{
    committer::DeposedError, dispatcher::Environment, leadership::Leadership, load::Records,
    silent_record::InheritedTimes, silent_writer::SilentWriter, term_end::TermEnd,
};
use crate::{dated::DatedStore, term::TermState};
use lycheeyard_jobs::{BootTime, JobScheduler, Now, SilentWorker};
use std::time::Duration;
use tokio::sync::{
    mpsc::{UnboundedSender, unbounded_channel},
    watch,
};
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// How long workers with runs of former terms have at the start of a term to report, before the others are recorded as silent.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(200);

/// How far a term is with its first record.
#[derive(Clone, Copy, Debug)]
pub(super) enum Opening {
    /// First reports are awaited until this time at most.
    Until(BootTime),
    /// The record was handed to its writer.
    Announced,
}

impl Opening {
    /// Begins to await first reports.
    pub fn begin(now: BootTime) -> Self {
        Self::Until(now.after(FIRST_REPORTS_TIME))
    }
}

/// The record of silent workers, taken over from the term before.
pub(super) struct SilentWorkers<E: Environment> {
    /// The workers that the record named.
    pub restored: Vec<SilentWorker>,
    /// The writer of the record.
    pub writer: SilentWriter<DatedStore<E::Store, E::Clock>, E::Clock>,
}

impl<E: Environment> Leadership<E> {
    /// Takes over the record of silent workers, with its writer. Replaces a damaged record first: it may name workers that this
    /// instance would call, and an instance that can read it would then trust its deadlines.
    pub(super) async fn take_over_silent_workers(
        &mut self,
        records: &Records,
        stop: &CancellationToken,
    ) -> Result<SilentWorkers<E>, TermEnd> {
        let mut writer = SilentWriter::new(
            self.committer(),
            self.dispatcher.clock.clone(),
            self.gate.clone(),
            &records.silent,
            self.dispatcher.store.times(),
        );
        let restored = writer.workers();
        if records.silent.is_damaged {
            let mut term_state = self.term_state.clone();
            tokio::select! {
                written = writer.write(restored.clone()) => written.map_err(|DeposedError| TermEnd::Deposed)?,
                () = stop.cancelled() => return Err(TermEnd::Stopped),
                () = until_ended(&mut term_state) => return Err(TermEnd::LeaseEnded),
            }
        }
        Ok(SilentWorkers { restored, writer })
    }

    /// Starts the writer of the record. Returns the channel to it.
    pub(super) fn start_silent_writer(
        &mut self,
        writer: SilentWriter<DatedStore<E::Store, E::Clock>, E::Clock>,
        scheduler: &JobScheduler,
        predecessors_ended_at: BootTime,
    ) -> UnboundedSender<Vec<SilentWorker>> {
        let inherited = InheritedTimes {
            after: self.term.predecessors_ended_by,
            since: predecessors_ended_at,
            leases_until: scheduler.inherited_lease_until(),
            copies_until: scheduler.inherited_copies_end(),
        };
        let (tx, rx) = unbounded_channel();
        self.tasks.spawn(writer.run(inherited, rx));
        tx
    }

    /// Hands the first record of the term to its writer, once the workers with runs of former terms have reported or had the time to. Called
    /// until the gate is open.
    pub(super) fn announce_term(
        &self,
        scheduler: &mut JobScheduler,
        opening: &mut Opening,
        writes: &UnboundedSender<Vec<SilentWorker>>,
        now: Now,
    ) {
        let Opening::Until(deadline) = *opening else {
            return;
        };
        if scheduler.awaits_first_reports() && !deadline.is_past(now.boot) {
            return;
        }
        *opening = Opening::Announced;
        let workers = scheduler.take_first_silent_workers(now);
        if writes.send(self.gate.close(workers)).is_err() {
            warn!("lead: the writer of silent workers has ended");
        }
    }

    /// Hands the workers that the record is to name to its writer, if they have changed.
    pub(super) fn write_silent_workers(
        &self,
        scheduler: &mut JobScheduler,
        writes: &UnboundedSender<Vec<SilentWorker>>,
        now: Now,
    ) {
        let Some(workers) = scheduler.take_silent_workers(now) else {
            return;
        };
        if writes.send(self.gate.close(workers)).is_err() {
            warn!("lead: the writer of silent workers has ended");
        }
    }
}

/// Waits until a term has ended.
async fn until_ended(term_state: &mut watch::Receiver<TermState>) {
    // The channel closes only when the lease is no longer renewed.
    let _ = term_state
        .wait_for(|state| *state == TermState::Ended)
        .await;
}
