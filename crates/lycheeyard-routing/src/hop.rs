use crate::{
    AnswerSource, RouteAnswer, RouteError, RouteRequest,
    connection::{ConnectionPool, Freshness},
    exchange::{Try, TryLimits, UpstreamAnswer, exchange},
    request::header_name::{DEADLINE, HOP, OUTCOME},
    router::RouterShared,
    runner::EntryInstance,
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

/// Entry instances that are tried before a request is refused.
const MAX_ENTRIES: usize = 3;
const CONNECTIONS_PER_ENTRY: usize = 64;

/// Connections to entry instances of other data centres.
#[derive(Debug, Default)]
pub(crate) struct HopPools {
    pools: Mutex<BTreeMap<SocketAddr, Arc<ConnectionPool>>>,
}

impl HopPools {
    fn get(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let make = || Arc::new(ConnectionPool::new(address, CONNECTIONS_PER_ENTRY));
        pools.entry(address).or_insert_with(make).clone()
    }

    /// Forgets entry instances that are no longer listed.
    pub fn retain(&self, listed: &[EntryInstance]) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|address, _| listed.iter().any(|entry| entry.address == *address));
        for pool in pools.values() {
            pool.close_stale();
        }
    }
}

/// Passes a request that no runner here can take on to another data centre, once.
///
/// # Errors
/// Fails with `refused`, the reason why it was not run here, when no other data centre can be reached, or with what
/// is known when the other one broke off.
pub(crate) async fn pass_on<S: Store>(
    shared: &RouterShared<S>,
    req: &RouteRequest,
    refused: RouteError,
) -> Result<RouteAnswer, RouteError> {
    let mut entries = shared.table.entries();
    entries.retain(|entry| entry.data_centre != shared.settings.data_centre && !entry.leaving);
    if entries.is_empty() {
        return Err(refused);
    }
    let turn = usize::from(rand::random::<u16>()) % entries.len();
    entries.rotate_left(turn);
    for entry in entries.iter().take(MAX_ENTRIES) {
        let pool = shared.hops.get(entry.address);
        let limits = TryLimits {
            freshness: Freshness::JustProven,
            silent_at: req.deadline,
            deadline: req.deadline,
        };
        let passed = passed_on(req);
        let upstream = entry.instance.as_str();
        match exchange(&pool, upstream, &passed, limits, &mut None).await {
            Try::Answered(answer) => return Ok(hopped(answer, entry.data_centre.clone())),
            Try::NotSent(_) => {}
            Try::MayHaveRun(err) => return Err(err),
        }
    }
    Err(refused)
}

fn passed_on(req: &RouteRequest) -> RouteRequest {
    let mut passed = req.clone();
    passed.path = format!("/v1/services/{}{}", req.service, req.path);
    let remaining = req.deadline.saturating_duration_since(Instant::now());
    let millis = remaining.as_millis().max(1).to_string();
    if let Ok(value) = HeaderValue::from_str(&millis) {
        passed.headers.insert(DEADLINE, value);
    }
    if let Some(credentials) = passed.authorization.take() {
        passed.headers.insert(AUTHORIZATION, credentials);
    }
    passed.headers.insert(HOP, HeaderValue::from_static("1"));
    passed
}

fn hopped(answer: UpstreamAnswer, data_centre: DataCentreId) -> RouteAnswer {
    let outcome = answer.headers.get(OUTCOME);
    let outcome = outcome.and_then(|value| value.to_str().ok()?.parse().ok());
    RouteAnswer {
        source: AnswerSource::DataCentre(data_centre, outcome.unwrap_or(Outcome::Unknown)),
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}
