use std::time::Duration;

/// An instance of this size or larger does not wait before it tries to acquire the scheduling lease.
const FULL_SIZE: InstanceSize = InstanceSize {
    cpu_milli: 1000,
    memory_mb: 512,
    link_mbps: 100,
};
/// The additional wait of an instance that is half as large as another one. A larger instance needs less time than this to
/// acquire the lease.
const WAIT_PER_HALVING: Duration = Duration::from_millis(40);
/// The maximum number of halvings that count, so that the smallest instances take over in time when they are alone.
const MAX_HALVINGS: f64 = 4.0;

/// The resources of an instance. Larger instances acquire the scheduling lease before smaller ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceSize {
    /// The share of a processor core, in thousandths.
    pub cpu_milli: u32,
    /// The memory, in MB.
    pub memory_mb: u32,
    /// The bandwidth of the network link, in Mbit/s.
    pub link_mbps: u32,
}

impl InstanceSize {
    /// How long this instance leaves a free scheduling lease to larger ones. It depends on the scarcest resource.
    pub(crate) fn acquisition_wait(self) -> Duration {
        let halvings = halvings(self.cpu_milli, FULL_SIZE.cpu_milli)
            .max(halvings(self.memory_mb, FULL_SIZE.memory_mb))
            .max(halvings(self.link_mbps, FULL_SIZE.link_mbps));
        WAIT_PER_HALVING.mul_f64(halvings)
    }
}

impl Default for InstanceSize {
    fn default() -> Self {
        FULL_SIZE
    }
}

/// How often `full` has to be halved to get `value`; 0 if `value` is larger.
fn halvings(value: u32, full: u32) -> f64 {
    let ratio = f64::from(full) / f64::from(value.max(1));
    ratio.log2().clamp(0.0, MAX_HALVINGS)
}
