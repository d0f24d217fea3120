//! Open-loop load generator: arrival times, keys and service times of requests.

use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

use ragwortrill_core::{
    admission::Caller,
    key::Digest,
    name,
    request::Fingerprint,
    time::{Instant, Span},
};

use super::{
    deployment::{Deployment, Service},
    scenario::Scenario,
};

/// Exponent of the Zipf distribution of key popularity.
const ZIPF_EXPONENT: f64 = 0.8;
const CALLER_COUNT: u64 = 40;

/// Properties of a generated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spec {
    pub(crate) digest: Digest,
    pub(crate) caller: Caller,
    pub(crate) entry: usize,
    pub(crate) idempotent: bool,
    pub(crate) download: bool,
    pub(crate) fingerprint: Fingerprint,
    /// Service times on a warm target, for the first copy and for later ones.
    pub(crate) service_times: [Span; 2],
}

/// Generates the requests to one service.
pub(crate) struct Load<'a> {
    service: &'a Service,
    scenario: &'a Scenario,
    name: name::Service,
    entries: usize,
    keys: u32,
    popularity: Zipf<f64>,
    service_time: LogNormal<f64>,
    random: Xoshiro256PlusPlus,
    hot: Option<u32>,
    generated: u64,
}

impl<'a> Load<'a> {
    pub(crate) fn new(
        deployment: &Deployment,
        service: &'a Service,
        scenario: &'a Scenario,
        seed: u64,
    ) -> Self {
        let mean = (service.service.0 as f64).ln() - service.spread * service.spread / 2.0;
        Self {
            service,
            scenario,
            name: service
                .name
                .parse()
                .expect("the deployment has valid names"),
            entries: deployment.entries,
            keys: deployment.keys,
            popularity: Zipf::new(f64::from(deployment.keys), ZIPF_EXPONENT)
                .expect("the exponent is valid"),
            service_time: LogNormal::new(mean, service.spread).expect("the deviation is valid"),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            hot: None,
            generated: 0,
        }
    }

    /// Returns the time until the next arrival.
    pub(crate) fn interarrival_time(&mut self, now: Instant) -> Span {
        let rate = self.service.capacity() * self.scenario.share(now);
        let unit: f64 = Exp1.sample(&mut self.random);
        Span((unit * 1e6 / rate.max(0.1)) as u64 + 1)
    }

    pub(crate) fn next_request(&mut self, now: Instant) -> Spec {
        self.generated += 1;
        let rank = self.popularity.sample(&mut self.random) as u32;
        let hot = self.random.random_range(0.0..100.0) < self.scenario.hot_percent;
        let number = match self.hot.filter(|_| hot) {
            Some(key) => self.keys * 4 + key,
            None => rank + self.keys * self.choose_key_set(now),
        };
        let percent =
            |random: &mut Xoshiro256PlusPlus, percent: u32| random.random_range(0..100) < percent;
        let random = &mut self.random;
        Spec {
            digest: Digest::new(&self.name, &number.to_le_bytes()),
            caller: Caller(random.random_range(0..CALLER_COUNT)),
            entry: random.random_range(0..self.entries),
            idempotent: percent(random, self.service.idempotent_percent),
            download: percent(random, self.service.download_percent),
            fingerprint: Fingerprint(self.generated),
            service_times: [(); 2].map(|()| Span(self.service_time.sample(random) as u64)),
        }
    }

    pub(crate) fn set_hot_key(&mut self, key: u32) {
        self.hot = Some(key);
    }

    /// Returns the expected load of each slice at a moment, in thousandths of a request per second.
    pub(crate) fn expected(&self, at: Instant) -> Vec<u64> {
        let mut loads = vec![0.0; self.service.slices as usize];
        let month_end = self.month_end_share(at);
        for rank in 1..=self.keys {
            let weight = f64::from(rank).powf(-ZIPF_EXPONENT);
            for (key_set, share) in [(0, 1.0 - month_end), (1, month_end)] {
                let digest = Digest::new(&self.name, &(rank + self.keys * key_set).to_le_bytes());
                loads[digest.slice(self.service.slices).0 as usize] += weight * share;
            }
        }
        let total: f64 = loads.iter().sum();
        let rate = self.service.capacity() * self.scenario.share(at) * 1_000.0;
        loads
            .iter()
            .map(|load| (load / total * rate) as u64)
            .collect()
    }

    /// Chooses at random between the usual keys (0) and the month-end keys (1).
    fn choose_key_set(&mut self, now: Instant) -> u32 {
        let month_end = self.month_end_share(now);
        u32::from(self.random.random_range(0.0..1.0) < month_end)
    }

    fn month_end_share(&self, at: Instant) -> f64 {
        self.scenario.keys_shift.map_or(0.0, |(from, to)| {
            (at.since(from).0 as f64 / to.since(from).0 as f64).min(1.0)
        })
    }
}
