//! Which requests are copies of each other.

use basilgw::gateway::request::{PromptPart, RequestHead, Target};
use basilgw::gateway::request_digest::request_digest;
use basilgw::ids::{ClientAccount, PartHash, RequestDigest};
use basilgw::units::Tokens;
use http::{HeaderValue, Method};

mod gateway_support;
use gateway_support::{id, request_head};

fn digest(account: Option<&str>, head: &RequestHead, body: &str) -> RequestDigest {
    let account: Option<ClientAccount> = account.map(id);
    request_digest(account.as_ref(), head, body.as_bytes())
}

fn plain(path: &str) -> RequestHead {
    let mut head = request_head("r1", None);
    head.uri = path.parse().expect("a path");
    head.target = None;
    head
}

// Guards against: a copy with another id, key or header that is taken for another request.
#[test]
fn copies_differ_in_what_no_upstream_works_on() {
    let first = plain("/read/a?b=1");
    let mut second = first.clone();
    second.id = id("r2");
    second.key = Some("another-key-of-the-account".into());
    let value = HeaderValue::from_static("7");
    second.headers.insert("idempotency-key", value);
    second.last_event = Some(4);
    let known = digest(Some("club"), &first, "body");
    assert_eq!(known, digest(Some("club"), &second, "body"));
    assert_eq!(known.to_string().parse(), Ok(known));
}

// Guards against: sound requests held back with one that shares most of its fields.
#[test]
fn requests_that_differ_in_one_field_are_no_copies() {
    let head = plain("/read/a?b=1");
    let known = digest(Some("club"), &head, "body");
    assert_ne!(known, digest(Some("other"), &head, "body"));
    assert_ne!(known, digest(None, &head, "body"));
    assert_ne!(known, digest(Some("club"), &head, "bod"));
    assert_ne!(
        known,
        digest(Some("club"), &plain("/read/a?b=2"), "body"),
        "the query"
    );
    let mut method = head.clone();
    method.method = Method::DELETE;
    assert_ne!(known, digest(Some("club"), &method, "body"));
    let mut host = head.clone();
    host.host = "another.example".into();
    assert_ne!(known, digest(Some("club"), &host, "body"));
    let mut model = head;
    model.target = Some(Target {
        model: id("m1"),
        adapter: None,
    });
    let of_model = digest(Some("club"), &model, "body");
    assert_ne!(known, of_model);
    model.target = Some(Target {
        model: id("m1"),
        adapter: Some(id("a1")),
    });
    assert_ne!(of_model, digest(Some("club"), &model, "body"));
}

fn prompt(hashes: &[u64]) -> RequestHead {
    let mut head = plain("/chat/");
    let parts = hashes.iter().map(|hash| PromptPart {
        hash: PartHash(*hash),
        tokens: Tokens(5),
    });
    head.prompt_parts = parts.collect();
    head
}

// Guards against: sound prompts without a body held back with one that has a part that crashes engines.
#[test]
fn requests_that_differ_in_a_shared_part_are_no_copies() {
    let digests = [
        &[1, 2, 9][..],
        &[1, 3, 9],
        &[2, 1, 9],
        &[1, 9],
        &[1, 2, 3, 9],
    ]
    .map(|hashes| digest(Some("club"), &prompt(hashes), ""));
    for (n, known) in digests.iter().enumerate() {
        assert!(!digests[..n].contains(known), "prompt {n}");
    }
    let zeros = "\0".repeat(8);
    assert_ne!(
        digest(None, &prompt(&[8, 9]), ""),
        digest(None, &prompt(&[9]), &zeros)
    );
}

// Guards against: a copy in another session that is taken for another request.
#[test]
fn copies_may_differ_in_the_last_part() {
    let known = digest(Some("club"), &prompt(&[1, 2, 8]), "");
    assert_eq!(known, digest(Some("club"), &prompt(&[1, 2, 9]), ""));
}

// Guards against: bytes that move from one field to the next and give the same digest.
#[test]
fn fields_are_delimited() {
    let short = digest(Some("club"), &plain("/a"), "bc");
    assert_ne!(short, digest(Some("club"), &plain("/ab"), "c"));
    assert_ne!(
        digest(None, &plain("/a"), ""),
        digest(None, &plain("/"), "a")
    );
}
