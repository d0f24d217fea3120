//! Commands that check, show and change the table.

use expect_test::{Expect, expect};
use serde_json::json;

use crate::{
    Session,
    sample::{self, TABLE_FILE, edited},
};

/// Guards against a check that needs a daemon, accepts an invalid file or stops at its first fault.
#[test]
fn checks_a_file() {
    let broken = edited("\"slots\": 6", "\"slots\": 0, \"slotz\": 1");
    let cases = [
        (
            "table check valid",
            expect![[r#"
                status 0
                --- stdout
                valid: 1 service, 1 target, no faults
            "#]],
        ),
        (
            "table check valid --json",
            expect![[r#"
            status 0
            --- stdout
            {
              "file": "valid",
              "services": 1,
              "targets": 1
            }
        "#]],
        ),
        (
            "table check broken",
            expect![[r#"
            status 1
            --- stderr
            error: broken has 2 faults:
              services[orders].slots: got 0, expected a whole number from 1 to 10000; state how many requests a target runs at the same time
              services[orders].slotz: got an unknown field, expected one of connections, deadline, divided_by_key, hot_key_percent, id_window, idempotent_methods, moves_per_minute, name, queue, reserved_percent, retry_percent, slices, slots, slow_start, targets; did you mean "slots"?
        "#]],
        ),
        (
            "table check broken --json",
            expect![[r#"
            status 1
            --- stderr
            {
              "error": "broken has 2 faults:\n  services[orders].slots: got 0, expected a whole number from 1 to 10000; state how many requests a target runs at the same time\n  services[orders].slotz: got an unknown field, expected one of connections, deadline, divided_by_key, hot_key_percent, id_window, idempotent_methods, moves_per_minute, name, queue, reserved_percent, retry_percent, slices, slots, slow_start, targets; did you mean \"slots\"?",
              "faults": [
                {
                  "field": "services[orders].slots",
                  "range": "a whole number from 1 to 10000",
                  "remedy": "state how many requests a target runs at the same time",
                  "value": "0"
                },
                {
                  "field": "services[orders].slotz",
                  "range": "one of connections, deadline, divided_by_key, hot_key_percent, id_window, idempotent_methods, moves_per_minute, name, queue, reserved_percent, retry_percent, slices, slots, slow_start, targets",
                  "remedy": "did you mean \"slots\"?",
                  "value": "an unknown field"
                }
              ],
              "kind": "faults"
            }
        "#]],
        ),
        (
            "table check missing",
            expect![[r#"
            status 1
            --- stderr
            error: can't read missing: No such file or directory (os error 2); check the path and its permissions
        "#]],
        ),
    ];
    for (line, expected) in cases {
        let session = Session::new(line).without_environment();
        session
            .file("valid", TABLE_FILE)
            .file("broken", broken.clone())
            .expect(expected);
    }
}

/// Guards against sample tables that the program refuses.
#[test]
fn accepts_the_sample_tables() {
    let murrin = include_str!("../../../../examples/murrin/table.json");
    let cooperativa = include_str!("../../../../examples/cooperativa/table.json");
    let cases = [
        (
            murrin,
            expect![[r#"
        status 0
        --- stdout
        table.json: 3 services, 28 targets, no faults
    "#]],
        ),
        (
            cooperativa,
            expect![[r#"
        status 0
        --- stdout
        table.json: 3 services, 34 targets, no faults
    "#]],
        ),
    ];
    for (text, expected) in cases {
        let session = Session::new("table check table.json").without_environment();
        session.file("table.json", text).expect(expected);
    }
}

/// Guards against differences in the wrong direction.
#[test]
fn compares_files_and_the_daemons_table() {
    let cases = [
        (
            "table diff old new",
            expect![[r#"
            status 0
            --- stdout
            ~ services[orders].slots: 6 -> 8
        "#]],
        ),
        (
            "table diff old new --json",
            expect![[r#"
            status 0
            --- stdout
            [
              {
                "after": "8",
                "before": "6",
                "column": "slots",
                "row": "services[orders]"
              }
            ]
        "#]],
        ),
        (
            "table diff old old",
            expect![[r#"
            status 0
            --- stdout
            no differences
        "#]],
        ),
        (
            "table diff new",
            expect![[r#"
            status 0
            --- stdout
            ~ services[orders].slots: 6 -> 8
            --- requests
            GET /v1/table
        "#]],
        ),
    ];
    for (line, expected) in cases {
        Session::new(line)
            .file("old", TABLE_FILE)
            .file("new", edited("\"slots\": 6", "\"slots\": 8"))
            .respond("GET /v1/table", 200, sample::table_version(6, TABLE_FILE))
            .expect(expected);
    }
}

/// Guards against columns that are left out, and a `--sheet` output that can't be applied.
#[test]
fn shows_the_table() {
    let cases = [
        (
            "table show",
            expect![[r#"
            status 0
            --- stdout
            version 6

            service  targets  slots  connections  queue  deadline  by key  slices  idempotent        retry %  slow start  reserved %  id window  moves/min  hot key %
            orders   1        6      110          100    5s        no      1024    GET HEAD OPTIONS  10       10s         0           1h         600        20
            --- requests
            GET /v1/table
        "#]],
        ),
        (
            "table show 3",
            expect![[r#"
            status 0
            --- stdout
            version 3

            service  targets  slots  connections  queue  deadline  by key  slices  idempotent        retry %  slow start  reserved %  id window  moves/min  hot key %
            orders   1        6      110          100    4s        no      1024    GET HEAD OPTIONS  10       10s         0           1h         600        20
            --- requests
            GET /v1/table/history/3
        "#]],
        ),
        (
            "table show 2",
            expect![[r#"
            status 1
            --- stderr
            error: version 2 is not stored; wait for the log
            --- requests
            GET /v1/table/history/2
        "#]],
        ),
        (
            "table show --sheet",
            expect![[r#"
            status 0
            --- stdout
            {
              "version": 6,
              "data_centres": [
                {"name": "north", "region": "west"}
              ],
              "services": [
                {
                  "name": "orders",
                  "slots": 6,
                  "connections": 110,
                  "queue": 100,
                  "deadline": "5s",
                  "divided_by_key": false,
                  "slices": 1024,
                  "idempotent_methods": ["GET", "HEAD", "OPTIONS"],
                  "retry_percent": 10,
                  "slow_start": "10s",
                  "reserved_percent": 0,
                  "id_window": "1h",
                  "moves_per_minute": 600,
                  "hot_key_percent": 20,
                  "targets": [
                    {"name": "orders-1", "address": "127.0.0.1:80", "data_centre": "north", "weight": 1, "checks_epoch": false}
                  ]
                }
              ]
            }
            --- requests
            GET /v1/table
        "#]],
        ),
    ];
    let gone = sample::problem("not-run", "version 2 is not stored");
    for (line, expected) in cases {
        Session::new(line)
            .respond("GET /v1/table", 200, sample::table_version(6, TABLE_FILE))
            .respond(
                "GET /v1/table/history/3",
                200,
                sample::table(&edited("\"5s\"", "\"4s\"")),
            )
            .respond("GET /v1/table/history/2", 404, gone.clone())
            .expect(expected);
    }
}

/// Guards against a history without author, reason or time.
#[test]
fn lists_the_history() {
    let revision = json!({
        "version": 6, "offset": 41, "actor": "robin", "reason": "add orders-2",
        "written_ms": 1_709_251_199_000_u64,
    });
    Session::new("table history")
        .respond("GET /v1/table/history", 200, json!([revision]))
        .expect(expect![[r#"
            status 0
            --- stdout
            version  offset  written              actor  reason
            6        41      2024-02-29 23:59:59  robin  add orders-2
            --- requests
            GET /v1/table/history
        "#]]);
}

struct Apply {
    line: &'static str,
    file: String,
    expected: Expect,
}

/// Guards against a guessed base version, and against submitting a table that has faults.
#[test]
fn applies_a_file_to_the_version_it_was_edited_from() {
    let stated = || TABLE_FILE.replacen('{', "{\"version\": 6,", 1);
    let broken = || edited("\"slots\": 6", "\"slots\": 0");
    let cases = [
        Apply {
            line: "table apply file --base 6 --reason 'add orders-2' --actor kim",
            file: TABLE_FILE.to_owned(),
            expected: expect![[r##"
                status 0
                --- stdout
                table: done, in force everywhere (offset 42, table version 7)
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"kim","id":"#1","reason":"add orders-2","record":{"Table":{"base":6,"table":"..."}}}
            "##]],
        },
        Apply {
            line: "table apply file --reason 'add orders-2' --json",
            file: stated(),
            expected: expect![[r##"
                status 0
                --- stdout
                {
                  "effect": "applied",
                  "in_force": "everywhere",
                  "offset": 42,
                  "version": 7
                }
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"add orders-2","record":{"Table":{"base":6,"table":"..."}}}
            "##]],
        },
        Apply {
            line: "table apply file --base 5 --reason 'add orders-2'",
            file: stated(),
            expected: expect![[r#"
                status 2
                --- stderr
                error: --base is 5 but the file states version 6; give the version that the file was edited from
            "#]],
        },
        Apply {
            line: "table apply file --reason 'add orders-2'",
            file: TABLE_FILE.to_owned(),
            expected: expect![[r#"
                status 2
                --- stderr
                error: the version that the file was edited from is missing; give --base VERSION, or a top-level "version" in the file
            "#]],
        },
        Apply {
            line: "table apply file --base 6",
            file: TABLE_FILE.to_owned(),
            expected: expect![[r#"
                status 2
                --- stderr
                error: a change needs a reason; give --reason TEXT
            "#]],
        },
        Apply {
            line: "table apply file --base 6 --reason 'add orders-2'",
            file: broken(),
            expected: expect![[r#"
                status 1
                --- stderr
                error: file has 1 fault:
                  services[orders].slots: got 0, expected a whole number from 1 to 10000; state how many requests a target runs at the same time
            "#]],
        },
    ];
    for case in cases {
        Session::new(case.line)
            .file("file", case.file)
            .respond("POST /v1/changes", 200, sample::accepted())
            .expect(case.expected);
    }
}

/// Guards against a race between two operators that loses the first one's change, and a conflict
/// that doesn't show what changed.
#[test]
fn reports_a_conflict_with_both_sides_changes() {
    let cases = [
        (
            "table apply file --base 6 --reason 'more slots'",
            200,
            expect![[r##"
                status 1
                --- stderr
                error: not done: the table is at version 7, not 6

                Changed from version 6 to 7:
                  ~ services[orders].slots: 6 -> 7
                  ~ services[orders].deadline: 5s -> 4s

                Your changes to version 6:
                  ~ services[orders].slots: 6 -> 8

                Both change services[orders].slots; agree on a value first.

                To rebase, run 'ragwortrill table show 7 --sheet > rebased.json', enter your changes there, and apply that file; it states its base.
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"more slots","record":{"Table":{"base":6,"table":"..."}}}
                GET /v1/table/history/6
            "##]],
        ),
        (
            "table apply file --base 6 --reason 'more slots' --json",
            200,
            expect![[r##"
                status 1
                --- stderr
                {
                  "conflict": {
                    "base": 6,
                    "both": [
                      "services[orders].slots"
                    ],
                    "current": 7,
                    "ours": [
                      {
                        "after": "8",
                        "before": "6",
                        "column": "slots",
                        "row": "services[orders]"
                      }
                    ],
                    "remedy": "To rebase, run 'ragwortrill table show 7 --sheet > rebased.json', enter your changes there, and apply that file; it states its base.",
                    "theirs": [
                      {
                        "after": "7",
                        "before": "6",
                        "column": "slots",
                        "row": "services[orders]"
                      },
                      {
                        "after": "4s",
                        "before": "5s",
                        "column": "deadline",
                        "row": "services[orders]"
                      }
                    ]
                  },
                  "error": "not done: the table is at version 7, not 6\n\nChanged from version 6 to 7:\n  ~ services[orders].slots: 6 -> 7\n  ~ services[orders].deadline: 5s -> 4s\n\nYour changes to version 6:\n  ~ services[orders].slots: 6 -> 8\n\nBoth change services[orders].slots; agree on a value first.\n\nTo rebase, run 'ragwortrill table show 7 --sheet > rebased.json', enter your changes there, and apply that file; it states its base.",
                  "kind": "conflict"
                }
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"more slots","record":{"Table":{"base":6,"table":"..."}}}
                GET /v1/table/history/6
            "##]],
        ),
        (
            "table apply file --base 6 --reason 'more slots'",
            404,
            expect![[r##"
                status 1
                --- stderr
                error: not done: the table is at version 7, not 6

                Version 6 is not stored. Your table differs from version 7:
                  ~ services[orders].slots: 7 -> 8
                  ~ services[orders].deadline: 4s -> 5s

                To rebase, run 'ragwortrill table show 7 --sheet > rebased.json', enter your changes there, and apply that file; it states its base.
                --- requests
                POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"more slots","record":{"Table":{"base":6,"table":"..."}}}
                GET /v1/table/history/6
            "##]],
        ),
    ];
    let theirs = edited("\"slots\": 6", "\"slots\": 7").replace("\"5s\"", "\"4s\"");
    for (line, stored, expected) in cases {
        Session::new(line)
            .file("file", edited("\"slots\": 6", "\"slots\": 8"))
            .respond("POST /v1/changes", 409, sample::table_version(7, &theirs))
            .respond("GET /v1/table/history/6", stored, sample::table(TABLE_FILE))
            .expect(expected);
    }
}

/// Guards against a revert with a wrong base version, and one that overwrites a later change.
#[test]
fn reverts_to_an_earlier_version() {
    let session = |line, status, response| {
        Session::new(line)
            .respond("GET /v1/table", 200, sample::table_version(6, TABLE_FILE))
            .respond("GET /v1/table/history/3", 200, sample::table(TABLE_FILE))
            .respond("GET /v1/table/history/6", 200, sample::table(TABLE_FILE))
            .respond("POST /v1/changes", status, response)
    };
    let line = "table revert 3 --reason 'orders-2 is not ready'";
    session(line, 200, sample::accepted()).expect(expect![[r##"
        status 0
        --- stdout
        table: done, in force everywhere (offset 42, table version 7)
        --- requests
        GET /v1/table/history/3
        GET /v1/table
        POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"orders-2 is not ready","record":{"Table":{"base":6,"table":"..."}}}
    "##]]);
    let later = sample::table_version(7, &edited("\"slots\": 6", "\"slots\": 7"));
    session(line, 409, later).expect(expect![[r##"
        status 1
        --- stderr
        error: not done: the table is at version 7, not 6

        Changed from version 6 to 7:
          ~ services[orders].slots: 6 -> 7

        Your changes to version 6:
          none

        To discard these changes and revert anyway, add --base 7.
        --- requests
        GET /v1/table/history/3
        GET /v1/table
        POST /v1/changes (Bearer secret) {"actor":"robin","id":"#1","reason":"orders-2 is not ready","record":{"Table":{"base":6,"table":"..."}}}
        GET /v1/table/history/6
    "##]]);
}
