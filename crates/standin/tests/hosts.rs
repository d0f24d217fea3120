//! Stand-in of the host list and its faults, tested through the client.

mod common;

use common::{LONG_TIMEOUT, ONE_HOUR, run};
use ragwortrill_core::time::Span;
use ragwortrill_platform::hosts::{Client, Host, State};
use ragwortrill_standin::hosts::{Faults, Server};

fn host(name: &str, state: State) -> Host {
    Host {
        host: name.parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        data_centre: "northam".parse().unwrap(),
        state,
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    /// Names in the answer, or `None` if there is no answer.
    expected: Option<&'static [&'static str]>,
}

/// Guards against faults of the host list without effect.
#[test]
fn faults_of_the_list() {
    let cases = [
        Case {
            name: "no fault",
            faults: Faults::default(),
            expected: Some(&["h1", "h2"]),
        },
        Case {
            name: "lag",
            faults: Faults {
                down: false,
                lag: ONE_HOUR,
            },
            expected: Some(&["h1"]),
        },
        Case {
            name: "down",
            faults: Faults {
                down: true,
                lag: Span::ZERO,
            },
            expected: None,
        },
    ];
    run(async move {
        let server = Server::start(vec![host("h1", State::Live)]).unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        server.set(vec![host("h1", State::Leaving), host("h2", State::Live)]);
        for case in cases {
            server.change(|faults| *faults = case.faults);
            let list = client.list().await.ok();
            let names = list.map(|list| list.iter().map(|h| h.host.to_string()).collect());
            let expected = case
                .expected
                .map(|names| names.iter().map(|n| n.to_string()).collect());
            assert_eq!(names, expected as Option<Vec<String>>, "{}", case.name);
        }
        server.change(|faults| *faults = Faults::default());
        let list = client.list().await.unwrap();
        assert_eq!(list[0].state, State::Leaving);
        server.stop();
        assert!(
            client.list().await.is_err(),
            "a stopped list does not answer"
        );
    });
}
