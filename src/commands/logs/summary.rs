use crate::{
    commands::flags,
    commands::options::CommandOptions,
    error::CliError,
    logs::{JobCourse, LogFiles, Stage},
    output::Table,
};
use error_stack::Report;
use std::{collections::BTreeMap, time::Duration};
use strum::VariantArray;

/// The number of jobs that are listed by the length of their wait.
const LISTED_JOBS: usize = 10;

/// Prints for the jobs of each priority how long they spent in each stage, and the jobs that waited longest.
pub fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = CommandOptions::new();
    let usage = "Usage: lycheeyard logs summary FILE...";
    let matches = match flags::parse(&options, args, usage)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    if matches.free.is_empty() {
        return Err(flags::usage_error("FILE is missing; see --help".to_owned()));
    }
    let files = LogFiles::read(&matches.free)?;
    let courses = courses(&files);
    Ok(format!(
        "{}\n{}\n{}",
        class_table(&courses),
        wait_table(&courses),
        files.missing()
    ))
}

/// Returns the courses of all jobs that a line says were accepted.
fn courses(files: &LogFiles) -> BTreeMap<String, JobCourse> {
    let mut courses: BTreeMap<String, JobCourse> = BTreeMap::new();
    for line in &files.lines {
        if let Some(job) = line.text("job") {
            courses.entry(job).or_default().add(line);
        }
    }
    courses.retain(|_, course| course.is_accepted());
    courses
}

fn class_table(courses: &BTreeMap<String, JobCourse>) -> Table {
    let mut header = vec!["PRIORITY", "ACCEPTED", "STARTED", "SUCCEEDED", "FAILED"];
    header.extend(["CANCELLED", "STAGE", "MEDIAN MS", "P95 MS"]);
    let mut table = Table::new(&header);
    let mut classes: BTreeMap<u64, Vec<&JobCourse>> = BTreeMap::new();
    for course in courses.values() {
        let priority = course.priority.unwrap_or_default();
        classes.entry(priority).or_default().push(course);
    }
    for (priority, jobs) in classes {
        let in_state = |state: &str| {
            let jobs = jobs.iter();
            let found = jobs.filter(|job| job.state.as_deref() == Some(state));
            found.count().to_string()
        };
        let started = jobs.iter().filter(|job| job.wait().is_some()).count();
        let mut row = vec![
            priority.to_string(),
            jobs.len().to_string(),
            started.to_string(),
            in_state("succeeded"),
            in_state("failed"),
            in_state("cancelled"),
        ];
        for &stage in Stage::VARIANTS {
            let times = jobs.iter().filter_map(|job| job.time_in(stage)).collect();
            row.push(stage.to_string());
            row.extend(quantiles(times));
            table.push(std::mem::replace(&mut row, vec![String::new(); 6]));
        }
        row.push("total".to_owned());
        row.extend(quantiles(
            jobs.iter().filter_map(|job| job.total()).collect(),
        ));
        table.push(row);
    }
    table
}

/// Returns the median and the 95th percentile in milliseconds, as text.
fn quantiles(mut times: Vec<Duration>) -> [String; 2] {
    times.sort_unstable();
    let Some(last) = times.len().checked_sub(1) else {
        return ["-".to_owned(), "-".to_owned()];
    };
    [50, 95].map(|percent| times[last * percent / 100].as_millis().to_string())
}

fn wait_table(courses: &BTreeMap<String, JobCourse>) -> Table {
    let mut waits: Vec<(Duration, &String, &JobCourse)> = courses
        .iter()
        .filter_map(|(job, course)| Some((course.wait()?, job, course)))
        .collect();
    waits.sort_by(|left, right| (right.0, left.1).cmp(&(left.0, right.1)));
    let mut header = vec!["LONGEST WAIT MS", "JOB", "PRIORITY"];
    header.extend([
        "KNOWN MS",
        "PLACED MS",
        "DURABLE MS",
        "ROUNDS RESERVED",
        "START ORDERS",
    ]);
    let mut table = Table::new(&header);
    for (wait, job, course) in waits.into_iter().take(LISTED_JOBS) {
        let millis = |stage| {
            let time = course.time_in(stage).unwrap_or_default();
            time.as_millis().to_string()
        };
        table.push(vec![
            wait.as_millis().to_string(),
            job.clone(),
            course.priority.unwrap_or_default().to_string(),
            millis(Stage::Known),
            millis(Stage::Placed),
            millis(Stage::Durable),
            course.rounds_reserved.to_string(),
            course.start_orders.to_string(),
        ]);
    }
    table
}
