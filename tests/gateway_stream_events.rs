//! Which events of a stream are forwarded, and after which one it is resumed, where an engine hands
//! out wrong numbers or breaks off (`events`, `event_numbers`).

use basilgw::gateway::events::{Completed, EventError, EventSplitter};

/// One write of an engine: its events by their numbers, as text; an empty one stands for no number.
fn write(ids: &[&str]) -> String {
    let event = |id: &&str| match *id {
        "" => "data: x\n\n".to_owned(),
        id => format!("id: {id}\ndata: x\n\n"),
    };
    ids.iter().map(event).collect()
}

/// Numbers of the events that are forwarded, and whether there was a fault.
fn pass(events: &mut EventSplitter, ids: &[&str]) -> (Vec<String>, bool) {
    let Completed { events, fault, .. } = events.push(write(ids).as_bytes());
    (numbers(&events), fault.is_some())
}

fn numbers(events: &[u8]) -> Vec<String> {
    let text = std::str::from_utf8(events).expect("text");
    let blocks = text.split("\n\n").filter(|block| !block.is_empty());
    let id = |block: &str| Some(block.lines().next()?.strip_prefix("id: ")?.to_owned());
    blocks.map(|block| id(block).unwrap_or_default()).collect()
}

/// A stream of one engine, each event in a write of its own, to its end: what was forwarded,
/// whether it ended as complete, and whether it may be resumed.
fn run(last: Option<u64>, ids: &[&str]) -> (Vec<String>, bool, EventSplitter) {
    let mut events = EventSplitter::resume_after(last);
    let (forwarded, complete) = go_on(&mut events, ids);
    (forwarded, complete, events)
}

fn go_on(events: &mut EventSplitter, ids: &[&str]) -> (Vec<String>, bool) {
    let mut forwarded = Vec::new();
    for id in ids {
        let (more, fault) = pass(events, &[id]);
        forwarded.extend(more);
        if fault {
            events.on_resumed();
            return (forwarded, false);
        }
    }
    forwarded.extend(numbers(&events.finish()));
    (forwarded, true)
}

/// Checks that a sound stream is forwarded whole.
fn check_served(last: Option<u64>, ids: &[&str]) {
    let (forwarded, complete, _) = run(last, ids);
    assert_eq!(forwarded, ids, "after {last:?}");
    assert!(complete, "{ids:?} after {last:?}");
}

/// Checks that an engine's events up to `sound` are forwarded, and the stream goes on after them.
fn check_left(last: Option<u64>, ids: &[&str], sound: usize) {
    let (forwarded, complete, events) = run(last, ids);
    assert_eq!(forwarded, ids[..sound], "{ids:?} after {last:?}");
    assert!(!complete, "{ids:?} after {last:?}");
    assert!(events.is_certain(), "{ids:?} after {last:?}");
    let before = ids[..sound].last().map(|id| id.parse().expect("a number"));
    assert_eq!(events.last_id(), before.or(last), "{ids:?} after {last:?}");
}

/// Checks that a stream is cut, since nothing tells after which event to go on.
fn check_cut(last: Option<u64>, ids: &[&str]) {
    let (_, complete, events) = run(last, ids);
    assert!(!complete && !events.is_certain(), "{ids:?} after {last:?}");
}

#[test]
fn streams_in_any_step_are_served() {
    check_served(None, &["1", "2", "3", "4"]);
    check_served(None, &["0", "1", "2", "3"]);
    check_served(None, &["6", "12", "18", "24"]);
    check_served(None, &["1", "3", "5", "7"]);
    check_served(None, &["3", "4", "9", "11", "20"]);
    check_served(None, &["1", "2", "5", "6", "7", "9", "13", "14"]);
    check_served(None, &["6", "12", "24", "30"]);
    check_served(None, &["6", "12", "18", "20", "30"]);
    check_served(Some(3), &["5", "6"]);
    check_served(Some(12), &["14"]);
    check_served(Some(12), &["18", "24", "30"]);
    check_served(Some(u64::MAX - 1), &["18446744073709551615"]);
}

#[test]
fn a_last_event_with_other_tokens_is_served() {
    check_served(None, &["1", "2", "3", "5"]);
    check_served(None, &["9", "18", "27", "56"]);
    check_served(None, &["9", "18", "27", "31"]);
    check_served(None, &["6"]);
    check_served(None, &["9", "18", "22", "31", "40"]);
}

#[test]
fn events_in_the_usual_step_are_not_delayed() {
    let mut events = EventSplitter::default();
    for id in ["1", "2", "3"] {
        assert_eq!(pass(&mut events, &[id]), (vec![id.to_owned()], false));
    }
    let mut events = EventSplitter::default();
    assert_eq!(pass(&mut events, &["6", "12"]).0, ["6", "12"]);
    assert_eq!(pass(&mut events, &["18"]).0, ["18"]);
    assert_eq!(pass(&mut events, &["30"]).0, [""; 0]);
    assert_eq!(pass(&mut events, &["36"]).0, ["30", "36"]);
}

#[test]
fn no_event_is_delayed_where_nobody_resumes_the_stream() {
    let mut events = EventSplitter::unresumable();
    for id in ["6", "7", "19", "40"] {
        assert_eq!(pass(&mut events, &[id]), (vec![id.to_owned()], false));
    }
    assert!(pass(&mut events, &["40"]).1);
}

#[test]
fn a_wrong_first_number_is_not_forwarded() {
    for first in ["3", "5", "9", "2"] {
        check_left(None, &[first, "2", "3", "4"], 0);
    }
    for first in ["4", "7", "5x", "x", "6"] {
        check_left(Some(4), &[first, "6", "7"], 0);
    }
    check_left(None, &["x", "y", "3"], 0);
    check_left(Some(6), &["12", "7", "8"], 0);
}

#[test]
fn a_wrong_number_among_sound_ones_is_not_forwarded() {
    for wrong in ["6", "", "v", "0", "2", "4", "9", "-5", "+5", "5\nid: 5"] {
        check_left(None, &["1", "2", "3", "4", wrong, "6", "7"], 4);
        check_left(Some(1), &["2", "3", "4", wrong, "6", "7"], 3);
    }
    for wrong in ["", "v", "30", "54", "18", "12"] {
        check_left(None, &["6", "12", "18", wrong, "30"], 3);
        check_left(None, &["6", "12", "20", "21", wrong, "30"], 4);
    }
}

#[test]
fn a_wrong_last_number_is_not_forwarded() {
    check_left(None, &["1", "2", "3", "3"], 3);
    check_left(None, &["9", "18", "27", "26"], 3);
    check_left(None, &["1", "7", "13", "19", "18"], 4);
    check_left(None, &["3", "4", "9", "2"], 2);
    check_left(None, &["3", "4", "9", "7"], 2);
}

// Guards against: an event that is hidden in the one before it, as a wrong byte took the place of the
// empty line between them, and comes twice or not at all (ORDER).
#[test]
fn an_event_hidden_in_the_one_before_is_noticed() {
    let text = [
        &write(&["1", "2", "3"]),
        "id: 4\ndata: x\n?id: 5\ndata: y\n\n",
    ]
    .concat();
    let mut events = EventSplitter::default();
    let completed = events.push(text.as_bytes());
    assert_eq!(numbers(&completed.events), ["1", "2", "3"]);
    assert_eq!(completed.fault, Some(EventError::Unnumbered));
    let sound = b"rid: 7\nid: 4\ndata: x\nrid: 7\n\n";
    assert!(EventSplitter::default().push(sound).fault.is_none());
}

#[test]
fn an_engine_that_begins_anew_is_left() {
    check_left(Some(3), &["1", "2", "3", "4"], 0);
    check_left(Some(3), &["3", "4"], 0);
}

#[test]
fn sound_events_in_the_same_write_are_forwarded() {
    for (wrong, fault) in [
        ("14", EventError::OutOfOrder(14)),
        ("", EventError::Unnumbered),
        ("1u", EventError::Unnumbered),
    ] {
        let mut events = EventSplitter::resume_after(Some(12));
        let completed = events.push(write(&["13", "14", wrong, "16"]).as_bytes());
        assert_eq!(numbers(&completed.events), ["13", "14"]);
        assert_eq!(completed.fault, Some(fault));
        assert_eq!(events.last_id(), Some(14));
    }
}

#[test]
fn a_held_event_is_not_lost_where_the_engine_breaks_off() {
    let mut events = EventSplitter::default();
    assert_eq!(pass(&mut events, &["1", "2", "4"]).0, ["1", "2"]);
    events.on_resumed();
    let (forwarded, complete) = go_on(&mut events, &["3", "4"]);
    assert_eq!((forwarded, complete), (vec!["3".into(), "4".into()], true));
}

#[test]
fn a_comment_does_not_release_a_held_event() {
    let mut events = EventSplitter::default();
    let text = [&write(&["1", "3"]), ": ping\n\n", &write(&["3"])].concat();
    let completed = events.push(text.as_bytes());
    assert_eq!(numbers(&completed.events), ["1"]);
    assert!(completed.fault.is_some());
}

#[test]
fn a_stream_without_a_certain_number_is_cut() {
    check_cut(None, &["1", "1", "2"]);
    check_cut(None, &["6", "12", "18", "30", "36", "34"]);
    check_cut(None, &["", "", "3"]);
    check_left(None, &["0", "1", "1"], 2);
}

// Guards against: a stream whose numbers rise unevenly and that is cut, as its engine broke off (LOST).
#[test]
fn an_uneven_stream_that_an_engine_breaks_off_goes_on() {
    let mut events = EventSplitter::default();
    assert_eq!(pass(&mut events, &["3", "4", "9"]).0, ["3", "4"]);
    events.on_resumed();
    assert!(events.is_certain());
    let (forwarded, complete) = go_on(&mut events, &["7", "8", "12"]);
    assert_eq!(
        (forwarded, complete),
        (vec!["7".into(), "8".into(), "12".into()], true)
    );
}

#[test]
fn a_stream_without_numbers_is_served_and_not_resumed() {
    check_served(None, &["", "", ""]);
    check_served(None, &[""]);
    check_left(None, &["", "2", "3"], 0);
    check_left(Some(2), &["", "4"], 0);
}

#[test]
fn a_wrong_number_is_found_at_any_cut() {
    let text = write(&["1", "2", "3", "3", "5"]);
    for cut in 0..text.len() {
        let mut events = EventSplitter::default();
        let first = events.push(&text.as_bytes()[..cut]);
        let mut passed = numbers(&first.events);
        if first.fault.is_none() {
            let rest = events.push(&text.as_bytes()[cut..]);
            assert!(rest.fault.is_some());
            passed.extend(numbers(&rest.events));
        }
        assert_eq!(passed, ["1", "2", "3"]);
    }
}

#[test]
fn only_whole_events_are_forwarded() {
    let mut events = EventSplitter::default();
    let first = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&first.events[..], b"id: 1\ndata: a\n\n");
    assert!(!events.at_boundary());
    let second = events.push(b"ta: b\n\n");
    assert_eq!(&second.events[..], b"id: 2\ndata: b\n\n");
    assert!(events.at_boundary());
    assert_eq!(events.last_id(), Some(2));
}

#[test]
fn an_event_cut_in_the_middle_is_dropped_before_another_engine_goes_on() {
    let mut events = EventSplitter::resume_after(Some(6));
    events.push(b"id: 7\ndata: a\n\nid: 8\nda");
    events.on_resumed();
    let resumed = events.push(b"id: 8\ndata: b\n\n");
    assert_eq!(&resumed.events[..], b"id: 8\ndata: b\n\n");
}

#[test]
fn events_pass_unchanged_at_any_cut() {
    let text = b": ping\n\nid: 1\r\ndata: a\r\n\r\nweight-versions: 3\nid:2\ndata: b\n\n\
        : ping\n\nid: 9\ndata: c\n\n: ping\n\nid: 30\ndata: d\n\n";
    for cut in 0..text.len() {
        let mut events = EventSplitter::default();
        let mut passed = events.push(&text[..cut]).events.to_vec();
        passed.extend_from_slice(&events.push(&text[cut..]).events);
        passed.extend_from_slice(&events.finish());
        assert_eq!(passed, text);
    }
}

#[test]
fn an_event_too_large_is_a_fault() {
    let mut events = EventSplitter::default();
    let completed = events.push(&vec![b'x'; (1 << 20) + 1]);
    assert_eq!(completed.fault, Some(EventError::TooLarge));
}
