//! The commands, with their arguments, options and examples.

use ragwortrill_core::table_file::suggest;

use crate::{
    arguments::Arguments, change, context::Context, error::Error, inspect, option, output::Output,
    status, table,
};

/// Definition of a command.
pub(crate) struct Command {
    pub(crate) name: &'static str,
    /// Names of the positional arguments. One in brackets is optional; a last one with dots may be
    /// repeated.
    pub(crate) positionals: &'static [&'static str],
    pub(crate) options: &'static [&'static [&'static str]],
    pub(crate) summary: &'static str,
    pub(crate) examples: &'static [&'static str],
    pub(crate) run: fn(&Context) -> Result<Output, Error>,
}

const READ_OPTIONS: &[&str] = &["--daemon"];
const CHANGE_OPTIONS: &[&str] = &[
    "--reason",
    "--actor",
    "--id",
    "--daemon",
    "--token-file",
    "--timeout",
];

macro_rules! command {
    ($name:literal $positionals:tt $options:tt $run:path, $summary:literal, $examples:expr) => {
        Command {
            name: $name,
            positionals: &$positionals,
            options: &$options,
            summary: $summary,
            examples: &$examples,
            run: $run,
        }
    };
}

/// All commands, in the order in which help shows them.
#[rustfmt::skip]
pub(crate) const ALL: [Command; 20] = [
    command!("table check" ["FILE"] [] table::check,
        "check a table file; needs no daemon",
        ["ragwortrill table check table.json"]),
    command!("table diff" ["FILE", "[FILE]"] [READ_OPTIONS] table::diff,
        "show the differences between two files, or between a daemon's table and a file",
        ["ragwortrill table diff old.json new.json", "ragwortrill table diff table.json"]),
    command!("table apply" ["FILE"] [&["--base"], CHANGE_OPTIONS] table::apply,
        "replace the table by a file",
        ["ragwortrill table apply table.json --base 12 --reason 'add plans-9'"]),
    command!("table show" ["[VERSION]"] [&["--sheet"], READ_OPTIONS] table::show,
        "show the current table or an earlier version",
        ["ragwortrill table show", "ragwortrill table show --sheet > table.json"]),
    command!("table history" [] [READ_OPTIONS] table::history,
        "list the versions of the table",
        ["ragwortrill table history"]),
    command!("table revert" ["VERSION"] [&["--base"], CHANGE_OPTIONS] table::revert,
        "make an earlier version the current table again",
        ["ragwortrill table revert 11 --reason 'plans-9 is not ready'"]),
    command!("host drain" ["HOST"] [CHANGE_OPTIONS] change::drain_host,
        "take a host out of service; its daemon hands over its targets",
        ["ragwortrill host drain entry-3 --reason 'kernel update'"]),
    command!("host return" ["HOST"] [CHANGE_OPTIONS] change::return_host,
        "return a host to service",
        ["ragwortrill host return entry-3 --reason 'kernel updated'"]),
    command!("host lost" ["HOST|PROCESS"] [CHANGE_OPTIONS] change::report_host_lost,
        "assert that a daemon has ended for good, so that its targets are taken over sooner",
        ["ragwortrill host lost entry-3 --reason 'power supply burnt'",
         "ragwortrill host lost entry-3/5f21 --reason 'power supply burnt'"]),
    command!("dc out" ["DATA_CENTRE"] [CHANGE_OPTIONS] change::drain_data_centre,
        "take a data centre out of service",
        ["ragwortrill dc out northam --reason 'cooling failed'"]),
    command!("dc return" ["DATA_CENTRE"] [CHANGE_OPTIONS] change::return_data_centre,
        "return a data centre to service",
        ["ragwortrill dc return northam --reason 'cooling repaired'"]),
    command!("target drain" ["TARGET"] [CHANGE_OPTIONS] change::drain_target,
        "take a target out of service",
        ["ragwortrill target drain orders-1 --reason 'disk errors'"]),
    command!("target return" ["TARGET"] [CHANGE_OPTIONS] change::return_target,
        "return a target to service",
        ["ragwortrill target return orders-1 --reason 'disk replaced'"]),
    command!("status" [] [READ_OPTIONS] status::status,
        "show the hosts, targets and warnings that a daemon sees",
        ["ragwortrill status --daemon 127.0.0.1:9000"]),
    command!("owners" [] [&["--service", "--key"], READ_OPTIONS] inspect::owners,
        "show which targets own keys and which processes hold the targets",
        ["ragwortrill owners --service orders", "ragwortrill owners --service orders --key 1701"]),
    command!("audit" [] [&["--since", "--service", "--limit"], READ_OPTIONS] inspect::audit,
        "list the records of the log",
        ["ragwortrill audit --since 4100 --service orders --limit 50"]),
    command!("explain" ["[KEY|FILE...]"] [&["--request", "--target", "--key", "--service"], READ_OPTIONS] inspect::explain,
        "explain where a key is served, or show the log lines about a request, target or key",
        ["ragwortrill explain 1701 --service orders",
         "ragwortrill explain --request 38a85897cbc339a0 entry-*.log",
         "ragwortrill explain --key 1701 --service orders < all.log"]),
    command!("request" ["ID"] [READ_OPTIONS] inspect::request,
        "show the progress of a request",
        ["ragwortrill request 0123456789abcdef-0123456789abcdef"]),
    command!("release" ["FINGERPRINT"] [CHANGE_OPTIONS] change::release,
        "release requests from quarantine",
        ["ragwortrill release 0123456789abcdef --reason 'parser fixed'"]),
    command!("help" ["[COMMAND]", "[COMMAND]"] [] crate::help::command,
        "show help for a command",
        ["ragwortrill help table apply"]),
];

impl Command {
    /// Finds the command whose name the arguments begin with. Returns it with the arguments after
    /// its name.
    pub(crate) fn find(arguments: &[String]) -> Result<(&'static Self, &[String]), Error> {
        if arguments.is_empty() {
            let hint = "run 'ragwortrill --help' for the commands";
            return Err(Error::usage("no command is given", hint));
        }
        for count in (1..=arguments.len().min(2)).rev() {
            let (name, rest) = arguments.split_at(count);
            let name = name.join(" ");
            if let Some(command) = ALL.iter().find(|command| command.name == name) {
                return Ok((command, rest));
            }
        }
        Err(unknown(arguments))
    }

    /// Checks the number of positional arguments and that the command has the given options.
    pub(crate) fn check(&self, arguments: &Arguments, given: &[String]) -> Result<(), Error> {
        let usage = || format!("usage: {}", self.usage());
        let is_repeated = self
            .positionals
            .last()
            .is_some_and(|name| name.contains("..."));
        if let Some(value) = given.get(self.positionals.len()).filter(|_| !is_repeated) {
            let message = format!("{value:?} is one argument too many for '{}'", self.name);
            return Err(Error::usage(message, usage()));
        }
        let missing = self.positionals.get(given.len());
        if let Some(name) = missing.filter(|name| !name.starts_with('[')) {
            let message = format!("{name} is missing after '{}'", self.name);
            return Err(Error::usage(message, usage()));
        }
        let accepted = || self.accepted();
        let Some(option) = arguments
            .options
            .keys()
            .find(|o| !accepted().any(|a| a == **o))
        else {
            return Ok(());
        };
        let hint = match suggest(option, accepted()) {
            Some(near) => format!("did you mean {near}?"),
            None => format!("run 'ragwortrill help {}'", self.name),
        };
        let message = format!("{option} is not an option of '{}'", self.name);
        Err(Error::usage(message, hint))
    }

    fn accepted(&self) -> impl Iterator<Item = &'static str> {
        let own = self.options.iter().copied();
        own.chain([option::COMMON]).flatten().copied()
    }

    /// Returns the command line with the names of the positional arguments.
    pub(crate) fn usage(&self) -> String {
        let parts = [&["ragwortrill", self.name], self.positionals].concat();
        parts.join(" ")
    }
}

/// Matches each word of a name on its own, so that `tabel chekc` suggests `table check`.
fn unknown(arguments: &[String]) -> Error {
    let typed = arguments[..arguments.len().min(2)].join(" ");
    let first = || {
        ALL.iter()
            .filter_map(|command| command.name.split(' ').next())
    };
    let group = suggest(&arguments[0], first()).unwrap_or(&arguments[0]);
    let prefix = format!("{group} ");
    let members = || ALL.iter().filter_map(|c| c.name.strip_prefix(&prefix));
    let member = arguments.get(1).and_then(|word| suggest(word, members()));
    let hint = match member {
        Some(member) => format!("did you mean '{group} {member}'?"),
        None if members().next().is_some() => {
            let members: Vec<&str> = members().collect();
            format!("'{group}' has the commands {}", members.join(", "))
        }
        None if first().any(|name| name == group) => format!("did you mean '{group}'?"),
        None => "run 'ragwortrill --help'".to_owned(),
    };
    Error::usage(format!("'{typed}' is not a command"), hint)
}
