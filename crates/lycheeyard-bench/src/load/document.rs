use super::LoadError;
use lycheeyard_protocol::{OrganisationId, RequestsPerSecond, ServiceId};
use lycheeyard_standin::FaultSettings;
use serde::{Deserialize, Serialize};

/// How requests are let go.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadMode {
    /// At random times of a fixed mean rate, however slow the answers are.
    Open {
        /// The mean rate.
        rate: RequestsPerSecond,
    },
    /// As fast as a fixed number of callers, each waiting for its answer, can go.
    Closed {
        /// The number of callers.
        callers: u32,
    },
}

/// The part of the requests that one organisation sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationShare {
    /// The organisation.
    pub id: OrganisationId,
    /// Its share relative to the other shares.
    pub share: u32,
    /// The key that it presents, where one is needed.
    #[serde(default, skip_serializing)]
    pub key: Option<String>,
}

/// A change of a stand-in's fault switches during the run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// Milliseconds after the start of the run.
    pub at_ms: u64,
    /// The stand-in's address or, on a local cluster, its name.
    pub target: String,
    /// The switches from then on.
    pub settings: FaultSettings,
}

/// What a load run does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadDocument {
    /// How requests are let go.
    pub mode: LoadMode,
    /// The length of the run in milliseconds.
    pub duration_ms: u64,
    /// The start of the run, in milliseconds, that is left out of the figures.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// The seed of the random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The service.
    pub service: ServiceId,
    /// The path within the service.
    #[serde(default)]
    pub path: String,
    /// The size of each request's body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// The time for each answer in milliseconds.
    pub deadline_ms: u64,
    /// The work of each request at a runner stand-in, in microseconds, where it is not the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_us: Option<u64>,
    /// Who sends how much.
    pub organisations: Vec<OrganisationShare>,
    /// Faults during the run, in order of time.
    #[serde(default)]
    pub faults: Vec<FaultEvent>,
}

impl LoadDocument {
    /// Checks what the types cannot.
    ///
    /// # Errors
    /// Fails with the name of the field that is wrong.
    pub fn check(&self) -> Result<(), LoadError> {
        const MAX_BODY_BYTES: usize = 1024 * 1024;
        let refuse = |field, reason: &str| {
            Err(LoadError::Document {
                field,
                reason: reason.to_owned(),
            })
        };
        let idle = match self.mode {
            LoadMode::Open { rate } => rate.0 == 0,
            LoadMode::Closed { callers } => callers == 0,
        };
        if idle {
            return refuse("mode", "the rate or number of callers must be at least 1");
        }
        if self.duration_ms <= self.warm_up_ms {
            return refuse("duration_ms", "the run must be longer than its warm-up");
        }
        if self.deadline_ms == 0 {
            return refuse("deadline_ms", "it must be at least 1");
        }
        if self.body_bytes > MAX_BODY_BYTES {
            return refuse("body_bytes", "it must be at most 1 MiB");
        }
        if self
            .organisations
            .iter()
            .all(|organisation| organisation.share == 0)
        {
            return refuse("organisations", "at least one share must be above 0");
        }
        Ok(())
    }
}
