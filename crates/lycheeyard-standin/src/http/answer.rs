use super::{
    JsonHandler, StandinError,
    reply::{bad_request, json_reply, parse, status_reply},
};
use crate::{FaultSettings, Faults, faults::ResponseAction};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use lycheeyard_clients::{BodyLimits, RequestBody};
use std::time::Duration;
use tokio::time::Instant;

/// The largest body that a stand-in takes, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const FAULTS_PATH: &str = "/standin/faults";
const SILENCE_PATH: &str = "/standin/silence";

/// Answers one call: a call to the stand-in's own faults at once, any other as the faults of the moment prescribe.
pub(super) async fn answer<H: JsonHandler>(
    req: Request<Incoming>,
    handler: H,
    faults: Faults,
    connection: u64,
) -> Result<Response<Full<Bytes>>, StandinError> {
    let (parts, body) = req.into_parts();
    let body = RequestBody::new(body, &parts.headers, &parts.extensions);
    let limits = BodyLimits {
        max_bytes: MAX_BODY_BYTES,
        deadline: Instant::now() + BODY_TIMEOUT,
        copies: 1,
    };
    let body = match body.read(limits).await {
        Ok(body) => body,
        Err(err) => return Ok(bad_request(&err.to_string())),
    };
    let req = Request::from_parts(parts, body);
    match req.uri().path() {
        FAULTS_PATH => return Ok(set_faults(&faults, req.body())),
        SILENCE_PATH => {
            faults.silence_open_connections();
            return Ok(json_reply(&faults.settings()));
        }
        _ => {}
    }
    hang_if_silenced(&faults, connection).await;
    faults.wait_while_paused().await;
    if faults.is_down() {
        return Ok(status_reply(StatusCode::SERVICE_UNAVAILABLE));
    }
    let reply = handler.handle(req).await;
    faults.delay_response().await;
    hang_if_silenced(&faults, connection).await;
    match faults.next_response_action() {
        ResponseAction::Send => Ok(reply),
        ResponseAction::Drop => Err(StandinError::AnswerDropped),
    }
}

async fn hang_if_silenced(faults: &Faults, connection: u64) {
    if faults.is_silent(connection) {
        std::future::pending::<()>().await;
    }
}

fn set_faults(faults: &Faults, body: &Bytes) -> Response<Full<Bytes>> {
    if body.is_empty() {
        return json_reply(&faults.settings());
    }
    match parse::<FaultSettings>(body) {
        Ok(settings) => {
            faults.set(settings);
            json_reply(&faults.settings())
        }
        Err(err) => bad_request(&err.to_string()),
    }
}
