//! Help texts, generated from the commands and options.

use crate::{
    command::{self, Command},
    context::Context,
    error::Error,
    option::{self, Choice},
    page::Page,
};

const CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage.\n";

/// Shows help for the command that words begin with, or an overview without words.
pub(crate) fn page(words: &[String]) -> Result<Page, Error> {
    match words.is_empty() {
        true => Ok(Page::text(overview())),
        false => Command::find(words).map(|(command, _)| Page::text(details(command))),
    }
}

/// Runs the command `help`.
pub(crate) fn command(context: &Context) -> Result<Page, Error> {
    page(context.words)
}

fn overview() -> String {
    let usages = command::ALL.iter().map(|c| (c.usage(), c.summary));
    let usages = usages.map(|(usage, summary)| {
        let usage = usage.trim_start_matches("ragwortrill ");
        format!("  {usage:28}{summary}\n")
    });
    let commands: String = usages.collect();
    let options: String = common().map(line).collect();
    format!(
        "Operates ragwortrill: its table, hosts, data centres and targets.\n\n\
         Usage: ragwortrill COMMAND [OPTIONS]\n\n\
         Commands:\n{commands}\nOptions of every command:\n{options}\n\
         'ragwortrill help COMMAND' shows a command's options and examples.\n{CODES}"
    )
}

fn details(command: &Command) -> String {
    let own = option::ALL.iter().filter(|choice| {
        let mut names = command.options.iter().flat_map(|group| group.iter());
        names.any(|name| *name == choice.name)
    });
    let options: String = own.chain(common()).map(line).collect();
    let examples = command
        .examples
        .iter()
        .map(|example| format!("  {example}\n"));
    format!(
        "{summary}\n\nUsage: {usage} [OPTIONS]\n\nOptions:\n{options}\n\
         Examples:\n{examples}\n{CODES}",
        summary = command.summary,
        usage = command.usage(),
        examples = String::from_iter(examples),
    )
}

fn common() -> impl Iterator<Item = &'static Choice> {
    let choices = option::ALL.iter();
    choices.filter(|choice| option::COMMON.contains(&choice.name))
}

fn line(choice: &Choice) -> String {
    let name = match choice.value {
        Some(value) => format!("{} {value}", choice.name),
        None => choice.name.to_owned(),
    };
    format!("  {name:20}{}\n", choice.summary)
}
