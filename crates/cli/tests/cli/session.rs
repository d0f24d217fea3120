//! A run of the program: it takes arguments, files and responses, and returns output, exit code and
//! requests.

use std::{
    fmt::Write,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Command, Output},
    sync::atomic::{AtomicU32, Ordering},
};

use expect_test::Expect;
use ntex::rt::{DefaultRuntime, System};
use serde_json::Value;

use crate::standin::{Call, Responses, Standin};

/// An address that refuses connections: port 1 is reserved for a service that is not in use.
pub(crate) const UNREACHABLE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// A run of the program that is being prepared.
#[derive(Default)]
pub(crate) struct Session {
    arguments: Vec<String>,
    files: Vec<(&'static str, String)>,
    responses: Responses,
    daemon: Option<SocketAddr>,
    has_empty_environment: bool,
}

impl Session {
    /// Creates a run of a command line. A quoted part is one argument.
    pub(crate) fn new(line: &str) -> Self {
        let quoted = |(index, part): (usize, &str)| match index % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect(),
            _ => vec![part.to_owned()],
        };
        Self {
            arguments: line.split('\'').enumerate().flat_map(quoted).collect(),
            ..Self::default()
        }
    }

    /// Adds a file to the working directory.
    pub(crate) fn file(mut self, name: &'static str, text: impl Into<String>) -> Self {
        self.files.push((name, text.into()));
        self
    }

    /// Adds a response of the daemon to a route. Without any response no daemon runs.
    pub(crate) fn respond(mut self, route: &str, status: u16, body: Value) -> Self {
        let responses = self.responses.entry(route.to_owned()).or_default();
        responses.push_back((status, body));
        self
    }

    /// Sets the address of a daemon other than the stand-in.
    pub(crate) fn daemon(mut self, address: SocketAddr) -> Self {
        self.daemon = Some(address);
        self
    }

    /// Runs the program with an empty environment.
    pub(crate) fn without_environment(mut self) -> Self {
        self.has_empty_environment = true;
        self
    }

    /// Runs the program and compares its exit code, output and requests.
    pub(crate) fn expect(self, expected: Expect) {
        System::new("session", DefaultRuntime).block_on(async move {
            let standin = match self.responses.is_empty() {
                true => None,
                false => Some(Standin::start(self.responses.clone()).await),
            };
            let daemon = self.daemon.or(standin.as_ref().map(Standin::address));
            let daemon = daemon.unwrap_or(UNREACHABLE);
            let output = self.execute(daemon);
            let calls = standin.map(|standin| standin.calls());
            let text = render(&output, daemon, &calls.unwrap_or_default());
            expected.assert_eq(&text);
        });
    }

    fn execute(&self, daemon: SocketAddr) -> Output {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let directory = directory.join(format!("session-{}-{number}", std::process::id()));
        fs::create_dir_all(&directory).expect("the directory can be created");
        for (name, text) in &self.files {
            fs::write(directory.join(name), text).expect("the file can be written");
        }
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortrill"));
        command
            .args(&self.arguments)
            .current_dir(&directory)
            .env_clear();
        if !self.has_empty_environment {
            command.env("RAGWORTRILL_DAEMON", daemon.to_string());
            command
                .env("RAGWORTRILL_TOKEN", "secret")
                .env("USER", "robin");
        }
        let output = command.output().expect("the program starts");
        fs::remove_dir_all(&directory).expect("the directory can be removed");
        output
    }
}

/// Formats the results. Random ids are replaced by `#1`, `#2` and so on, and the daemon's address
/// by `DAEMON`.
fn render(output: &Output, daemon: SocketAddr, calls: &[Call]) -> String {
    let mut text = format!("status {}\n", output.status.code().unwrap_or(-1));
    let streams = [("stdout", &output.stdout), ("stderr", &output.stderr)];
    for (name, bytes) in streams.into_iter().filter(|(_, bytes)| !bytes.is_empty()) {
        let _ = write!(text, "--- {name}\n{}", String::from_utf8_lossy(bytes));
    }
    if !calls.is_empty() {
        text += "--- requests\n";
    }
    text.extend(calls.iter().map(render_request));
    for (index, id) in ids(&text).iter().enumerate() {
        text = text.replace(id, &format!("#{}", index + 1));
    }
    text.replace(&daemon.to_string(), "DAEMON")
}

/// Finds the ids of changes, which have 32 hexadecimal digits.
fn ids(text: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for word in text.split(|c: char| !c.is_ascii_alphanumeric()) {
        let is_id = word.len() == 32 && word.bytes().all(|b| b.is_ascii_hexdigit());
        if is_id && !ids.iter().any(|id| id == word) {
            ids.push(word.to_owned());
        }
    }
    ids
}

/// Formats a request, without the table in its body.
fn render_request(call: &Call) -> String {
    let mut body = call.body.clone();
    if let Some(record) = body.pointer_mut("/record/Table/table") {
        *record = "...".into();
    }
    let mut line = call.route.clone();
    if let Some(authorization) = &call.authorization {
        let _ = write!(line, " ({authorization})");
    }
    if !body.is_null() {
        let _ = write!(line, " {body}");
    }
    line + "\n"
}
