//! Properties of the table file, for generated tables and damaged files. The seed is fixed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use ragwortrill_core::{
    table::{Service, Table, Target},
    table_file,
    time::Span,
};

const SAMPLE: &str = include_str!("../../../examples/murrin/table.json");

fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

prop_compose! {
    fn numbers()(
        slots in 1..=10_000_u32,
        spare in 0..=90_000_u32,
        queue in 0..=1_000_000_u32,
        slices in 1..=1_048_576_u32,
        retry_percent in 0..=100_u32,
        reserved_percent in 0..=100_u32,
        moves_per_minute in 1..=1_048_576_u32,
        hot_key_percent in 1..=100_u32,
        deadline in 1_000..=3_600_000_000_u64,
        slow_start in 0..=3_600_000_000_u64,
        window in 3_600_000_000..=86_400_000_000_u64,
    ) -> Service {
        Service {
            targets: BTreeMap::new(),
            slots,
            connections: slots + spare,
            queue,
            deadline: Span(deadline),
            divided_by_key: slots % 2 == 0,
            slices,
            idempotent_methods: BTreeSet::new(),
            retry_percent,
            slow_start: Span(slow_start),
            reserved_percent,
            id_window: Span(window),
            moves_per_minute,
            hot_key_percent,
        }
    }
}

/// Generates a service with targets whose names and addresses contain its number.
fn service(number: u8) -> impl Strategy<Value = Service> {
    let targets = proptest::collection::vec((1..=1_000_000_u32, any::<bool>(), 0..3_u8), 1..4);
    let methods = proptest::collection::btree_set("[A-Z]{1,8}", 0..4);
    (numbers(), targets, methods).prop_map(move |(row, targets, idempotent_methods)| {
        let target = |(index, (weight, checks_epoch, place)): (usize, (u32, bool, u8))| {
            let target = Target {
                address: SocketAddr::from(([127, 0, number, index as u8], 80)),
                data_centre: format!("dc-{place}").parse().expect("a name"),
                weight,
                checks_epoch,
            };
            let name = format!("t-{number}-{index}");
            (name.parse().expect("a name"), target)
        };
        Service {
            targets: targets.into_iter().enumerate().map(target).collect(),
            idempotent_methods,
            ..row
        }
    })
}

fn table() -> impl Strategy<Value = Table> {
    (proptest::option::of(service(0)), service(1)).prop_map(|(first, second)| {
        let names = ["dc-0", "dc-1", "dc-2"];
        let regions = names.map(|n| (n.parse().expect("a name"), "west".parse().expect("a name")));
        let first = first.map(|row| ("first".parse().expect("a name"), row));
        let second = ("second".parse().expect("a name"), second);
        Table {
            data_centres: regions.into(),
            services: first.into_iter().chain([second]).collect(),
        }
    })
}

/// Guards against a valid value that parsing rejects or rendering changes.
#[test]
fn a_rendered_table_parses_to_itself() {
    let check = |table: Table| {
        prop_assert_eq!(table_file::parse(&table_file::render(&table)), Ok(table));
        Ok(())
    };
    runner()
        .run(&table(), check)
        .unwrap_or_else(|e| panic!("{e}"));
}

/// Guards against a column that the differences leave out.
#[test]
fn only_equal_tables_have_no_differences() {
    let check = |(before, after): (Table, Table)| {
        prop_assert!(table_file::diff(&before, &before).is_empty());
        prop_assert_eq!(
            table_file::diff(&before, &after).is_empty(),
            before == after
        );
        Ok(())
    };
    let pair = (table(), table());
    runner().run(&pair, check).unwrap_or_else(|e| panic!("{e}"));
}

/// Guards against a difference that names other columns than the changed one.
#[test]
fn each_changed_column_is_one_difference() {
    type Edit = fn(&mut Service);
    let edits: [(&str, Edit); 13] = [
        ("slots", |row| row.slots += 1),
        ("connections", |row| row.connections += 1),
        ("queue", |row| row.queue += 1),
        ("deadline", |row| row.deadline.0 += 1),
        ("divided_by_key", |row| row.divided_by_key ^= true),
        ("slices", |row| row.slices += 1),
        ("idempotent_methods", |row| row.idempotent_methods.clear()),
        ("retry_percent", |row| row.retry_percent += 1),
        ("slow_start", |row| row.slow_start.0 += 1),
        ("reserved_percent", |row| row.reserved_percent += 1),
        ("id_window", |row| row.id_window.0 += 1),
        ("moves_per_minute", |row| row.moves_per_minute += 1),
        ("hot_key_percent", |row| row.hot_key_percent += 1),
    ];
    let before = table_file::parse(SAMPLE).expect("the sample is valid");
    for (column, edit) in edits {
        let mut after = before.clone();
        after.services.values_mut().take(1).for_each(edit);
        let changes = table_file::diff(&before, &after);
        let columns: Vec<_> = changes.iter().map(|c| c.column.as_deref()).collect();
        assert_eq!(columns, [Some(column)]);
    }
}

/// Guards against a panic on a damaged file, and against an error without a fault.
#[test]
fn damaged_files_give_faults_and_no_panic() {
    let damage = (0..SAMPLE.len(), 0..40_usize, "[\\[\\]{}:,\"0-9a-z-]{0,3}");
    let check = |(start, length, text): (usize, usize, String)| {
        let end = (start + length).min(SAMPLE.len());
        let damaged = format!("{}{text}{}", &SAMPLE[..start], &SAMPLE[end..]);
        if let Err(faults) = table_file::parse(&damaged) {
            prop_assert!(!faults.is_empty());
        }
        Ok(())
    };
    runner()
        .run(&damage, check)
        .unwrap_or_else(|e| panic!("{e}"));
}
