//! What the leader tells other hosts besides the store's records: verdicts on suspected requests,
//! quarantined requests and rate limits. Each part is sent only to hosts that lack its newest state.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
};

use ragwortrill_core::{
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_router::{crash::Verdicts, registration::Incarnation};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::rate_limit::Relayed;

/// Time after which a target's statement of an unchanged rate limit is sent again.
const REFRESH_INTERVAL: Span = Span::from_millis(2_000);

/// All that the leader tells.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    /// Verdicts on suspected requests.
    pub verdicts: Verdicts,
    /// Fingerprints of requests that crash their targets.
    pub quarantined: Vec<Fingerprint>,
    /// Rate limits that targets state to any host.
    pub rate_limits: Vec<Relayed>,
    /// Targets that have stated that they leave.
    pub leaving: Vec<Incarnation>,
}

/// Hashes of the parts, by which a host and the leader compare what the host has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digests {
    #[serde(default)]
    verdicts: u64,
    #[serde(default)]
    quarantined: u64,
    #[serde(default)]
    rate_limits: u64,
    #[serde(default)]
    leaving: u64,
}

impl Digests {
    /// Returns whether two sets of notices contain the same verdicts.
    pub fn has_verdicts_of(&self, other: &Self) -> bool {
        self.verdicts == other.verdicts
    }
}

fn digest(part: impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    part.hash(&mut hasher);
    hasher.finish()
}

impl Notices {
    /// Returns the hashes of the parts.
    pub fn digests(&self, now: Instant) -> Digests {
        let limits: Vec<_> = self
            .rate_limits
            .iter()
            .map(|limit| {
                let stated_at = now - Span(limit.age_us);
                let rate = limit.per_second.map(|rate| rate.to_string());
                (&limit.target, rate, stated_at.0 / REFRESH_INTERVAL.0)
            })
            .collect();
        Digests {
            verdicts: digest((&self.verdicts.suspects, &self.verdicts.held)),
            quarantined: digest(&self.quarantined),
            rate_limits: digest(limits),
            leaving: digest(&self.leaving),
        }
    }

    /// Removes the parts that a host has. `stated` are the rate limits in the host's report: if one
    /// differs from what the leader knows, the host has to be told again.
    pub fn omit(&mut self, now: Instant, known: &Digests, stated: &[Relayed]) {
        let current = self.digests(now);
        if current.has_verdicts_of(known) {
            self.verdicts = Verdicts::default();
        }
        if current.leaving == known.leaving {
            self.leaving.clear();
        }
        if current.quarantined == known.quarantined {
            self.quarantined.clear();
        }
        if current.rate_limits == known.rate_limits && !self.contradicts(stated) {
            self.rate_limits.clear();
        }
    }

    fn contradicts(&self, stated: &[Relayed]) -> bool {
        let limits = self.rate_limits.iter();
        let rates: BTreeMap<_, _> = limits.map(|l| (&l.target, l.per_second)).collect();
        let differs = |limit: &Relayed| {
            let rate = rates.get(&limit.target);
            rate.is_some_and(|rate| *rate != limit.per_second)
        };
        stated.iter().any(differs)
    }
}
