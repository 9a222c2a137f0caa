use super::{Event, MEAN_SERVICE_TIME, Request, SLOTS_PER_RUNNER, SLOW_FACTOR, SharingSimulation};
use crate::requests::{Scenario, draw::draw_exponential};
use lycheeyard_policy::Grant;
use std::time::Duration;

/// How runners work off the requests that instances send them.
impl SharingSimulation {
    pub(super) fn send_to_runner(&mut self, now: Duration, request: Request, grant: Option<Grant>) {
        let runner = &mut self.runners[request.runner];
        let outstanding =
            runner.running + u32::try_from(runner.queue.len()).unwrap_or(u32::MAX) + 1;
        self.result.peak_connections = self.result.peak_connections.max(outstanding);
        if outstanding > SLOTS_PER_RUNNER {
            runner.over_slots_since.get_or_insert(now);
        }
        if runner.running < SLOTS_PER_RUNNER {
            runner.running += 1;
            self.start_service(now, request, grant);
        } else {
            runner.queue.push_back((request, grant));
        }
    }

    fn start_service(&mut self, now: Duration, request: Request, grant: Option<Grant>) {
        let slow = self.scenario == Scenario::SlowRunner && request.runner == 0;
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let mean = MEAN_SERVICE_TIME.as_secs_f64() * factor;
        let service_time = draw_exponential(&mut self.rng, mean);
        self.events
            .push(now + service_time, Event::Finished(request, grant));
    }

    pub(super) fn finish(&mut self, now: Duration, request: Request, grant: Option<Grant>) {
        let runner = &mut self.runners[request.runner];
        runner.running -= 1;
        let next = runner.queue.pop_front();
        if next.is_some() {
            runner.running += 1;
        }
        let outstanding = runner.running + u32::try_from(runner.queue.len()).unwrap_or(u32::MAX);
        if outstanding <= SLOTS_PER_RUNNER
            && let Some(since) = runner.over_slots_since.take()
        {
            self.over_slots_time += now.saturating_sub(since);
        }
        if let Some((next, grant)) = next {
            self.start_service(now, next, grant);
        }
        let in_flight = &mut self.in_flight[request.instance][request.runner];
        *in_flight = in_flight.saturating_sub(1);
        if self.is_running[request.instance] {
            self.result
                .times
                .record(now.saturating_sub(request.arrived_at));
        } else {
            self.result.lost += 1;
        }
        if let Some(grant) = grant {
            let elapsed = now.saturating_sub(request.sent_at);
            self.instances[request.instance].release(&grant, Some(elapsed));
            self.dispatch(now, request.instance);
        }
    }
}
