/// The load of one runner as seen by an entry instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunnerLoad {
    /// Requests that this instance has in flight there.
    pub in_flight: u32,
    /// The number of slots that this instance may use there.
    pub share: u32,
    /// The smoothed response time, in microseconds.
    pub latency_us: u32,
}

impl RunnerLoad {
    /// The expected response time if one more request is sent, in microseconds.
    fn cost(self) -> u64 {
        u64::from(self.in_flight + 1) * u64::from(self.latency_us.max(1))
    }
}

/// Returns the position of the runner with the lowest expected response time that has a free slot in this instance's
/// share.
///
/// The search begins at `start` and wraps around, so that runners of equal cost take turns. The runner at `avoid` is
/// chosen only if no other has a free slot.
#[must_use]
pub fn choose_runner(loads: &[RunnerLoad], start: usize, avoid: Option<usize>) -> Option<usize> {
    let start = if loads.is_empty() {
        0
    } else {
        start % loads.len()
    };
    let mut best = None;
    let mut best_cost = u64::MAX;
    let (before, after) = loads.split_at(start);
    for (offset, part) in [(start, after), (0, before)] {
        for (index, load) in part.iter().enumerate() {
            if load.in_flight < load.share && load.cost() < best_cost {
                let position = offset + index;
                if Some(position) != avoid {
                    best_cost = load.cost();
                    best = Some(position);
                }
            }
        }
    }
    best.or_else(|| avoid.filter(|&index| is_free(loads, index)))
}

fn is_free(loads: &[RunnerLoad], index: usize) -> bool {
    loads
        .get(index)
        .is_some_and(|load| load.in_flight < load.share)
}
