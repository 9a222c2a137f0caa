//! Links, paths, test names and commands on the documentation pages exist. Guards against pages
//! that still name a file, test or command after it was renamed or removed.

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
    for dir in ["docs", "docs/design", "docs/operators", "docs/incidents"] {
        let entries = fs::read_dir(dir).expect("directory of pages is readable");
        let paths = entries.map(|entry| entry.expect("directory entry is readable").path());
        found.extend(paths.filter(|path| path.extension().is_some_and(|ext| ext == "md")));
    }
    for entry in fs::read_dir("crates").expect("crates directory is readable") {
        found.push(
            entry
                .expect("directory entry is readable")
                .path()
                .join("README.md"),
        );
    }
    found
}

/// Returns the targets of links to files, without their fragments.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.starts_with("http") && !target.starts_with('#'));
    files
        .map(|target| target.split('#').next().unwrap_or(target))
        .collect()
}

/// Returns the texts between backticks, line by line.
fn code_spans(text: &str) -> Vec<&str> {
    let lines = text.lines().filter(|line| !line.starts_with("```"));
    lines
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

#[test]
fn links_resolve_to_files() {
    for page in pages() {
        let text = fs::read_to_string(&page).expect("page is readable");
        let dir = page.parent().unwrap_or(Path::new("."));
        for link in links(&text) {
            assert!(dir.join(link).exists(), "{}: {link}", page.display());
        }
    }
}

#[test]
fn source_paths_and_test_names_exist() {
    let mut names = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).expect("page is readable");
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
                let source = fs::read_to_string(path).expect("source file is readable");
                let found = source.contains(&format!("fn {name}("));
                assert!(found, "{}: {path} has no {name}", page.display());
                names += 1;
            }
        }
    }
    assert!(names > 0, "no page mentions a test");
}

#[test]
fn pages_mention_only_known_commands() {
    let known = BTreeSet::from([
        "local", "ticket", "job", "request", "load", "status", "audit", "logs", "COMMAND", "--help",
    ]);
    for page in pages() {
        let text = fs::read_to_string(&page).expect("page is readable");
        for span in code_spans(&text) {
            if let Some(rest) = span.strip_prefix("lycheeyard ") {
                let command = rest.split_whitespace().next().unwrap_or_default();
                assert!(known.contains(command), "{}: {span}", page.display());
            }
        }
    }
}
