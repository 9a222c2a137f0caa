use super::{AccessMode, Caller, PresentedKey, RequiredAccess, matches_any};
use crate::Settings;
use hyper::{HeaderMap, header::AUTHORIZATION};
use lycheeyard_protocol::{OrganisationId, Problem, ProblemKind};
use lycheeyard_state::Configuration;

/// Identifies the caller and checks that it may make the call.
///
/// Removes the `Authorization` headers, so that the key does not reach a runner.
///
/// # Errors
/// Returns a problem if the key is missing, is given more than once or does not permit the call.
pub(crate) fn authorise(
    required: RequiredAccess,
    headers: &mut HeaderMap,
    settings: &Settings,
    config: &Configuration,
) -> Result<Caller, Problem> {
    let values: Vec<_> = headers.get_all(AUTHORIZATION).iter().cloned().collect();
    headers.remove(AUTHORIZATION);
    if settings.access == AccessMode::Open {
        return Ok(Caller::Operator);
    }
    if required == RequiredAccess::Public {
        return Ok(Caller::Anonymous);
    }
    let key = match values.as_slice() {
        [value] => PresentedKey::from_header(value.as_bytes()),
        _ => None,
    };
    let key = key.ok_or_else(missing_key)?;
    if matches_any(&key, settings.operator_keys.digests()) {
        return Ok(Caller::Operator);
    }
    match required {
        RequiredAccess::Organisation(id) if matches_any(&key, key_digests(config, &id)) => {
            Ok(Caller::Organisation(id))
        }
        _ => Err(Problem::not_run(
            ProblemKind::Forbidden,
            "the key does not allow this call".to_owned(),
        )),
    }
}

fn key_digests<'a>(
    config: &'a Configuration,
    id: &OrganisationId,
) -> impl Iterator<Item = &'a str> {
    let organisation = config.organisations.get(id).into_iter();
    let digests = organisation.flat_map(|organisation| &organisation.key_digests);
    digests.map(String::as_str)
}

fn missing_key() -> Problem {
    let text = "the header `Authorization: Bearer KEY` is required once";
    Problem::not_run(ProblemKind::Unauthenticated, text.to_owned())
}
