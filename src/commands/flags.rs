use super::options::CommandOptions;
use crate::{access_key::AccessKey, client::ApiClient, error::CliError};
use error_stack::Report;
use getopts::Matches;
use std::{fmt::Display, net::SocketAddr, str::FromStr};

const ENTRY_VARIABLE: &str = "LYCHEEYARD_ENTRY";
const DEFAULT_ENTRY: &str = "127.0.0.1:7400";

/// Returns the options that all commands that call an entry instance have in common.
pub fn common_options() -> CommandOptions {
    let mut options = CommandOptions::new();
    let help = "entry instance to call (LYCHEEYARD_ENTRY; default 127.0.0.1:7400)";
    options.optopt("", "entry", help, "IP:PORT");
    let help =
        "access key; visible to other users of the machine, so prefer a file (LYCHEEYARD_KEY)";
    options.optopt("", "access-key", help, "KEY");
    let help = "file that contains the access key (LYCHEEYARD_KEY_FILE)";
    options.optopt("", "access-key-file", help, "FILE");
    options.optflag("", "json", "print JSON");
    options
}

/// Parses the arguments of a command; the inner `Err` is the help text when `--help` is given.
///
/// # Errors
/// Fails when an option is unknown, repeated or lacks its value.
pub fn parse(
    options: &CommandOptions,
    args: &[String],
    usage_line: &str,
) -> Result<Result<Matches, String>, Report<CliError>> {
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        return Ok(Err(options.help_text(usage_line)));
    }
    Ok(Ok(matches))
}

/// Creates a client for the address and the access key in the options or the environment.
///
/// # Errors
/// Fails when the address is invalid or the key cannot be read.
pub fn client(matches: &Matches) -> Result<ApiClient, Report<CliError>> {
    let address = matches
        .opt_str("entry")
        .or_else(|| std::env::var(ENTRY_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_ENTRY.to_owned());
    let address: SocketAddr = parse_value("--entry", &address)?;
    let key = AccessKey::resolve(matches)?;
    Ok(ApiClient::new(address).with_key(key))
}

/// Returns the positional arguments, one for each name.
///
/// # Errors
/// Fails when an argument is missing or there are too many.
pub fn positional<'a, const N: usize>(
    matches: &'a Matches,
    names: [&str; N],
) -> Result<[&'a str; N], Report<CliError>> {
    if let Some(name) = names.get(matches.free.len()) {
        return Err(usage_error(format!("{name} is missing; see --help")));
    }
    if let Some(extra) = matches.free.get(N) {
        return Err(usage_error(format!(
            "unexpected argument `{extra}`; see --help"
        )));
    }
    Ok(std::array::from_fn(|index| matches.free[index].as_str()))
}

/// Parses the value of an option, if the option is given.
///
/// # Errors
/// Fails with the option's name when the value is invalid.
pub fn parse_option<T: FromStr>(
    matches: &Matches,
    name: &str,
) -> Result<Option<T>, Report<CliError>>
where
    T::Err: Display,
{
    let text = matches.opt_str(name);
    text.map(|text| parse_value(&format!("--{name}"), &text))
        .transpose()
}

/// Formats a URL query string from the parameters that have a value; empty if none has.
pub fn query_string(parameters: &[(&str, Option<String>)]) -> String {
    let pairs: Vec<String> = parameters
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}={}", value.as_ref()?)))
        .collect();
    if pairs.is_empty() {
        return String::new();
    }
    format!("?{}", pairs.join("&"))
}

/// Parses the value of an argument.
///
/// # Errors
/// Fails with the name of the argument when the value is invalid.
pub fn parse_value<T: FromStr>(name: &str, text: &str) -> Result<T, Report<CliError>>
where
    T::Err: Display,
{
    text.parse()
        .map_err(|err| usage_error(format!("{name} `{text}` is not valid: {err}")))
}

/// Creates the error for an invalid command line.
pub fn usage_error(text: String) -> Report<CliError> {
    Report::new(CliError::Usage(text))
}
