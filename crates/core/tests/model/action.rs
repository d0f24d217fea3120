//! Steps of the model.

/// A step. Numbers are indices of processes, targets, slices, requests or records in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Action {
    /// Chooses the clock rates of the run.
    Rates(usize),
    /// Time passes; each clock advances by its rate.
    Tick,
    /// Sends a read. The log answers immediately; a later step delivers the answer.
    Read(usize),
    /// Receives the answer to a read.
    ReadAnswer(usize),
    /// Reads the log without delay.
    Sync(usize),
    /// Sends a heartbeat. The standby answers immediately; a later step delivers the promise.
    Heartbeat(usize, usize),
    /// Receives a promise.
    Promise(usize, usize),
    /// Sends a heartbeat and receives the promise without delay.
    Exchange(usize, usize),
    /// Submits a claim of a target.
    Claim(usize, usize),
    /// Submits a change of standbys to one other process.
    ChangeStandbys(usize, usize, usize),
    /// Stops and submits the release of a target.
    Release(usize, usize),
    /// Stops serving a slice and submits its move to the other target.
    Move(usize, usize),
    /// Submits the intent of a request.
    Intent(usize, usize),
    /// Sends a request to its target.
    Send(usize, usize),
    /// Refuses a request as not run.
    Refuse(usize, usize),
    /// A process ends without notice.
    Crash(usize),
    /// The host of a crashed process starts a new one.
    Restart(usize),
    /// An operator asserts that a process has ended.
    AssertLost(usize),
    /// An operator submits a table.
    Table,
    /// An operator submits the opposite state of a data centre.
    State,
    /// A record in flight takes effect. Its writer does not know before it reads the log.
    Append(usize),
    /// A record in flight takes effect, and a second copy of it remains in flight.
    AppendRepeated(usize),
}
