use crate::{
    commands::flags,
    commands::options::CommandOptions,
    error::CliError,
    logs::{JobCourse, LogFiles, LogLine, Stage},
    output::Table,
};
use error_stack::Report;
use strum::VariantArray;

/// Prints the course of one job, with the time that it spent in each stage.
pub fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = CommandOptions::new();
    let usage = "Usage: lycheeyard logs explain JOB FILE...";
    let matches = match flags::parse(&options, args, usage)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [job, paths @ ..] = matches.free.as_slice() else {
        return Err(flags::usage_error("JOB is missing; see --help".to_owned()));
    };
    if paths.is_empty() {
        return Err(flags::usage_error("FILE is missing; see --help".to_owned()));
    }
    let files = LogFiles::read(paths)?;
    let lines: Vec<&LogLine> = files
        .lines
        .iter()
        .filter(|line| line.is_about(job))
        .collect();
    if lines.is_empty() {
        return Ok(format!("no line is about job {job}\n{}", files.missing()));
    }
    Ok(format!(
        "{}\n{}\n{}",
        course_table(&lines),
        stage_table(&lines),
        files.missing()
    ))
}

fn course_table(lines: &[&LogLine]) -> Table {
    let mut table = Table::new(&["AT", "INSTANCE", "EVENT", "DETAIL"]);
    for line in lines {
        table.push(vec![
            humantime::format_rfc3339_millis(line.at).to_string(),
            line.instance.clone(),
            line.message.clone(),
            line.detail(),
        ]);
    }
    table
}

fn stage_table(lines: &[&LogLine]) -> Table {
    let mut course = JobCourse::default();
    for line in lines {
        course.add(line);
    }
    let mut table = Table::new(&["STAGE", "TIME MS"]);
    let mut push = |name: String, time: Option<std::time::Duration>| {
        let time = time.map_or_else(
            || "no line tells it".to_owned(),
            |time| time.as_millis().to_string(),
        );
        table.push(vec![name, time]);
    };
    for &stage in Stage::VARIANTS {
        push(stage.to_string(), course.time_in(stage));
    }
    push("total".to_owned(), course.total());
    table
}
