use super::unit::Unit;
use crate::Resources;
use lycheeyard_protocol::{RackId, ServiceId};

/// What a unit asks of hosts, without how much of it.
#[derive(Clone, Debug, PartialEq)]
struct Wish {
    service: ServiceId,
    demand: Resources,
    priority: u32,
    is_whole: bool,
    same_rack: bool,
    checkpointing: bool,
    data_rack: Option<RackId>,
    required_label: Option<String>,
}

/// The units that did not fit in a round: what asks for as much or more does not fit either, since a round
/// only takes room away.
#[derive(Clone, Debug, Default)]
pub(super) struct Misfits {
    rows: Vec<Misfit>,
}

#[derive(Clone, Debug)]
struct Misfit {
    wish: Wish,
    /// The fewest tasks and the shortest run time, in milliseconds, that did not fit.
    tasks: usize,
    run_ms: u64,
}

impl Misfits {
    /// Takes note of a unit of which nothing fits.
    pub fn note(&mut self, unit: &Unit) {
        // What others of its step hold, or what the advisor says, may be what keeps it out.
        if unit.step().spread_limit.is_some() || unit.permits.is_advised() {
            return;
        }
        let wish = wish_of(unit);
        let tasks = unit.least_tasks();
        let run_ms = unit.expected_ms;
        let known = self
            .rows
            .iter_mut()
            .find(|row| row.wish == wish && row.tasks >= tasks && row.run_ms >= run_ms);
        match known {
            Some(row) => {
                row.tasks = tasks;
                row.run_ms = run_ms;
            }
            None => self.rows.push(Misfit {
                wish,
                tasks,
                run_ms,
            }),
        }
    }

    /// Whether it is known that nothing of a unit fits.
    pub fn covers(&self, unit: &Unit) -> bool {
        if unit.step().spread_limit.is_some() || !unit.avoid.is_empty() {
            return false;
        }
        let tasks = unit.least_tasks();
        let wish = wish_of(unit);
        self.rows
            .iter()
            .any(|row| row.tasks <= tasks && row.run_ms <= unit.expected_ms && row.wish == wish)
    }
}

fn wish_of(unit: &Unit) -> Wish {
    let step = unit.step();
    Wish {
        service: unit.service.clone(),
        demand: step.reserved(),
        priority: unit.priority,
        is_whole: unit.is_whole(),
        same_rack: step.same_rack,
        checkpointing: step.checkpointing,
        data_rack: step.data_rack.clone(),
        required_label: step.required_label.clone(),
    }
}
