//! Options of the command line.

/// An option. It takes a value if `value` names one.
pub(crate) struct Choice {
    pub(crate) name: &'static str,
    pub(crate) value: Option<&'static str>,
    pub(crate) summary: &'static str,
}

const fn valued(name: &'static str, value: &'static str, summary: &'static str) -> Choice {
    let value = Some(value);
    Choice {
        name,
        value,
        summary,
    }
}

const fn flag(name: &'static str, summary: &'static str) -> Choice {
    Choice {
        name,
        value: None,
        summary,
    }
}

/// All options, in the order in which help shows them.
pub(crate) const ALL: [Choice; 17] = [
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
        "id of an earlier try whose outcome is unknown, to repeat it safely",
    ),
    valued("--service", "NAME", "the service"),
    valued("--key", "KEY", "the key"),
    valued("--request", "ID", "the request, in log lines"),
    valued("--target", "ID", "the target, in log lines"),
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
        "how long a change is tried again while its outcome is unknown; default: 15s",
    ),
    flag("--json", "print results and errors as JSON"),
    flag("--help", "show help"),
    flag("--version", "show the program's version"),
];

/// Options that every command accepts.
pub(crate) const COMMON: &[&str] = &["--json", "--help", "--version"];

/// Finds an option by name.
pub(crate) fn find(name: &str) -> Option<&'static Choice> {
    ALL.iter().find(|choice| choice.name == name)
}
