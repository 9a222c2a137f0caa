//! Runs a case of the review: `cases CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod advisor;
mod case_acknowledgement;
mod case_advice;
mod case_lasting;
mod case_late_acknowledgement;
mod case_waiting;
mod http;
mod json;
mod node;
mod record;
mod runner;
mod store;
mod yard;

use record::Record;
use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration,
};
use yard::Failure;

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
}

/// A folder of its own, removed at the end.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case has not ended in time");
        node::end_all();
        std::process::exit(2);
    });
    match run(case, Path::new(folder)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path) -> Result<Verdict, Failure> {
    let record =
        Record::create(&folder.join("record.txt")).map_err(|err| format!("record: {err}"))?;
    let record = Arc::new(record);
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let temporary = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&temporary).map_err(|err| format!("folder: {err}"))?;
    let temporary = TemporaryFolder(temporary);
    let verdict = match case {
        "acknowledgement" => case_acknowledgement::run(&record, &temporary.0, has_trouble),
        "advice" => case_advice::run(&record, &temporary.0, has_trouble),
        "lasting" => case_lasting::run(&record, &temporary.0, has_trouble),
        "late-acknowledgement" => {
            case_late_acknowledgement::run(&record, &temporary.0, has_trouble)
        }
        "waiting" => case_waiting::run(&record, &temporary.0, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match &verdict {
        Ok(Verdict::Held) => record.line("RULE HELD"),
        Ok(Verdict::Broken) => record.line("RULE BROKEN"),
        Err(failure) => record.line(&format!("THE CASE COULD NOT RUN: {failure}")),
    }
    verdict
}
