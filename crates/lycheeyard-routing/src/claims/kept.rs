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

/// The largest body that is kept; its stored form is at most about twice as long.
const MAX_KEPT_BYTES: usize = 256 * 1024;

/// What is kept of an answer.
pub(super) fn state_of(answer: &RouteAnswer) -> ClaimState {
    let too_large = |bytes| ClaimState::AnsweredTooLarge { bytes };
    let Some(body) = answer.body.held() else {
        return too_large(None);
    };
    let AnswerSource::Runner(runner) = &answer.source else {
        return too_large(None);
    };
    if body.len() > MAX_KEPT_BYTES {
        return too_large(u64::try_from(body.len()).ok());
    }
    let kept = end_to_end(&answer.headers);
    let headers = kept.iter().filter(|(name, _)| is_kept(name));
    ClaimState::Answered(StoredAnswer {
        runner: runner.clone(),
        status: answer.status.as_u16(),
        headers: headers
            .map(|(name, value)| StoredHeader {
                name: name.to_string(),
                value: StoredBytes::of(value.as_bytes()),
            })
            .collect(),
        body: StoredBytes::of(&body),
    })
}

/// The answer that was kept.
///
/// # Errors
/// Fails when there is none.
pub(super) fn answer_of(state: ClaimState) -> Result<RouteAnswer, RouteError> {
    let ClaimState::Answered(stored) = state else {
        return Err(RouteError::AnswerNotKept);
    };
    let runner = stored.runner.clone();
    read(stored).ok_or(RouteError::Corrupt(runner))
}

fn read(stored: StoredAnswer) -> Option<RouteAnswer> {
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
        body: AnswerBody::whole(Bytes::from(stored.body.bytes()?)),
        headers,
    })
}

fn is_kept(name: &HeaderName) -> bool {
    *name != RUNNER_STATE && *name != OUTCOME
}
