use super::{AccessMode, Caller, Need, PresentedKey, fits};
use crate::Settings;
use hyper::{HeaderMap, header::AUTHORIZATION};
use lycheeyard_protocol::{OrganisationId, Problem, ProblemKind};
use lycheeyard_state::Configuration;

/// Finds out who calls and refuses a call that the caller may not make.
///
/// The key is taken out of the headers, so that it goes no further.
///
/// # Errors
/// Fails when the key is missing or does not fit.
pub(crate) fn authorise(
    need: Need,
    headers: &mut HeaderMap,
    settings: &Settings,
    config: &Configuration,
) -> Result<Caller, Problem> {
    let values: Vec<_> = headers.get_all(AUTHORIZATION).iter().cloned().collect();
    headers.remove(AUTHORIZATION);
    if settings.access == AccessMode::Open {
        return Ok(Caller::Operator);
    }
    if need == Need::Nothing {
        return Ok(Caller::Anyone);
    }
    let key = match values.as_slice() {
        [value] => PresentedKey::from_header(value.as_bytes()),
        _ => None,
    };
    let key = key.ok_or_else(missing_key)?;
    if fits(&key, settings.operator_keys.texts()) {
        return Ok(Caller::Operator);
    }
    match need {
        Need::Organisation(id) if fits(&key, digests(config, &id)) => Ok(Caller::Organisation(id)),
        _ => Err(Problem::not_run(
            ProblemKind::Forbidden,
            "the key does not allow this call".to_owned(),
        )),
    }
}

fn digests<'a>(config: &'a Configuration, id: &OrganisationId) -> impl Iterator<Item = &'a str> {
    let organisation = config.organisations.get(id).into_iter();
    let digests = organisation.flat_map(|organisation| &organisation.key_digests);
    digests.map(String::as_str)
}

fn missing_key() -> Problem {
    let text = "the header `Authorization: Bearer KEY` is required once";
    Problem::not_run(ProblemKind::Unauthenticated, text.to_owned())
}
