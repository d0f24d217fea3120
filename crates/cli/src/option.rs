//! Options of the command line.

/// Definition of an option. It takes a value if `value` names one, and is a flag otherwise.
pub(crate) struct Definition {
    pub(crate) name: &'static str,
    pub(crate) value: Option<&'static str>,
    pub(crate) summary: &'static str,
}

const fn valued(name: &'static str, value: &'static str, summary: &'static str) -> Definition {
    let value = Some(value);
    Definition {
        name,
        value,
        summary,
    }
}

const fn flag(name: &'static str, summary: &'static str) -> Definition {
    Definition {
        name,
        value: None,
        summary,
    }
}

/// All options, in the order in which help shows them.
pub(crate) const ALL: [Definition; 17] = [
    valued(
        "--base",
        "VERSION",
        "version that the file was edited from; default: the file's version",
    ),
    valued("--reason", "TEXT", "why the change is made; recorded"),
    valued(
        "--actor",
        "NAME",
        "who makes the change; recorded; default: $USER",
    ),
    valued(
        "--id",
        "ID",
        "id of an earlier attempt with unknown outcome, to repeat it without making the change twice",
    ),
    valued(
        "--service",
        "NAME",
        "service to show, or that the key belongs to",
    ),
    valued("--key", "KEY", "key to look up; needs --service"),
    valued("--request", "ID", "show the log lines about this request"),
    valued("--target", "ID", "show the log lines about this target"),
    valued("--since", "OFFSET", "only records after this offset"),
    valued("--limit", "N", "at most this many records"),
    flag(
        "--sheet",
        "print the table as a file that can be edited and applied",
    ),
    valued(
        "--daemon",
        "ADDRESS",
        "operators' address of a daemon as IP:PORT; default: $RAGWORTRILL_DAEMON",
    ),
    valued(
        "--token-file",
        "FILE",
        "file with the token that permits changes; default: $RAGWORTRILL_TOKEN",
    ),
    valued(
        "--timeout",
        "SPAN",
        "how long to retry a change while its outcome is unknown; default: 15s",
    ),
    flag("--json", "print results and errors as JSON"),
    flag("--help", "show help"),
    flag("--version", "show the program's version"),
];

/// Options that every command accepts.
pub(crate) const COMMON: &[&str] = &["--json", "--help", "--version"];

/// Finds an option by name.
pub(crate) fn find(name: &str) -> Option<&'static Definition> {
    ALL.iter().find(|option| option.name == name)
}
