use crate::{
    AnswerBody, AnswerSource, RouteAnswer, RouteError,
    request::{
        end_to_end,
        header_name::{OUTCOME, REPLAYED, RUNNER_STATE},
    },
};
use bytes::Bytes;
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue},
};
use lycheeyard_state::{ClaimState, StoredAnswer, StoredBytes, StoredHeader};

/// Size of the largest body that is stored; its stored form is at most about twice as long.
const MAX_STORED_BYTES: usize = 256 * 1024;

/// Converts an answer into the claim state that is stored.
pub(super) fn to_claim_state(answer: &RouteAnswer) -> ClaimState {
    let too_large = |bytes| ClaimState::AnsweredTooLarge { bytes };
    let Some(body) = answer.body.buffered() else {
        return too_large(None);
    };
    let AnswerSource::Runner(runner) = &answer.source else {
        return too_large(None);
    };
    if body.len() > MAX_STORED_BYTES {
        return too_large(u64::try_from(body.len()).ok());
    }
    let headers = end_to_end(&answer.headers);
    let stored_headers = headers.iter().filter(|(name, _)| is_stored(name));
    ClaimState::Answered(StoredAnswer {
        runner: runner.clone(),
        status: answer.status.as_u16(),
        headers: stored_headers
            .map(|(name, value)| StoredHeader {
                name: name.to_string(),
                value: StoredBytes::of(value.as_bytes()),
            })
            .collect(),
        body: StoredBytes::of(&body),
    })
}

/// Converts a stored claim state back into an answer.
///
/// # Errors
/// Returns an error if no answer is stored or it cannot be decoded.
pub(super) fn to_route_answer(state: ClaimState) -> Result<RouteAnswer, RouteError> {
    let ClaimState::Answered(stored) = state else {
        return Err(RouteError::AnswerNotStored);
    };
    let runner = stored.runner.clone();
    decode(stored).ok_or(RouteError::CorruptStoredAnswer(runner))
}

fn decode(stored: StoredAnswer) -> Option<RouteAnswer> {
    let mut headers = HeaderMap::new();
    for header in &stored.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value.bytes()?).ok()?;
        headers.append(name, value);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    Some(RouteAnswer {
        source: AnswerSource::Replayed(stored.runner),
        status: StatusCode::from_u16(stored.status).ok()?,
        body: AnswerBody::from_bytes(Bytes::from(stored.body.bytes()?)),
        headers,
    })
}

fn is_stored(name: &HeaderName) -> bool {
    *name != RUNNER_STATE && *name != OUTCOME
}
