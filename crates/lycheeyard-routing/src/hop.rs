use crate::{
    AnswerSource, RouteAnswer, RouteError, RouteRequest,
    connection::{ConnectionPool, Freshness},
    exchange::{TryLimits, TryOutcome, UpstreamAnswer, exchange},
    request::header_name::{DEADLINE, HOP, OUTCOME},
    router::RouterShared,
    runner::EntryInstance,
    upstream::Upstream,
};
use hyper::header::{AUTHORIZATION, HeaderValue};
use lycheeyard_clients::Store;
use lycheeyard_protocol::{DataCentreId, Outcome};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::time::Instant;

/// Maximum number of entry instances that are tried for one request.
const MAX_ENTRY_TRIES: usize = 3;
const CONNECTIONS_PER_ENTRY: usize = 64;

/// The connection pools to entry instances of other data centres, by address.
#[derive(Debug, Default)]
pub(crate) struct HopPools {
    pools: Mutex<BTreeMap<SocketAddr, Arc<ConnectionPool>>>,
}

impl HopPools {
    fn get(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let create = || Arc::new(ConnectionPool::new(address, CONNECTIONS_PER_ENTRY));
        pools.entry(address).or_insert_with(create).clone()
    }

    /// Drops the pools of entry instances that are no longer listed and closes stale connections of the others.
    pub fn retain(&self, listed: &[EntryInstance]) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|address, _| listed.iter().any(|entry| entry.address == *address));
        for pool in pools.values() {
            pool.close_stale();
        }
    }
}

/// Forwards a request that no local runner can serve to another data centre; such a request is not forwarded again.
///
/// # Errors
/// Returns `local_error`, the reason why the request was not run here, if no other data centre is reachable, or the
/// error of the exchange if the request may have been sent.
pub(crate) async fn forward<S: Store>(
    shared: &RouterShared<S>,
    req: &RouteRequest,
    local_error: RouteError,
) -> Result<RouteAnswer, RouteError> {
    let mut entries = shared.runner_table.entry_instances();
    let config = shared.config.borrow().clone();
    entries.retain(|entry| {
        entry.data_centre != shared.settings.data_centre
            && !entry.is_leaving
            && !config.is_evacuated(&entry.data_centre)
    });
    if entries.is_empty() {
        return Err(local_error);
    }
    let offset = usize::from(rand::random::<u16>()) % entries.len();
    entries.rotate_left(offset);
    for entry in entries.iter().take(MAX_ENTRY_TRIES) {
        let pool = shared.hop_pools.get(entry.address);
        let limits = TryLimits {
            freshness: Freshness::RecentlyVerified,
            stalled_at: req.deadline,
            deadline: req.deadline,
        };
        let forwarded = forwarded_request(req);
        let upstream = Upstream {
            name: entry.instance.as_str(),
            data_centre: &entry.data_centre,
            pool: &pool,
            config: &shared.config,
        };
        match exchange(upstream, &forwarded, limits, &mut None).await {
            TryOutcome::Answered(answer) => {
                return Ok(forwarded_answer(answer, entry.data_centre.clone()));
            }
            TryOutcome::NotSent(_) => {}
            TryOutcome::MayHaveRun(err) => return Err(err),
        }
    }
    Err(local_error)
}

fn forwarded_request(req: &RouteRequest) -> RouteRequest {
    let mut forwarded = req.clone();
    forwarded.path = format!("/v1/services/{}{}", req.service, req.path);
    let remaining = req.deadline.saturating_duration_since(Instant::now());
    let millis = remaining.as_millis().max(1).to_string();
    if let Ok(value) = HeaderValue::from_str(&millis) {
        forwarded.headers.insert(DEADLINE, value);
    }
    if let Some(credentials) = forwarded.authorization.take() {
        forwarded.headers.insert(AUTHORIZATION, credentials);
    }
    forwarded.headers.insert(HOP, HeaderValue::from_static("1"));
    forwarded
}

fn forwarded_answer(answer: UpstreamAnswer, data_centre: DataCentreId) -> RouteAnswer {
    let outcome = answer.headers.get(OUTCOME);
    let outcome = outcome.and_then(|value| value.to_str().ok()?.parse().ok());
    RouteAnswer {
        source: AnswerSource::DataCentre(data_centre, outcome.unwrap_or(Outcome::Unknown)),
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}
