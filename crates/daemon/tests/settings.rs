//! Tests of settings files: values, defaults and faults.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use expect_test::{Expect, expect};
use ragwortrill_daemon::{Settings, Snapshots};
use test_case::test_case;

/// Creates a directory with the secret files that the settings of these tests refer to.
fn directory(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).expect("the directory can be created");
    let files = [
        ("secret", "0123456789abcdef\n"),
        ("operator-token", "fedcba9876543210\n"),
        ("short", "abc"),
        ("spaced", "0123456789 abcdef"),
    ];
    for (file, text) in files {
        fs::write(directory.join(file), text).expect("the file can be written");
    }
    directory
}

const MINIMAL: &str = r#"{
    "host": "entry-1", "data_centre": "north", "callers": "127.0.0.1:8000",
    "peers": "127.0.0.1:9100", "operators": "127.0.0.1:9000", "log": "127.0.0.1:7000",
    "secret_file": "secret", "operator_token_file": "operator-token"
}"#;

/// Guards against defaults that differ from the manual's.
#[test]
fn absent_fields_have_their_defaults() {
    let settings = Settings::parse(MINIMAL, &directory("defaults")).expect("the file is valid");
    assert_eq!(settings.secret, "0123456789abcdef");
    assert_eq!(settings.operator_token, "fedcba9876543210");
    assert_eq!(settings.workers, 2);
    assert_eq!(settings.drain_limit.to_string(), "1m");
    assert_eq!(settings.snapshots, Snapshots::default());
    assert_eq!(settings.bootstrap, Default::default());
    assert_eq!(settings.times, Default::default());
}

/// A settings file, and the faults that are reported for it.
struct Case {
    text: &'static str,
    faults: Expect,
}

/// Guards against faults that are reported one at a time, or without their remedy, and against
/// messages that quote a secret.
#[test]
fn all_faults_are_listed() {
    let directory = directory("faults");
    let cases = [
        Case {
            text: "{}",
            faults: expect![[r#"
                host: got nothing, expected a name of 1 to 63 of a-z, 0-9, '-' and '.'; write a name in lower case
                data_centre: got nothing, expected a name of 1 to 63 of a-z, 0-9, '-' and '.'; write a name in lower case
                callers: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                peers: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                operators: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                log: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                secret_file: got nothing, expected a file with 16 to 1024 visible ASCII characters; name the file with the secret
                operator_token_file: got nothing, expected a file with 16 to 1024 visible ASCII characters; name the file with the secret
            "#]],
        },
        Case {
            text: "[]",
            faults: expect![[r#"
                the file: got [], expected an object; write the fields in braces: {"name": value, ...}
            "#]],
        },
        Case {
            text: "{\"host\": \"a\",}",
            faults: expect![[r#"
                line 1, column 14: got invalid JSON (trailing comma), expected a JSON object; correct the syntax there
            "#]],
        },
        Case {
            text: r#"{
                "host": "Entry 1", "data_center": "north", "callers": "localhost:8000",
                "peers": "127.0.0.1:9100", "operators": "127.0.0.1:9100", "log": 7000,
                "hosts": "127.0.0.1", "seeds": ["127.0.0.1:9101", 9102], "workers": 0,
                "secret": "0123456789abcdef", "secret_file": "short",
                "operator_token_file": "spaced", "drain_limit": "1d", "log_retention": "30s",
                "snapshot_records": 10, "snapshot_percent": 100, "workers": 3
            }"#,
            faults: expect![[r#"
                workers: got 3 for a key that occurs twice, expected each key once in an object; remove one of the two
                host: got "Entry 1", expected a name of 1 to 63 of a-z, 0-9, '-' and '.'; write a name in lower case
                data_centre: got nothing, expected a name of 1 to 63 of a-z, 0-9, '-' and '.'; write a name in lower case
                callers: got "localhost:8000", expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                operators: got 127.0.0.1:9100, expected another address than that of peers; choose another port
                log: got 7000, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                hosts: got "127.0.0.1", expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                seeds[1]: got 9102, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
                secret_file: got "short" with 3 bytes, expected a file with 16 to 1024 visible ASCII characters; create it with: head -c 24 /dev/urandom | base64 > secret_file
                operator_token_file: got "spaced" with other characters, expected a file with 16 to 1024 visible ASCII characters; create it with: head -c 24 /dev/urandom | base64 > operator_token_file
                drain_limit: got "1d", expected a text such as "250ms" from 1s to 1h; state how long a stopping daemon waits for its requests
                log_retention: got "30s", expected a text such as "250ms" from 1m to 8760h; state how long the log service keeps a record
                snapshot_records: got 10, expected a whole number from 100 to 1000000; state after how many records a snapshot is written
                snapshot_percent: got 100, expected a whole number from 1 to 90; state the part of the log's retention after which a snapshot is written
                data_center: got an unknown field, expected one of callers, data_centre, drain_limit, host, hosts, log, log_retention, operator_token_file, operators, peers, secret_file, seeds, snapshot_percent, snapshot_records, times, workers; did you mean "data_centre"?
                secret: got an unknown field, expected one of callers, data_centre, drain_limit, host, hosts, log, log_retention, operator_token_file, operators, peers, secret_file, seeds, snapshot_percent, snapshot_records, times, workers; remove it
            "#]],
        },
        Case {
            text: r#"{
                "host": "entry-1", "data_centre": "north", "callers": "127.0.0.1:0",
                "peers": "127.0.0.1:0", "operators": "127.0.0.1:0", "log": "127.0.0.1:7000",
                "seeds": "127.0.0.1:9101", "secret_file": "none", "operator_token_file": 5,
                "times": {
                    "lease": "200ms", "heart_beat": "100ms", "drift_ppm": 500001, "grant": "0s",
                    "target_lost": "250ms"
                }
            }"#,
            faults: expect![[r#"
                seeds: got "127.0.0.1:9101", expected a list of addresses; write the addresses in brackets: ["127.0.0.1:9100"]
                secret_file: got "none" (No such file or directory (os error 2)), expected a file with 16 to 1024 visible ASCII characters; create it with: head -c 24 /dev/urandom | base64 > secret_file
                operator_token_file: got 5, expected a file with 16 to 1024 visible ASCII characters; name the file with the secret
                times.drift_ppm: got 500001, expected a whole number from 0 to 500000; remove the field to use the default, and use the same value at all daemons
                times.grant: got "0s", expected a text such as "250ms" from 1ms to 24h; remove the field to use the default, and use the same value at all daemons
                times.heart_beat: got an unknown field, expected one of drift_ppm, grant, grant_renewal, heartbeat, lease, log_wait, margin, outsider_wait, probe, second_standby, suspicion, target_lost; did you mean "heartbeat"?
                times.lease: got 200ms, expected more than heartbeat, which is 250ms; raise it
                times.lease: got 200ms, expected more than log_wait, which is 250ms; raise it
                times.target_lost: got 250ms, expected more than probe, which is 250ms; raise it
            "#]],
        },
    ];
    for case in cases {
        let faults = Settings::parse(case.text, &directory).expect_err("the file is wrong");
        let lines = faults.iter().map(|fault| format!("{fault}\n"));
        case.faults.assert_eq(&String::from_iter(lines));
    }
}

/// Guards against sample settings that the daemon refuses.
#[test_case("cooperativa")]
#[test_case("murrin")]
fn the_sample_settings_are_valid(system: &str) {
    let directory = directory(system);
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let entries = fs::read_dir(samples.join(system)).expect("the samples exist");
    let files = entries.map(|entry| entry.expect("the samples can be listed").path());
    let settings = files.filter(|path| {
        let name = path.file_name().and_then(|name| name.to_str());
        name.is_some_and(|name| name.starts_with("daemon-"))
    });
    let mut data_centres = Vec::new();
    for path in settings {
        let text = fs::read_to_string(&path).expect("the sample can be read");
        let settings = Settings::parse(&text, &directory);
        let settings = settings.unwrap_or_else(|faults| panic!("{path:?}: {faults:?}"));
        data_centres.push(settings.data_centre);
    }
    data_centres.sort();
    data_centres.dedup();
    assert_eq!(data_centres.len(), 3);
}

/// Guards against `--check` starting the daemon, or reporting success for an invalid file.
#[test]
fn the_program_checks_a_file_without_starting() {
    let directory = directory("program");
    let cases = [
        (
            "good.json",
            MINIMAL,
            0,
            expect![[r#"
            settings are valid
        "#]],
        ),
        (
            "bad.json",
            "{\"hots\": 1}",
            1,
            expect![[r#"
            error: settings DIRECTORY/bad.json are wrong:
              host: got nothing, expected a name of 1 to 63 of a-z, 0-9, '-' and '.'; write a name in lower case
              data_centre: got nothing, expected a name of 1 to 63 of a-z, 0-9, '-' and '.'; write a name in lower case
              callers: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
              peers: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
              operators: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
              log: got nothing, expected an IP number and a port such as 127.0.0.1:8080; write numbers, not a host name
              secret_file: got nothing, expected a file with 16 to 1024 visible ASCII characters; name the file with the secret
              operator_token_file: got nothing, expected a file with 16 to 1024 visible ASCII characters; name the file with the secret
              hots: got an unknown field, expected one of callers, data_centre, drain_limit, host, hosts, log, log_retention, operator_token_file, operators, peers, secret_file, seeds, snapshot_percent, snapshot_records, times, workers; did you mean "host"?
        "#]],
        ),
    ];
    for (file, text, code, expected) in cases {
        let path = directory.join(file);
        fs::write(&path, text).expect("the file can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortrilld"));
        let output = command.arg("--check").arg("--settings").arg(&path).output();
        let output = output.expect("the program starts");
        assert_eq!(output.status.code(), Some(code));
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        let text = text.replace(&directory.display().to_string(), "DIRECTORY");
        expected.assert_eq(&text);
    }
}
