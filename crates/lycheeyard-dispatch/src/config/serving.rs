use lycheeyard_clients::ClientLimits;
use lycheeyard_jobs::{QueuePolicy, SchedulingPolicy};
use lycheeyard_protocol::{OrganisationId, QueueId, Revision};
use std::{collections::BTreeMap, fmt, time::Duration};

/// A secret that authenticates a caller as a member of an organisation. `Debug` output redacts it.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
pub struct AccessKey(pub String);

/// The host and path under which a queue accepts calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRoute {
    /// The queue that the calls are for.
    pub queue: QueueId,
    /// The host name that calls must carry.
    pub host: String,
    /// The path prefix of the queue's jobs.
    pub path_prefix: String,
    /// Whether calls are admitted without a key.
    pub is_public: bool,
    /// The maximum time to serve a call.
    pub timeout: Duration,
}

/// The decoded configuration that instances serve calls and schedule by.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServingConfig {
    /// The revision; each change increases it.
    pub revision: Revision,
    /// The routes of all queues.
    pub routes: Vec<QueueRoute>,
    /// The organisation that each access key belongs to.
    pub keys: BTreeMap<AccessKey, OrganisationId>,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// What each client may do.
    pub client_limits: ClientLimits,
    /// The policy that the scheduler applies.
    pub policy: SchedulingPolicy,
}

/// The route that matches a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteMatch<'a> {
    /// The matching route.
    pub route: &'a QueueRoute,
    /// The scheduling policy of the route's queue.
    pub policy: &'a QueuePolicy,
    /// The part of the path after the prefix.
    pub subpath: &'a str,
}

impl ServingConfig {
    /// Finds the route of `host` with the longest prefix of `path`. Skips routes whose queue has no policy.
    #[must_use]
    pub fn find_route<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let routes = self.routes.iter().filter(|route| route.host == host);
        let matching = routes.filter_map(|route| {
            let subpath = path.strip_prefix(route.path_prefix.as_str())?;
            let policy = self.policy.queues.get(&route.queue)?;
            Some(RouteMatch {
                route,
                policy,
                subpath,
            })
        });
        matching.max_by_key(|found| found.route.path_prefix.len())
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessKey(..)")
    }
}
