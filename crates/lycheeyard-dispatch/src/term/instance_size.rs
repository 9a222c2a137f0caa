use lycheeyard_protocol::ParseError;
use std::{fmt, str::FromStr, time::Duration};

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

/// The resources of an instance; prints as `500m-512MB-200Mbit`. Larger instances acquire the scheduling lease before smaller ones.
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
    /// Whether this instance is so much larger than another one that it is worth a change of the holder.
    pub(crate) fn is_much_larger(self, other: Self) -> bool {
        self.acquisition_wait() + WAIT_PER_HALVING <= other.acquisition_wait()
    }

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

impl fmt::Display for InstanceSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cpu_milli,
            memory_mb,
            link_mbps,
        } = self;
        write!(f, "{cpu_milli}m-{memory_mb}MB-{link_mbps}Mbit")
    }
}

impl FromStr for InstanceSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let malformed = || ParseError::Number {
            kind: "InstanceSize",
            text: text.to_owned(),
        };
        let mut parts = text.splitn(3, '-');
        let mut part = |unit: &str| {
            let part = parts.next()?.strip_suffix(unit)?;
            part.parse().ok()
        };
        Ok(Self {
            cpu_milli: part("m").ok_or_else(malformed)?,
            memory_mb: part("MB").ok_or_else(malformed)?,
            link_mbps: part("Mbit").ok_or_else(malformed)?,
        })
    }
}

/// How often `full` has to be halved to get `value`; 0 if `value` is larger.
fn halvings(value: u32, full: u32) -> f64 {
    let ratio = f64::from(full) / f64::from(value.max(1));
    ratio.log2().clamp(0.0, MAX_HALVINGS)
}
