//! Structure of the repository: no import cycles, no missing files in the architecture page, and an
//! operators' table that lists every log line.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|cause| panic!("{}: {cause}", path.display()))
}

/// All Rust files below a folder.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the source folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path.is_dir() {
            found.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found.sort();
    found
}

/// The source folder of the root package and of each crate.
fn source_folders() -> Vec<PathBuf> {
    let mut folders = vec![root().join("src")];
    for entry in std::fs::read_dir(root().join("crates")).expect("the crates folder is readable") {
        folders.push(entry.expect("the folder entry is readable").path().join("src"));
    }
    folders.sort();
    folders
}

/// The path of a file's module from its crate's root: `host::pool` for `src/host/pool.rs`, empty for
/// `lib.rs`.
fn module_of(folder: &Path, file: &Path) -> String {
    let relative = file.strip_prefix(folder).expect("the file is in the folder").with_extension("");
    let mut parts: Vec<String> = relative.iter().map(|part| part.to_string_lossy().into_owned()).collect();
    if parts.last().is_some_and(|last| ["mod", "lib", "main"].contains(&last.as_str())) {
        parts.pop();
    }
    parts.join("::")
}

/// Source text without comment lines, so that imports in doc examples do not count as imports of the file.
fn code_of(file: &Path) -> String {
    let text = read(file);
    let lines = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    lines.collect::<Vec<_>>().join("\n")
}

/// The `crate::` paths in the code, with groups in braces expanded one level deep.
fn crate_paths(code: &str) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    for (start, _) in code.match_indices("crate::") {
        let before = code[..start].chars().next_back();
        if before.is_some_and(|c| c.is_alphanumeric() || c == '_' || c == ':') {
            continue;
        }
        let rest = &code[start + "crate::".len()..];
        let end = rest.find(|c: char| !(c.is_alphanumeric() || c == '_' || c == ':')).unwrap_or(rest.len());
        let path = rest[..end].trim_end_matches(':');
        match rest[end..].strip_prefix('{').and_then(|group| group.split('}').next()) {
            Some(group) if rest[..end].ends_with("::") || end == 0 => {
                for item in group.split(',') {
                    let item = item.trim();
                    paths.insert(if path.is_empty() { item.to_string() } else { format!("{path}::{item}") });
                }
            }
            _ => {
                paths.insert(path.to_string());
            }
        }
    }
    paths
}

/// The module that a path refers to: the longest module path that is a prefix of it. The crate root is not a
/// module.
fn target_module<'a>(path: &str, modules: &'a BTreeMap<String, PathBuf>) -> Option<&'a str> {
    let mut prefix = path;
    loop {
        if let Some((module, _)) = modules.get_key_value(prefix) {
            return (!module.is_empty()).then_some(module);
        }
        prefix = prefix.rsplit_once("::")?.0;
    }
}

/// The modules of a source folder, each with the modules that it imports.
fn imports(folder: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let files = rust_files(folder);
    let modules: BTreeMap<String, PathBuf> =
        files.into_iter().map(|file| (module_of(folder, &file), file)).collect();
    let mut graph = BTreeMap::new();
    for (module, file) in &modules {
        let paths = crate_paths(&code_of(file));
        let targets = paths.iter().filter_map(|path| target_module(path, &modules));
        let others = targets.filter(|target| target != module).map(str::to_string).collect();
        graph.insert(module.clone(), others);
    }
    graph
}

/// All modules that a module imports, directly or through others.
fn reachable(graph: &BTreeMap<String, BTreeSet<String>>, from: &str) -> BTreeSet<String> {
    let (mut seen, mut next) = (BTreeSet::new(), vec![from.to_string()]);
    while let Some(module) = next.pop() {
        for other in graph.get(&module).into_iter().flatten() {
            if seen.insert(other.clone()) {
                next.push(other.clone());
            }
        }
    }
    seen
}

/// Modules that are part of an import cycle.
fn modules_in_cycles(graph: &BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    graph.keys().filter(|module| reachable(graph, module).contains(*module)).cloned().collect()
}

#[test]
fn files_have_no_import_cycles() {
    for folder in source_folders() {
        let cycle = modules_in_cycles(&imports(&folder));
        assert!(cycle.is_empty(), "{}: {} import each other", folder.display(), cycle.join(", "));
    }
}

/// The folder or file directly below the source folder that a module lies in.
fn top_level(module: &str) -> &str {
    module.split("::").next().unwrap_or_default()
}

/// Imports between the top-level folders of a source folder.
fn folder_imports(graph: &BTreeMap<String, BTreeSet<String>>) -> BTreeMap<String, BTreeSet<String>> {
    let mut folders: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (module, targets) in graph {
        let folder = top_level(module);
        let others = targets.iter().map(|target| top_level(target)).filter(|other| *other != folder);
        folders.entry(folder.to_string()).or_default().extend(others.map(str::to_string));
    }
    folders
}

#[test]
fn folders_of_the_gateway_have_no_import_cycles() {
    let folders = folder_imports(&imports(&root().join("src")));
    assert!(folders.len() > 10, "only {} folders: have the sources moved?", folders.len());
    let cycle = modules_in_cycles(&folders);
    assert!(cycle.is_empty(), "{} import each other", cycle.join(", "));
}

#[test]
fn an_import_cycle_of_folders_through_different_files_is_found() {
    let edges = [("a::one", "b::one"), ("b::two", "a::two"), ("c", "a::one")];
    let mut graph: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (from, to) in edges {
        graph.entry(from.into()).or_default().insert(to.into());
    }
    assert_eq!(modules_in_cycles(&folder_imports(&graph)), ["a", "b"]);
}

#[test]
fn an_import_cycle_is_found() {
    let graph = |edges: &[(&str, &str)]| {
        let mut graph: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (from, to) in edges {
            graph.entry((*from).into()).or_default().insert((*to).into());
        }
        graph
    };
    assert_eq!(modules_in_cycles(&graph(&[("a", "b"), ("b", "c"), ("d", "a")])), Vec::<String>::new());
    assert_eq!(modules_in_cycles(&graph(&[("a", "b"), ("b", "c"), ("c", "a"), ("d", "a")])), ["a", "b", "c"]);
    let paths =
        crate_paths("use crate::net::{hosts, link::Link};\nfn f(a: crate::Time) { crate::net::pg::put() }");
    assert_eq!(
        paths.into_iter().collect::<Vec<_>>(),
        ["Time", "net::hosts", "net::link::Link", "net::pg::put"]
    );
}

/// Repository paths that a page names between backticks.
fn named_files(page: &str) -> BTreeSet<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let is_path = |text: &&str| {
        let prefixes = ["crates/", "src/", "tests/", "docs/", "deploy/", "tools/", "benches/"];
        prefixes.iter().any(|prefix| text.starts_with(prefix)) && !text.contains([' ', '*', '<'])
    };
    quoted.filter(is_path).map(str::to_string).collect()
}

#[test]
fn every_file_that_the_architecture_page_names_exists() {
    let named = named_files(&read(&root().join("docs/ARCHITECTURE.md")));
    assert!(named.len() > 20, "only {} files are named: has the page changed its format?", named.len());
    for name in named {
        assert!(root().join(&name).exists(), "docs/ARCHITECTURE.md names {name}, which does not exist");
    }
}

/// A line that the program writes to its log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    /// What happened: the fixed words before the first field.
    event: String,
    /// The names of its `key=value` fields, in their order.
    fields: Vec<String>,
}

impl LogLine {
    /// Parses the format string of a log call: `event words key={} key={}`. A word that begins with a
    /// placeholder writes fields whose names the call does not show, and is parsed as the field `*`.
    fn parse(format: &str) -> LogLine {
        let (mut event, mut fields) = (Vec::new(), Vec::new());
        for word in format.split_ascii_whitespace() {
            match word.split_once('=') {
                Some((key, _)) => fields.push(key.to_string()),
                None if word.starts_with('{') => fields.push("*".to_string()),
                None => event.push(word),
            }
        }
        LogLine { event: event.join(" "), fields }
    }
}

/// The format strings of all log calls in some code.
fn log_formats(code: &str) -> Vec<String> {
    let mut formats = Vec::new();
    for level in ["error", "warn", "info", "debug", "trace"] {
        for call in code.split(&format!("log::{level}!(")).skip(1) {
            let call = call.trim_start();
            let text = call
                .strip_prefix('"')
                .unwrap_or_else(|| panic!("a log call without a format string: {call:.40}"));
            formats.push(text.split('"').next().unwrap_or_default().to_string());
        }
    }
    formats
}

/// The rows of the table in `docs/operate/logs.md`: the first cell is the event, the third its fields.
fn documented_lines(page: &str) -> BTreeSet<LogLine> {
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let quoted = |cell: &str| cell.split('`').skip(1).step_by(2).map(str::to_string).collect::<Vec<_>>();
        let cells: Vec<&str> = row.split('|').collect();
        LogLine { event: quoted(cells[1]).join(" "), fields: quoted(cells[3]) }
    })
    .collect()
}

#[test]
fn the_operators_table_lists_exactly_the_log_lines() {
    let mut written = BTreeSet::new();
    for file in rust_files(&root().join("src")) {
        for format in log_formats(&code_of(&file)) {
            let line = LogLine::parse(&format);
            assert!(
                !line.event.contains('{'),
                "{}: {format:?} has a value outside of its fields",
                file.display()
            );
            written.insert(line);
        }
    }
    let documented = documented_lines(&read(&root().join("docs/operate/logs.md")));
    let missing: Vec<&LogLine> = written.difference(&documented).collect();
    let unknown: Vec<&LogLine> = documented.difference(&written).collect();
    assert!(missing.is_empty(), "docs/operate/logs.md lacks {missing:#?}");
    assert!(
        unknown.is_empty(),
        "docs/operate/logs.md lists lines that the program does not log: {unknown:#?}"
    );
    assert!(
        written.len() > 15,
        "only {} lines found: have the log calls changed their format?",
        written.len()
    );
}
