//! Commands that show the state of the system.

use expect_test::expect;
use serde_json::{Value, json};

use crate::{Session, sample::problem};

fn contract() -> Value {
    json!({
        "epoch": 31, "holder": "entry-1/5f", "standbys": ["entry-2/a", "entry-3/b"],
        "wait": "None", "confirmed": true, "released": null, "changed": 31,
    })
}

fn status() -> Value {
    json!({
        "process": "entry-1/5f", "data_centre": "north", "offset": 42, "hash": "00000000000000ff",
        "version": 6, "proof_age": "120ms", "data_centres": {"north": "in", "south": "out"},
        "hosts": [
            {"process": "entry-1/5f", "data_centre": "north", "state": "in", "alive": true,
             "offset": 42, "differs": false},
            {"process": "entry-2/a", "data_centre": "south", "state": "out", "alive": false,
             "offset": null, "differs": true},
        ],
        "targets": [
            {"name": "orders-1", "service": "orders", "data_centre": "north", "state": "in",
             "contract": contract(),
             "load": {"condition": "serving", "running": 3, "queued": 0, "late": 2}},
            {"name": "orders-2", "service": "orders", "data_centre": "south", "state": "out",
             "contract": null, "load": null},
        ],
        "quarantine": ["00000000000000aa"],
        "warnings": ["orders-2 has no holder; return data centre south"],
    })
}

/// Guards against a status output that leaves out a host without heartbeats, a target without a
/// holder, the number of late answers or a warning.
#[test]
fn shows_the_status() {
    let cases = [
        (
            "status",
            expect![[r#"
        status 0
        --- stdout
        daemon        entry-1/5f in north
        log           offset 42, hash 00000000000000ff, proof 120ms old
        table         version 6
        data centres  north in, south out
        quarantine    00000000000000aa

        process     data centre  state  alive  offset  hash
        entry-1/5f  north        in     yes    42      same
        entry-2/a   south        out    no     -       DIFFERS

        target    service  data centre  state  condition  running  queued  late  epoch  holder
        orders-1  orders   north        in     serving    3        0       2     31     entry-1/5f
        orders-2  orders   south        out    -          -        -       -     -      -
        warning: orders-2 has no holder; return data centre south
        --- requests
        GET /v1/status
    "#]],
        ),
        (
            "status --json",
            expect![[r#"
                status 0
                --- stdout
                {
                  "data_centre": "north",
                  "data_centres": {
                    "north": "in",
                    "south": "out"
                  },
                  "hash": "00000000000000ff",
                  "hosts": [
                    {
                      "alive": true,
                      "data_centre": "north",
                      "differs": false,
                      "offset": 42,
                      "process": "entry-1/5f",
                      "state": "in"
                    },
                    {
                      "alive": false,
                      "data_centre": "south",
                      "differs": true,
                      "offset": null,
                      "process": "entry-2/a",
                      "state": "out"
                    }
                  ],
                  "offset": 42,
                  "process": "entry-1/5f",
                  "proof_age": "120ms",
                  "quarantine": [
                    "00000000000000aa"
                  ],
                  "targets": [
                    {
                      "contract": {
                        "changed": 31,
                        "confirmed": true,
                        "epoch": 31,
                        "holder": "entry-1/5f",
                        "released": null,
                        "standbys": [
                          "entry-2/a",
                          "entry-3/b"
                        ],
                        "wait": "None"
                      },
                      "data_centre": "north",
                      "load": {
                        "condition": "serving",
                        "late": 2,
                        "queued": 0,
                        "running": 3
                      },
                      "name": "orders-1",
                      "service": "orders",
                      "state": "in"
                    },
                    {
                      "contract": null,
                      "data_centre": "south",
                      "load": null,
                      "name": "orders-2",
                      "service": "orders",
                      "state": "out"
                    }
                  ],
                  "version": 6,
                  "warnings": [
                    "orders-2 has no holder; return data centre south"
                  ]
                }
                --- requests
                GET /v1/status
            "#]],
        ),
    ];
    for (line, expected) in cases {
        Session::new(line)
            .respond("GET /v1/status", 200, status())
            .expect(expected);
    }
}

/// Guards against a list of owners without their holders, and against a key that is not encoded in
/// the query.
#[test]
fn shows_owners() {
    let owner = json!({
        "service": "orders", "target": "orders-1", "data_centre": "north", "slices": 512,
        "keys": 3, "contract": contract(),
    });
    let cases = [
        (
            "owners",
            "GET /v1/owners",
            expect![[r#"
            status 0
            --- stdout
            service  target    data centre  slices  hot keys  epoch  holder      standbys
            orders   orders-1  north        512     3         31     entry-1/5f  entry-2/a entry-3/b
            --- requests
            GET /v1/owners
        "#]],
        ),
        (
            "owners --service orders --key 'a&b c/é'",
            "GET /v1/owners?service=orders&key=a%26b+c%2F%C3%A9",
            expect![[r#"
                status 0
                --- stdout
                service  target    data centre  slices  hot keys  epoch  holder      standbys
                orders   orders-1  north        512     3         31     entry-1/5f  entry-2/a entry-3/b
                --- requests
                GET /v1/owners?service=orders&key=a%26b+c%2F%C3%A9
            "#]],
        ),
    ];
    for (line, route, expected) in cases {
        Session::new(line)
            .respond(route, 200, json!([owner]))
            .expect(expected);
    }
}

/// Guards against an audit that leaves out who changed what, why, and with which effect.
#[test]
fn lists_audit_records() {
    let record = json!({
        "offset": 41, "id": "0000000000000000000000000000005f", "actor": "robin",
        "reason": "cooling failed", "written_ms": 1_767_225_599_000_u64, "effect": "conflict",
        "text": "data centre north out",
    });
    Session::new("audit --since 40 --service orders --limit 5")
        .respond(
            "GET /v1/audit?since=40&service=orders&limit=5",
            200,
            json!([record]),
        )
        .expect(expect![[r#"
            status 0
            --- stdout
            offset  written              actor  effect    record                 reason          id
            41      2025-12-31 23:59:59  robin  conflict  data centre north out  cooling failed  #1
            --- requests
            GET /v1/audit?since=40&service=orders&limit=5
        "#]]);
}

/// Guards against an explanation without hash, slice, target, holder, epoch or reasons.
#[test]
fn explains_a_key() {
    let explanation = json!({
        "service": "orders", "hash": "8000000000000000", "slice": 512, "target": "orders-1",
        "holder": "entry-1/5f", "epoch": 31,
        "why": ["slice 512 moved from orders-2 at offset 40", "entry-1 claimed orders-1 first"],
    });
    let cases = [
        (
            "explain 1701 --service orders",
            200,
            explanation.clone(),
            expect![[r#"
                status 0
                --- stdout
                key      1701 of orders
                hash     8000000000000000
                slice    512
                target   orders-1
                holder   entry-1/5f
                epoch    31
                why
                  slice 512 moved from orders-2 at offset 40
                  entry-1 claimed orders-1 first
                --- requests
                GET /v1/explain?service=orders&key=1701
            "#]],
        ),
        (
            "explain 1701 --service orders --json",
            200,
            explanation,
            expect![[r#"
                status 0
                --- stdout
                {
                  "epoch": 31,
                  "hash": "8000000000000000",
                  "holder": "entry-1/5f",
                  "service": "orders",
                  "slice": 512,
                  "target": "orders-1",
                  "why": [
                    "slice 512 moved from orders-2 at offset 40",
                    "entry-1 claimed orders-1 first"
                  ]
                }
                --- requests
                GET /v1/explain?service=orders&key=1701
            "#]],
        ),
        (
            "explain 1701 --service orders",
            404,
            problem("not-run", "no service orders"),
            expect![[r#"
                status 1
                --- stderr
                error: no service orders; wait for the log
                --- requests
                GET /v1/explain?service=orders&key=1701
            "#]],
        ),
    ];
    for (line, status, body, expected) in cases {
        let route = "GET /v1/explain?service=orders&key=1701";
        Session::new(line)
            .respond(route, status, body)
            .expect(expected);
    }
}

/// Guards against an output that does not show that the answer came late.
#[test]
fn shows_a_request() {
    let id = "0123456789abcdef-00000000000000ff";
    let request = json!({
        "id": id, "progress": "late", "status": 200, "target": "orders-1", "epoch": 31,
    });
    let cases = [
        (
            "",
            expect![[r#"
        status 0
        --- stdout
        request   0123456789abcdef-00000000000000ff
        progress  late
        status    200
        target    orders-1
        epoch     31
        --- requests
        GET /v1/requests/0123456789abcdef-00000000000000ff
    "#]],
        ),
        (
            " --json",
            expect![[r#"
        status 0
        --- stdout
        {
          "epoch": 31,
          "id": "0123456789abcdef-00000000000000ff",
          "progress": "late",
          "status": 200,
          "target": "orders-1"
        }
        --- requests
        GET /v1/requests/0123456789abcdef-00000000000000ff
    "#]],
        ),
    ];
    for (option, expected) in cases {
        Session::new(&format!("request {id}{option}"))
            .respond(&format!("GET /v1/requests/{id}"), 200, request.clone())
            .expect(expected);
    }
}

/// Log lines of two hosts, about a request whose target crashed and about other things.
const NORTH: &str = r#"{"level":"INFO","message":"attempt ended","module":"m","next":"Fail","outcome":"Unknown","cause":"the connection broke","request":"c35e","target":"i-e6a4","time_ms":2000}
{"level":"WARN","message":"request failed","module":"m","reason":"the target gave no usable answer","request":"c35e","status":502,"time_ms":2001}
{"level":"WARN","message":"request failed","module":"m","reason":"too many requests wait","request":"e086","status":503,"waiting":6,"time_ms":2002}
{"level":"WARN","message":"request fai
a line of another program
"#;
const SOUTH: &str = r#"south-1 {"level":"INFO","message":"target changed","module":"m","change":"Gone","target":"i-e6a4","time_ms":4600}
south-1 {"level":"INFO","message":"keys move","module":"m","service":"lookup","first":100,"last":199,"from":"i-e6a4","target":"i-77aa","epoch":12,"time_ms":4700}
south-1 {"level":"INFO","message":"keys move","module":"m","service":"lookup","first":200,"last":299,"from":"i-9999","target":"i-77aa","epoch":14,"time_ms":9700}
"#;

/// Guards against a search that misses lines about a failure, because they are in the files of
/// several hosts, or among malformed lines and lines of other programs.
#[test]
fn shows_the_log_lines_about_a_request_target_or_key() {
    let cases = [
        (
            "explain --request c35e north.log south.log",
            expect![[r#"
                status 0
                --- stdout
                      0 ms  north.log  attempt ended  cause=the connection broke  next=Fail  outcome=Unknown  request=c35e  target=i-e6a4
                      1 ms  north.log  request failed  reason=the target gave no usable answer  request=c35e  status=502
                   2600 ms  south-1  target changed  change=Gone  target=i-e6a4
                skipped: 1 line of other programs, 1 malformed line
            "#]],
        ),
        (
            "explain --request e086 north.log",
            expect![[r#"
                status 0
                --- stdout
                      0 ms  north.log  request failed  reason=too many requests wait  request=e086  status=503  waiting=6
                skipped: 1 line of other programs, 1 malformed line
            "#]],
        ),
        (
            "explain --target i-9999 south.log",
            expect![[r#"
            status 0
            --- stdout
                  0 ms  south-1  keys move  epoch=14  first=200  from=i-9999  last=299  service=lookup  target=i-77aa
        "#]],
        ),
        (
            "explain --key 150 --service lookup south.log",
            expect![[r#"
                status 0
                --- stdout
                      0 ms  south-1  keys move  epoch=12  first=100  from=i-e6a4  last=199  service=lookup  target=i-77aa
            "#]],
        ),
        (
            "explain --request ffff north.log",
            expect![[r#"
                status 1
                --- stderr
                error: no log line is about request ffff; 5 lines read, skipped 1 line of other programs, 1 malformed line; check the id and give the files of all daemons
            "#]],
        ),
        (
            "explain --request c35e none.log",
            expect![[r#"
            status 1
            --- stderr
            error: can't read none.log: No such file or directory (os error 2); check the path and its permissions
        "#]],
        ),
        (
            "explain --key 150 south.log",
            expect![[r#"
            status 2
            --- stderr
            error: a key belongs to a service; give --service NAME
        "#]],
        ),
        (
            "explain --request c35e --target i-e6a4 south.log",
            expect![[r#"
                status 2
                --- stderr
                error: the options select more than one request, target or key; give one of --request, --target and --key
            "#]],
        ),
    ];
    for (line, expected) in cases {
        let session = Session::new(line).file("north.log", NORTH);
        session.file("south.log", SOUTH).expect(expected);
    }
}
