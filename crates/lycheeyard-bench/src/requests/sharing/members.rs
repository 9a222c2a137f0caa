use super::{
    HALF_TIME, INSTANCES, LENDER_MARGIN, LOAN_DURATION, OTHER_INSTANCES, RUNNERS, SLOTS_PER_RUNNER,
    Scenario, Sharing, SharingSimulation, instance_name, parse_name,
};
use lycheeyard_policy::{RunnerSlots, rendezvous_share};
use lycheeyard_protocol::{Incarnation, RunnerId};
use std::time::Duration;

impl SharingSimulation {
    pub(super) fn update_members(&mut self, now: Duration) {
        let added = INSTANCES - 1;
        let is_join_undetected = self.scenario == Scenario::InstanceAdded && now == HALF_TIME;
        for instance in 0..INSTANCES {
            if !self.is_running[instance] {
                continue;
            }
            let is_visible =
                |other: &usize| self.is_running[*other] && !(is_join_undetected && *other == added);
            let names: Vec<String> = (0..INSTANCES)
                .filter(is_visible)
                .map(instance_name)
                .collect();
            let members: Vec<&str> = names.iter().map(String::as_str).collect();
            let slots = (0..RUNNERS).map(|runner| self.slots(runner, instance, &members));
            let slots: Vec<RunnerSlots> = slots.collect();
            let service = self.service.clone();
            self.instances[instance]
                .runners_mut(&service)
                .update(slots, now);
            self.dispatch(now, instance);
        }
    }

    pub(super) fn slots(&self, runner: usize, instance: usize, members: &[&str]) -> RunnerSlots {
        let id: RunnerId = parse_name(&format!("u{runner}"));
        let share = match self.sharing {
            Sharing::PowerOfTwo | Sharing::OwnCountsOnly => SLOTS_PER_RUNNER,
            Sharing::StrictShares | Sharing::LentShares => rendezvous_share(
                id.as_str(),
                members,
                &instance_name(instance),
                SLOTS_PER_RUNNER,
            ),
        };
        RunnerSlots {
            incarnation: Incarnation(1),
            max_in_flight: SLOTS_PER_RUNNER,
            share,
            id,
        }
    }

    /// Refreshes the runner slots of all instances. Under `LentShares`, instances with queued requests then borrow
    /// slots from those without.
    pub(super) fn lend_slots(&mut self, now: Duration) {
        let service = self.service.clone();
        for instance in 0..INSTANCES {
            self.instances[instance].runners_mut(&service).refresh(now);
            self.dispatch(now, instance);
        }
        if self.sharing != Sharing::LentShares {
            return;
        }
        for borrower in 0..INSTANCES {
            let waiting = self.instances[borrower].waiting(&service);
            let wanted = u32::try_from(waiting).unwrap_or(u32::MAX).min(512);
            let wanted = wanted.div_ceil(OTHER_INSTANCES);
            if wanted == 0 {
                continue;
            }
            for lender in (0..INSTANCES).filter(|lender| *lender != borrower) {
                if !self.is_running[lender] || self.instances[lender].waiting(&service) > 0 {
                    continue;
                }
                let until = now + LOAN_DURATION + LENDER_MARGIN;
                let lender_runners = self.instances[lender].runners_mut(&service);
                let mut loans = lender_runners.lend(wanted, until, now);
                for loan in &mut loans {
                    loan.until = now + LOAN_DURATION;
                }
                let borrower_runners = self.instances[borrower].runners_mut(&service);
                borrower_runners.borrow(loans, now);
            }
            self.dispatch(now, borrower);
        }
    }
}
