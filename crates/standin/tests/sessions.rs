//! Golden files of sessions: messages between nodes as frames, log records and answers.
//!
//! `UPDATE_EXPECT=1 cargo test -p ragwortrill-standin --test sessions` updates them.

mod recorder;

use expect_test::{ExpectFile, expect_file};
use ragwortrill_core::{
    record::{Record, State},
    time::Span,
};
use ragwortrill_standin::world::{Builder, LogFault, World};
use recorder::Recorder;
use test_case::test_case;

fn small() -> Builder {
    let builder = Builder::default().daemons(3).targets(2, 1).drift(false);
    builder.deadline(Span::from_secs(3))
}

/// Starts three daemons and waits until contracts are balanced before the recording starts.
fn settled_world() -> Recorder {
    let mut world = World::new(small(), 5);
    world.run(Span::from_secs(12));
    Recorder::new(world)
}

fn start_from_nothing() -> Recorder {
    let mut recorder = Recorder::new(World::new(small().table(false), 5));
    recorder.run("nothing is in the log", 1_000);
    recorder.world.edit_table(900, |_| {});
    recorder.run("an operator applies the table", 3_000);
    recorder.world.call("lookup", 1);
    recorder.world.call("order", 1);
    recorder.run("a lookup and an order arrive", 500);
    recorder
}

fn table_change_by_two_operators() -> Recorder {
    let mut recorder = settled_world();
    for (id, slots) in [(901, 7), (902, 8)] {
        recorder.world.edit_table(id, |table| {
            table
                .services
                .values_mut()
                .for_each(|row| row.slots = slots);
        });
    }
    recorder.run("two operators apply changes of the same version", 1_000);
    recorder
}

fn target_drain() -> Recorder {
    let mut recorder = settled_world();
    let name = recorder.world.targets[0].name.clone();
    let after = recorder.world.log.ledger().offset();
    let state = State::Out;
    recorder
        .world
        .append_as_operator(903, Record::Target { name, state, after });
    recorder.run("an operator drains look-0", 1_500);
    (0..4).for_each(|key| _ = recorder.world.call("lookup", key));
    recorder.run("four lookups arrive", 300);
    recorder
}

fn daemon_lost() -> Recorder {
    let mut recorder = settled_world();
    let lost = recorder.world.holders()["look-0"];
    recorder.world.lose_host(lost);
    (0..4).for_each(|key| _ = recorder.world.call("lookup", key));
    recorder.run(
        "the holder of look-0 is lost and four lookups arrive",
        4_500,
    );
    recorder
}

fn data_centre_out_and_back() -> Recorder {
    let mut recorder = settled_world();
    recorder.world.set_data_centre(904, "east", State::Out);
    recorder.run("operators take east out", 3_000);
    recorder.world.set_data_centre(905, "east", State::In);
    recorder.run("operators return east", 12_000);
    recorder
}

fn log_outage() -> Recorder {
    let mut recorder = settled_world();
    recorder.world.set_log_fault(LogFault::LostAnswers);
    recorder.world.call("order", 1);
    recorder.run("answers to appends are lost and an order arrives", 2_500);
    recorder.world.set_log_fault(LogFault::Down);
    recorder.run("the log is down", 3_000);
    recorder.world.call("order", 2);
    recorder.world.call("lookup", 2);
    recorder.run("an order and a lookup arrive", 500);
    recorder.world.set_log_fault(LogFault::None);
    recorder.run("the log is back", 1_000);
    recorder.world.call("order", 3);
    recorder.run("an order arrives", 500);
    recorder
}

fn late_answer() -> Recorder {
    let mut recorder = settled_world();
    recorder.world.targets[2].service_time_percent = 100_000;
    recorder.world.call("order", 1);
    recorder.run("an order arrives at a target that needs 5 s", 6_000);
    recorder
}

fn quarantined_request() -> Recorder {
    let mut recorder = settled_world();
    for _ in 0..3 {
        recorder.world.call_poison("lookup", 1);
        recorder.run("a request that crashes its target arrives", 4_000);
    }
    recorder
}

/// Guards against unintended changes of frames, of the order of messages, of records and of
/// answers.
#[test_case(start_from_nothing, expect_file!["sessions/start.txt"]; "start from nothing")]
#[test_case(table_change_by_two_operators, expect_file!["sessions/table.txt"]; "two operators")]
#[test_case(target_drain, expect_file!["sessions/drain.txt"]; "target drain")]
#[test_case(daemon_lost, expect_file!["sessions/lost.txt"]; "daemon lost")]
#[test_case(data_centre_out_and_back, expect_file!["sessions/centre.txt"]; "data centre out and back")]
#[test_case(log_outage, expect_file!["sessions/log.txt"]; "log outage with lost answers")]
#[test_case(late_answer, expect_file!["sessions/late.txt"]; "late answer")]
#[test_case(quarantined_request, expect_file!["sessions/barred.txt"]; "quarantined request")]
fn session(run_session: fn() -> Recorder, expected: ExpectFile) {
    expected.assert_eq(&run_session().text());
}
