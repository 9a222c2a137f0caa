/// What an entry instance knows of one runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunnerLoad {
    /// Requests that this instance has in flight there.
    pub in_flight: u32,
    /// The number of slots that this instance may use there.
    pub share: u32,
}

/// The position of the least loaded runner with a free slot in this instance's share.
#[must_use]
pub fn choose_runner(loads: &[RunnerLoad]) -> Option<usize> {
    loads
        .iter()
        .enumerate()
        .filter(|(_, load)| load.in_flight < load.share)
        .min_by_key(|(_, load)| load.in_flight)
        .map(|(index, _)| index)
}
