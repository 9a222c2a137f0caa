use super::dispatch::closest_match;
use crate::error::CliError;
use error_stack::Report;
use getopts::{Fail, Matches, Options};

/// The options of one command. Keeps their names to suggest the closest one for a mistyped option.
pub struct CommandOptions {
    options: Options,
    names: Vec<String>,
}

impl CommandOptions {
    /// Creates a set of options that contains only `--help`.
    pub fn new() -> Self {
        let mut options = Self {
            options: Options::new(),
            names: Vec::new(),
        };
        options.optflag("h", "help", "print this help");
        options
    }

    /// Adds a flag, an option without a value.
    pub fn optflag(&mut self, short: &str, long: &str, help: &str) {
        self.options.optflag(short, long, help);
        self.names.push(long.to_owned());
    }

    /// Adds an optional option that takes a value.
    pub fn optopt(&mut self, short: &str, long: &str, help: &str, hint: &str) {
        self.options.optopt(short, long, help, hint);
        self.names.push(long.to_owned());
    }

    /// Adds an optional option that takes a value and may be repeated.
    pub fn optmulti(&mut self, short: &str, long: &str, help: &str, hint: &str) {
        self.options.optmulti(short, long, help, hint);
        self.names.push(long.to_owned());
    }

    /// Formats the help text, which starts with the given usage line.
    pub fn help_text(&self, usage_line: &str) -> String {
        self.options.usage(usage_line)
    }

    /// Parses the arguments.
    ///
    /// # Errors
    /// Fails when an option is unknown, lacks its value, or is repeated although it may occur only
    /// once. The error for an unknown option suggests the closest known one.
    pub fn parse(&self, args: &[String]) -> Result<Matches, Report<CliError>> {
        self.options.parse(args).map_err(|fail| {
            let text = match fail {
                Fail::UnrecognizedOption(name) => self.unknown_option(&name),
                Fail::ArgumentMissing(name) => format!("option `--{name}` needs a value"),
                Fail::OptionDuplicated(name) => {
                    format!("option `--{name}` is given more than once")
                }
                other => other.to_string(),
            };
            Report::new(CliError::Usage(text))
        })
    }

    fn unknown_option(&self, name: &str) -> String {
        let known: Vec<&str> = self.names.iter().map(String::as_str).collect();
        let hint = closest_match(name, &known).map_or_else(
            || String::from("see --help"),
            |closest| format!("did you mean `--{closest}`?"),
        );
        format!("unknown option `--{name}`; {hint}")
    }
}
