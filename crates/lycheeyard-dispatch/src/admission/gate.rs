use super::{AdmittedCall, Refusal};
use crate::config::{AccessKey, ConfigState, RouteMatch, ServingConfig, VerifiedConfig};
use lycheeyard_clients::ClientLimits;
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::OrganisationId;
use std::time::Duration;

/// The organisation that calls to queues without a key belong to.
const PUBLIC_ORGANISATION: &str = "public";

/// For each kind of decision, the maximum time since the configuration was last verified as the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessLimits {
    /// Limit for admitting a call by its key, since the key may have been revoked in the meantime.
    pub keys: Duration,
    /// Limit for answering that a route or key does not exist, since it may have been added in the meantime.
    pub denials: Duration,
}

/// Admits or refuses calls according to the current configuration.
#[derive(Clone, Debug)]
pub struct CallGate {
    config: ConfigState,
    limits: FreshnessLimits,
    public: OrganisationId,
}

impl CallGate {
    /// Creates a gate over the followed configuration.
    ///
    /// # Panics
    /// Does not panic: the name of the public organisation is valid.
    #[must_use]
    pub fn new(config: ConfigState, limits: FreshnessLimits) -> Self {
        let public = PUBLIC_ORGANISATION.parse();
        Self {
            config,
            limits,
            public: public.expect("name of the public organisation is valid"),
        }
    }

    /// Returns whether this instance can admit calls by key: its configuration is within the limit for keys.
    #[must_use]
    pub fn is_ready(&self, now: BootTime) -> bool {
        let current = self.config.current();
        current.fresh(now, self.limits.keys).is_some()
    }

    /// Returns the time since the configuration was last verified.
    #[must_use]
    pub fn config_age(&self, now: BootTime) -> Duration {
        now.since(self.config.current().verified_at)
    }

    /// What a client that connects now may do.
    #[must_use]
    pub fn client_limits(&self) -> ClientLimits {
        let config = self.config.current().config;
        config.map_or_else(ClientLimits::default, |config| config.client_limits)
    }

    /// Admits a call or refuses it.
    ///
    /// # Errors
    /// Returns the reason of the refusal.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&AccessKey>,
        now: BootTime,
    ) -> Result<AdmittedCall, Refusal> {
        let current = self.config.current();
        let config = current.config.as_ref().ok_or(Refusal::NoConfiguration)?;
        let Some(found) = config.find_route(host, path) else {
            return Err(self.deny(&current, Refusal::UnknownRoute, now));
        };
        if found.route.is_public {
            return Ok(admitted(&found, &self.public, config));
        }
        let organisation = key.and_then(|key| config.keys.get(key));
        let Some(organisation) = organisation else {
            return Err(self.deny(&current, Refusal::UnknownKey, now));
        };
        if current.fresh(now, self.limits.keys).is_none() {
            return Err(Refusal::StaleConfiguration);
        }
        Ok(admitted(&found, organisation, config))
    }

    /// Whether the current configuration, however old it is, has the route and the key of a call.
    #[must_use]
    pub fn has_route_and_key(&self, host: &str, path: &str, key: Option<&AccessKey>) -> bool {
        let Some(config) = self.config.current().config else {
            return false;
        };
        let found = config.find_route(host, path);
        found.is_some_and(|found| {
            found.route.is_public || key.is_some_and(|key| config.keys.contains_key(key))
        })
    }

    /// Returns `refusal` if the configuration is fresh enough for a denial, else `StaleConfiguration`.
    fn deny(&self, current: &VerifiedConfig, refusal: Refusal, now: BootTime) -> Refusal {
        match current.fresh(now, self.limits.denials) {
            Some(_) => refusal,
            None => Refusal::StaleConfiguration,
        }
    }
}

fn admitted(
    found: &RouteMatch<'_>,
    organisation: &OrganisationId,
    config: &ServingConfig,
) -> AdmittedCall {
    let guarantee = config.policy.guarantees.get(organisation);
    AdmittedCall {
        queue: found.route.queue.clone(),
        policy: found.policy.clone(),
        organisation: organisation.clone(),
        guarantee: guarantee.copied().unwrap_or(0),
        subpath: found.subpath.to_owned(),
        timeout: found.route.timeout,
        max_body_bytes: config.max_body_bytes,
    }
}
