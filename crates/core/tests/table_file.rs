//! Operators' table file: faults, defaults, round trip and differences.

use std::{fs, path::Path};

use expect_test::{expect, expect_file};
use ragwortrill_core::{
    number::Version,
    table::Table,
    table_file::{self, TableFile},
};
use test_case::test_case;

const MURRIN: &str = include_str!("../../../examples/murrin/table.json");
const COOPERATIVA: &str = include_str!("../../../examples/cooperativa/table.json");

/// A table file with only the required columns.
const SMALL: &str = r#"{
  "data_centres": [{"name": "north", "region": "west"}],
  "services": [{
    "name": "orders", "slots": 6, "connections": 110, "deadline": "5s", "divided_by_key": false,
    "targets": [{"name": "orders-1", "address": "127.0.0.1:80", "data_centre": "north"}]
  }]
}"#;

fn parse(text: &str) -> Table {
    table_file::parse(text).unwrap_or_else(|faults| panic!("faults in a valid table: {faults:?}"))
}

fn lines<T: ToString>(items: &[T]) -> String {
    items.iter().map(|item| item.to_string() + "\n").collect()
}

/// Guards against an accepted file with faults, and against faults that hide other faults.
///
/// The expected messages of each broken file are in the text file of the same name.
#[test]
fn lists_all_faults_of_a_broken_file() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/table_file/broken");
    let mut files = 0;
    for entry in fs::read_dir(directory).expect("the directory of broken tables is readable") {
        let path = entry.expect("an entry is readable").path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            let text = fs::read_to_string(&path).expect("a broken table is readable");
            let faults = table_file::parse(&text).expect_err(&format!("{path:?} passes"));
            expect_file![path.with_extension("txt")].assert_eq(&lines(&faults));
            files += 1;
        }
    }
    assert_eq!(files, 20, "number of broken tables");
}

struct Size {
    text: &'static str,
    services: [(&'static str, usize); 3],
    connections: u32,
}

/// Guards against sample files that are not accepted or do not have the sizes of the deployments.
#[test_case(Size {
    text: MURRIN,
    services: [("availability", 15), ("orders", 7), ("plans", 6)],
    connections: 110,
}; "murrin")]
#[test_case(Size {
    text: COOPERATIVA,
    services: [("payouts", 8), ("routes", 20), ("sales", 6)],
    connections: 120,
}; "cooperativa")]
fn accepts_the_sample_tables(size: Size) {
    let table = parse(size.text);
    let targets = table
        .services
        .iter()
        .map(|(n, r)| (n.as_str(), r.targets.len()));
    assert_eq!(Vec::from_iter(targets), size.services);
    assert_eq!(table.data_centres.len(), 3);
    for row in table.services.values() {
        assert_eq!((row.slots, row.connections), (6, size.connections));
        assert!(row.targets.values().all(|t| t.address.ip().is_loopback()));
    }
}

/// Guards against a column that rendering drops or changes.
#[test_case(MURRIN; "murrin")]
#[test_case(COOPERATIVA; "cooperativa")]
fn renders_a_canonical_file_unchanged(text: &str) {
    assert_eq!(table_file::render(&parse(text)), text);
}

/// Guards against defaults that differ from the module's documentation.
#[test]
fn fills_in_defaults() {
    let text = table_file::render(&parse(SMALL));
    expect![[r#"
        {
          "data_centres": [
            {"name": "north", "region": "west"}
          ],
          "services": [
            {
              "name": "orders",
              "slots": 6,
              "connections": 110,
              "queue": 100,
              "deadline": "5s",
              "divided_by_key": false,
              "slices": 1024,
              "idempotent_methods": ["GET", "HEAD", "OPTIONS"],
              "retry_percent": 10,
              "slow_start": "10s",
              "reserved_percent": 0,
              "id_window": "1h",
              "moves_per_minute": 600,
              "hot_key_percent": 20,
              "targets": [
                {"name": "orders-1", "address": "127.0.0.1:80", "data_centre": "north", "weight": 1, "checks_epoch": false}
              ]
            }
          ]
        }
    "#]]
    .assert_eq(&text);
    assert_eq!(parse(&text), parse(SMALL));
}

/// Guards against a file that loses the version that it was edited from.
#[test]
fn keeps_the_version() {
    let table_file = TableFile {
        version: Some(Version(7)),
        table: parse(SMALL),
    };
    assert_eq!(TableFile::parse(&table_file.render()), Ok(table_file));
}

/// Guards against a refusal of the table of a new system, which has no services yet.
#[test]
fn accepts_a_table_without_services() {
    let table = Table::default();
    assert_eq!(table_file::parse(&table_file::render(&table)), Ok(table));
}

/// Guards against an invalid table that arrives in a change instead of a file.
#[test]
fn checks_a_table_that_was_not_read_from_a_file() {
    let mut table = parse(SMALL);
    assert_eq!(table_file::check(&table), []);
    for row in table.services.values_mut() {
        row.slots = 0;
    }
    expect![[r#"
        services[orders].slots: got 0, expected a whole number from 1 to 10000; state how many requests a target runs at the same time
    "#]]
    .assert_eq(&lines(&table_file::check(&table)));
}

/// Guards against differences that are missing or attributed to the wrong row or column.
#[test]
fn lists_differences() {
    let before = parse(MURRIN);
    let text = MURRIN
        .replace(r#""deadline": "5s""#, r#""deadline": "4s""#)
        .replace(r#""slots": 6"#, r#""slots": 8"#)
        .replace("plans-merredin-1", "plans-merredin-9")
        .replace("127.12.2.1", "127.12.2.9")
        .replace(
            r#"{"name": "narrogin", "region": "wheatbelt"}"#,
            r#"{"name": "narrogin", "region": "south"}"#,
        );
    let changes = table_file::diff(&before, &parse(&text));
    expect![[r#"
        ~ data_centres[narrogin].region: wheatbelt -> south
        ~ services[availability].slots: 6 -> 8
        ~ services[orders].slots: 6 -> 8
        ~ services[orders].deadline: 5s -> 4s
        ~ services[orders].targets[orders-merredin-1].address: 127.12.2.1:8080 -> 127.12.2.9:8080
        ~ services[plans].slots: 6 -> 8
        - services[plans].targets[plans-merredin-1]: address 127.12.3.1:8080, data_centre merredin, weight 1, checks_epoch false
        + services[plans].targets[plans-merredin-9]: address 127.12.3.1:8080, data_centre merredin, weight 1, checks_epoch false
    "#]].assert_eq(&lines(&changes));
    assert_eq!(table_file::diff(&before, &before), []);
}
