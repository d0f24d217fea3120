//! The log service: appends, long polls and their faults.

use ragwortrill_core::{
    event::{Event, Read},
    ledger::Ledger,
    number::Offset,
    record::{self, Entry, Record, State},
    table::Table,
    time::{Instant, Span},
};

use super::{End, Ref, World, settings::Builder, table};

/// Time that an append needs at the log service.
const APPEND: Span = Span::from_millis(4);
/// Time after which a client gives a read or an append up, beyond the read's wait.
const TIMEOUT: Span = Span::from_secs(2);
/// Pause before a failed read or append is repeated.
const RETRY: Span = Span::from_millis(100);
/// Time after which a repeated append takes effect again.
const REPEAT: Span = Span::from_millis(300);
/// Largest number of records in a read.
const PAGE: usize = 1_000;

/// How the log service fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// Does not fail.
    #[default]
    None,
    /// Refuses all calls.
    Down,
    /// Answers nothing; nothing takes effect.
    Silent,
    /// Answers later by this span.
    Slow(Span),
    /// Appends take effect and are not answered.
    LostAnswers,
    /// Appends take effect twice.
    Repeats,
}

/// The log service's state.
#[derive(Clone, Debug)]
pub struct Log {
    /// How the service fails now.
    pub outage: Outage,
    entries: Vec<Entry>,
    ledger: Ledger,
    polls: Vec<Poll>,
}

/// A read that waits for records.
#[derive(Clone, Copy, Debug)]
struct Poll {
    process: Ref,
    token: u64,
    sent: Instant,
    from: Offset,
}

impl Log {
    pub(super) fn new(settings: &Builder) -> Self {
        let mut log = Self {
            outage: Outage::None,
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

    /// Returns the state after all records, which no daemon may know yet.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns all records in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    fn slowness(&self) -> Span {
        match self.outage {
            Outage::Slow(span) => span,
            _ => Span::ZERO,
        }
    }

    fn page(&self, from: Offset) -> Vec<(Offset, Entry)> {
        let rows = self.entries.iter().enumerate();
        let rows = rows.skip(from.0.saturating_sub(1) as usize).take(PAGE);
        rows.map(|(index, entry)| (Offset(index as u64 + 1), entry.clone()))
            .collect()
    }
}

/// Returns the record that sets the table of a world.
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
    /// Appends an operator's record, again and again while the log is down.
    pub fn operate(&mut self, id: u128, record: Record) {
        if matches!(self.log.outage, Outage::Down | Outage::Silent) {
            return self.after(RETRY, move |world| world.operate(id, record));
        }
        let rows = vec![entry(id, record)];
        self.after(APPEND, move |world| world.store(rows));
    }

    /// Takes a data centre out or returns it, as an operator who knows the log's state now.
    pub fn set_data_centre(&mut self, id: u128, name: &str, state: State) {
        let record = Record::DataCentre {
            name: table::parse(name),
            state,
            after: self.log.ledger.offset(),
        };
        self.operate(id, record);
    }

    /// Applies the table with an edit, as an operator who knows the table's version now.
    pub fn edit_table(&mut self, id: u128, edit: impl FnOnce(&mut Table)) {
        let base = self.log.ledger.version();
        let mut table = match base.0 {
            0 => table::table(&self.settings),
            _ => self.log.ledger.table().clone(),
        };
        edit(&mut table);
        self.operate(id, Record::Table { base, table });
    }

    /// Changes how the log service fails. Open reads end.
    pub fn fail_log(&mut self, outage: Outage) {
        self.log.outage = outage;
        for poll in std::mem::take(&mut self.log.polls) {
            self.answer_read(poll);
        }
    }

    pub(super) fn read(&mut self, process: Ref) {
        let poll = Poll {
            process,
            token: self.token(process),
            sent: self.local(process.index),
            from: self.shells[process.index].next,
        };
        let limit = self.settings.times.log_wait + TIMEOUT;
        self.on_after(limit, process, move |world| world.fail_read(poll));
        let from = End::Daemon(process.index);
        self.send(from, End::Log, move |world| world.poll(poll));
    }

    fn fail_read(&mut self, poll: Poll) {
        if self.take(poll.process, poll.token) {
            self.on_after(RETRY, poll.process, move |world| world.read(poll.process));
        }
    }

    fn poll(&mut self, poll: Poll) {
        if self.log.ledger.offset() >= poll.from || self.log.outage == Outage::Down {
            return self.answer_read(poll);
        }
        self.log.polls.push(poll);
        let wait = self.settings.times.log_wait;
        self.after(wait, move |world| {
            let open = world.log.polls.iter().position(|p| p.token == poll.token);
            if let Some(index) = open {
                world.log.polls.remove(index);
                world.answer_read(poll);
            }
        });
    }

    fn answer_read(&mut self, poll: Poll) {
        let to = End::Daemon(poll.process.index);
        match self.log.outage {
            Outage::Silent => {}
            Outage::Down => self.send(End::Log, to, move |world| {
                world.on(poll.process, Box::new(move |world| world.fail_read(poll)));
            }),
            _ => {
                let read = Read {
                    sent: poll.sent,
                    end: self.log.ledger.offset(),
                    rows: self.log.page(poll.from),
                };
                self.after(self.log.slowness(), move |world| {
                    world.send(End::Log, to, move |world| {
                        let job = Box::new(move |world: &mut Self| world.take_page(poll, read));
                        world.on(poll.process, job);
                    });
                });
            }
        }
    }

    fn take_page(&mut self, poll: Poll, read: Read) {
        if !self.take(poll.process, poll.token) {
            return;
        }
        self.shells[poll.process.index].keep(&read);
        self.handle(poll.process, Event::Read(read));
        self.read(poll.process);
    }

    pub(super) fn append(&mut self, process: Ref, entry: Entry) {
        self.shells[process.index].pending.push(entry);
        self.flush(process);
    }

    fn flush(&mut self, process: Ref) {
        let shell = &self.shells[process.index];
        if shell.appending || shell.pending.is_empty() {
            return;
        }
        let batch = shell.pending.clone();
        let token = self.token(process);
        self.shells[process.index].appending = true;
        self.on_after(TIMEOUT, process, move |world| {
            world.fail_append(process, token);
        });
        let from = End::Daemon(process.index);
        self.send(from, End::Log, move |world| {
            world.accept(process, token, batch);
        });
    }

    fn fail_append(&mut self, process: Ref, token: u64) {
        if self.take(process, token) {
            self.on_after(RETRY, process, move |world| {
                world.shells[process.index].appending = false;
                world.flush(process);
            });
        }
    }

    fn accept(&mut self, process: Ref, token: u64, batch: Vec<Entry>) {
        let to = End::Daemon(process.index);
        match self.log.outage {
            Outage::Silent => return,
            Outage::Down => {
                return self.send(End::Log, to, move |world| {
                    let job = Box::new(move |world: &mut Self| world.fail_append(process, token));
                    world.on(process, job);
                });
            }
            _ => {}
        }
        self.after(APPEND + self.log.slowness(), move |world| {
            world.store(batch.clone());
            match world.log.outage {
                Outage::LostAnswers | Outage::Down | Outage::Silent => return,
                Outage::Repeats => {
                    let batch = batch.clone();
                    world.after(REPEAT, move |world| world.store(batch));
                }
                _ => {}
            }
            world.send(End::Log, to, move |world| {
                let job = move |world: &mut Self| world.appended(process, token, &batch);
                world.on(process, Box::new(job));
            });
        });
    }

    fn appended(&mut self, process: Ref, token: u64, batch: &[Entry]) {
        if !self.take(process, token) {
            return;
        }
        let shell = &mut self.shells[process.index];
        shell.appending = false;
        shell
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
