//! A router with scripted runners and a stand-in store.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method};
use lycheeyard_clients::{CallClass, HttpStore, Store};
use lycheeyard_peer::Membership;
use lycheeyard_protocol::{
    Incarnation, Instance, InstanceRole, InstanceState, Organisation, RequestsPerSecond, Revision,
    Service, Slots, Weight,
    platform::{Expectation, InstanceList},
};
use lycheeyard_routing::{
    RouteAnswer, RouteError, RouteRequest, Router, RouterSettings, RunnerTable,
};
use lycheeyard_standin::{ScriptedRunner, StoreStandin};
use lycheeyard_state::Configuration;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::watch, time::Instant};

/// A router of instance `e1` in data centre `dc1`.
pub struct Fixture {
    pub store: StoreStandin,
    pub runners: Vec<ScriptedRunner>,
    pub table: RunnerTable,
    pub router: Router<HttpStore>,
    pub list: InstanceList,
    pub membership: Membership,
    pub config: watch::Sender<Arc<Configuration>>,
}

impl Fixture {
    pub async fn start(runners: usize) -> Self {
        Self::start_with_slots(runners, 8).await
    }

    pub async fn start_with_slots(count: usize, slots: u32) -> Self {
        let store = StoreStandin::start().await.expect("store starts");
        let mut runners = Vec::new();
        let mut list = InstanceList::default();
        for number in 0..count {
            let runner = ScriptedRunner::start().await.expect("runner starts");
            list.instances
                .push(runner_instance(&format!("u{number}"), runner.address()));
            runners.push(runner);
        }
        let membership = Membership::default();
        let data_centre = "dc1".parse().expect("name is valid");
        let table = RunnerTable::new(data_centre, membership.clone());
        table.update(&list);
        let config = watch::Sender::new(Arc::new(configuration(slots)));
        let settings = RouterSettings {
            instance: "e1".parse().expect("name is valid"),
            data_centre: "dc1".parse().expect("name is valid"),
        };
        let router = Router::new(
            settings,
            membership.clone(),
            table.clone(),
            config.subscribe(),
            HttpStore::new(store.address()),
        );
        router.refresh();
        Self {
            store,
            runners,
            table,
            router,
            list,
            membership,
            config,
        }
    }

    pub async fn send(&self, req: RouteRequest) -> Result<RouteAnswer, RouteError> {
        self.router.route(req).await
    }

    /// Sends an idempotent request and reads its complete answer.
    pub async fn lookup(&self, body: &str) -> Result<String, RouteError> {
        read_body(self.send(lookup(body)).await?).await
    }

    /// Sends a non-idempotent request and reads its complete answer.
    pub async fn run_once(&self, key: &str, body: &str) -> Result<String, RouteError> {
        read_body(self.send(keyed_lookup(key, body)).await?).await
    }

    /// Replaces a value in the store.
    pub async fn replace_stored_value<T: serde::Serialize>(&self, key: &str, value: &T) {
        let store = HttpStore::new(self.store.address());
        let text = serde_json::to_string(value).expect("value serialises to JSON");
        let deadline = Instant::now() + Duration::from_secs(5);
        let put = store.put(
            CallClass::Claim,
            key.to_owned(),
            text,
            Expectation::Any,
            deadline,
        );
        put.await.expect("store answers");
    }

    /// Returns how often runners have started a request with this body.
    pub fn started_count(&self, body: &str) -> u32 {
        let counts = self.runners.iter().map(ScriptedRunner::counts);
        counts
            .map(|counts| counts.begun.get(body).copied().unwrap_or(0))
            .sum()
    }
}

pub async fn read_body(answer: RouteAnswer) -> Result<String, RouteError> {
    let body = answer.body.collect().await;
    let bytes = body
        .map_err(|err| RouteError::ConnectionLost {
            upstream: err.to_string(),
        })?
        .to_bytes();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

pub fn lookup(body: &str) -> RouteRequest {
    RouteRequest {
        organisation: "org-a".parse().expect("name is valid"),
        service: "lookups".parse().expect("name is valid"),
        deadline: Instant::now() + Duration::from_secs(20),
        key: None,
        is_forwarded: false,
        method: Method::POST,
        path: "/lookup".to_owned(),
        headers: HeaderMap::new(),
        authorization: None,
        body: Bytes::from(body.to_owned()),
    }
}

pub fn keyed_lookup(key: &str, body: &str) -> RouteRequest {
    RouteRequest {
        key: Some(key.parse().expect("key is valid")),
        ..lookup(body)
    }
}

pub fn runner_instance(name: &str, address: SocketAddr) -> Instance {
    Instance {
        name: name.to_owned(),
        role: InstanceRole::Runner,
        data_centre: "dc1".parse().expect("name is valid"),
        service: Some("lookups".parse().expect("name is valid")),
        address,
        peer_address: None,
        incarnation: Incarnation(1),
        state: InstanceState::Live,
    }
}

fn configuration(slots: u32) -> Configuration {
    let mut config = Configuration {
        revision: Revision(1),
        ..Configuration::default()
    };
    let service = Service {
        id: "lookups".parse().expect("name is valid"),
        organisations: BTreeSet::new(),
        runner_slots: Slots(slots),
        runner_connections: Slots(64),
    };
    config.services.insert(service.id.clone(), service);
    for name in ["org-a", "org-b"] {
        let organisation = Organisation {
            id: name.parse().expect("name is valid"),
            weight: Weight(1),
            concurrency: Slots(1000),
            rate: RequestsPerSecond(100_000),
            guarantees: Vec::new(),
            key_digests: Vec::new(),
        };
        config
            .organisations
            .insert(organisation.id.clone(), organisation);
    }
    config
}
