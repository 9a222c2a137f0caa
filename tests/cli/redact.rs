use std::collections::{BTreeMap, BTreeSet};

const FREE_PORT_DIGITS: usize = 5;
/// The length of `Thu, 03 Dec 2026 22:35:03`.
const DATE_LENGTH: usize = 25;
const TIME_DIGITS: usize = 13;

/// Replaces times and free ports by placeholders and keeps the rest of the text.
///
/// Replaces dates such as `Thu, 03 Dec 2026 22:35:03 GMT`, whole numbers of 13 digits
/// (milliseconds since 1970) and the free ports of loopback addresses, which have 5 digits.
pub fn redact(text: &str) -> String {
    let lines: Vec<String> = text.lines().map(redact_line).collect();
    lines.join("\n") + "\n"
}

fn redact_line(line: &str) -> String {
    let line = redact_dates(line);
    let mut out = String::new();
    let mut rest = line.as_str();
    while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
        let (before, from) = rest.split_at(start);
        out.push_str(before);
        let end = from
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(from.len());
        let (digits, after) = from.split_at(end);
        out.push_str(placeholder(&out, digits));
        rest = after;
    }
    out.push_str(rest);
    out
}

fn redact_dates(line: &str) -> String {
    let mut out = line.to_owned();
    while let Some(end) = out.find(" GMT") {
        let start = end.saturating_sub(DATE_LENGTH);
        out.replace_range(start..end + " GMT".len(), "TIME");
    }
    out
}

fn placeholder<'a>(before: &str, digits: &'a str) -> &'a str {
    if before.ends_with("127.0.0.1:") && digits.len() == FREE_PORT_DIGITS {
        "PORT"
    } else if digits.len() == TIME_DIGITS && !before.ends_with(|c: char| c.is_alphanumeric()) {
        "TIME"
    } else {
        digits
    }
}

/// Moves the scheduler lease to the first listed instance of its data centre and replaces the epoch
/// by `N`.
///
/// Which instance holds the lease differs from run to run, so golden files show only that one does.
///
/// # Panics
/// Panics when two instances of a data centre hold the lease.
pub fn redact_holders(text: &str) -> String {
    let mut holders = BTreeSet::new();
    let mut seen = BTreeSet::new();
    let rows: Vec<String> = text.lines().map(str::to_owned).collect();
    for row in &rows {
        if let Some((data_centre, is_holder)) = instance_row(row)
            && is_holder
        {
            assert!(
                holders.insert(data_centre.clone()),
                "two holders in {data_centre}:\n{text}"
            );
        }
    }
    let rows = rows.iter().map(|row| match instance_row(row) {
        Some((data_centre, _))
            if seen.insert(data_centre.clone()) && holders.contains(&data_centre) =>
        {
            format!("{}  epoch N", without_epoch(row))
        }
        Some(_) => without_epoch(row).to_owned(),
        None => row.clone(),
    });
    rows.collect::<Vec<_>>().join("\n") + "\n"
}

/// Parses a row of `lycheeyard status` into its data centre and whether its instance holds the
/// lease.
fn instance_row(row: &str) -> Option<(String, bool)> {
    let mut cells = row.split_whitespace();
    let instance = cells.next()?;
    let data_centre = cells.next()?;
    let is_instance = instance.starts_with(&format!("{data_centre}-e"));
    is_instance.then(|| (data_centre.to_owned(), row.contains("epoch ")))
}

fn without_epoch(row: &str) -> &str {
    row.split("epoch ").next().unwrap_or(row).trim_end()
}

/// Replaces the names of workers by `WORKER-1`, `WORKER-2` and so on, in the order of first
/// occurrence.
///
/// Which free worker a job gets depends on which workers have reported by then. The numbers still
/// show whether two jobs run on different workers.
pub fn redact_workers(text: &str) -> String {
    let mut numbers: BTreeMap<&str, usize> = BTreeMap::new();
    for word in text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '-')) {
        if is_worker(word) {
            let next = numbers.len() + 1;
            numbers.entry(word).or_insert(next);
        }
    }
    let rename = |text: String, (worker, number): (&&str, &usize)| {
        text.replace(worker, &format!("WORKER-{number}"))
    };
    numbers.iter().fold(text.to_owned(), rename)
}

/// Returns whether a word has the form of a stand-in worker's name, such as `dc1-w03`.
fn is_worker(word: &str) -> bool {
    let number = word
        .strip_prefix("dc")
        .and_then(|rest| rest.split_once("-w"));
    number.is_some_and(|(data_centre, worker)| {
        let digits = |text: &str| !text.is_empty() && text.chars().all(|c| c.is_ascii_digit());
        digits(data_centre) && digits(worker)
    })
}
