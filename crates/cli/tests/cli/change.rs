//! Commands that submit a change: records, retries, and what is reported after a lost response.

use std::{
    io::{BufRead, BufReader, Read},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
};

use expect_test::{Expect, expect};
use serde_json::{Value, json};

use crate::{
    Session,
    sample::{accepted, problem},
    session::UNREACHABLE,
};

/// Guards against a command that submits the wrong record.
#[test]
fn sends_the_record_of_each_command() {
    let cases = [
        (
            "host drain entry-1 --reason 'update'",
            expect![[r##"
            status 0
            --- stdout
            drain of host entry-1: done, in force everywhere (offset 42, table version 7)
            --- requests
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"update","record":{"Host":{"name":"entry-1","state":"out"}}}
        "##]],
        ),
        (
            "host return entry-1 --reason 'update'",
            expect![[r##"
            status 0
            --- stdout
            return of host entry-1: done, in force everywhere (offset 42, table version 7)
            --- requests
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"update","record":{"Host":{"name":"entry-1","state":"in"}}}
        "##]],
        ),
        (
            "host lost entry-1/5f --reason 'fire'",
            expect![[r##"
            status 0
            --- stdout
            loss of process entry-1/5f: done, in force everywhere (offset 42, table version 7)
            --- requests
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"fire","record":{"Lost":{"process":"entry-1/5f"}}}
        "##]],
        ),
        (
            "dc out north --reason 'cooling'",
            expect![[r##"
            status 0
            --- stdout
            taking out of data centre north: done, in force everywhere (offset 42, table version 7)
            --- requests
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"cooling","record":{"DataCentre":{"name":"north","state":"out"}}}
        "##]],
        ),
        (
            "dc return north --reason 'cooling'",
            expect![[r##"
            status 0
            --- stdout
            return of data centre north: done, in force everywhere (offset 42, table version 7)
            --- requests
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"cooling","record":{"DataCentre":{"name":"north","state":"in"}}}
        "##]],
        ),
        (
            "target drain orders-1 --reason 'disk'",
            expect![[r##"
            status 0
            --- stdout
            drain of target orders-1: done, in force everywhere (offset 42, table version 7)
            --- requests
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"disk","record":{"Target":{"name":"orders-1","state":"out"}}}
        "##]],
        ),
        (
            "target return orders-1 --reason 'disk' --json",
            expect![[r##"
                status 0
                --- stdout
                {
                  "effect": "applied",
                  "in_force": "everywhere",
                  "offset": 42,
                  "version": 7
                }
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"disk","record":{"Target":{"name":"orders-1","state":"in"}}}
            "##]],
        ),
        (
            "release 0123456789abcdef --reason 'fixed'",
            expect![[r##"
            status 0
            --- stdout
            release of fingerprint 0123456789abcdef: done, in force everywhere (offset 42, table version 7)
            --- requests
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"fixed","record":{"Quarantine":{"barred":false,"fingerprint":"0123456789abcdef"}}}
        "##]],
        ),
    ];
    for (line, expected) in cases {
        Session::new(line)
            .respond("POST /v1/changes", 200, accepted())
            .expect(expected);
    }
}

struct Case {
    line: &'static str,
    responses: Vec<(u16, Value)>,
    expected: Expect,
}

/// Guards against a change that is reported as done or not done while its outcome is unknown, and
/// against a retry with another id, with which the change could take effect twice.
#[test]
fn reports_whether_a_change_was_made() {
    let waiting = json!({"waiting": ["entry-2/a", "entry-3/b"]});
    let waiting = json!({"offset": 42, "effect": "applied", "version": 7, "in_force": waiting});
    let duplicate =
        json!({"offset": 42, "effect": "duplicate", "version": 7, "in_force": "everywhere"});
    let invalid =
        json!({"offset": 42, "effect": "invalid", "version": 7, "in_force": "everywhere"});
    let unknown = || (503, problem("unknown", "the log's answer was lost"));
    let not_run = || (503, problem("not-run", "the log service does not answer"));
    let cases = [
        Case {
            line: "dc out north --reason 'cooling'",
            responses: vec![(200, waiting)],
            expected: expect![[r##"
                status 0
                --- stdout
                taking out of data centre north: done, not yet in force at entry-2/a, entry-3/b (offset 42, table version 7)
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"cooling","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'cooling'",
            responses: vec![(200, duplicate)],
            expected: expect![[r##"
                status 0
                --- stdout
                taking out of data centre north: was in effect before, in force everywhere (offset 42, table version 7)
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"cooling","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'cooling'",
            responses: vec![(200, invalid)],
            expected: expect![[r##"
                status 1
                --- stderr
                error: not done: the change names something that does not exist or isn't allowed; run 'ragwortrill table show' and correct the name
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"cooling","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'lost answer, then success' --timeout 10m",
            responses: vec![unknown(), (200, accepted())],
            expected: expect![[r##"
                status 0
                --- stdout
                taking out of data centre north: done, in force everywhere (offset 42, table version 7)
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer, then success","record":{"DataCentre":{"name":"north","state":"out"}}}
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer, then success","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'lost answer, then refusal of the same id' --timeout 10m",
            responses: vec![unknown(), (422, problem("not-run", "no data centre north"))],
            expected: expect![[r##"
                status 1
                --- stderr
                error: not done: no data centre north; wait for the log
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer, then refusal of the same id","record":{"DataCentre":{"name":"north","state":"out"}}}
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer, then refusal of the same id","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'lost answer' --timeout 0s",
            responses: vec![unknown()],
            expected: expect![[r##"
                status 1
                --- stderr
                error: unknown whether the change was made: the log's answer was lost; wait for the log; repeat the command with --id #1, which never makes the change twice, or look for the id in 'ragwortrill audit'
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'lost answer' --timeout 0s --json",
            responses: vec![unknown()],
            expected: expect![[r##"
                status 1
                --- stderr
                {
                  "error": "unknown whether the change was made: the log's answer was lost; wait for the log; repeat the command with --id #1, which never makes the change twice, or look for the id in 'ragwortrill audit'",
                  "id": "#1",
                  "kind": "unknown"
                }
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'lost answer, outage, then success' --timeout 10m",
            responses: vec![unknown(), not_run(), (200, accepted())],
            expected: expect![[r##"
                status 0
                --- stdout
                taking out of data centre north: done, in force everywhere (offset 42, table version 7)
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer, outage, then success","record":{"DataCentre":{"name":"north","state":"out"}}}
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer, outage, then success","record":{"DataCentre":{"name":"north","state":"out"}}}
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"lost answer, outage, then success","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'outage after a lost answer' --id 5f --timeout 0s",
            responses: vec![not_run()],
            expected: expect![[r##"
                status 1
                --- stderr
                error: unknown whether the change was made: the log service does not answer; wait for the log; repeat the command with --id #1, which never makes the change twice, or look for the id in 'ragwortrill audit'
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"outage after a lost answer","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'any' --id 5f --timeout 0s",
            responses: vec![(401, problem("not-run", "the token is not accepted"))],
            expected: expect![[r##"
                status 1
                --- stderr
                error: unknown whether the change was made: the token is not accepted; wait for the log; repeat the command with --id #1, which never makes the change twice, or look for the id in 'ragwortrill audit'
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"any","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'any' --id 5f",
            responses: vec![(200, accepted())],
            expected: expect![[r##"
                status 0
                --- stdout
                taking out of data centre north: done, in force everywhere (offset 42, table version 7)
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"any","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'outage'",
            responses: vec![not_run()],
            expected: expect![[r##"
                status 1
                --- stderr
                error: not done: the log service does not answer; wait for the log
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"outage","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'wrong token' --json",
            responses: vec![(401, problem("not-run", "the token is not accepted"))],
            expected: expect![[r##"
                status 1
                --- stderr
                {
                  "error": "not done: the token is not accepted; wait for the log",
                  "kind": "not-done"
                }
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"wrong token","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'status without a problem' --timeout 0s",
            responses: vec![(500, Value::Null)],
            expected: expect![[r##"
                status 1
                --- stderr
                error: unknown whether the change was made: the daemon answered with status 500 Internal Server Error; check the daemon's log; repeat the command with --id #1, which never makes the change twice, or look for the id in 'ragwortrill audit'
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"status without a problem","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
        Case {
            line: "dc out north --reason 'answer of another release' --timeout 0s",
            responses: vec![(200, json!({"offset": "forty-two"}))],
            expected: expect![[r##"
                status 1
                --- stderr
                error: unknown whether the change was made: DAEMON sent a response that can't be decoded: invalid type: string "forty-two", expected u64 at line 1 column 21; use the ragwortrill program of the daemon's release; repeat the command with --id #1, which never makes the change twice, or look for the id in 'ragwortrill audit'
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"answer of another release","record":{"DataCentre":{"name":"north","state":"out"}}}
            "##]],
        },
    ];
    for case in cases {
        let respond =
            |session: Session, (status, body)| session.respond("POST /v1/changes", status, body);
        let responses = case.responses.into_iter();
        responses
            .fold(Session::new(case.line), respond)
            .expect(case.expected);
    }
}

/// Guards against reporting "not done" when the connection closes after the change was sent.
#[test]
fn reports_unknown_when_the_connection_closes_after_the_change() {
    let (address, server) = close_after_request();
    let line = "dc out north --reason 'cooling' --timeout 0s";
    Session::new(line).daemon(address).expect(expect![[r#"
        status 1
        --- stderr
        error: unknown whether the change was made: no complete response from DAEMON: the connection closed; retry, or name another daemon; repeat the command with --id #1, which never makes the change twice, or look for the id in 'ragwortrill audit'
    "#]]);
    server.join().expect("the request was read to its end");
}

/// Guards against reporting "unknown" when no connection could be opened.
#[test]
fn reports_not_done_when_nothing_was_sent() {
    let session = Session::new("dc out north --reason 'cooling'").daemon(UNREACHABLE);
    session.expect(expect![[r#"
        status 1
        --- stderr
        error: not done: can't connect to DAEMON: Connection refused (os error 111); check --daemon, or name another daemon
    "#]]);
}

/// Accepts one connection, reads one request and closes without a response.
fn close_after_request() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the address is known");
    let server = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the program connects");
        let mut reader = BufReader::new(stream);
        let mut length = 0;
        let mut line = String::new();
        while reader.read_line(&mut line).expect("the head is readable") > 2 {
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().expect("the length is a number");
            }
            line.clear();
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("the body is readable");
        assert!(length > 0, "the change has a body");
    });
    (address, server)
}

/// Guards against recording a process as lost that still runs: it could serve its targets at the
/// same time as its successor.
#[test]
fn records_a_host_as_lost_only_if_it_is_silent_or_named_in_full() {
    let status = |alive: bool| {
        json!({
            "process": "entry-2/a", "data_centre": "north", "offset": 9, "hash": "0a",
            "version": 6, "proof_age": "100ms", "data_centres": {}, "targets": [],
            "quarantine": [], "warnings": [],
            "hosts": [{
                "process": "entry-1/5f", "data_centre": "north", "state": "in", "alive": alive,
                "offset": null, "differs": false,
            }],
        })
    };
    let cases = [
        (
            "host lost entry-1 --reason 'fire'",
            false,
            expect![[r##"
            status 0
            --- stdout
            loss of process entry-1/5f: done, in force everywhere (offset 42, table version 7)
            --- requests
            GET /v1/status
            POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"fire","record":{"Lost":{"process":"entry-1/5f"}}}
        "##]],
        ),
        (
            "host lost entry-1 --reason 'fire'",
            true,
            expect![[r#"
            status 1
            --- stderr
            error: not done: process entry-1/5f still sends heartbeats; stop it first, or name the process in full if you are certain that it has ended
            --- requests
            GET /v1/status
        "#]],
        ),
        (
            "host lost entry-9 --reason 'fire'",
            false,
            expect![[r#"
            status 1
            --- stderr
            error: not done: the daemon knows no process of host entry-9; run 'ragwortrill status' for the names
            --- requests
            GET /v1/status
        "#]],
        ),
    ];
    for (line, alive, expected) in cases {
        Session::new(line)
            .respond("GET /v1/status", 200, status(alive))
            .respond("POST /v1/changes", 200, accepted())
            .expect(expected);
    }
}
