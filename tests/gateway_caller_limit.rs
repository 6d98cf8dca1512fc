//! Who may hold how much of a VM's memory and connections, and who gives way.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use basilgw::gateway::caller_limit::bounds::{CallerLimitBounds, ProcessLimits};
use basilgw::gateway::caller_limit::ledger::{
    CONNECTION_BYTES, ConnectionId, Ledger, Owner, Phase, Purpose, REQUEST_BYTES, Verdict,
};
use proptest::prelude::*;

const MB: u64 = 1 << 20;
const LARGE: u64 = 4 * MB;
const BOUNDS: CallerLimitBounds = CallerLimitBounds {
    bytes: 32 * MB,
    large_bytes: 24 * MB,
    response_bytes: 16 * MB,
    connections: 20,
    requests: 10,
};
const SLOW: Duration = Duration::from_millis(1500);

/// A ledger, and connections that are numbered from 1.
struct Desk {
    ledger: Ledger,
    now: Instant,
    last: u64,
}

fn account(name: &str) -> Owner {
    Owner::Account(name.parse().expect("an account"))
}

impl Desk {
    fn open() -> Self {
        Self {
            ledger: Ledger::open(BOUNDS),
            now: Instant::now(),
            last: 0,
        }
    }

    fn connect(&mut self) -> (ConnectionId, Verdict) {
        self.last += 1;
        let id = ConnectionId(self.last);
        let address: IpAddr = [10, 0, 0, 1].into();
        let verdict = self.ledger.connect(id, Owner::Address(address), self.now);
        (id, verdict)
    }

    /// A connection whose request of an account is being read.
    fn reading(&mut self, owner: &str) -> ConnectionId {
        let (id, verdict) = self.connect();
        assert_eq!(verdict, Verdict::Granted);
        let verdict = self.ledger.start(id, Some(account(owner)), self.now);
        assert_eq!(verdict, Verdict::Granted);
        id
    }

    /// The same with a body that was charged.
    fn body(&mut self, owner: &str, bytes: u64) -> (ConnectionId, Verdict) {
        let id = self.reading(owner);
        let verdict = self.ledger.charge_body(id, bytes, self.now);
        (id, verdict)
    }

    /// Large bodies of an account until there is no room for another one.
    fn fill(&mut self, owner: &str) -> Vec<ConnectionId> {
        let mut filled = Vec::new();
        while self.ledger.total() + LARGE + 2 * REQUEST_BYTES <= BOUNDS.large_bytes {
            let (id, verdict) = self.body(owner, LARGE);
            assert_eq!(verdict, Verdict::Granted);
            filled.push(id);
        }
        filled
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }
}

#[test]
fn the_bounds_follow_from_memory_and_descriptors() {
    let bounds = CallerLimitBounds::from(ProcessLimits {
        memory: 260 * MB,
        descriptors: 4100,
    });
    assert_eq!((bounds.bytes, bounds.response_bytes), (130 * MB, 65 * MB));
    assert_eq!((bounds.connections, bounds.requests), (2193, 1218));
    assert!(bounds.connections + bounds.requests < 4100 - 200);
    let tiny = CallerLimitBounds::from(ProcessLimits {
        memory: 0,
        descriptors: 0,
    });
    assert_eq!((tiny.connections, tiny.requests), (1, 1));
}

#[test]
fn large_bodies_fill_their_part_and_no_more() {
    let mut desk = Desk::open();
    let filled = desk.fill("a");
    assert_eq!(filled.len(), 5, "near the bound");
    let (_, verdict) = desk.body("a", LARGE);
    assert_eq!(
        verdict,
        Verdict::Refused,
        "callers alike don't push each other out"
    );
}

#[test]
fn a_small_body_finds_room_beside_large_ones() {
    let mut desk = Desk::open();
    desk.fill("a");
    let (_, verdict) = desk.body("a", 8000);
    assert_eq!(verdict, Verdict::Granted);
}

#[test]
fn a_large_body_gives_way_to_a_small_one_of_the_same_account() {
    let mut desk = Desk::open();
    let filled = desk.fill("a");
    let other = desk.reading("a");
    assert!(desk.ledger.finish_body(other, desk.now));
    let rest = BOUNDS.bytes - desk.ledger.total() - 2 * REQUEST_BYTES;
    assert!(desk.ledger.charge_response(other, rest));
    let (newcomer, verdict) = desk.body("a", 40_000);
    assert_eq!(verdict, Verdict::Granted);
    let more = desk.ledger.charge_body(newcomer, 20_000, desk.now);
    assert_eq!(more, Verdict::Wait(vec![filled[0]]));
}

#[test]
fn a_body_that_stalls_gives_way_to_a_sound_one() {
    let mut desk = Desk::open();
    let filled = desk.fill("a");
    for id in &filled[1..] {
        desk.ledger.on_received(*id, 100_000);
    }
    desk.pass(SLOW);
    let (newcomer, verdict) = desk.body("a", LARGE);
    assert_eq!(verdict, Verdict::Wait(vec![filled[0]]));
    assert!(!desk.ledger.finish_body(filled[0], desk.now), "not sent");
    desk.ledger.release(filled[0], Purpose::Body, LARGE);
    desk.ledger.end(filled[0], desk.now);
    let again = desk.ledger.charge_body(newcomer, LARGE, desk.now);
    assert_eq!(again, Verdict::Granted);
}

#[test]
fn a_body_that_comes_in_time_keeps_its_place() {
    let mut desk = Desk::open();
    for id in desk.fill("a") {
        desk.ledger.on_received(id, 100_000);
    }
    desk.pass(SLOW);
    assert_eq!(desk.body("a", LARGE).1, Verdict::Refused);
}

#[test]
fn an_account_with_much_gives_way_to_one_with_little() {
    let mut desk = Desk::open();
    let filled = desk.fill("a");
    let (_, verdict) = desk.body("b", LARGE);
    assert_eq!(verdict, Verdict::Wait(vec![filled[0]]));
}

#[test]
fn an_account_with_little_does_not_give_way_to_one_with_much() {
    let mut desk = Desk::open();
    let (little, _) = desk.body("b", LARGE);
    desk.fill("a");
    assert_eq!(desk.body("a", LARGE).1, Verdict::Refused);
    assert!(!desk.ledger.is_evicted(little));
}

#[test]
fn the_room_of_those_that_give_way_already_is_not_counted_twice() {
    let mut desk = Desk::open();
    desk.fill("a");
    let Verdict::Wait(first) = desk.body("b", LARGE).1 else {
        panic!("no room is made");
    };
    let Verdict::Wait(second) = desk.body("c", LARGE).1 else {
        panic!("no room is made");
    };
    // The second newcomer may use what the first one has not taken yet, and asks again then.
    assert_eq!((first.len(), second.len()), (1, 0));
}

#[test]
fn a_request_that_may_have_been_sent_does_not_give_way() {
    let mut desk = Desk::open();
    for id in desk.fill("a") {
        assert!(desk.ledger.finish_body(id, desk.now));
    }
    desk.pass(SLOW);
    assert_eq!(desk.body("b", LARGE).1, Verdict::Refused);
}

#[test]
fn a_response_that_nobody_reads_gives_way() {
    let mut desk = Desk::open();
    let filled = desk.fill("a");
    for id in &filled {
        assert!(desk.ledger.finish_body(*id, desk.now));
        desk.ledger.begin_response(*id, desk.now);
    }
    desk.ledger.set_blocked(filled[2], Some(desk.now));
    desk.pass(SLOW);
    let (_, verdict) = desk.body("b", LARGE);
    assert_eq!(verdict, Verdict::Wait(vec![filled[2]]));
}

#[test]
fn responses_leave_room_for_bodies_and_make_nobody_give_way() {
    let mut desk = Desk::open();
    let ids: Vec<_> = (0..5).map(|_| desk.reading("a")).collect();
    let granted = ids
        .iter()
        .filter(|id| desk.ledger.charge_response(**id, LARGE));
    assert_eq!(granted.count(), 4, "near the bound");
    assert!(ids.iter().all(|id| !desk.ledger.is_evicted(*id)));
}

#[test]
fn a_new_connection_takes_the_place_of_the_one_that_is_idle_longest() {
    let mut desk = Desk::open();
    for _ in 0..BOUNDS.connections {
        assert_eq!(desk.connect().1, Verdict::Granted);
        desk.pass(Duration::from_millis(10));
    }
    let (first, second) = (ConnectionId(1), ConnectionId(2));
    desk.ledger.start(first, None, desk.now);
    desk.ledger.end(first, desk.now);
    assert_eq!(desk.connect().1, Verdict::Wait(vec![second]));
    desk.ledger.disconnect(second);
    assert_eq!(desk.connect().1, Verdict::Granted);
}

#[test]
fn a_connection_with_a_sound_request_keeps_its_place() {
    let mut desk = Desk::open();
    let busy: Vec<_> = (0..BOUNDS.requests).map(|_| desk.reading("a")).collect();
    for _ in BOUNDS.requests..BOUNDS.connections {
        desk.connect();
    }
    let Verdict::Wait(chosen) = desk.connect().1 else {
        panic!("no room is made");
    };
    assert!(chosen.iter().all(|id| !busy.contains(id)), "{chosen:?}");
}

#[test]
fn a_request_takes_the_place_of_one_that_stalls() {
    let mut desk = Desk::open();
    let stalled: Vec<_> = (0..BOUNDS.requests).map(|_| desk.reading("a")).collect();
    let (id, _) = desk.connect();
    let at_once = desk.ledger.start(id, Some(account("a")), desk.now);
    assert_eq!(at_once, Verdict::Refused);
    desk.pass(SLOW);
    let verdict = desk.ledger.start(id, Some(account("a")), desk.now);
    assert_eq!(verdict, Verdict::Wait(vec![stalled[0]]));
}

#[test]
fn a_connection_that_gives_way_starts_no_request() {
    let mut desk = Desk::open();
    for _ in 0..BOUNDS.connections {
        desk.connect();
    }
    desk.connect();
    let first = ConnectionId(1);
    assert!(desk.ledger.is_evicted(first));
    let verdict = desk.ledger.start(first, None, desk.now);
    assert_eq!(verdict, Verdict::Refused);
}

#[derive(Clone, Debug)]
enum Step {
    Connect,
    Start(u64, u8),
    Body(u64, u64),
    Response(u64, u64),
    Finish(u64),
    End(u64),
    Close(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let id = 1..60_u64;
    let bytes = prop_oneof![1..70_000_u64, 1_000_000..5 * MB];
    let step = prop_oneof![
        Just(Step::Connect),
        (id.clone(), 0..3_u8).prop_map(|(id, owner)| Step::Start(id, owner)),
        (id.clone(), bytes.clone()).prop_map(|(id, bytes)| Step::Body(id, bytes)),
        (id.clone(), bytes).prop_map(|(id, bytes)| Step::Response(id, bytes)),
        id.clone().prop_map(Step::Finish),
        id.clone().prop_map(Step::End),
        id.prop_map(Step::Close),
        (0..2000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..300)
}

proptest! {
    /// Whatever callers do, what is granted stays within the bounds, and all of it comes back.
    #[test]
    fn random_callers_stay_within_the_bounds(steps in steps()) {
        let mut desk = Desk::open();
        let mut charges = Vec::new();
        for step in steps {
            match step {
                Step::Connect => drop(desk.connect()),
                Step::Start(id, owner) => {
                    let id = ConnectionId(id);
                    if desk.ledger.phase(id) == Some(Phase::Idle) {
                        let owner = account(&format!("a{owner}"));
                        desk.ledger.start(id, Some(owner), desk.now);
                    }
                }
                Step::Body(id, bytes) => {
                    let id = ConnectionId(id);
                    if desk.ledger.phase(id) == Some(Phase::Reading)
                        && desk.ledger.charge_body(id, bytes, desk.now) == Verdict::Granted
                    {
                        charges.push((id, Purpose::Body, bytes));
                    }
                }
                Step::Response(id, bytes) => {
                    let id = ConnectionId(id);
                    if desk.ledger.charge_response(id, bytes) {
                        charges.push((id, Purpose::Response, bytes));
                    }
                }
                Step::Finish(id) => {
                    let id = ConnectionId(id);
                    if desk.ledger.phase(id) == Some(Phase::Reading) {
                        desk.ledger.finish_body(id, desk.now);
                    }
                }
                Step::End(id) => desk.ledger.end(ConnectionId(id), desk.now),
                Step::Close(id) => desk.ledger.disconnect(ConnectionId(id)),
                Step::Wait(millis) => desk.pass(Duration::from_millis(millis)),
            }
            let phases = [Phase::Reading, Phase::Running, Phase::Writing];
            let requests: usize = phases.iter().map(|phase| desk.ledger.count(*phase)).sum();
            prop_assert!(desk.ledger.total() <= BOUNDS.bytes + BOUNDS.connections as u64 * CONNECTION_BYTES);
            prop_assert!(desk.ledger.held(Purpose::Response) <= BOUNDS.response_bytes);
            prop_assert!(requests <= BOUNDS.requests);
            prop_assert!(requests + desk.ledger.count(Phase::Idle) <= BOUNDS.connections);
        }
        for (id, purpose, bytes) in charges {
            desk.ledger.release(id, purpose, bytes);
        }
        for id in 0..=desk.last {
            desk.ledger.disconnect(ConnectionId(id));
        }
        prop_assert_eq!(desk.ledger.total(), 0);
    }
}

/// A caller that reads nothing of a refusal and sends its next request.
#[test]
fn a_request_behind_an_unwritten_response_is_released_once() {
    let mut desk = Desk::open();
    let id = desk.reading("a");
    desk.ledger.finish_body(id, desk.now);
    desk.ledger.begin_response(id, desk.now);
    let again = desk.ledger.start(id, Some(account("a")), desk.now);
    assert_eq!(again, Verdict::Granted);
    desk.ledger.end(id, desk.now);
    desk.ledger.disconnect(id);
    assert_eq!(desk.ledger.total(), 0);
}
