//! Cases about grants and releases of keys.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::note,
    store::Store,
    system::{self, Consumers, HOST, Host, ZONES},
    upstream::{Faults, Upstream, Upstreams, wall_ms},
};

/// Name of the partitioned service.
const SERVICE: &str = "huvo11a";
/// Name of another partitioned service.
const OTHER_SERVICE: &str = "kafi81c";
/// Consumers of a system with little load, in which no keys move to balance it.
const FEW_CONSUMERS: u64 = 8;
/// Time after which a write without an answer is executed.
const LATE_TIME: Duration = Duration::from_millis(3_000);
/// The same for a write that is executed sooner.
const SHORT_LATE_TIME: Duration = Duration::from_millis(2_000);
/// Time from the first release of the crashed upstream's keys to one at which none is under way.
const PAUSE_BETWEEN_RELEASES: Duration = Duration::from_millis(450);
/// Time for which a data centre is evacuated.
const EVACUATION_TIME: Duration = Duration::from_millis(800);
/// Upstreams of the partitioned service.
const COUNT: usize = 12;
/// Time that an upstream works on a request.
const WORK_MS: u64 = 200;
/// Consumers, and the time between two requests of one.
const CONSUMERS: u64 = 100;
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two pings of an upstream.
const PING_INTERVAL: Duration = Duration::from_millis(1_500);
/// Share of the answers of a faulty upstream that it sends twice.
const COPIED_SHARE: f64 = 0.03;
/// Time for which upstreams are faulty.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// Time from the first request until the disruption begins.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Returns the manifest, with a route to each of some partitioned services.
fn manifest(services: &[&str]) -> String {
    let rule = |(number, service): (usize, &&str)| {
        let prefix = ["ruta", "acopio"][number];
        format!(
            r#"{{"Name":"r-{number}","RouteType":"safe","TargetLatency":"400ms","Priority":2,"Match":{{"PathPrefix":"/{prefix}/"}},"Action":{{"Service":"{service}","Timeout":"1200ms","MaxAttempts":2}}}}"#
        )
    };
    let cluster = |service: &&str| {
        format!(
            r#"{{"Name":"{service}","HealthPath":"/health","MaxConnections":120,"Protocol":"h1","Tls":false,"ColdStart":"3s","ColdPerS":14.0,"Sharded":true,"Warmup":"3s","Grants":"api_call"}}"#
        )
    };
    let rules: Vec<String> = services.iter().enumerate().map(rule).collect();
    let clusters: Vec<String> = services.iter().map(cluster).collect();
    format!(
        r#"{{"Version":7,"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}},"Listeners":[{{"Host":"{HOST}","Rules":[{}]}}],"Clusters":[{}]}}"#,
        rules.join(","),
        clusters.join(",")
    )
}

/// A deployment with partitioned services.
struct System {
    store: Store,
    all: Upstreams,
    upstreams: Vec<Upstream>,
    hosts: Vec<Host>,
}

impl System {
    /// Starts a deployment with `COUNT` upstreams of the first service and some of the others.
    fn start(scratch: &Path, services: &[&str], others: usize) -> Result<Self, String> {
        let store = Store::start();
        store.put("keyed.op", "config", &manifest(services));
        let all = Upstreams::new();
        let mut system = Self {
            store,
            all,
            upstreams: Vec::new(),
            hosts: Vec::new(),
        };
        for number in 0..COUNT {
            system.add_upstream(number, SERVICE);
        }
        for service in &services[1..] {
            for number in 0..others {
                system.add_upstream(50 + number, service);
            }
        }
        system.hosts = system::start_hosts(scratch, 3, &system.store)?;
        let began = Instant::now();
        while services
            .iter()
            .any(|service| system.all.held(service) < 1.0)
        {
            if began.elapsed() > Duration::from_secs(20) {
                return Err("the keys are not owned in time".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        note("all keys are held");
        Ok(system)
    }

    fn add_upstream(&mut self, number: usize, service: &str) -> Upstream {
        let id = format!("i-{number:02}7f3a91");
        let zone = ZONES[number % ZONES.len()];
        let upstream = self.all.start(&id, service, zone, true, WORK_MS);
        let entry = upstream.entry("ready", 1);
        self.store.put("keyed.servers", &id, &entry);
        self.upstreams.push(upstream.clone());
        upstream
    }

    fn consumers(&self, count: u64) -> Consumers {
        let fronts = self.hosts.iter().map(|host| host.front).collect();
        Consumers::start(count, REQUEST_INTERVAL, fronts)
    }

    /// Makes an upstream report that it leaves. It goes on serving.
    fn drain(&self, upstream: &Upstream) {
        let entry = upstream.entry("draining", 2);
        self.store.put("keyed.servers", &upstream.id, &entry);
    }

    fn end(mut self, consumers: Consumers) -> Result<String, String> {
        let seen = consumers.end();
        let served = seen.iter().filter(|seen| seen.status == Some(200)).count();
        for host in &mut self.hosts {
            if !host.is_running() {
                note(format!("{} has ended by itself", host.name));
            }
        }
        let (sent, leader) = (seen.len(), self.store.leader());
        if served * 2 < sent {
            return Err(format!("only {served} of {sent} requests were served"));
        }
        Ok(format!(
            "{served} of {sent} requests served, led by {leader:?}"
        ))
    }
}

/// Upstreams send second copies of a part of their answers while some of them leave.
pub fn copies(scratch: &Path, is_troubled: bool) -> Result<String, String> {
    let system = System::start(scratch, &[SERVICE], 0)?;
    let consumers = system.consumers(CONSUMERS);
    thread::sleep(CALM_TIME);
    let faulty: Vec<Upstream> = system.upstreams[..COUNT / 2].to_vec();
    let set_faults = |copies, is_repeating| {
        let faults = Faults {
            copies,
            is_repeating,
        };
        let troubled = faulty.iter().filter(|_| is_troubled);
        troubled.for_each(|upstream| system.all.set_faults(&upstream.id, faults));
    };
    set_faults(COPIED_SHARE, false);
    thread::sleep(FAULT_TIME * 65 / 100);
    set_faults(COPIED_SHARE, true);
    thread::sleep(FAULT_TIME * 25 / 100);
    faulty[..COUNT / 4]
        .iter()
        .for_each(|leaving| system.drain(leaving));
    thread::sleep(FAULT_TIME / 10);
    set_faults(0.0, false);
    thread::sleep(Duration::from_secs(4));
    system.end(consumers)
}

/// Another writer leaves an entry with the address of an upstream and a service that isn't named.
pub fn foreign_entry(scratch: &Path, is_troubled: bool) -> Result<String, String> {
    let system = System::start(scratch, &[SERVICE], 0)?;
    let consumers = system.consumers(CONSUMERS);
    thread::sleep(CALM_TIME);
    let upstream = system.upstreams[3].clone();
    if is_troubled {
        let entry = Upstream {
            service: "inventory".to_owned(),
            born: wall_ms(),
            ..upstream.clone()
        };
        system
            .store
            .put("keyed.servers", "inventory-3", &entry.entry("ready", 1));
    }
    thread::sleep(PING_INTERVAL * 2);
    system.drain(&upstream);
    thread::sleep(Duration::from_secs(6));
    system.end(consumers)
}

/// A write of the leader is executed late, after the leader has read the key ranges back. Then
/// upstreams of both services leave, and the leader stops.
pub fn late_write(scratch: &Path, is_troubled: bool) -> Result<String, String> {
    let mut system = System::start(scratch, &[SERVICE, OTHER_SERVICE], 4)?;
    let consumers = system.consumers(FEW_CONSUMERS);
    thread::sleep(CALM_TIME);
    if is_troubled {
        system.store.delay_append("i-997f3a91", LATE_TIME);
    }
    let joining = system.add_upstream(99, SERVICE);
    thread::sleep(Duration::from_millis(600));
    system.drain(&joining);
    thread::sleep(LATE_TIME + Duration::from_millis(500));
    let others = system.upstreams.iter();
    let other = others.clone().find(|u| u.service == OTHER_SERVICE).cloned();
    let other = other.ok_or("no upstream of the other service")?;
    system.drain(&other);
    thread::sleep(Duration::from_secs(3));
    let owners: Vec<Upstream> = system.upstreams[..COUNT / 4].to_vec();
    owners.iter().for_each(|owner| system.drain(owner));
    thread::sleep(Duration::from_secs(3));
    let leader = system.store.leader().unwrap_or_default();
    let leading = system.hosts.iter().find(|host| host.name == leader);
    leading.ok_or("no host leads")?.signal("TERM");
    thread::sleep(Duration::from_secs(18));
    system.end(consumers)
}

/// An upstream crashes. While its keys wait for the end of its grant, the data centre of one of their
/// new owners is evacuated for a moment, and the leader's write about that is executed late.
pub fn late_move(scratch: &Path, is_troubled: bool) -> Result<String, String> {
    let system = System::start(scratch, &[SERVICE], 0)?;
    let consumers = system.consumers(FEW_CONSUMERS);
    thread::sleep(CALM_TIME);
    let crashed = system.upstreams[3].clone();
    system.all.crash(&crashed);
    let crashed_at = Instant::now();
    let moving = format!(r#""Moving":[{{"life":{{"id":"{}""#, crashed.id);
    let began = Instant::now();
    let record = loop {
        if let Some(record) = system.store.find("keyed.ownership", &moving).pop() {
            break record;
        }
        if began.elapsed() > Duration::from_secs(10) {
            return Err("the keys of the crashed upstream do not move".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    };
    let receiver = system.upstreams.iter().find(|upstream| {
        let owner = format!(r#""owner":{{"id":"{}""#, upstream.id);
        record.contains(&owner)
    });
    let zone = receiver.ok_or("the new owner is not known")?.zone.clone();
    if is_troubled {
        system.store.delay_append("Moving", SHORT_LATE_TIME);
    }
    let evacuation = format!("evacuate/{zone}");
    // The leader sends the releases of the crashed upstream's keys again each 310 ms. It plans a move
    // of keys only while none of their releases is under way.
    thread::sleep(PAUSE_BETWEEN_RELEASES);
    system.store.put("keyed.op", &evacuation, "{}");
    thread::sleep(EVACUATION_TIME);
    system.store.put("keyed.op", &evacuation, "");
    // The entry lapses after three pings of silence.
    thread::sleep((PING_INTERVAL * 3).saturating_sub(crashed_at.elapsed()));
    system.store.put("keyed.servers", &crashed.id, "");
    thread::sleep(Duration::from_secs(12));
    system.end(consumers)
}
