use super::{Settings, SettingsError};
use getopts::{Matches, Options};
use std::{collections::BTreeMap, fmt::Display, str::FromStr, time::Duration};

/// What the daemon does with its command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsStep {
    /// Runs with the settings.
    Run(Settings),
    /// Prints a text and ends.
    Print(String),
}

struct Flag {
    name: &'static str,
    hint: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const FLAGS: &[Flag] = &[
    Flag {
        name: "instance",
        hint: "NAME",
        default: None,
        help: "name of this instance",
    },
    Flag {
        name: "incarnation",
        hint: "N",
        default: Some("1"),
        help: "which life of the name this is",
    },
    Flag {
        name: "data-centre",
        hint: "NAME",
        default: None,
        help: "data centre that this instance is in",
    },
    Flag {
        name: "listen",
        hint: "IP:PORT",
        default: Some("127.0.0.1:7400"),
        help: "address for callers and operators",
    },
    Flag {
        name: "peer-listen",
        hint: "IP:PORT",
        default: Some("127.0.0.1:7401"),
        help: "address for calls between entry instances",
    },
    Flag {
        name: "store",
        hint: "IP:PORT",
        default: None,
        help: "address of the platform's store",
    },
    Flag {
        name: "instances",
        hint: "IP:PORT",
        default: None,
        help: "address of the platform's instance list",
    },
    Flag {
        name: "scheduler-lease-ms",
        hint: "MS",
        default: Some("3000"),
        help: "duration of a scheduler lease",
    },
    Flag {
        name: "drain-ms",
        hint: "MS",
        default: Some("5000"),
        help: "time between not being ready and closing the listener",
    },
    Flag {
        name: "log-format",
        hint: "text|json",
        default: Some("text"),
        help: "form of log lines",
    },
];

const MIN_LEASE_MS: u64 = 500;

/// Reads the settings from flags and, where a flag is not given, from `LYCHEEYARD_*` variables.
///
/// # Errors
/// Fails with an error that names the setting.
pub fn read_settings(
    args: &[String],
    env: &BTreeMap<String, String>,
) -> Result<SettingsStep, SettingsError> {
    let options = make_options();
    let matches = options
        .parse(args)
        .map_err(|err| SettingsError::CommandLine(err.to_string()))?;
    if matches.opt_present("help") {
        return Ok(SettingsStep::Print(usage(&options)));
    }
    if matches.opt_present("version") {
        let text = format!("lycheeyard-entry {}", env!("CARGO_PKG_VERSION"));
        return Ok(SettingsStep::Print(text));
    }
    if let Some(extra) = matches.free.first() {
        let text = format!("unexpected argument `{extra}`");
        return Err(SettingsError::CommandLine(text));
    }
    let settings = Reader {
        matches: &matches,
        env,
    }
    .read()?;
    if matches.opt_present("check-settings") {
        return Ok(SettingsStep::Print("settings are valid".to_owned()));
    }
    Ok(SettingsStep::Run(settings))
}

fn make_options() -> Options {
    let mut options = Options::new();
    for flag in FLAGS {
        let default = flag
            .default
            .map_or(String::from("required"), |d| format!("default {d}"));
        let help = format!("{} ({}; {default})", flag.help, variable(flag.name));
        options.optopt("", flag.name, &help, flag.hint);
    }
    options.optflag("", "check-settings", "check the settings and end");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn usage(options: &Options) -> String {
    let brief = "Usage: lycheeyard-entry [OPTIONS]\n\nRuns one entry instance. \
        Each setting is a flag or an environment variable; the flag wins.";
    options.usage(brief)
}

fn variable(flag: &str) -> String {
    format!("LYCHEEYARD_{}", flag.replace('-', "_").to_uppercase())
}

struct Reader<'a> {
    matches: &'a Matches,
    env: &'a BTreeMap<String, String>,
}

impl Reader<'_> {
    fn read(&self) -> Result<Settings, SettingsError> {
        Ok(Settings {
            instance: self.value("instance")?,
            incarnation: self.value("incarnation")?,
            data_centre: self.value("data-centre")?,
            listen: self.value("listen")?,
            peer_listen: self.value("peer-listen")?,
            store: self.value("store")?,
            instances: self.value("instances")?,
            scheduler_lease: self.millis("scheduler-lease-ms", MIN_LEASE_MS)?,
            drain: self.millis("drain-ms", 0)?,
            log_format: self.value("log-format")?,
        })
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

    fn millis(&self, name: &'static str, least: u64) -> Result<Duration, SettingsError> {
        let millis: u64 = self.value(name)?;
        if millis < least {
            let reason = format!("it must be at least {least}");
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
