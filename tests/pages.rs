//! Links, paths and test names on the pages lead to something that exists.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn pages() -> Vec<PathBuf> {
    let mut found = vec![
        PathBuf::from("README.md"),
        PathBuf::from("CONTRIBUTING.md"),
        PathBuf::from("CHANGELOG.md"),
    ];
    found.push(PathBuf::from("platform/README.md"));
    for folder in ["docs", "docs/design", "docs/operators", "docs/incidents"] {
        let entries = fs::read_dir(folder).expect("a folder of pages");
        let paths = entries.map(|entry| entry.expect("an entry").path());
        found.extend(paths.filter(|path| path.extension().is_some_and(|ext| ext == "md")));
    }
    for entry in fs::read_dir("crates").expect("the crates") {
        found.push(entry.expect("an entry").path().join("README.md"));
    }
    found
}

/// The targets of links to files, with the fragment taken off.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.starts_with("http") && !target.starts_with('#'));
    files
        .map(|target| target.split('#').next().unwrap_or(target))
        .collect()
}

/// What stands between backticks on one line.
fn code_spans(text: &str) -> Vec<&str> {
    let lines = text.lines().filter(|line| !line.starts_with("```"));
    lines
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

#[test]
fn links_lead_to_files() {
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page");
        let folder = page.parent().unwrap_or(Path::new("."));
        for link in links(&text) {
            assert!(folder.join(link).exists(), "{}: {link}", page.display());
        }
    }
}

#[test]
fn source_paths_and_test_names_exist() {
    let mut names = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page");
        for span in code_spans(&text) {
            let (path, name) = match span.split_once("::") {
                Some((path, name)) => (path, Some(name)),
                None => (span, None),
            };
            let in_repository = [
                "crates/",
                "src/",
                "tests/",
                "docs/",
                "examples/",
                "platform/",
                "deploy/",
            ];
            if !in_repository.iter().any(|start| path.starts_with(start)) || path.contains('*') {
                continue;
            }
            assert!(Path::new(path).exists(), "{}: {path}", page.display());
            if let Some(name) = name {
                let source = fs::read_to_string(path).expect("a source file");
                let found = source.contains(&format!("fn {name}("));
                assert!(found, "{}: {path} has no {name}", page.display());
                names += 1;
            }
        }
    }
    assert!(names > 0, "no page names a test");
}

#[test]
fn pages_name_no_unknown_command() {
    let known = BTreeSet::from([
        "local", "ticket", "job", "request", "load", "status", "audit", "COMMAND", "--help",
    ]);
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page");
        for span in code_spans(&text) {
            if let Some(rest) = span.strip_prefix("lycheeyard ") {
                let command = rest.split_whitespace().next().unwrap_or_default();
                assert!(known.contains(command), "{}: {span}", page.display());
            }
        }
    }
}
