use super::{
    Settings, SettingsError,
    flag::{FLAGS, variable},
};
use crate::{AccessMode, OperatorKeys};
use getopts::{Matches, Options};
use lycheeyard_clients::{ClientLimits, ProcessLimits};
use std::{
    collections::BTreeMap,
    fmt::{Display, Write as _},
    str::FromStr,
    time::Duration,
};
use strum::VariantNames;

/// What the daemon does after it has read its command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartupAction {
    /// Run an instance with these settings.
    Run(Box<Settings>),
    /// Print a text and exit.
    Print(String),
}

const MIN_LEASE_MS: u64 = 500;
/// The shortest time limit for clients.
const MIN_CLIENT_MS: u64 = 100;
const MIN_REQUEST_MEMORY_MB: usize = 4;
/// The smallest buffer for heads that the HTTP library takes.
const MIN_HEAD_BYTES: usize = 8192;

/// Reads the settings from flags and, where a flag is absent, from `LYCHEEYARD_*` variables.
///
/// # Errors
/// Returns an error that names the first missing or invalid setting, or the invalid argument.
pub fn read_settings(
    args: &[String],
    env: &BTreeMap<String, String>,
) -> Result<StartupAction, SettingsError> {
    let options = command_line_options();
    let matches = options
        .parse(args)
        .map_err(|err| SettingsError::CommandLine(err.to_string()))?;
    if matches.opt_present("help") {
        return Ok(StartupAction::Print(usage(&options)));
    }
    if matches.opt_present("version") {
        let text = format!("lycheeyard-entry {}", env!("CARGO_PKG_VERSION"));
        return Ok(StartupAction::Print(text));
    }
    if let Some(extra) = matches.free.first() {
        let text = format!("unexpected argument `{extra}`");
        return Err(SettingsError::CommandLine(text));
    }
    let reader = SettingsReader {
        matches: &matches,
        env,
    };
    let settings = reader.read()?;
    if matches.opt_present("check-settings") {
        return Ok(StartupAction::Print(reader.describe()?));
    }
    Ok(StartupAction::Run(Box::new(settings)))
}

fn command_line_options() -> Options {
    let mut options = Options::new();
    for flag in FLAGS {
        let default = flag
            .default
            .map_or(String::from("required"), describe_default);
        let help = format!("{} ({}; {default})", flag.help, variable(flag.name));
        options.optopt("", flag.name, &help, flag.hint);
    }
    options.optflag(
        "",
        "check-settings",
        "check the settings, print them and exit",
    );
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn describe_default(default: &str) -> String {
    if default.is_empty() {
        return String::from("default none");
    }
    format!("default {default}")
}

fn usage(options: &Options) -> String {
    let brief = "Usage: lycheeyard-entry [OPTIONS]\n\nRuns one entry instance. \
        Each setting is a flag or an environment variable; a flag overrides its variable.";
    options.usage(brief)
}

struct SettingsReader<'a> {
    matches: &'a Matches,
    env: &'a BTreeMap<String, String>,
}

impl SettingsReader<'_> {
    fn read(&self) -> Result<Settings, SettingsError> {
        let settings = Settings {
            instance: self.value("instance")?,
            incarnation: self.value("incarnation")?,
            data_centre: self.value("data-centre")?,
            listen: self.value("listen")?,
            peer_listen: self.value("peer-listen")?,
            store: self.value("store")?,
            instances: self.value("instances")?,
            scheduler_lease: self.millis("scheduler-lease-ms", MIN_LEASE_MS)?,
            drain: self.millis("drain-ms", 0)?,
            connections: self.connections()?,
            client_limits: self.client_limits()?,
            access: self.choice("access")?,
            operator_keys: self.operator_keys()?,
            log_format: self.choice("log-format")?,
            log_filter: self.value("log-filter")?,
        };
        if settings.access == AccessMode::Keys && settings.operator_keys.is_empty() {
            let flag = "operator-key-digests";
            return Err(SettingsError::NoOperatorKey {
                flag,
                variable: variable(flag),
            });
        }
        Ok(settings)
    }

    /// Lists every setting with its value and source, for `--check-settings`.
    fn describe(&self) -> Result<String, SettingsError> {
        let mut text = String::from("settings are valid");
        for flag in FLAGS {
            let value = self.text(flag.name)?;
            let source = self.source(flag.name);
            // Writing to a `String` cannot fail.
            let _ = write!(text, "\n--{} {value} ({source})", flag.name);
        }
        Ok(text)
    }

    fn source(&self, name: &str) -> &'static str {
        if self.matches.opt_present(name) {
            "flag"
        } else if self.env.contains_key(&variable(name)) {
            "variable"
        } else {
            "default"
        }
    }

    fn text(&self, name: &'static str) -> Result<String, SettingsError> {
        let default = FLAGS
            .iter()
            .find(|flag| flag.name == name)
            .and_then(|flag| flag.default);
        self.matches
            .opt_str(name)
            .or_else(|| self.env.get(&variable(name)).cloned())
            .or_else(|| default.map(str::to_owned))
            .ok_or_else(|| SettingsError::Missing {
                flag: name,
                variable: variable(name),
            })
    }

    fn value<T>(&self, name: &'static str) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(name)?;
        text.parse()
            .map_err(|err: T::Err| invalid(name, &text, err.to_string()))
    }

    fn choice<T: FromStr + VariantNames>(&self, name: &'static str) -> Result<T, SettingsError> {
        let text = self.text(name)?;
        let reason = || format!("use one of {}", T::VARIANTS.join(", "));
        text.parse().map_err(|_| invalid(name, &text, reason()))
    }

    /// Parses the digests. The error omits an invalid value, since it may be a key given in place of its digest.
    fn operator_keys(&self) -> Result<OperatorKeys, SettingsError> {
        let name = "operator-key-digests";
        let reason = || String::from("give SHA-256 digests of 64 hexadecimal digits");
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| invalid(name, "(not shown)", reason()))
    }

    fn connections(&self) -> Result<ProcessLimits, SettingsError> {
        let limits = ProcessLimits {
            request_bytes: self.at_least("request-memory-mb", MIN_REQUEST_MEMORY_MB)? << 20,
            max_clients: self.max_connections()?,
            ..ProcessLimits::default()
        };
        Ok(limits.within_system_limits())
    }

    fn max_connections(&self) -> Result<Option<usize>, SettingsError> {
        let name = "max-connections";
        if self.text(name)?.is_empty() {
            return Ok(None);
        }
        self.at_least(name, 1).map(Some)
    }

    fn client_limits(&self) -> Result<ClientLimits, SettingsError> {
        Ok(ClientLimits {
            max_head_bytes: self.at_least("max-head-bytes", MIN_HEAD_BYTES)?,
            head_timeout: self.millis("head-timeout-ms", MIN_CLIENT_MS)?,
            idle_timeout: self.millis("idle-timeout-ms", MIN_CLIENT_MS)?,
            body_timeout: self.millis("body-timeout-ms", MIN_CLIENT_MS)?,
        })
    }

    fn at_least(&self, name: &'static str, min: usize) -> Result<usize, SettingsError> {
        let value: u32 = self.value(name)?;
        let value = usize::try_from(value).unwrap_or(usize::MAX);
        if value < min {
            let reason = format!("it must be at least {min}");
            return Err(invalid(name, &value.to_string(), reason));
        }
        Ok(value)
    }

    fn millis(&self, name: &'static str, min: u64) -> Result<Duration, SettingsError> {
        let millis: u64 = self.value(name)?;
        if millis < min {
            let reason = format!("it must be at least {min}");
            return Err(invalid(name, &millis.to_string(), reason));
        }
        Ok(Duration::from_millis(millis))
    }
}

fn invalid(name: &'static str, value: &str, reason: String) -> SettingsError {
    SettingsError::Invalid {
        flag: name,
        variable: variable(name),
        value: value.to_owned(),
        reason,
    }
}
