//! Uses of the time of day, which may jump.

use std::{fs, path::Path};

/// Folders of the sources, from the workspace's root.
const FOLDERS: [&str; 7] = [
    "crates/core/src",
    "crates/daemon/src",
    "crates/entry/src",
    "crates/platform/src",
    "crates/router/src",
    "crates/wire/src",
    "platform/src",
];

/// A file that uses the time of day, for people who read records and log lines.
struct Case {
    file: &'static str,
    uses: usize,
}

const CASES: [Case; 5] = [
    // Its definition.
    Case {
        file: "crates/entry/src/clock.rs",
        uses: 1,
    },
    // Times of lines, and their limit, which counts anew after a jump in either direction.
    Case {
        file: "crates/entry/src/journal.rs",
        uses: 3,
    },
    // Times of the operators' records.
    Case {
        file: "crates/daemon/src/history.rs",
        uses: 1,
    },
    Case {
        file: "crates/daemon/src/log_service.rs",
        uses: 1,
    },
    Case {
        file: "crates/daemon/src/operators/change.rs",
        uses: 1,
    },
];

fn count(folder: &Path, root: &Path, found: &mut Vec<(String, usize)>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            count(&path, root, found);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        let uses = ["wall_ms()", "SystemTime::now()", "ClockId::Realtime"];
        let is_definition = |line: &&str| line.contains("pub fn wall_ms()");
        let lines = text.lines().filter(|line| !is_definition(line));
        let uses: usize = lines
            .map(|line| uses.iter().filter(|name| line.contains(**name)).count())
            .sum();
        if uses > 0 {
            let file = path.strip_prefix(root).unwrap();
            found.push((file.to_string_lossy().into_owned(), uses));
        }
    }
}

/// Guards against a lease, order or expiry by the time of day, which jumps by seconds on some hosts.
#[test]
fn time_of_day_is_read_for_people_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let root = root.canonicalize().unwrap();
    let mut found = Vec::new();
    for folder in FOLDERS {
        count(&root.join(folder), &root, &mut found);
    }
    found.sort();
    let mut allowed: Vec<(String, usize)> = CASES
        .iter()
        .map(|case| (case.file.to_owned(), case.uses))
        .collect();
    allowed.sort();
    assert_eq!(found, allowed, "files that use the time of day");
}
