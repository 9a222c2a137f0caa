//! The entry daemon.

use lycheeyard_entry::{EntryNode, Settings, SettingsStep, read_settings, start_logs};
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;
use tracing::error;

const EXIT_BAD_SETTINGS: u8 = 2;
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let env = std::env::vars().collect();
    match read_settings(&args, &env) {
        Ok(SettingsStep::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(SettingsStep::Run(settings)) => run(*settings),
        Err(err) => {
            eprintln!("lycheeyard-entry: {err}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    start_logs(settings.log_format, &settings.log_filter);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("lycheeyard-entry: cannot start the runtime: {err}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let stop = CancellationToken::new();
    tokio::spawn(cancel_on_signal(stop.clone()));
    match EntryNode::bind(settings).await {
        Ok(node) => {
            node.run(stop).await;
            ExitCode::SUCCESS
        }
        Err(err) => {
            error!("entry: cannot start: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
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
