//! The daemon and the command line as processes: a system is operated from its first table to its
//! shutdown.

mod harness;

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    time::Instant,
};

use expect_test::{Expect, expect};
use harness::{Call, DATA_CENTRES, TIMEOUT, name, row, send};
use ntex::time::{Millis, sleep};
use ragwortrill_core::{table, table_file::TableFile};
use ragwortrill_standin::{log, target};
use serde_json::Value;

/// Token in the file that the daemons and the command line read.
const TOKEN: &str = "a-token-for-tests";

/// A daemon's process, and the lines that it logs.
struct Process {
    child: Child,
    lines: BufReader<std::process::ChildStderr>,
    callers: SocketAddr,
    operators: SocketAddr,
    name: String,
}

/// Daemon processes with stand-ins of the platform, and the directory of their files.
struct World {
    directory: PathBuf,
    daemons: Vec<Process>,
    _log: log::Server,
    targets: Vec<target::Server>,
}

/// Returns the path of the command line's program, which is built next to the daemon's.
fn command_line() -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_ragwortrilld"));
    let path = daemon.with_file_name("ragwortrill");
    assert!(
        path.exists(),
        "run 'cargo test --workspace' or 'cargo build --workspace' first"
    );
    path
}

impl Process {
    fn start(directory: &Path, data_centre: &str, log: SocketAddr) -> Self {
        let settings = serde_json::json!({
            "host": format!("entry-{data_centre}"), "data_centre": data_centre,
            "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
            "log": log, "secret_file": "secret", "operator_token_file": "token",
        });
        let path = directory.join(format!("{data_centre}.json"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortrilld"));
        command.arg("--settings").arg(&path).env("RUST_LOG", "info");
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = child.stderr.take().expect("the output is piped");
        let mut lines = BufReader::new(stderr);
        let started = wait_for(&mut lines, "daemon started");
        let address = |field: &str| {
            let text = started[field].as_str().expect("the address is logged");
            text.parse().expect("the address is valid")
        };
        Self {
            callers: address("callers"),
            operators: address("operators"),
            name: started["process"]
                .as_str()
                .expect("the name is logged")
                .to_owned(),
            child,
            lines,
        }
    }

    /// Starts a graceful shutdown.
    fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.expect("the signal is sent").success());
    }

    /// Ends the process gracefully and returns what it logged.
    fn end(mut self) -> (Option<i32>, String) {
        self.terminate();
        let mut text = String::new();
        let _ = self.lines.read_to_string(&mut text);
        let status = self.child.wait().expect("the process ends");
        (status.code(), text)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_for(lines: &mut impl BufRead, message: &str) -> Value {
    let mut line = String::new();
    loop {
        line.clear();
        let read = lines.read_line(&mut line).expect("the log can be read");
        assert!(read > 0, "the daemon ended before it logged {message:?}");
        let value: Value = serde_json::from_str(&line).expect("a line of the log is JSON");
        if value["message"] == message {
            return value;
        }
    }
}

impl World {
    /// Starts the processes in a directory of the test's own.
    fn start(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&directory).expect("the directory can be created");
        let write = |file: &str, text: &str| {
            fs::write(directory.join(file), text).expect("the file can be written");
        };
        write("secret", "a-secret-for-tests");
        write("token", TOKEN);
        let log = log::Server::start().expect("the log stand-in starts");
        let mut row = row(true);
        let mut targets = Vec::new();
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            let target = format!("lookup-{number}");
            let server = target::Server::start(name(&target), target::Settings::default());
            let server = server.expect("a target stand-in starts");
            let table_target = table::Target {
                address: server.address(),
                data_centre: name(data_centre),
                weight: 1,
                checks_epoch: true,
            };
            row.targets.insert(name(&target), table_target);
            targets.push(server);
        }
        let mut table = table::Table::default();
        table.services.insert(name("lookup"), row);
        let regions = DATA_CENTRES.iter().map(|dc| (name(dc), name("region")));
        table.data_centres.extend(regions);
        let table_file = TableFile {
            version: None,
            table,
        };
        write("table.json", &table_file.render());
        let daemons = DATA_CENTRES.iter();
        let daemons = daemons.map(|dc| Process::start(&directory, dc, log.address()));
        let daemons = daemons.collect();
        Self {
            directory,
            daemons,
            _log: log,
            targets,
        }
    }

    /// Runs a command against a daemon.
    fn run(&self, daemon: usize, line: &str) -> Output {
        let quoted = line.split('\'').enumerate();
        let words = quoted.flat_map(|(index, part)| match index % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect(),
            _ => vec![part.to_owned()],
        });
        let mut command = Command::new(command_line());
        command
            .args(words)
            .current_dir(&self.directory)
            .env(
                "RAGWORTRILL_DAEMON",
                self.daemons[daemon].operators.to_string(),
            )
            .env("RAGWORTRILL_TOKEN", TOKEN)
            .env("USER", "robin");
        command.output().expect("the command line starts")
    }

    /// Runs a command and returns its output, with placeholders for what differs between runs.
    fn show(&self, daemon: usize, line: &str) -> String {
        let output = self.run(daemon, line);
        let code = output.status.code().unwrap_or(-1);
        let text = [output.stdout, output.stderr].concat();
        let mut text = String::from_utf8_lossy(&text).into_owned();
        for process in &self.daemons {
            let host = process.name.split('/').next().unwrap_or_default();
            text = text.replace(&process.name, host);
        }
        let lines = text.lines().map(|line| {
            let mut offset = false;
            let words = line.split_whitespace().map(|word| {
                let follows = std::mem::replace(&mut offset, word.ends_with("offset"));
                if follows {
                    "#,".to_owned()
                } else {
                    mask_varying(word)
                }
            });
            format!("{}\n", Vec::from_iter(words).join(" "))
        });
        format!("exit code {code}\n{}", String::from_iter(lines))
    }

    /// Repeats a command until its output has all the texts.
    async fn show_until(&self, daemon: usize, line: &str, texts: &[&str]) -> String {
        let start = Instant::now();
        loop {
            let shown = self.show(daemon, line);
            if texts.iter().all(|text| shown.contains(text)) {
                return shown;
            }
            assert!(start.elapsed() < TIMEOUT, "{line} still shows {shown}");
            sleep(Millis(50)).await;
        }
    }
}

/// Replaces numbers with more than one digit, times and ids by `#`, since they differ between runs.
fn mask_varying(word: &str) -> String {
    let core = word.trim_matches(|c: char| c.is_ascii_punctuation());
    let is_id = core.len() >= 16 && core.bytes().all(|b| b.is_ascii_hexdigit());
    let is_number = core.len() > 1 && core.bytes().all(|b| b.is_ascii_digit());
    let is_time = core.ends_with('Z') && core.contains(':');
    let is_span = core.strip_suffix("us").or(core.strip_suffix("ms"));
    let is_span = is_span.is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()));
    match is_id || is_number || is_time || is_span {
        true => word.replace(core, "#"),
        false => word.to_owned(),
    }
}

impl World {
    /// Makes a change, and repeats it under its id until it is effective at all daemons.
    async fn change(&self, daemon: usize, id: u32, line: &str) -> String {
        let line = format!("{line} --id {id:x}");
        self.show_until(daemon, &line, &["in force everywhere"])
            .await
    }
}

fn check(shown: &str, expected: Expect) {
    expected.assert_eq(shown);
}

/// Guards against a daemon and a command line that don't fit together in options, paths, types,
/// texts and signals.
#[ntex::test]
async fn a_system_is_operated_from_its_first_table_to_its_shutdown() {
    let world = World::start("operated");
    for daemon in 0..3 {
        let alive = [
            "entry-east east in yes",
            "entry-north north in yes",
            "entry-west west in yes",
        ];
        world.show_until(daemon, "status", &alive).await;
    }
    check(
        &world
            .change(
                0,
                1,
                "table apply table.json --base 0 --reason 'first table'",
            )
            .await,
        expect![[r#"
            exit code 0
            table: done, in force everywhere (offset #, table version 1)
        "#]],
    );
    check(
        &world.show(1, "table apply table.json --base 0 --reason 'first table'"),
        expect![[r#"
            exit code 1
            error: not done: the table is at version 1, not 0

            Version 0 is not stored. Your table differs from version 1:
            none

            To rebase, run 'ragwortrill table show 1 --sheet > rebased.json', enter your changes there, and apply that file; it states its base.
        "#]],
    );
    let call = Call::get("lookup", "/free", "k-1");
    for daemon in &world.daemons {
        let start = Instant::now();
        while send(daemon.callers, &call).await.status != 200 {
            assert!(start.elapsed() < TIMEOUT, "the request is not served");
            sleep(Millis(50)).await;
        }
    }
    // A target counts as cold until it has answered enough requests.
    let held = ["lookup-0 lookup east in cold", "proof"];
    let start = Instant::now();
    while world
        .show_until(0, "status", &held)
        .await
        .contains("warning")
    {
        assert!(start.elapsed() < TIMEOUT, "the warnings stay");
    }
    let owners = world
        .show_until(1, "owners --service lookup", &["lookup-2"])
        .await;
    assert_eq!(owners.matches("lookup lookup-").count(), 3, "{owners}");
    let explained = world.show(2, "explain k-1 --service lookup");
    assert!(
        explained.starts_with("exit code 0\nkey k-1 of lookup\nhash #"),
        "{explained}"
    );
    check(
        &world
            .change(2, 2, "target drain lookup-1 --reason 'disk errors'")
            .await,
        expect![[r#"
            exit code 0
            drain of target lookup-1: done, in force everywhere (offset #, table version 1)
        "#]],
    );
    world
        .show_until(0, "status", &["lookup-1 lookup north out"])
        .await;
    world
        .show_until(0, "owners", &["lookup lookup-1 north 0 0"])
        .await;
    check(
        &world
            .change(1, 3, "dc out west --reason 'cooling failed'")
            .await,
        expect![[r#"
            exit code 0
            taking out of data centre west: done, in force everywhere (offset #, table version 1)
        "#]],
    );
    world
        .show_until(
            0,
            "owners",
            &["lookup lookup-2 west 0 0", "lookup lookup-0 east # 0"],
        )
        .await;
    for number in 0..10 {
        let call = Call::get("lookup", "/free", &format!("k-{number}"));
        let reply = send(world.daemons[2].callers, &call).await;
        assert_eq!(reply.status, 200);
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.contains("lookup-0"), "{text}");
    }
    check(
        &world.show(0, "target drain lookup-9 --reason 'a wrong name'"),
        expect![[r#"
            exit code 1
            error: not done: the table has no target "lookup-9"; did you mean "lookup-0"?
        "#]],
    );
    let audit = world.show(2, "audit --since 0 --limit 1000");
    for text in [
        "robin applied table from version 0: 1 services, 3 targets first table",
        "robin applied target lookup-1 out disk errors",
        "robin applied data centre west out cooling failed",
    ] {
        assert!(audit.contains(text), "{audit}");
    }
    assert!(
        world
            .targets
            .iter()
            .all(|target| target.counts().stale_runs == 0)
    );
    let World { daemons, .. } = world;
    for daemon in daemons {
        let (code, log) = daemon.end();
        assert_eq!(code, Some(0), "{log}");
        assert!(
            log.contains("graceful shutdown ended; no request was cut"),
            "{log}"
        );
    }
}

/// Guards against a graceful shutdown that cuts a download or leaves keys unserved, and against
/// keys that stay unserved after a process was killed.
#[ntex::test]
async fn a_stopped_and_a_killed_process_are_replaced() {
    const SIZE: usize = 300_000;
    let mut world = World::start("replaced");
    let table = "table apply table.json --base 0 --reason 'first table'";
    world.change(0, 1, table).await;
    for number in 0..10 {
        wait_until_served(world.daemons[1].callers, number).await;
    }
    let hold = |held| {
        let targets = world.targets.iter();
        targets.for_each(|target| target.change(|settings| settings.hold = held));
    };
    hold(true);
    let caller = world.daemons[1].callers;
    let path = format!("/stream/{SIZE}");
    let download = async move { send(caller, &Call::get("lookup", &path, "k-1")).await };
    let download = ntex::rt::spawn(download);
    let start = Instant::now();
    while !world.targets.iter().any(|t| t.counts().running > 0) {
        assert!(start.elapsed() < TIMEOUT, "the download does not start");
        sleep(Millis(20)).await;
    }
    let mut stopped = world.daemons.remove(1);
    stopped.terminate();
    wait_for(&mut stopped.lines, "graceful shutdown started");
    hold(false);
    let reply = download.await.expect("the download ends");
    assert!(reply.complete, "the graceful shutdown cut the download");
    assert_eq!(reply.body.len(), SIZE);
    let (code, log) = stopped.end();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("no request was cut"), "{log}");
    for number in 0..10 {
        wait_until_served(world.daemons[0].callers, number).await;
    }
    let mut killed = world.daemons.remove(1);
    killed.child.kill().expect("the process can be killed");
    for number in 0..10 {
        wait_until_served(world.daemons[0].callers, number).await;
    }
    let stale = world
        .targets
        .iter()
        .map(|target| target.counts().stale_runs);
    assert_eq!(stale.sum::<u64>(), 0);
}

/// Guards against a graceful shutdown that cuts requests of one connection that a target runs.
#[ntex::test]
async fn a_graceful_shutdown_cuts_no_pipelined_request() {
    const REQUESTS: usize = 3;
    let mut world = World::start("pipelined");
    let table = "table apply table.json --base 0 --reason 'first table'";
    world.change(0, 1, table).await;
    wait_until_served(world.daemons[1].callers, 1).await;
    let counts = |world: &World| {
        world
            .targets
            .iter()
            .map(|t| t.counts().started)
            .sum::<u64>()
    };
    let before = counts(&world);
    let hold = |held| {
        let targets = world.targets.iter();
        targets.for_each(|target| target.change(|settings| settings.hold = held));
    };
    hold(true);
    let mut socket = TcpStream::connect(world.daemons[1].callers).expect("the daemon listens");
    let wire = Call::get("lookup", "/free", "k-1").head_text();
    let wire = wire.repeat(REQUESTS);
    socket.write_all(wire.as_bytes()).expect("the daemon reads");
    let start = Instant::now();
    while counts(&world) == before {
        assert!(start.elapsed() < TIMEOUT, "no request runs");
        sleep(Millis(20)).await;
    }
    let mut stopped = world.daemons.remove(1);
    stopped.terminate();
    wait_for(&mut stopped.lines, "graceful shutdown started");
    // By then the daemon takes no further requests.
    sleep(Millis(3_000)).await;
    hold(false);
    let mut text = String::new();
    let _ = socket.read_to_string(&mut text);
    let (code, log) = stopped.end();
    assert_eq!(code, Some(0), "{log}");
    let served = text.matches("HTTP/1.1 200 ").count() as u64;
    assert_eq!(served, counts(&world) - before, "{text}\n{log}");
}

/// Repeats a request until it is served.
async fn wait_until_served(callers: SocketAddr, number: usize) {
    let call = Call::get("lookup", "/free", &format!("k-{number}"));
    let start = Instant::now();
    while send(callers, &call).await.status != 200 {
        assert!(start.elapsed() < TIMEOUT, "key k-{number} is not served");
        sleep(Millis(50)).await;
    }
}

/// Number of times that an entry host is started, since the time until its handlers are installed
/// is short.
const HANGUP_STARTS: usize = 20;

/// Guards against an entry host that ends at a hangup signal while it starts.
#[ntex::test]
async fn hangup_during_the_start_does_not_end_an_entry_host() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("hangup");
    fs::create_dir_all(&directory).expect("the directory can be created");
    // Below the ephemeral ports of the kernel, which an outgoing connection could take.
    let first = 10_000 + std::process::id() % 9_000;
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let mut free = (first..)
        .map(address)
        .filter(|address| TcpListener::bind(address).is_ok());
    let mut free = || free.next().expect("a port is free");
    let (callers, ready, store) = (free(), free(), free());
    let settings = serde_json::json!({
        "Node": "entry", "Ip": "127.0.0.1", "Zone": "north",
        "Listen": {"Front": callers, "Ready": ready}, "InternalPorts": [],
        "Heartbeat": "870ms", "Limits": {"MemoryMb": 260, "MaxFds": 4100},
        "Bounds": [], "Platform": {"Address": store},
    });
    let path = directory.join("node.json");
    fs::write(&path, settings.to_string()).expect("the settings can be written");
    for start in 0..HANGUP_STARTS {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortrilld"));
        command
            .arg("--platform")
            .env("RAGWORTRILL_NODE_FILE", &path);
        command.stdout(Stdio::null()).stderr(Stdio::null());
        let mut child = command.spawn().expect("the host starts");
        let began = Instant::now();
        while TcpStream::connect(callers).is_err() {
            assert!(began.elapsed() < TIMEOUT, "the host does not listen");
        }
        let sent = Command::new("kill")
            .args(["-HUP", &child.id().to_string()])
            .status();
        assert!(sent.expect("the signal is sent").success());
        sleep(Millis(20)).await;
        let ended = child.try_wait().expect("the process can be checked");
        let _ = child.kill();
        let _ = child.wait();
        assert_eq!(ended, None, "start {start}");
    }
}
