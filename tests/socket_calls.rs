//! Which source files may make system calls on sockets.

/// Calls that only `socket.rs` makes. Other files use its functions, so that every call is retried after an
/// interruption and its errors are classified.
const DIRECT_CALLS: [&str; 18] = [
    "TcpStream::connect",
    ".accept().await",
    "listener.accept()",
    "AsyncReadExt",
    "write_all_buf",
    "write_buf",
    ".write_all(",
    "read_buf(",
    "read_exact",
    "SockRef",
    "try_write",
    ".peek(",
    "raw_os_error",
    "TcpSocket",
    "UdpSocket",
    "send_to(&",
    "try_send_to",
    "recv_from(",
];

/// Calls that `datagram.rs` may make too.
const DATAGRAM_CALLS: [&str; 4] = ["UdpSocket", "SockRef", "send_to(&", "recv_from("];

/// What `socket_error.rs` may read too, to classify errors.
const ERROR_CALLS: [&str; 1] = ["raw_os_error"];

#[test]
fn only_the_socket_modules_make_system_calls_on_sockets() {
    let (mut files, mut direct) = (0, Vec::new());
    for path in files_below(&std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src")) {
        let text = std::fs::read_to_string(&path).expect("a text file");
        files += 1;
        if path.ends_with("os/socket.rs") {
            continue;
        }
        let allowed: &[&str] = match path.file_name().and_then(|name| name.to_str()) {
            Some("datagram.rs") => &DATAGRAM_CALLS,
            Some("socket_error.rs") => &ERROR_CALLS,
            _ => &[],
        };
        let calls = DIRECT_CALLS.into_iter().filter(|call| text.contains(call) && !allowed.contains(call));
        direct.extend(calls.map(|call| format!("{}: {call}", path.display())));
    }
    assert!(files > 50, "only {files} files: have the sources moved?");
    assert!(
        direct.is_empty(),
        "these calls bypass the retry and the error classes of os/socket.rs: {direct:#?}"
    );
}

/// All files below a folder.
fn files_below(folder: &std::path::Path) -> Vec<std::path::PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(files_below(&path));
        } else {
            found.push(path);
        }
    }
    found
}

/// Names of the files below a folder that contain this text.
fn files_containing(folder: &std::path::Path, pattern: &str) -> Vec<String> {
    let files = files_below(folder).into_iter();
    let files = files.filter(|path| std::fs::read_to_string(path).is_ok_and(|text| text.contains(pattern)));
    files.map(|path| path.file_name().expect("a name").to_string_lossy().into_owned()).collect()
}

#[test]
fn no_program_injects_faults_into_its_calls() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let found =
        ["src", "crates"].map(|folder| files_containing(&root.join(folder), "set_fault_schedule")).concat();
    assert_eq!(found, ["system_call.rs"]);
}
