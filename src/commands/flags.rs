use crate::{client::ApiClient, error::CliError};
use error_stack::Report;
use getopts::{Matches, Options};
use std::{fmt::Display, net::SocketAddr, str::FromStr};

const ENTRY_VARIABLE: &str = "LYCHEEYARD_ENTRY";
const DEFAULT_ENTRY: &str = "127.0.0.1:7400";

/// The flags of every command that calls an entry instance.
pub fn call_options() -> Options {
    let mut options = Options::new();
    let help = "entry instance to call (LYCHEEYARD_ENTRY; default 127.0.0.1:7400)";
    options.optopt("", "entry", help, "IP:PORT");
    options.optflag("", "json", "print JSON for programs");
    options.optflag("h", "help", "print this help");
    options
}

/// Reads a command's flags; gives the help text where it is asked for.
///
/// # Errors
/// Fails when a flag is unknown or lacks its value.
pub fn parse(
    options: &Options,
    args: &[String],
    brief: &str,
) -> Result<Result<Matches, String>, Report<CliError>> {
    let matches = options
        .parse(args)
        .map_err(|err| usage(format!("{err}\n\n{}", options.usage(brief))))?;
    if matches.opt_present("help") {
        return Ok(Err(options.usage(brief)));
    }
    Ok(Ok(matches))
}

/// The client that the flags or the environment name.
///
/// # Errors
/// Fails when the address is invalid.
pub fn client(matches: &Matches) -> Result<ApiClient, Report<CliError>> {
    let address = matches
        .opt_str("entry")
        .or_else(|| std::env::var(ENTRY_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_ENTRY.to_owned());
    value::<SocketAddr>("--entry", &address).map(ApiClient::new)
}

/// The positional argument at `index`.
///
/// # Errors
/// Fails when it is missing.
pub fn argument<'a>(
    matches: &'a Matches,
    index: usize,
    name: &str,
) -> Result<&'a str, Report<CliError>> {
    let argument = matches.free.get(index).map(String::as_str);
    argument.ok_or_else(|| usage(format!("{name} is missing; see --help")))
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
