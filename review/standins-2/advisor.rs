//! The service that knows which runners a queue's policy allows to run a step.

use crate::{
    http::{Reply, Request, Service},
    json::Json,
    record::Record,
};
use std::{net::TcpStream, sync::Arc, thread, time::Duration};

/// How long it takes to decide, and for each runner that is named.
pub const DECISION: Duration = Duration::from_millis(50);
pub const EACH: Duration = Duration::from_millis(1);
/// How long a ticket is valid, in milliseconds.
pub const VALIDITY_MS: u64 = 5000;

/// Allows one runner to run each step.
pub struct Advisor {
    pub allowed: String,
    pub record: Arc<Record>,
}

impl Service for Advisor {
    fn answer(&self, req: &Request, _connection: &TcpStream) -> Reply {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let step = body.get("step").text().unwrap_or("");
        let workers = body.get("workers").list();
        let named: Vec<&str> = workers.iter().filter_map(Json::text).collect();
        self.record.line(&format!(
            "advisor: asked about {step} on {}",
            named.join(" ")
        ));
        thread::sleep(DECISION + EACH * u32::try_from(named.len()).unwrap_or(0));
        let allowed = named.iter().filter(|id| **id == self.allowed);
        let rows =
            allowed.map(|id| Json::List(vec![(*id).into(), format!("ticket-{step}").into()]));
        let answer = Json::object([
            ("good", rows.collect::<Vec<_>>().into()),
            ("validityMs", VALIDITY_MS.into()),
        ]);
        Reply::Answer(200, answer.to_string())
    }
}
