//! Rules of the protocol that the model can leave out.

use std::str::FromStr;

/// A rule that the model can leave out. The model's driver leaves it out; the core's code is the
/// same in all runs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rule {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// What the protocol does, and after "out" what the driver does without the rule.
    pub(crate) text: &'static str,
}

macro_rules! rules {
    ($($constant:ident $name:literal $text:literal)*) => {
        impl Rule {
            $(pub(crate) const $constant: Self = Self { name: $name, text: $text };)*
            /// All rules, in the order of the specification.
            pub(crate) const ALL: &[Self] = &[$(Self::$constant),*];
        }
    };
}

rules! {
    LEASE_CHECK "lease-check" "a holder acts only before its lease ends (out: it acts from the end of its wait, whatever its lease)"
    PROOF_TIME "proof-from-send" "a log proof counts from the send time of the read (out: from the arrival of the answer)"
    PROMISE_TIME "promise-from-send" "a promise counts from the send time of the heartbeat (out: from the arrival of the answer)"
    TAKEOVER_WAIT "takeover-wait" "a standby waits after its claim (out: Ownership::apply gets a zero lease and margin)"
    OUTSIDER_WAIT "outsider-wait" "an outsider waits longer than any extension (out: it waits like a standby)"
    OUTSIDER_LIMIT "outsider-limit" "promises extend a lease for a limited time after a log proof (out: Lease::end gets a very long outsider_wait)"
    DRIFT "drift-allowance" "waits allow for clock drift (out: Ownership::apply gets drift 0)"
    MARGIN "margin" "waits allow for the time between check and send (out: Ownership::apply gets margin 0)"
    WAIT_START "wait-from-effect" "the wait starts when the claim's effect is known (out: at submission)"
    INHERITED_WAIT "inherited-wait" "an unconfirmed contract passes its wait on (out: contract::wait sees a confirmed one)"
    CONFIRM_AFTER_WAIT "confirm-after-wait" "a holder confirms only after its wait (out: also before)"
    WITHHELD "standby-promise-withheld" "a standby with a submitted claim gives no promise (out: it gives one)"
    TAKEN "promise-withheld-after-takeover" "the promise stays withheld after the claim took effect (out: only while it is undecided)"
    UNANIMOUS "unanimous-promise" "every standby must promise (out: one promise counts for all)"
    UNION "renaming-union" "promises of old and new standbys are needed while a change is undecided (out: the change is submitted without Ownership::change_standbys)"
    STANDBYS_ONCE "standbys-once" "a change of standbys is used once (out: its `after` is unlimited)"
    INCARNATION "incarnation" "a restarted process can't promise for its predecessor (out: it does)"
    STARTED_ONCE "started-order" "a late start record does not end its successor (out: its `after` is unlimited)"
    LOST_TRUE "lost-is-true" "assumption: only ended processes are declared lost (out: a running one is)"
    COMPARE_AND_SET "compare-and-set" "a claim names the epoch that it replaces (out: it replaces whatever is current)"
    STOP_BEFORE_RELEASE "stop-before-release" "a holder stops before it submits a release (out: it continues to act)"
    MOVE_STOP "move-stop" "a holder stops serving a slice before it submits the move (out: it continues to serve it)"
    MOVE_ONCE "move-once" "a move is used once (out: its `after` is unlimited)"
    INTENT_EPOCH "intent-epoch-check" "an intent is valid only at its epoch (out: it counts for the current epoch)"
    INTENT_ONCE "intent-once" "only the record that created an intent permits the run (out: a refused record does too)"
    REFUSAL_FINAL "refusal-final" "a request refused as not run is never sent (out: it is once its intent is read)"
    TABLE_VERSION "table-version" "a table change names the version that it was edited from (out: it replaces any version)"
    STATE_ONCE "state-once" "a late copy of an operator's state change has no effect (out: its `after` is unlimited and its id is new)"
    FRESH_READ "linearizable-read" "assumption: a read shows every earlier append (out: it may miss the last one)"
}

impl FromStr for Rule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|rule| rule.name == text);
        let unknown = || format!("rule {text:?} does not exist; --list shows the rules");
        found.copied().ok_or_else(unknown)
    }
}
