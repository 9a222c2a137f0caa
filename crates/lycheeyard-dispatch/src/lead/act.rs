use super::{
    advice::AdviceCaller,
    dispatcher::Environment,
    first_start_line::log_first_start,
    hopeless_line::log_hopeless_job,
    leadership::Leadership,
    loop_state::LoopState,
    machines::MaintenanceCaller,
    order_lines::log_orders,
    orders::{OrderSender, group_by_worker},
    submission_reader::SubmissionReader,
};
use crate::pass_part::PassPart;
use lycheeyard_jobs::{JobScheduler, Now, SilentWorker};
use tokio::sync::mpsc::UnboundedSender;
use tracing::info;

/// The maximum number of submissions that are read at a time.
const MAX_SUBMISSION_READERS: usize = 8;

impl<E: Environment> Leadership<E> {
    /// Plans, writes records and sends orders. Called only while the lease is confirmed.
    pub(super) fn act(
        &mut self,
        scheduler: &mut JobScheduler,
        state: &mut LoopState<E::Clock>,
        silent: &UnboundedSender<Vec<SilentWorker>>,
        now: Now,
    ) {
        state.times.measure(PassPart::Tick, || scheduler.tick(now));
        state.plan(scheduler, now);
        self.write_silent_workers(scheduler, silent, now);
        state.write(scheduler);
        state.archive(scheduler);
        state.write_speeds(scheduler, now);
        state.remove_expired(scheduler, now);
        scheduler
            .take_first_starts()
            .iter()
            .for_each(log_first_start);
        scheduler
            .take_hopeless_jobs()
            .iter()
            .for_each(log_hopeless_job);
        state.log_long_waits(scheduler, now);
        state
            .times
            .measure(PassPart::Send, || self.send_orders(scheduler));
        self.read_missing_jobs(scheduler);
        self.request_advice(scheduler);
        self.order_maintenance(scheduler, state);
    }

    pub(super) fn send_orders(&mut self, scheduler: &mut JobScheduler) {
        let orders = scheduler.take_orders();
        if orders.is_empty() {
            return;
        }
        log_orders(&orders, self.term.epoch);
        // Ended tasks are kept until they are joined.
        while self.orders.try_join_next().is_some() {}
        while self.tasks.try_join_next().is_some() {}
        for orders in group_by_worker(orders).into_values() {
            let sender = OrderSender {
                cx: self.term_context(),
                clock: self.dispatcher.clock.clone(),
            };
            self.orders.spawn(sender.send_all(orders));
        }
    }

    fn order_maintenance(&mut self, scheduler: &mut JobScheduler, state: &LoopState<E::Clock>) {
        state.list_machines(scheduler.has_open_waves());
        for order in scheduler.take_maintenance_orders() {
            let caller = MaintenanceCaller {
                calls: self.dispatcher.machines.clone(),
                clock: self.dispatcher.clock.clone(),
                term_state: self.term_state.clone(),
                holder: self.dispatcher.instance.clone(),
                epoch: self.term.epoch,
                events: self.events.clone(),
            };
            self.tasks.spawn(caller.send(order));
        }
    }

    /// Reads the submissions that a listing named and the scheduler does not know.
    fn read_missing_jobs(&mut self, scheduler: &mut JobScheduler) {
        let ids = scheduler.take_missing_jobs();
        if ids.is_empty() {
            return;
        }
        info!(
            jobs = ids.len(),
            "lead: reading submissions that were missed"
        );
        for ids in ids.chunks(ids.len().div_ceil(MAX_SUBMISSION_READERS)) {
            let reader = SubmissionReader {
                store: self.dispatcher.store.clone(),
                events: self.events.clone(),
            };
            self.tasks.spawn(reader.read(ids.to_vec()));
        }
    }

    fn request_advice(&mut self, scheduler: &mut JobScheduler) {
        if let Some(request) = scheduler.take_advice_request() {
            let caller = AdviceCaller {
                advisor: self.dispatcher.advisor.clone(),
                clock: self.dispatcher.clock.clone(),
                events: self.events.clone(),
            };
            self.tasks.spawn(caller.request(request));
        }
    }
}
