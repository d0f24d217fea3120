//! Help texts, generated from the commands and options.

use crate::{
    command::{self, Command},
    context::Context,
    error::Error,
    option::{self, Definition},
    output::Output,
};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage.\n";

/// Shows help for the command that the arguments begin with, or an overview if there are none.
pub(crate) fn show(arguments: &[String]) -> Result<Output, Error> {
    match arguments.is_empty() {
        true => Ok(Output::text(overview())),
        false => Command::find(arguments).map(|(command, _)| Output::text(details(command))),
    }
}

/// Runs the command `help`.
pub(crate) fn command(context: &Context) -> Result<Output, Error> {
    show(context.positionals)
}

fn overview() -> String {
    let usages = command::ALL.iter().map(|c| (c.usage(), c.summary));
    let usages = usages.map(|(usage, summary)| {
        let usage = usage.trim_start_matches("ragwortrill ");
        format!("  {usage:28}{summary}\n")
    });
    let commands: String = usages.collect();
    let options: String = common_options().map(render_option).collect();
    format!(
        "Operates ragwortrill: its table, hosts, data centres and targets.\n\n\
         Usage: ragwortrill COMMAND [OPTIONS]\n\n\
         Commands:\n{commands}\nOptions of every command:\n{options}\n\
         'ragwortrill help COMMAND' shows a command's options and examples.\n{EXIT_CODES}"
    )
}

fn details(command: &Command) -> String {
    let specific = option::ALL.iter().filter(|option| {
        let mut names = command.options.iter().flat_map(|group| group.iter());
        names.any(|name| *name == option.name)
    });
    let options: String = specific
        .chain(common_options())
        .map(render_option)
        .collect();
    let examples = command
        .examples
        .iter()
        .map(|example| format!("  {example}\n"));
    format!(
        "{summary}\n\nUsage: {usage} [OPTIONS]\n\nOptions:\n{options}\n\
         Examples:\n{examples}\n{EXIT_CODES}",
        summary = command.summary,
        usage = command.usage(),
        examples = String::from_iter(examples),
    )
}

fn common_options() -> impl Iterator<Item = &'static Definition> {
    let options = option::ALL.iter();
    options.filter(|option| option::COMMON.contains(&option.name))
}

fn render_option(option: &Definition) -> String {
    let name = match option.value {
        Some(value) => format!("{} {value}", option.name),
        None => option.name.to_owned(),
    };
    format!("  {name:20}{}\n", option.summary)
}
