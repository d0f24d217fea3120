//! Model check of the ownership protocol: `model [--without RULE] [--list]`.

#[path = "../tests/model/mod.rs"]
mod model;

use std::{process::ExitCode, thread};

use model::{
    configuration::full,
    invariant::ALL,
    rule::Rule,
    scenario::scenario,
    search::{Report, run},
};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        [] => explore(),
        ["--list"] => {
            Rule::ALL
                .iter()
                .for_each(|rule| println!("{:32} {}", rule.name, rule.text));
            ExitCode::SUCCESS
        }
        ["--without", name] => match name.parse() {
            Ok(rule) => counterexample(rule),
            Err(text) => usage_error(&text),
        },
        _ => usage_error("usage: model [--without RULE] [--list]"),
    }
}

fn usage_error(text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(2)
}

fn explore() -> ExitCode {
    let runs = full().into_iter();
    let runs: Vec<_> = runs
        .map(|bounds| thread::spawn(move || run(bounds, None)))
        .collect();
    let reports: Vec<Report> = runs
        .into_iter()
        .map(|r| r.join().expect("a run ends"))
        .collect();
    println!("checked in every state:");
    ALL.iter().for_each(|text| println!("  {text}"));
    reports.iter().for_each(|report| println!("{report}"));
    let states: usize = reports.iter().map(|r| r.states).sum();
    let violated = reports.iter().any(|r| r.violation.is_some());
    println!(
        "total: {states} states; {}",
        if violated { "VIOLATED" } else { "no violation" }
    );
    ExitCode::from(u8::from(violated))
}

fn counterexample(rule: Rule) -> ExitCode {
    let report = run(scenario(rule), Some(rule));
    println!("without {}: {}\n{report}", rule.name, rule.text);
    if report.violation.is_some() {
        return ExitCode::FAILURE;
    }
    println!("no violation within the bounds");
    ExitCode::SUCCESS
}
