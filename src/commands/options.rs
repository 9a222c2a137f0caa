use super::dispatch::nearest;
use crate::error::CliError;
use error_stack::Report;
use getopts::{Fail, Matches, Options};

/// The options of one command; it remembers their names to suggest the nearest after a typing error.
pub struct CommandOptions {
    options: Options,
    names: Vec<String>,
}

impl CommandOptions {
    /// Makes a set of options that holds `--help` only.
    pub fn new() -> Self {
        let mut options = Self {
            options: Options::new(),
            names: Vec::new(),
        };
        options.optflag("h", "help", "print this help");
        options
    }

    /// Adds an option without a value.
    pub fn optflag(&mut self, short: &str, long: &str, help: &str) {
        self.options.optflag(short, long, help);
        self.names.push(long.to_owned());
    }

    /// Adds an option with a value that may be left out.
    pub fn optopt(&mut self, short: &str, long: &str, help: &str, hint: &str) {
        self.options.optopt(short, long, help, hint);
        self.names.push(long.to_owned());
    }

    /// Adds an option with a value that may stand more than once.
    pub fn optmulti(&mut self, short: &str, long: &str, help: &str, hint: &str) {
        self.options.optmulti(short, long, help, hint);
        self.names.push(long.to_owned());
    }

    /// The help text under a usage line.
    pub fn usage(&self, brief: &str) -> String {
        self.options.usage(brief)
    }

    /// Reads arguments.
    ///
    /// # Errors
    /// Fails with the nearest known option when an option is unknown, or when one lacks its value.
    pub fn parse(&self, args: &[String]) -> Result<Matches, Report<CliError>> {
        self.options.parse(args).map_err(|fail| {
            let text = match fail {
                Fail::UnrecognizedOption(name) => self.unknown(&name),
                Fail::ArgumentMissing(name) => format!("option `--{name}` needs a value"),
                Fail::OptionDuplicated(name) => format!("option `--{name}` stands twice"),
                other => other.to_string(),
            };
            Report::new(CliError::Usage(text))
        })
    }

    fn unknown(&self, name: &str) -> String {
        let known: Vec<&str> = self.names.iter().map(String::as_str).collect();
        let hint = nearest(name, &known).map_or_else(
            || String::from("see --help"),
            |near| format!("did you mean `--{near}`?"),
        );
        format!("unknown option `--{name}`; {hint}")
    }
}
