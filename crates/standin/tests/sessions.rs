//! Golden files of whole sessions: messages between nodes as frames, records and answers.
//!
//! `UPDATE_EXPECT=1 cargo test -p ragwortrill-standin --test sessions` writes them anew.

mod story;

use expect_test::{ExpectFile, expect_file};
use ragwortrill_core::{
    record::{Record, State},
    time::Span,
};
use ragwortrill_standin::world::{Builder, LogFault, World};
use story::Story;
use test_case::test_case;

fn small() -> Builder {
    let builder = Builder::default().daemons(3).targets(2, 1).drift(false);
    builder.deadline(Span::from_secs(3))
}

/// Starts three daemons and lets contracts reach their places before anything is written down.
fn settled() -> Story {
    let mut world = World::new(small(), 5);
    world.run(Span::from_secs(12));
    Story::new(world)
}

fn start_from_nothing() -> Story {
    let mut story = Story::new(World::new(small().table(false), 5));
    story.run("nothing is in the log", 1_000);
    story.world.edit_table(900, |_| {});
    story.run("an operator applies the table", 3_000);
    story.world.call("lookup", 1);
    story.world.call("order", 1);
    story.run("a lookup and an order arrive", 500);
    story
}

fn table_change_by_two_operators() -> Story {
    let mut story = settled();
    for (id, slots) in [(901, 7), (902, 8)] {
        story.world.edit_table(id, |table| {
            table
                .services
                .values_mut()
                .for_each(|row| row.slots = slots);
        });
    }
    story.run("two operators apply changes of the same version", 1_000);
    story
}

fn target_drain() -> Story {
    let mut story = settled();
    let name = story.world.targets[0].name.clone();
    let after = story.world.log.ledger().offset();
    let state = State::Out;
    story
        .world
        .append_as_operator(903, Record::Target { name, state, after });
    story.run("an operator drains look-0", 1_500);
    (0..4).for_each(|key| _ = story.world.call("lookup", key));
    story.run("four lookups arrive", 300);
    story
}

fn daemon_lost() -> Story {
    let mut story = settled();
    let lost = story.world.holders()["look-0"];
    story.world.lose_host(lost);
    (0..4).for_each(|key| _ = story.world.call("lookup", key));
    story.run(
        "the holder of look-0 is lost and four lookups arrive",
        4_500,
    );
    story
}

fn data_centre_out_and_back() -> Story {
    let mut story = settled();
    story.world.set_data_centre(904, "east", State::Out);
    story.run("operators take east out", 3_000);
    story.world.set_data_centre(905, "east", State::In);
    story.run("operators return east", 12_000);
    story
}

fn log_outage() -> Story {
    let mut story = settled();
    story.world.set_log_fault(LogFault::LostAnswers);
    story.world.call("order", 1);
    story.run("answers to appends are lost and an order arrives", 2_500);
    story.world.set_log_fault(LogFault::Down);
    story.run("the log is down", 3_000);
    story.world.call("order", 2);
    story.world.call("lookup", 2);
    story.run("an order and a lookup arrive", 500);
    story.world.set_log_fault(LogFault::None);
    story.run("the log is back", 1_000);
    story.world.call("order", 3);
    story.run("an order arrives", 500);
    story
}

fn late_answer() -> Story {
    let mut story = settled();
    story.world.targets[2].service_time_percent = 100_000;
    story.world.call("order", 1);
    story.run("an order arrives at a target that needs 5 s", 6_000);
    story
}

fn barred_request() -> Story {
    let mut story = settled();
    for _ in 0..3 {
        story.world.call_poison("lookup", 1);
        story.run("a request that crashes its target arrives", 4_000);
    }
    story
}

/// A change of a frame, of the order of messages or of an answer shows as a difference.
#[test_case(start_from_nothing, expect_file!["sessions/start.txt"]; "start from nothing")]
#[test_case(table_change_by_two_operators, expect_file!["sessions/table.txt"]; "two operators")]
#[test_case(target_drain, expect_file!["sessions/drain.txt"]; "target drain")]
#[test_case(daemon_lost, expect_file!["sessions/lost.txt"]; "daemon lost")]
#[test_case(data_centre_out_and_back, expect_file!["sessions/centre.txt"]; "data centre out and back")]
#[test_case(log_outage, expect_file!["sessions/log.txt"]; "log outage with lost answers")]
#[test_case(late_answer, expect_file!["sessions/late.txt"]; "late answer")]
#[test_case(barred_request, expect_file!["sessions/barred.txt"]; "barred request")]
fn session(play: fn() -> Story, expected: ExpectFile) {
    expected.assert_eq(&play().text());
}
