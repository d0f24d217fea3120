//! The table of a world: the service `lookup` is divided by key, and requests of the service
//! `order` run at most once.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
    net::SocketAddr,
    str::FromStr,
};

use ragwortrill_core::{name, table, time::Span};

use super::settings::Builder;

/// Data centres, to which daemons and targets are assigned in turn.
pub(super) const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];

/// Parses a valid name. Panics if it is not.
pub(super) fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("the world has valid names")
}

pub(super) fn data_centre(index: usize) -> name::DataCentre {
    parse(DATA_CENTRES[index % DATA_CENTRES.len()])
}

pub(super) fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

/// Returns the names of all targets by index: those of `lookup`, then those of `order`.
pub(super) fn targets(settings: &Builder) -> Vec<name::Target> {
    let lookups = (0..settings.lookups).map(|i| parse(&format!("look-{i}")));
    let orders = (0..settings.orders).map(|i| parse(&format!("order-{i}")));
    lookups.chain(orders).collect()
}

pub(super) fn table(settings: &Builder) -> table::Table {
    let region = |data_centre: &&str| (parse(data_centre), parse("region"));
    let split = settings.lookups;
    let names = targets(settings);
    let rows = |range: std::ops::Range<usize>| {
        let rows = range.map(|i| (names[i].clone(), target(settings, i)));
        rows.collect::<BTreeMap<_, _>>()
    };
    let mut services = BTreeMap::new();
    for (name, range, by_key) in [
        ("lookup", 0..split, true),
        ("order", split..names.len(), false),
    ] {
        if !range.is_empty() {
            let service = service(settings, rows(range), by_key);
            services.insert(parse(name), service);
        }
    }
    table::Table {
        data_centres: DATA_CENTRES.iter().map(region).collect(),
        services,
    }
}

fn target(settings: &Builder, index: usize) -> table::Target {
    table::Target {
        address: address(8_000 + index),
        data_centre: data_centre(index),
        weight: 100,
        checks_epoch: settings.checks,
    }
}

fn service(
    settings: &Builder,
    targets: BTreeMap<name::Target, table::Target>,
    divided_by_key: bool,
) -> table::Service {
    table::Service {
        targets,
        slots: 6,
        connections: 110,
        queue: 500,
        deadline: settings.deadline,
        divided_by_key,
        slices: 32,
        idempotent_methods: BTreeSet::from(["GET".to_owned()]),
        retry_percent: 10,
        slow_start: Span::from_secs(1),
        reserved_percent: 0,
        id_window: Span::from_secs(3_600),
        moves_per_minute: 6_000,
        hot_key_percent: 50,
    }
}
