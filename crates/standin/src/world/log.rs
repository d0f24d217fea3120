//! Model of the log service: appends, long polls and their faults.

use ragwortrill_core::{
    event::{Event, Read},
    ledger::Ledger,
    number::Offset,
    record::{self, Entry, Record, State},
    table::Table,
    time::{Instant, Span},
};

use super::{Endpoint, ProcessId, World, settings::Builder, table};

/// Processing time of an append at the log service.
const APPEND_TIME: Span = Span::from_millis(4);
/// Client's timeout of an append, and of a read beyond its maximum wait.
const TIMEOUT: Span = Span::from_secs(2);
/// Delay before a failed read or append is repeated.
const RETRY_DELAY: Span = Span::from_millis(100);
/// Delay before a duplicated append is stored a second time.
const DUPLICATE_DELAY: Span = Span::from_millis(300);
/// Maximum number of records in the answer to a read.
const MAX_READ_RECORDS: usize = 1_000;

/// Fault of the log service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFault {
    /// No fault.
    #[default]
    None,
    /// Appends and reads are refused.
    Down,
    /// Appends and reads are neither executed nor answered.
    Silent,
    /// Appends and answers to reads are delayed by this span.
    Slow(Span),
    /// Appends are stored but not answered.
    LostAnswers,
    /// Appends are stored twice.
    DuplicateAppends,
}

/// State of the log service.
#[derive(Clone, Debug)]
pub struct Log {
    /// Current fault.
    pub fault: LogFault,
    entries: Vec<Entry>,
    ledger: Ledger,
    polls: Vec<Poll>,
}

/// A read that is waiting for records.
#[derive(Clone, Copy, Debug)]
struct Poll {
    process: ProcessId,
    token: u64,
    sent: Instant,
    from: Offset,
}

impl Log {
    pub(super) fn new(settings: &Builder) -> Self {
        let mut log = Self {
            fault: LogFault::None,
            entries: Vec::new(),
            ledger: Ledger::default(),
            polls: Vec::new(),
        };
        if settings.table {
            log.push(entry(1, table_record(settings)));
        }
        log
    }

    fn push(&mut self, entry: Entry) {
        let offset = self.ledger.offset().next();
        self.ledger.apply(offset, &entry);
        self.entries.push(entry);
    }

    /// Returns the state after all records; daemons may not have read all of them.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns all records in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    fn delay(&self) -> Span {
        match self.fault {
            LogFault::Slow(span) => span,
            _ => Span::ZERO,
        }
    }

    fn page(&self, from: Offset) -> Vec<(Offset, Entry)> {
        let rows = self.entries.iter().enumerate();
        let rows = rows
            .skip(from.0.saturating_sub(1) as usize)
            .take(MAX_READ_RECORDS);
        rows.map(|(index, entry)| (Offset(index as u64 + 1), entry.clone()))
            .collect()
    }
}

/// Returns the record that sets a world's table.
pub(super) fn table_record(settings: &Builder) -> Record {
    Record::Table {
        base: Default::default(),
        table: table::table(settings),
    }
}

fn entry(id: u128, record: Record) -> Entry {
    Entry {
        id: record::Id(id),
        actor: "operator".to_owned(),
        reason: "test".to_owned(),
        written_ms: 0,
        record,
    }
}

impl World {
    /// Appends an operator's record, with retries while the log is down or silent.
    pub fn append_as_operator(&mut self, id: u128, record: Record) {
        if matches!(self.log.fault, LogFault::Down | LogFault::Silent) {
            return self.schedule(RETRY_DELAY, move |world| {
                world.append_as_operator(id, record)
            });
        }
        let rows = vec![entry(id, record)];
        self.schedule(APPEND_TIME, move |world| world.store(rows));
    }

    /// Appends a data centre's state, as an operator who has read the whole log.
    pub fn set_data_centre(&mut self, id: u128, name: &str, state: State) {
        let record = Record::DataCentre {
            name: table::parse(name),
            state,
            after: self.log.ledger.offset(),
        };
        self.append_as_operator(id, record);
    }

    /// Edits the current table and appends it, as an operator who has read the latest version.
    pub fn edit_table(&mut self, id: u128, edit: impl FnOnce(&mut Table)) {
        let base = self.log.ledger.version();
        let mut table = match base.0 {
            0 => table::table(&self.settings),
            _ => self.log.ledger.table().clone(),
        };
        edit(&mut table);
        self.append_as_operator(id, Record::Table { base, table });
    }

    /// Sets the fault of the log service. Ends the waits of open reads.
    pub fn set_log_fault(&mut self, fault: LogFault) {
        self.log.fault = fault;
        for poll in std::mem::take(&mut self.log.polls) {
            self.answer_read(poll);
        }
    }

    pub(super) fn read(&mut self, process: ProcessId) {
        let poll = Poll {
            process,
            token: self.new_token(process),
            sent: self.local_time(process.index),
            from: self.daemons[process.index].next,
        };
        let limit = self.settings.times.log_wait + TIMEOUT;
        self.schedule_on(limit, process, move |world| world.fail_read(poll));
        let from = Endpoint::Daemon(process.index);
        self.send(from, Endpoint::Log, move |world| world.poll(poll));
    }

    fn fail_read(&mut self, poll: Poll) {
        if self.take_token(poll.process, poll.token) {
            self.schedule_on(RETRY_DELAY, poll.process, move |world| {
                world.read(poll.process)
            });
        }
    }

    fn poll(&mut self, poll: Poll) {
        if self.log.ledger.offset() >= poll.from || self.log.fault == LogFault::Down {
            return self.answer_read(poll);
        }
        self.log.polls.push(poll);
        let wait = self.settings.times.log_wait;
        self.schedule(wait, move |world| {
            let open = world.log.polls.iter().position(|p| p.token == poll.token);
            if let Some(index) = open {
                world.log.polls.remove(index);
                world.answer_read(poll);
            }
        });
    }

    fn answer_read(&mut self, poll: Poll) {
        let to = Endpoint::Daemon(poll.process.index);
        match self.log.fault {
            LogFault::Silent => {}
            LogFault::Down => self.send(Endpoint::Log, to, move |world| {
                world.run_on(poll.process, Box::new(move |world| world.fail_read(poll)));
            }),
            _ => {
                let read = Read {
                    sent: poll.sent,
                    end: self.log.ledger.offset(),
                    rows: self.log.page(poll.from),
                };
                self.schedule(self.log.delay(), move |world| {
                    world.send(Endpoint::Log, to, move |world| {
                        let job = Box::new(move |world: &mut Self| world.receive_page(poll, read));
                        world.run_on(poll.process, job);
                    });
                });
            }
        }
    }

    fn receive_page(&mut self, poll: Poll, read: Read) {
        if !self.take_token(poll.process, poll.token) {
            return;
        }
        self.daemons[poll.process.index].record_read(&read);
        self.handle(poll.process, Event::Read(read));
        self.read(poll.process);
    }

    pub(super) fn append(&mut self, process: ProcessId, entry: Entry) {
        self.daemons[process.index].pending.push(entry);
        self.flush(process);
    }

    fn flush(&mut self, process: ProcessId) {
        let daemon = &self.daemons[process.index];
        if daemon.appending || daemon.pending.is_empty() {
            return;
        }
        let batch = daemon.pending.clone();
        let token = self.new_token(process);
        self.daemons[process.index].appending = true;
        self.schedule_on(TIMEOUT, process, move |world| {
            world.fail_append(process, token);
        });
        let from = Endpoint::Daemon(process.index);
        self.send(from, Endpoint::Log, move |world| {
            world.receive_append(process, token, batch);
        });
    }

    fn fail_append(&mut self, process: ProcessId, token: u64) {
        if self.take_token(process, token) {
            self.schedule_on(RETRY_DELAY, process, move |world| {
                world.daemons[process.index].appending = false;
                world.flush(process);
            });
        }
    }

    fn receive_append(&mut self, process: ProcessId, token: u64, batch: Vec<Entry>) {
        let to = Endpoint::Daemon(process.index);
        match self.log.fault {
            LogFault::Silent => return,
            LogFault::Down => {
                return self.send(Endpoint::Log, to, move |world| {
                    let job = Box::new(move |world: &mut Self| world.fail_append(process, token));
                    world.run_on(process, job);
                });
            }
            _ => {}
        }
        self.schedule(APPEND_TIME + self.log.delay(), move |world| {
            world.store(batch.clone());
            match world.log.fault {
                LogFault::LostAnswers | LogFault::Down | LogFault::Silent => return,
                LogFault::DuplicateAppends => {
                    let batch = batch.clone();
                    world.schedule(DUPLICATE_DELAY, move |world| world.store(batch));
                }
                _ => {}
            }
            world.send(Endpoint::Log, to, move |world| {
                let job = move |world: &mut Self| world.receive_receipt(process, token, &batch);
                world.run_on(process, Box::new(job));
            });
        });
    }

    fn receive_receipt(&mut self, process: ProcessId, token: u64, batch: &[Entry]) {
        if !self.take_token(process, token) {
            return;
        }
        let daemon = &mut self.daemons[process.index];
        daemon.appending = false;
        daemon
            .pending
            .retain(|entry| batch.iter().all(|done| done.id != entry.id));
        self.flush(process);
    }

    fn store(&mut self, batch: Vec<Entry>) {
        for entry in batch {
            self.log.push(entry);
        }
        for poll in std::mem::take(&mut self.log.polls) {
            self.answer_read(poll);
        }
    }
}
