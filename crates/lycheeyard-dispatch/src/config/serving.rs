use lycheeyard_jobs::{QueuePolicy, SchedulingPolicy};
use lycheeyard_protocol::{OrganisationId, QueueId, Revision};
use std::{collections::BTreeMap, fmt, time::Duration};

/// A secret by which a caller proves its organisation. It never appears in debug output.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
pub struct AccessKey(pub String);

/// Where a queue takes jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRoute {
    /// The queue.
    pub queue: QueueId,
    /// The host that callers name.
    pub host: String,
    /// The path under which its jobs are.
    pub path_prefix: String,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The longest time that a call may take.
    pub timeout: Duration,
}

/// The configuration in the form that instances serve by.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServingConfig {
    /// Rises with each change.
    pub revision: Revision,
    /// The queues' routes.
    pub routes: Vec<QueueRoute>,
    /// The keys and whose they are.
    pub keys: BTreeMap<AccessKey, OrganisationId>,
    /// The longest body in bytes.
    pub max_body_bytes: usize,
    /// What the scheduler follows.
    pub policy: SchedulingPolicy,
}

/// The route of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a QueueRoute,
    /// The queue's policy.
    pub policy: &'a QueuePolicy,
    /// What follows the prefix in the path.
    pub rest: &'a str,
}

impl ServingConfig {
    /// The route with the longest prefix of a call's path.
    #[must_use]
    pub fn find_route<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let routes = self.routes.iter().filter(|route| route.host == host);
        let matching = routes.filter_map(|route| {
            let rest = path.strip_prefix(route.path_prefix.as_str())?;
            let policy = self.policy.queues.get(&route.queue)?;
            Some(RouteMatch {
                route,
                policy,
                rest,
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
