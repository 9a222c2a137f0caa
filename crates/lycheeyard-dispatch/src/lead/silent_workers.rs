use super::{
    committer::DeposedError, dispatcher::Environment, leadership::Leadership, load::Records,
    silent_writer::SilentWriter, term_end::TermEnd,
};
use crate::term::TermState;
use lycheeyard_jobs::{JobScheduler, Now, SilentWorker};
use tokio::sync::{
    mpsc::{UnboundedSender, unbounded_channel},
    watch,
};
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// The record of silent workers, taken over from the term before.
pub(super) struct SilentWorkers {
    /// The workers that the record named.
    pub restored: Vec<SilentWorker>,
    /// The channel to the writer of the record.
    pub writes: UnboundedSender<Vec<SilentWorker>>,
}

impl<E: Environment> Leadership<E> {
    /// Takes over the record of silent workers, and starts its writer. Replaces a damaged record first: it may name workers that this
    /// instance would call, and an instance that can read it would then trust its deadlines.
    pub(super) async fn take_over_silent_workers(
        &mut self,
        records: &Records,
        stop: &CancellationToken,
    ) -> Result<SilentWorkers, TermEnd> {
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
        let (tx, rx) = unbounded_channel();
        self.tasks.spawn(writer.run(rx));
        Ok(SilentWorkers {
            restored,
            writes: tx,
        })
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
