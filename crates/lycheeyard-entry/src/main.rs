//! The entry daemon: reads its settings, starts logging and runs one instance until SIGTERM or SIGINT.

mod daemon_error;

use daemon_error::DaemonError;
use error_stack::{Report, ResultExt};
use lycheeyard_entry::{EntryNode, Settings, StartupAction, read_settings};
use lycheeyard_logs::{LogOutput, LogSettings, report_dropped_lines, start_logs};
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("lycheeyard-entry: {report:#}");
            ExitCode::from(report.current_context().exit_code())
        }
    }
}

fn start() -> Result<(), Report<DaemonError>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let env = std::env::vars().collect();
    let action = read_settings(&args, &env).change_context(DaemonError::Settings)?;
    match action {
        StartupAction::Print(text) => println!("{text}"),
        StartupAction::Run(settings) => run(*settings)?,
    }
    Ok(())
}

fn run(settings: Settings) -> Result<(), Report<DaemonError>> {
    let _guard = start_logs(&LogSettings {
        format: settings.log_format,
        filter: settings.log_filter.clone(),
        output: LogOutput::Stderr,
        is_flat: false,
    });
    let runtime = tokio::runtime::Runtime::new().change_context(DaemonError::Runtime)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Report<DaemonError>> {
    let stop = CancellationToken::new();
    tokio::spawn(cancel_on_signal(stop.clone()));
    tokio::spawn(report_dropped_lines());
    let node = EntryNode::bind(settings).await;
    let node = node.change_context(DaemonError::Start)?;
    node.run(stop).await;
    Ok(())
}

async fn cancel_on_signal(stop: CancellationToken) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    stop.cancel();
}
