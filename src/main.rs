//! The command-line interface of lycheeyard for operators and callers.

mod access_key;
mod client;
mod commands;
mod documents;
mod error;
mod logs;
mod output;

use error::CliError;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("lycheeyard: cannot start the async runtime: {err}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run(&args)) {
        Ok(text) => {
            if !text.is_empty() {
                println!("{}", text.trim_end());
            }
            ExitCode::SUCCESS
        }
        Err(report) => {
            let err: &CliError = report.current_context();
            if args.iter().any(|arg| arg == "--json") {
                eprintln!("{}", err.to_json());
            } else {
                eprintln!("lycheeyard: {err}");
            }
            ExitCode::from(err.exit_code())
        }
    }
}
