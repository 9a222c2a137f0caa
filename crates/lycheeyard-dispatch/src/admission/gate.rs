use super::{AdmittedCall, Refusal};
use crate::config::{AccessKey, ConfigState, RouteMatch, VerifiedConfig};
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::OrganisationId;
use std::time::Duration;

/// The organisation of calls to queues that need no key.
const PUBLIC_ORGANISATION: &str = "public";

/// How old the proof of a configuration may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessLimits {
    /// For letting a call with a key pass, since the key may have been taken away.
    pub keys: Duration,
    /// For saying that a route or key does not exist, since it may have been added.
    pub denials: Duration,
}

/// Decides by the configuration which calls are served.
#[derive(Clone, Debug)]
pub struct CallGate {
    config: ConfigState,
    limits: FreshnessLimits,
    public: OrganisationId,
}

impl CallGate {
    /// Makes a gate.
    ///
    /// # Panics
    /// Never: the name of the public organisation is valid.
    #[must_use]
    pub fn new(config: ConfigState, limits: FreshnessLimits) -> Self {
        let public = PUBLIC_ORGANISATION.parse();
        Self {
            config,
            limits,
            public: public.expect("a valid name"),
        }
    }

    /// Whether this instance can serve calls at all.
    #[must_use]
    pub fn is_ready(&self, now: BootTime) -> bool {
        let known = self.config.current();
        known.fresh(now, self.limits.keys).is_some()
    }

    /// Admits a call or refuses it.
    ///
    /// # Errors
    /// Fails with the reason of the refusal.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&AccessKey>,
        now: BootTime,
    ) -> Result<AdmittedCall, Refusal> {
        let known = self.config.current();
        let config = known.config.as_ref().ok_or(Refusal::NoConfiguration)?;
        let Some(found) = config.find_route(host, path) else {
            return Err(self.deny(&known, Refusal::UnknownRoute, now));
        };
        if found.route.is_public {
            return Ok(admitted(&found, &self.public, config.max_body_bytes));
        }
        let organisation = key.and_then(|key| config.keys.get(key));
        let Some(organisation) = organisation else {
            return Err(self.deny(&known, Refusal::UnknownKey, now));
        };
        if known.fresh(now, self.limits.keys).is_none() {
            return Err(Refusal::StaleConfiguration);
        }
        Ok(admitted(&found, organisation, config.max_body_bytes))
    }

    /// A denial, if the configuration is new enough for one.
    fn deny(&self, known: &VerifiedConfig, refusal: Refusal, now: BootTime) -> Refusal {
        match known.fresh(now, self.limits.denials) {
            Some(_) => refusal,
            None => Refusal::StaleConfiguration,
        }
    }
}

fn admitted(
    found: &RouteMatch<'_>,
    organisation: &OrganisationId,
    max_body_bytes: usize,
) -> AdmittedCall {
    AdmittedCall {
        queue: found.route.queue.clone(),
        policy: found.policy.clone(),
        organisation: organisation.clone(),
        rest: found.rest.to_owned(),
        timeout: found.route.timeout,
        max_body_bytes,
    }
}
