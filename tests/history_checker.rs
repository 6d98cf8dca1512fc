//! The history checker accepts a sound history and rejects a broken one for each point.

use std::str::FromStr;

use basilgw::ids::{RequestId, Revision, Version};
use basilgw::outcome::{ErrorCode, Ran};
use basilgw::schema::engine::{OrderKind, OrderStatus};
use basilgw::units::{Bytes, Tokens};
use serde_json::json;
use standin::history::{
    Bounds, Echo, Entry, Event, Findings, Micros, Outcome, Point, Sent, check, parse,
};

const SECRET: &str = "bk_0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// A parsed identifier.
fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn at(ms: u64, event: Event) -> Entry {
    Entry {
        at: Micros(ms * 1000),
        party: "test".into(),
        event,
    }
}

fn sent(request: &str) -> Sent {
    Sent {
        request: id(request),
        vm: id("vm-1"),
        key: Some(id("key-1")),
        account: Some(id("club")),
        allowed: true,
        open: false,
        idempotent: true,
        model: Some(id("m")),
        adapter: None,
        digest: "d1".into(),
        once: None,
        deadline: 1000,
    }
}

fn booking(request: &str, once: Option<&str>) -> Sent {
    Sent {
        idempotent: false,
        model: None,
        once: once.map(Into::into),
        ..sent(request)
    }
}

fn served(request: &str) -> Event {
    Event::Served {
        upstream: id("engine-1"),
        request: id(request),
        once: None,
        tokens: Tokens(10),
    }
}

fn received(raw: &str) -> Event {
    Event::Received {
        upstream: id("engine-1"),
        request: None,
        raw: raw.into(),
    }
}

fn whole(request: &str) -> Outcome {
    Outcome::Whole {
        status: 200,
        echo: Some(Echo {
            request: id(request),
            model: Some(id("m")),
            adapter: None,
            digest: "d1".into(),
        }),
    }
}

fn refused(code: ErrorCode, ran: Ran) -> Outcome {
    Outcome::Refused {
        status: 503,
        code,
        ran,
    }
}

fn answered(request: &str, outcome: Outcome) -> Event {
    Event::Answered {
        request: id(request),
        outcome,
        last: None,
    }
}

fn decided(replicas: &[&str]) -> Event {
    Event::Decided {
        model: id("m"),
        replicas: replicas.iter().map(|name| id(name)).collect(),
    }
}

fn loaded(replica: &str, engine: &str) -> Event {
    Event::Loaded {
        upstream: id(engine),
        replica: id(replica),
        model: id("m"),
    }
}

fn memory(used: u64) -> Event {
    Event::Memory {
        upstream: id("engine-1"),
        used: Bytes(used),
        total: Bytes(100),
    }
}

fn in_force(vm: &str, revision: u64) -> Event {
    Event::InForce {
        vm: id(vm),
        revision: Revision(revision),
    }
}

fn head(revision: u64) -> Event {
    Event::Written {
        key: id("config/head"),
        version: Version(revision),
        value: Some(json!({"revision": revision})),
    }
}

/// A history in which every point has a case and holds.
fn sound() -> Vec<Entry> {
    vec![
        at(
            0,
            Event::Declared {
                account: id("club"),
                rate: 10.0,
                burst: Tokens(30),
            },
        ),
        at(
            0,
            Event::Granted {
                key: id("key-1"),
                account: id("club"),
                caller: id("coach"),
                secret: SECRET.into(),
            },
        ),
        at(0, Event::Started { vm: id("vm-1") }),
        at(0, head(1)),
        at(1, decided(&["r1"])),
        at(2, loaded("r1", "engine-1")),
        at(2, memory(60)),
        at(10, Event::Sent(sent("q1"))),
        at(
            11,
            received("POST /v1/chat/completions\nx-request-id: q1\n"),
        ),
        at(12, served("q1")),
        at(40, answered("q1", whole("q1"))),
        at(50, Event::Sent(booking("b1", Some("once-1")))),
        at(60, served("b1")),
        at(
            70,
            answered(
                "b1",
                Outcome::Whole {
                    status: 200,
                    echo: Some(Echo {
                        request: id("b1"),
                        model: None,
                        adapter: None,
                        digest: "d1".into(),
                    }),
                },
            ),
        ),
        at(80, Event::Sent(sent("q2"))),
        at(90, answered("q2", refused(ErrorCode::Capacity, Ran::No))),
        at(
            100,
            Event::Leaving {
                upstream: id("engine-1"),
            },
        ),
        at(
            100,
            Event::Accepted {
                revision: Revision(1),
            },
        ),
        at(110, in_force("vm-1", 1)),
        at(120, Event::Withdrawn { key: id("key-1") }),
        at(200, Event::Stopping { vm: id("vm-1") }),
        at(300, Event::Stopped { vm: id("vm-1") }),
    ]
}

fn findings(more: Vec<Entry>) -> Findings {
    let mut entries = sound();
    entries.extend(more);
    check(entries, &Bounds::default()).unwrap()
}

/// Checks that `more` violates `point` and nothing else.
fn rejects(point: Point, more: Vec<Entry>) {
    let found = findings(more);
    let points: Vec<Point> = found.violations.iter().map(|(p, _, _)| *p).collect();
    assert!(!points.is_empty(), "{point:?} was not rejected");
    assert!(
        points.iter().all(|p| *p == point),
        "{point:?}: {}",
        found.summary()
    );
}

#[test]
fn a_sound_history_shows_every_point() {
    let found = findings(Vec::new());
    for point in Point::ALL {
        assert!(found.shows(point), "{}", found.summary());
    }
}

#[test]
fn an_empty_history_shows_nothing() {
    let found = check(Vec::new(), &Bounds::default()).unwrap();
    assert!(Point::ALL.iter().all(|point| !found.shows(*point)));
}

#[test]
fn rejects_a_replica_that_was_not_decided() {
    rejects(Point::Replicas, vec![at(3, loaded("r2", "engine-2"))]);
}

#[test]
fn rejects_a_decision_taken_back_too_early() {
    rejects(Point::Replicas, vec![at(3, decided(&[]))]);
}

#[test]
fn rejects_one_decided_replica_on_two_engines() {
    rejects(Point::Replicas, vec![at(3, loaded("r1", "engine-2"))]);
}

#[test]
fn reads_decisions_out_of_the_store() {
    let write = Event::Written {
        key: id("models/m"),
        version: Version(9),
        value: Some(json!({"replicas": {"r1": {}, "r2": {}}})),
    };
    let found = findings(vec![at(3, write), at(4, loaded("r2", "engine-2"))]);
    assert!(found.shows(Point::Replicas), "{}", found.summary());
}

#[test]
fn rejects_overcommitted_memory() {
    rejects(Point::Memory, vec![at(3, memory(101))]);
}

#[test]
fn rejects_an_order_that_does_not_fit() {
    let order = Event::Ordered {
        upstream: id("engine-1"),
        kind: OrderKind::Load,
        replica: id("r1"),
        model: id("m"),
        status: OrderStatus::Full,
    };
    rejects(Point::Memory, vec![at(3, order)]);
}

#[test]
fn rejects_a_request_that_never_ends() {
    rejects(Point::InTime, vec![at(20, Event::Sent(sent("q3")))]);
}

#[test]
fn rejects_a_late_refusal() {
    let history = vec![
        at(400, Event::Sent(sent("q3"))),
        at(2500, answered("q3", refused(ErrorCode::Deadline, Ran::No))),
    ];
    rejects(Point::InTime, [longer(), history].concat());
}

#[test]
fn rejects_a_broken_connection_of_a_healthy_vm() {
    let history = vec![
        at(20, Event::Sent(sent("q3"))),
        at(30, answered("q3", Outcome::Broken)),
    ];
    rejects(Point::InTime, history);
}

#[test]
fn excuses_a_broken_connection_of_a_killed_vm() {
    let found = findings(vec![
        at(20, Event::Sent(sent("q3"))),
        at(25, Event::Killed { vm: id("vm-1") }),
        at(30, answered("q3", Outcome::Broken)),
        at(35, Event::Started { vm: id("vm-1") }),
    ]);
    assert!(found.shows(Point::InTime), "{}", found.summary());
}

#[test]
fn rejects_a_run_for_a_foreign_account() {
    let foreign = Sent {
        allowed: false,
        ..sent("q3")
    };
    let history = vec![
        at(20, Event::Sent(foreign)),
        at(21, served("q3")),
        at(30, answered("q3", whole("q3"))),
    ];
    rejects(Point::OwnAccount, history);
}

#[test]
fn rejects_a_run_without_a_key() {
    let keyless = Sent {
        key: None,
        account: None,
        ..sent("q3")
    };
    let history = vec![
        at(20, Event::Sent(keyless)),
        at(21, served("q3")),
        at(30, answered("q3", whole("q3"))),
    ];
    rejects(Point::OwnAccount, history);
}

#[test]
fn rejects_a_run_that_nobody_asked_for() {
    rejects(Point::OwnAccount, vec![at(20, served("q9"))]);
}

#[test]
fn rejects_a_key_shown_to_an_upstream() {
    let raw = format!("POST /v1/completions\nauthorization: Bearer {SECRET}\n");
    rejects(Point::HiddenKey, vec![at(20, received(&raw))]);
}

#[test]
fn rejects_part_of_a_key_shown_to_an_upstream() {
    let raw = format!("GET /x?token={}\n", &SECRET[40..]);
    rejects(Point::HiddenKey, vec![at(20, received(&raw))]);
}

/// Keeps the VM running and the engine staying past the sound history's end.
fn longer() -> Vec<Entry> {
    vec![
        at(310, Event::Started { vm: id("vm-1") }),
        at(
            310,
            Event::Joined {
                upstream: id("engine-1"),
            },
        ),
    ]
}

#[test]
fn rejects_a_withdrawn_key_that_still_works() {
    let history = vec![
        at(6000, Event::Sent(sent("q3"))),
        at(6010, served("q3")),
        at(6020, answered("q3", whole("q3"))),
    ];
    rejects(Point::Withdrawal, [longer(), history].concat());
}

#[test]
fn rejects_a_stream_that_outlives_its_key() {
    let long = Sent {
        deadline: 60_000,
        ..sent("q3")
    };
    let history = vec![
        at(400, Event::Sent(long)),
        at(410, served("q3")),
        at(8000, answered("q3", whole("q3"))),
    ];
    rejects(Point::Withdrawal, [longer(), history].concat());
}

#[test]
fn rejects_more_than_rate_and_burst() {
    // 30 tokens of burst are used by q1, b1 and q3; 10 a second bring less than q4 needs.
    let history = (3..5).flat_map(|n| {
        let name = format!("q{n}");
        vec![
            at(20 + n, Event::Sent(sent(&name))),
            at(30 + n, served(&name)),
            at(40 + n, answered(&name, whole(&name))),
        ]
    });
    rejects(Point::Share, history.collect());
}

#[test]
fn accepts_what_the_rate_brings() {
    let history = vec![
        at(110, Event::Sent(sent("q3"))),
        at(120, served("q3")),
        at(130, answered("q3", whole("q3"))),
        at(1110, Event::Sent(sent("q4"))),
        at(1120, served("q4")),
        at(1130, answered("q4", whole("q4"))),
    ];
    let found = findings([longer(), history].concat());
    assert!(found.shows(Point::Share), "{}", found.summary());
}

#[test]
fn rejects_a_crossed_answer() {
    let history = vec![
        at(20, Event::Sent(sent("q3"))),
        at(30, answered("q3", whole("q1"))),
    ];
    rejects(Point::WholeAnswer, history);
}

#[test]
fn rejects_another_prompts_answer() {
    let other = Sent {
        digest: "d2".into(),
        ..sent("q3")
    };
    let history = vec![
        at(20, Event::Sent(other)),
        at(30, answered("q3", whole("q3"))),
    ];
    rejects(Point::WholeAnswer, history);
}

#[test]
fn rejects_a_part_that_looks_whole() {
    let history = vec![
        at(20, Event::Sent(sent("q3"))),
        at(30, answered("q3", Outcome::Truncated)),
    ];
    rejects(Point::WholeAnswer, history);
}

#[test]
fn rejects_a_false_not_run() {
    let history = vec![
        at(20, Event::Sent(sent("q3"))),
        at(25, served("q3")),
        at(
            30,
            answered("q3", refused(ErrorCode::UpstreamFailed, Ran::No)),
        ),
    ];
    rejects(Point::NotRun, history);
}

#[test]
fn rejects_a_second_run_of_one_request() {
    let unknown = refused(ErrorCode::UpstreamFailed, Ran::Unknown);
    let history = vec![
        at(20, Event::Sent(booking("b2", None))),
        at(21, served("b2")),
        at(22, served("b2")),
        at(30, answered("b2", unknown)),
    ];
    // The second run's tokens are over the burst too, so only this point is looked for.
    assert!(findings(history).violates(Point::AtMostOnce));
}

#[test]
fn rejects_a_second_run_under_one_idempotency_key() {
    let unknown = refused(ErrorCode::UpstreamFailed, Ran::Unknown);
    let history = vec![
        at(72, Event::Sent(booking("b2", Some("once-1")))),
        at(74, served("b2")),
        at(76, answered("b2", unknown)),
    ];
    rejects(Point::AtMostOnce, history);
}

#[test]
fn accepts_a_recorded_answer_for_a_repeat() {
    let echo = Echo {
        request: id::<RequestId>("b1"),
        model: None,
        adapter: None,
        digest: "d1".into(),
    };
    let recorded = Outcome::Whole {
        status: 200,
        echo: Some(echo),
    };
    let found = findings(vec![
        at(72, Event::Sent(booking("b2", Some("once-1")))),
        at(76, answered("b2", recorded)),
    ]);
    assert!(found.violations.is_empty(), "{}", found.summary());
}

#[test]
fn rejects_work_for_a_leaving_upstream() {
    rejects(Point::Leaving, vec![at(5200, received("POST /x\n"))]);
}

#[test]
fn accepts_work_for_an_upstream_that_came_back() {
    let found = findings([longer(), vec![at(5400, received("POST /x\n"))]].concat());
    assert!(found.shows(Point::Leaving), "{}", found.summary());
}

#[test]
fn rejects_a_request_cut_by_a_shutdown() {
    let cut = Outcome::Cut {
        code: None,
        ran: None,
    };
    let history = vec![
        at(150, Event::Sent(sent("q3"))),
        at(160, served("q3")),
        at(250, answered("q3", cut)),
    ];
    rejects(Point::Shutdown, history);
}

#[test]
fn rejects_a_vm_that_goes_back() {
    let history = vec![at(120, in_force("vm-2", 1)), at(130, in_force("vm-2", 0))];
    rejects(Point::Configuration, history);
}

#[test]
fn rejects_a_vm_that_stays_behind() {
    let accepted = Event::Accepted {
        revision: Revision(2),
    };
    let history = vec![at(115, accepted), at(12_200, in_force("vm-2", 1))];
    rejects(Point::Configuration, history);
}

#[test]
fn rejects_a_stored_configuration_that_goes_back() {
    rejects(Point::Configuration, vec![at(115, head(1))]);
}

#[test]
fn rejects_two_requests_of_one_name() {
    let twice = [sound(), vec![at(20, Event::Sent(sent("q1")))]].concat();
    check(twice, &Bounds::default()).unwrap_err();
}

#[test]
fn entries_survive_their_lines() {
    let lines = sound().into_iter().map(|entry| {
        let line = serde_json::to_string(&entry).unwrap();
        line + "\n"
    });
    let lines: String = lines.collect();
    assert_eq!(parse(&lines).unwrap(), sound());
    parse("{}\n").unwrap_err();
}
