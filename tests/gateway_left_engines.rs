//! Whether a request may go back to an engine that it left for silence (`left_engines`).

use basilgw::gateway::left_engines::LeftEngines;
use basilgw::gateway::upstream::UpstreamInstance;

mod gateway_support;
use gateway_support::id;

fn run(name: &str, started_ms: u64) -> UpstreamInstance {
    UpstreamInstance {
        id: id(name),
        started_ms,
    }
}

/// What a request may go back to after it was sent to these engines and left some of them.
fn returnable(sent: &[&str], left: &[&str], back: Option<&str>) -> Vec<UpstreamInstance> {
    let mut engines = LeftEngines::default();
    for name in sent {
        engines.on_sent(&run(name, 1));
        if left.contains(name) {
            engines.on_left(run(name, 1));
        }
    }
    if let Some(name) = back {
        engines.on_sent(&run(name, 1));
    }
    engines
        .returnable()
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}

// Guards against: no way back to a sound engine, one to an engine that failed, and more than one.
#[test]
fn a_request_goes_back_once_to_an_engine_that_it_left_for_silence() {
    assert_eq!(returnable(&["a"], &[], None), []);
    assert_eq!(returnable(&["a", "b"], &[], None), []);
    assert_eq!(returnable(&["a", "b"], &["a"], None), [run("a", 1)]);
    assert_eq!(
        returnable(&["a", "b", "c"], &["a", "b"], None),
        [run("a", 1), run("b", 1)]
    );
    assert_eq!(returnable(&["a", "b", "c"], &["a", "b"], Some("a")), []);
    assert_eq!(returnable(&["a", "b"], &["a"], Some("a")), []);
}

// Guards against: a return to a later run of an engine, which knows nothing of the request.
#[test]
fn a_later_run_of_an_engine_was_not_left() {
    let mut engines = LeftEngines::default();
    engines.on_left(run("a", 1));
    engines.on_sent(&run("a", 2));
    let returnable = engines.returnable().expect("a way back");
    assert!(returnable.contains(&run("a", 1)) && !returnable.contains(&run("a", 2)));
}
