//! Wrong usage, suggestions and help.

use expect_test::expect;

use crate::{Session, sample};

/// Guards against a command line with a mistake that runs a command, and against a wrong exit code.
#[test]
fn suggests_corrections_and_exits_with_2() {
    let cases = [
        (
            "",
            expect![[r#"
            status 2
            --- stderr
            error: no command is given; run 'ragwortrill --help' for the commands
        "#]],
        ),
        (
            "tabel chekc table.json",
            expect![[r#"
            status 2
            --- stderr
            error: 'tabel chekc' is not a command; did you mean 'table check'?
        "#]],
        ),
        (
            "table aply table.json",
            expect![[r#"
            status 2
            --- stderr
            error: 'table aply' is not a command; did you mean 'table apply'?
        "#]],
        ),
        (
            "table",
            expect![[r#"
            status 2
            --- stderr
            error: 'table' is not a command; 'table' has the commands check, diff, apply, show, history, revert
        "#]],
        ),
        (
            "stauts",
            expect![[r#"
            status 2
            --- stderr
            error: 'stauts' is not a command; did you mean 'status'?
        "#]],
        ),
        (
            "frobnicate",
            expect![[r#"
            status 2
            --- stderr
            error: 'frobnicate' is not a command; run 'ragwortrill --help'
        "#]],
        ),
        (
            "status --deamon 127.0.0.1:1",
            expect![[r#"
            status 2
            --- stderr
            error: --deamon is not an option; did you mean --daemon?
        "#]],
        ),
        (
            "status --reason 'any'",
            expect![[r#"
            status 2
            --- stderr
            error: --reason is not an option of 'status'; run 'ragwortrill help status'
        "#]],
        ),
        (
            "status --daemon",
            expect![[r#"
            status 2
            --- stderr
            error: --daemon has no value; run 'ragwortrill --help'
        "#]],
        ),
        (
            "status --daemon localhost:9000",
            expect![[r#"
            status 2
            --- stderr
            error: "localhost:9000" is not a daemon's address; write an IP address and the operators' port, such as 127.0.0.1:9000
        "#]],
        ),
        (
            "status --json --json",
            expect![[r#"
            status 2
            --- stderr
            {
              "error": "--json is given twice; remove one of the two",
              "kind": "usage"
            }
        "#]],
        ),
        (
            "status now",
            expect![[r#"
                status 2
                --- stderr
                error: "now" is one argument too many for 'status'; usage: ragwortrill status
            "#]],
        ),
        (
            "table check",
            expect![[r#"
                status 2
                --- stderr
                error: FILE is missing after 'table check'; usage: ragwortrill table check FILE
            "#]],
        ),
        (
            "table revert five --reason 'any'",
            expect![[r#"
            status 2
            --- stderr
            error: "five": invalid digit found in string; run 'ragwortrill --help'
        "#]],
        ),
        (
            "table show --base 4",
            expect![[r#"
            status 2
            --- stderr
            error: --base is not an option of 'table show'; run 'ragwortrill help table show'
        "#]],
        ),
        (
            "explain 1701",
            expect![[r#"
            status 2
            --- stderr
            error: a key belongs to a service; give --service NAME
        "#]],
        ),
        (
            "owners --key 1701",
            expect![[r#"
            status 2
            --- stderr
            error: --key needs a service; give --service NAME
        "#]],
        ),
        (
            "audit --limit many",
            expect![[r#"
                status 2
                --- stderr
                error: --limit: "many": invalid digit found in string; run 'ragwortrill --help'
            "#]],
        ),
        (
            "request 17",
            expect![[r#"
                status 2
                --- stderr
                error: "17" is not a request id; write 16 hexadecimal digits, '-' and 16 more; run 'ragwortrill --help'
            "#]],
        ),
        (
            "dc out North --reason 'any'",
            expect![[r#"
                status 2
                --- stderr
                error: name "North" has the character 'N'; use a-z, 0-9, '-' and '.'; run 'ragwortrill --help'
            "#]],
        ),
        (
            "dc out north",
            expect![[r#"
            status 2
            --- stderr
            error: a change needs a reason; give --reason TEXT
        "#]],
        ),
        (
            "dc out north --reason 'any' --timeout 5",
            expect![[r#"
                status 2
                --- stderr
                error: --timeout: "5" is not a span of time; write a whole number and a unit: us, ms, s, m or h; run 'ragwortrill --help'
            "#]],
        ),
        (
            "dc out north --reason 'any' --id xyz",
            expect![[r#"
                status 2
                --- stderr
                error: --id: "xyz": invalid digit found in string; run 'ragwortrill --help'
            "#]],
        ),
        (
            "explain -1 --service orders",
            expect![[r#"
            status 2
            --- stderr
            error: -1 is not an option; run 'ragwortrill --help'; arguments starting with '-' go after '--'
        "#]],
        ),
        (
            "stauts --json",
            expect![[r#"
            status 2
            --- stderr
            {
              "error": "'stauts' is not a command; did you mean 'status'?",
              "kind": "usage"
            }
        "#]],
        ),
    ];
    for (line, expected) in cases {
        Session::new(line).expect(expected);
    }
}

/// Guards against a change that runs without a daemon, token or operator being named.
#[test]
fn requires_a_daemon_a_token_and_an_operator() {
    let cases = [
        (
            "status",
            expect![[r#"
            status 2
            --- stderr
            error: no daemon is given; give --daemon IP:PORT or set RAGWORTRILL_DAEMON
        "#]],
        ),
        (
            "dc out north --reason 'any' --daemon 127.0.0.1:9",
            expect![[r#"
                status 2
                --- stderr
                error: a change needs a token; give --token-file FILE or set RAGWORTRILL_TOKEN
            "#]],
        ),
        (
            "dc out north --reason 'any' --daemon 127.0.0.1:9 --token-file token",
            expect![[r#"
                status 2
                --- stderr
                error: a change needs to state who makes it; give --actor NAME
            "#]],
        ),
        (
            "dc out north --reason 'any' --daemon 127.0.0.1:9 --token-file empty",
            expect![[r#"
                status 2
                --- stderr
                error: the token is empty or has characters other than visible ASCII; check --token-file or RAGWORTRILL_TOKEN
            "#]],
        ),
        (
            "dc out north --reason 'any' --daemon 127.0.0.1:9 --token-file none",
            expect![[r#"
                status 1
                --- stderr
                error: can't read none: No such file or directory (os error 2); check the path and its permissions
            "#]],
        ),
    ];
    for (line, expected) in cases {
        let session = Session::new(line).without_environment();
        session
            .file("token", "secret\n")
            .file("empty", "\n")
            .expect(expected);
    }
}

/// Guards against help that goes to stderr, fails or misses options.
#[test]
fn shows_help() {
    let cases = [
        (
            "--help",
            expect![[r#"
            status 0
            --- stdout
            Operates ragwortrill: its table, hosts, data centres and targets.

            Usage: ragwortrill COMMAND [OPTIONS]

            Commands:
              table check FILE            check a table file; needs no daemon
              table diff FILE [FILE]      show the differences between two files, or between a daemon's table and a file
              table apply FILE            replace the table by a file
              table show [VERSION]        show the current table or an earlier version
              table history               list the versions of the table
              table revert VERSION        make an earlier version the current table again
              host drain HOST             take a host out of service; its daemon hands over its targets
              host return HOST            return a host to service
              host lost HOST|PROCESS      assert that a daemon has ended for good, so that its targets are taken over sooner
              dc out DATA_CENTRE          take a data centre out of service
              dc return DATA_CENTRE       return a data centre to service
              target drain TARGET         take a target out of service
              target return TARGET        return a target to service
              status                      show the hosts, targets and warnings that a daemon sees
              owners                      show which targets own keys and which processes hold the targets
              audit                       list the records of the log
              explain [KEY|FILE...]       explain where a key is served, or show the log lines about a request, target or key
              request ID                  show the progress of a request
              release FINGERPRINT         release requests from quarantine
              help [COMMAND] [COMMAND]    show help for a command

            Options of every command:
              --json              print results and errors as JSON
              --help              show help
              --version           show the program's version

            'ragwortrill help COMMAND' shows a command's options and examples.
            Exit codes: 0 done, 1 failed, 2 wrong usage.
        "#]],
        ),
        (
            "help table apply",
            expect![[r#"
            status 0
            --- stdout
            replace the table by a file

            Usage: ragwortrill table apply FILE [OPTIONS]

            Options:
              --base VERSION      version that the file was edited from; default: the file's version
              --reason TEXT       why the change is made; recorded
              --actor NAME        who makes the change; recorded; default: $USER
              --id ID             id of an earlier attempt with unknown outcome, to repeat it without making the change twice
              --daemon ADDRESS    operators' address of a daemon as IP:PORT; default: $RAGWORTRILL_DAEMON
              --token-file FILE   file with the token that permits changes; default: $RAGWORTRILL_TOKEN
              --timeout SPAN      how long to retry a change while its outcome is unknown; default: 15s
              --json              print results and errors as JSON
              --help              show help
              --version           show the program's version

            Examples:
              ragwortrill table apply table.json --base 12 --reason 'add plans-9'

            Exit codes: 0 done, 1 failed, 2 wrong usage.
        "#]],
        ),
        (
            "audit --help",
            expect![[r#"
            status 0
            --- stdout
            list the records of the log

            Usage: ragwortrill audit [OPTIONS]

            Options:
              --service NAME      service to show, or that the key belongs to
              --since OFFSET      only records after this offset
              --limit N           at most this many records
              --daemon ADDRESS    operators' address of a daemon as IP:PORT; default: $RAGWORTRILL_DAEMON
              --json              print results and errors as JSON
              --help              show help
              --version           show the program's version

            Examples:
              ragwortrill audit --since 4100 --service orders --limit 50

            Exit codes: 0 done, 1 failed, 2 wrong usage.
        "#]],
        ),
        (
            "--version",
            expect![[r#"
            status 0
            --- stdout
            0.1.0
        "#]],
        ),
    ];
    for (line, expected) in cases {
        Session::new(line).without_environment().expect(expected);
    }
}

/// Guards against options that are accepted only in one place or form.
#[test]
fn accepts_options_anywhere_and_with_equals_signs() {
    let cases = [
        (
            "--service=orders explain -- -1",
            expect![[r#"
            status 1
            --- stderr
            error: no such key; wait for the log
            --- requests
            GET /v1/explain?service=orders&key=-1
        "#]],
        ),
        (
            "explain --service orders -- -1",
            expect![[r#"
            status 1
            --- stderr
            error: no such key; wait for the log
            --- requests
            GET /v1/explain?service=orders&key=-1
        "#]],
        ),
    ];
    for (line, expected) in cases {
        let session = Session::new(line);
        let route = "GET /v1/explain?service=orders&key=-1";
        session
            .respond(route, 404, sample::problem("not-run", "no such key"))
            .expect(expected);
    }
}
