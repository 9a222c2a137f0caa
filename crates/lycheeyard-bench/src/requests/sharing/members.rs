use super::{
    HALF, INSTANCES, LENDER_MARGIN, LENDERS, LOAN, RUNNERS, SLOTS, Scenario, Sharing, Sim, name,
    parsed,
};
use lycheeyard_policy::{RunnerSlots, rendezvous_share};
use lycheeyard_protocol::{Incarnation, RunnerId};
use std::time::Duration;

impl Sim {
    pub(super) fn update_members(&mut self, now: Duration) {
        let newcomer = INSTANCES - 1;
        let unnoticed = self.scenario == Scenario::InstanceAdded && now == HALF;
        for own in 0..INSTANCES {
            if !self.alive[own] {
                continue;
            }
            let seen = |other: &usize| self.alive[*other] && !(unnoticed && *other == newcomer);
            let names: Vec<String> = (0..INSTANCES).filter(seen).map(name).collect();
            let members: Vec<&str> = names.iter().map(String::as_str).collect();
            let slots = (0..RUNNERS).map(|runner| self.slots(runner, own, &members));
            let slots: Vec<RunnerSlots> = slots.collect();
            let service = self.service.clone();
            self.instances[own].runners_mut(&service).update(slots, now);
            self.dispatch(now, own);
        }
    }

    pub(super) fn slots(&self, runner: usize, own: usize, members: &[&str]) -> RunnerSlots {
        let id: RunnerId = parsed(&format!("u{runner}"));
        let share = match self.sharing {
            Sharing::PowerOfTwo | Sharing::OwnCountsOnly => SLOTS,
            Sharing::StrictShares | Sharing::LentShares => {
                rendezvous_share(id.as_str(), members, &name(own), SLOTS)
            }
        };
        RunnerSlots {
            incarnation: Incarnation(1),
            max_in_flight: SLOTS,
            share,
            id,
        }
    }

    /// Lets every instance whose queue is not empty borrow from the others.
    pub(super) fn pulse(&mut self, now: Duration) {
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
            let wanted = wanted.div_ceil(LENDERS);
            if wanted == 0 {
                continue;
            }
            for lender in (0..INSTANCES).filter(|lender| *lender != borrower) {
                if !self.alive[lender] || self.instances[lender].waiting(&service) > 0 {
                    continue;
                }
                let until = now + LOAN + LENDER_MARGIN;
                let lent = self.instances[lender].runners_mut(&service);
                let mut loans = lent.lend(wanted, until, now);
                for loan in &mut loans {
                    loan.until = now + LOAN;
                }
                let own = self.instances[borrower].runners_mut(&service);
                own.borrow(loans, now);
            }
            self.dispatch(now, borrower);
        }
    }
}
