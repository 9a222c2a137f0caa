use super::options::CommandOptions;
use crate::{access_key::AccessKey, client::ApiClient, error::CliError};
use error_stack::Report;
use getopts::Matches;
use std::{fmt::Display, net::SocketAddr, str::FromStr};

const ENTRY_VARIABLE: &str = "LYCHEEYARD_ENTRY";
const DEFAULT_ENTRY: &str = "127.0.0.1:7400";

/// The options of every command that calls an entry instance.
pub fn call_options() -> CommandOptions {
    let mut options = CommandOptions::new();
    let help = "entry instance to call (LYCHEEYARD_ENTRY; default 127.0.0.1:7400)";
    options.optopt("", "entry", help, "IP:PORT");
    let help =
        "access key; other users of the machine can see it, so prefer a file (LYCHEEYARD_KEY)";
    options.optopt("", "access-key", help, "KEY");
    let help = "file that holds the access key (LYCHEEYARD_KEY_FILE)";
    options.optopt("", "access-key-file", help, "FILE");
    options.optflag("", "json", "print JSON for programs");
    options
}

/// Reads a command's options; gives the help text where it is asked for.
///
/// # Errors
/// Fails when an option is unknown or lacks its value.
pub fn parse(
    options: &CommandOptions,
    args: &[String],
    brief: &str,
) -> Result<Result<Matches, String>, Report<CliError>> {
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        return Ok(Err(options.usage(brief)));
    }
    Ok(Ok(matches))
}

/// The client that the options or the environment name.
///
/// # Errors
/// Fails when the address is invalid or the key cannot be read.
pub fn client(matches: &Matches) -> Result<ApiClient, Report<CliError>> {
    let address = matches
        .opt_str("entry")
        .or_else(|| std::env::var(ENTRY_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_ENTRY.to_owned());
    let address: SocketAddr = value("--entry", &address)?;
    let key = AccessKey::find(matches)?;
    Ok(ApiClient::new(address).with_key(key))
}

/// All positional arguments, whose names are given.
///
/// # Errors
/// Fails when one is missing or stands too much.
pub fn arguments<'a, const N: usize>(
    matches: &'a Matches,
    names: [&str; N],
) -> Result<[&'a str; N], Report<CliError>> {
    if let Some(name) = names.get(matches.free.len()) {
        return Err(usage(format!("{name} is missing; see --help")));
    }
    if let Some(extra) = matches.free.get(N) {
        return Err(usage(format!("unexpected argument `{extra}`; see --help")));
    }
    Ok(std::array::from_fn(|index| matches.free[index].as_str()))
}

/// The value of an option, where it is given.
///
/// # Errors
/// Fails with the option's name when the value is impossible.
pub fn option<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, Report<CliError>>
where
    T::Err: Display,
{
    let text = matches.opt_str(name);
    text.map(|text| value(&format!("--{name}"), &text))
        .transpose()
}

/// The query of a path that holds the values that are given.
pub fn query(parts: &[(&str, Option<String>)]) -> String {
    let parts: Vec<String> = parts
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}={}", value.as_ref()?)))
        .collect();
    if parts.is_empty() {
        return String::new();
    }
    format!("?{}", parts.join("&"))
}

/// Reads a value from text.
///
/// # Errors
/// Fails with the name of the argument.
pub fn value<T: FromStr>(name: &str, text: &str) -> Result<T, Report<CliError>>
where
    T::Err: Display,
{
    text.parse()
        .map_err(|err| usage(format!("{name} `{text}` is not valid: {err}")))
}

/// The error of a wrong command line.
pub fn usage(text: String) -> Report<CliError> {
    Report::new(CliError::Usage(text))
}
