//! Open-loop load: when requests arrive, for which keys, and how much work they are.

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

/// Exponent of the popularity of keys.
const SKEW: f64 = 0.8;
const CALLERS: u64 = 40;

/// What a caller asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Draw {
    pub(crate) digest: Digest,
    pub(crate) caller: Caller,
    pub(crate) entry: usize,
    pub(crate) idempotent: bool,
    pub(crate) download: bool,
    pub(crate) fingerprint: Fingerprint,
    /// Work on a warm target, for the first copy and for later ones.
    pub(crate) works: [Span; 2],
}

/// Source of requests of one service.
pub(crate) struct Load<'a> {
    service: &'a Service,
    scenario: &'a Scenario,
    name: name::Service,
    entries: usize,
    keys: u32,
    popularity: Zipf<f64>,
    work: LogNormal<f64>,
    random: Xoshiro256PlusPlus,
    hot: Option<u32>,
    drawn: u64,
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
            popularity: Zipf::new(f64::from(deployment.keys), SKEW).expect("is a valid exponent"),
            work: LogNormal::new(mean, service.spread).expect("is a valid deviation"),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            hot: None,
            drawn: 0,
        }
    }

    /// Returns the time from `now` to the next arrival.
    pub(crate) fn gap(&mut self, now: Instant) -> Span {
        let rate = self.service.capacity() * self.scenario.share(now);
        let unit: f64 = Exp1.sample(&mut self.random);
        Span((unit * 1e6 / rate.max(0.1)) as u64 + 1)
    }

    pub(crate) fn draw(&mut self, now: Instant) -> Draw {
        self.drawn += 1;
        let rank = self.popularity.sample(&mut self.random) as u32;
        let hot = self.random.random_range(0.0..100.0) < self.scenario.hot_percent;
        let number = match self.hot.filter(|_| hot) {
            Some(key) => self.keys * 4 + key,
            None => rank + self.keys * self.era(now),
        };
        let percent =
            |random: &mut Xoshiro256PlusPlus, percent: u32| random.random_range(0..100) < percent;
        let random = &mut self.random;
        Draw {
            digest: Digest::new(&self.name, &number.to_le_bytes()),
            caller: Caller(random.random_range(0..CALLERS)),
            entry: random.random_range(0..self.entries),
            idempotent: percent(random, self.service.idempotent_percent),
            download: percent(random, self.service.download_percent),
            fingerprint: Fingerprint(self.drawn),
            works: [(); 2].map(|()| Span(self.work.sample(random) as u64)),
        }
    }

    pub(crate) fn heat(&mut self, key: u32) {
        self.hot = Some(key);
    }

    /// Returns the expected load of each slice at a moment, in thousandths of a request a second.
    pub(crate) fn expected(&self, at: Instant) -> Vec<u64> {
        let mut loads = vec![0.0; self.service.slices as usize];
        let late = self.late_share(at);
        for rank in 1..=self.keys {
            let weight = f64::from(rank).powf(-SKEW);
            for (era, share) in [(0, 1.0 - late), (1, late)] {
                let digest = Digest::new(&self.name, &(rank + self.keys * era).to_le_bytes());
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

    /// Draws whether a request is for the day's keys (0) or the month's end's (1).
    fn era(&mut self, now: Instant) -> u32 {
        let late = self.late_share(now);
        u32::from(self.random.random_range(0.0..1.0) < late)
    }

    fn late_share(&self, at: Instant) -> f64 {
        self.scenario.keys_shift.map_or(0.0, |(from, to)| {
            (at.since(from).0 as f64 / to.since(from).0 as f64).min(1.0)
        })
    }
}
