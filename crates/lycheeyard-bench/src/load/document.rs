use super::LoadError;
use lycheeyard_protocol::{OrganisationId, RequestsPerSecond, ServiceId};
use lycheeyard_standin::FaultSettings;
use serde::{Deserialize, Serialize};

/// How the load generator sends requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadMode {
    /// Open loop: at random times with a fixed mean rate, independent of responses.
    Open {
        /// The mean rate.
        rate: RequestsPerSecond,
    },
    /// Closed loop: a fixed number of callers, each of which waits for a response before it sends the next request.
    Closed {
        /// The number of callers.
        callers: u32,
    },
}

/// The share of the requests that one organisation sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationShare {
    /// The organisation.
    pub id: OrganisationId,
    /// The weight of the organisation relative to the other shares.
    pub share: u32,
    /// The access key that its requests carry, if the target requires one.
    #[serde(default, skip_serializing)]
    pub key: Option<String>,
}

/// A change of the fault settings of a stand-in during the run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// The time of the change, in milliseconds after the start of the run.
    pub at_ms: u64,
    /// The address of the stand-in or, on a local cluster, its name.
    pub target: String,
    /// The fault settings that apply from then on.
    pub settings: FaultSettings,
}

/// The description of a load run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadDocument {
    /// How requests are sent.
    pub mode: LoadMode,
    /// The length of the run in milliseconds.
    pub duration_ms: u64,
    /// The warm-up at the start of the run, in milliseconds; the report leaves out its requests.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// The seed of the random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The service that the requests go to.
    pub service: ServiceId,
    /// The path within the service.
    #[serde(default)]
    pub path: String,
    /// The size of each request body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// The time limit of each request in milliseconds.
    pub deadline_ms: u64,
    /// The processing time of each request at a runner stand-in, in microseconds; the default of the stand-in if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_us: Option<u64>,
    /// The organisations and their shares of the requests.
    pub organisations: Vec<OrganisationShare>,
    /// Faults to inject during the run, in order of time.
    #[serde(default)]
    pub faults: Vec<FaultEvent>,
}

impl LoadDocument {
    /// Validates the values that the types do not restrict.
    ///
    /// # Errors
    /// Fails with the name of the first invalid field.
    pub fn check(&self) -> Result<(), LoadError> {
        const MAX_BODY_BYTES: usize = 1024 * 1024;
        let reject = |field, reason: &str| {
            Err(LoadError::Document {
                field,
                reason: reason.to_owned(),
            })
        };
        let sends_nothing = match self.mode {
            LoadMode::Open { rate } => rate.0 == 0,
            LoadMode::Closed { callers } => callers == 0,
        };
        if sends_nothing {
            return reject("mode", "the rate or number of callers must be at least 1");
        }
        if self.duration_ms <= self.warm_up_ms {
            return reject("duration_ms", "the run must be longer than its warm-up");
        }
        if self.deadline_ms == 0 {
            return reject("deadline_ms", "it must be at least 1");
        }
        if self.body_bytes > MAX_BODY_BYTES {
            return reject("body_bytes", "it must be at most 1 MiB");
        }
        if self
            .organisations
            .iter()
            .all(|organisation| organisation.share == 0)
        {
            return reject("organisations", "at least one share must be above 0");
        }
        Ok(())
    }
}
