//! Stand-ins for the cases of the review. Usage: `standin CASE FOLDER`; `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod http;
mod orders;
mod record;
mod store;
mod system;
mod upstream;

use std::{fs, io::Write, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    record::now();
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scratch = std::env::temp_dir().join(format!("ragwortrill-review-{}", std::process::id()));
    fs::create_dir_all(&scratch).unwrap();
    let outcome = match case.as_str() {
        "copies" => orders::copies(&scratch, is_troubled),
        "foreign-entry" => orders::foreign_entry(&scratch, is_troubled),
        "late-write" => orders::late_write(&scratch, is_troubled),
        "late-move" => orders::late_move(&scratch, is_troubled),
        _ => Err(format!("no case {case}")),
    };
    record::write(&PathBuf::from(folder).join("record.txt"));
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    }
    match outcome {
        Err(problem) => {
            say(&format!("the case couldn't run: {problem}"));
            ExitCode::from(2)
        }
        Ok(summary) => {
            let breaches = record::breaches();
            say(&format!("{summary}; {} breaches", breaches.len()));
            breaches.iter().take(10).for_each(|text| say(text));
            ExitCode::from(u8::from(!breaches.is_empty()))
        }
    }
}

/// Writes a line to standard output, which may be closed already.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}
