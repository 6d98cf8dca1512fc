//! Tests that no byte of a caller's key reaches an upstream, wherever the caller put it.

mod route_support;

use std::time::{Duration, Instant};

use basilgw::clock::SystemClock;
use basilgw::declare::Key;
use basilgw::outcome::{Reason, Refusal};
use basilgw::route::Transport;
use basilgw::route::headers::{build_request, contains_key_text, filter_response_headers};
use basilgw::route::http::HttpTransport;
use basilgw::store::InstanceKind;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use proptest::prelude::*;
use route_support::{Action, ScriptedUpstream, instance, settings};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A caller's request, with the parts that may contain a key.
#[derive(Clone, Debug)]
struct CallerRequest {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl CallerRequest {
    fn new() -> Self {
        Self {
            path: "/draws?heat=7".to_owned(),
            headers: vec![("content-type", "application/json".to_owned())],
            body: r#"{"lane":4}"#.to_owned(),
        }
    }

    fn header_map(&self) -> HeaderMap {
        let mut map = HeaderMap::new();
        for (name, value) in &self.headers {
            let value = HeaderValue::from_str(value).expect("a value");
            map.append(HeaderName::from_static(name), value);
        }
        map
    }

    /// Sends the request as the edge does. Returns every byte that the upstream received, or the
    /// refusal.
    async fn send(&self) -> Result<Vec<u8>, Refusal> {
        let upstream = ScriptedUpstream::bind(vec![Action::Respond(OK)]).await;
        let to = instance("s1", upstream.address(), InstanceKind::Service);
        let body = Bytes::from(self.body.clone());
        let request = build_request(Method::POST, &self.path, &self.header_map(), body)?;
        let transport = HttpTransport::open(SystemClock::open(), &settings()).expect("builds");
        let deadline = Instant::now() + Duration::from_secs(10);
        let response = transport.send(&to, request, deadline).await?;
        assert_eq!(response.status, 200);
        Ok(upstream.received())
    }
}

fn percent(text: &str) -> String {
    text.bytes()
        .fold(String::new(), |text, byte| text + &format!("%{byte:02x}"))
}

fn json_escapes(text: &str) -> String {
    text.bytes()
        .fold(String::new(), |text, byte| text + &format!("\\u{byte:04X}"))
}

#[tokio::test]
async fn headers_that_carry_credentials_stay_behind() {
    let key = Key::mint();
    let secret = key.reveal();
    let basic = format!("Basic {secret}");
    for name in [
        "authorization",
        "proxy-authorization",
        "cookie",
        "x-api-key",
        "x-forwarded-for",
        "forwarded",
        "referer",
        "user-agent",
        "host",
        "via",
        "te",
        "trailer",
        "x-replica",
        "x-priority",
        "x-adapter",
        "x-deadline-ms",
    ] {
        let mut request = CallerRequest::new();
        request.headers.push((name, basic.clone()));
        let received = request.send().await.expect("passes without the header");
        assert!(!contains(&received, &secret[3..]), "{name}");
        assert!(contains(&received, r#"{"lane":4}"#), "{name}");
        assert!(contains(&received, "/draws?heat=7"), "{name}");
    }
}

#[tokio::test]
async fn a_key_in_what_is_forwarded_is_refused() {
    let key = Key::mint();
    let secret = key.reveal();
    let forms = [
        secret.to_owned(),
        secret.to_uppercase(),
        percent(secret),
        json_escapes(secret),
        format!("b%6b{}", &secret[2..]),
    ];
    for form in &forms {
        let mut cases = Vec::new();
        for name in [
            "accept",
            "content-type",
            "idempotency-key",
            "x-request-id",
            "traceparent",
        ] {
            let mut request = CallerRequest::new();
            request.headers.retain(|(other, _)| *other != name);
            request.headers.push((name, format!("a {form} b")));
            cases.push(request);
        }
        for path in [
            format!("/{form}/x"),
            format!("/x?key={form}"),
            format!("/x?{form}=1"),
        ] {
            cases.push(CallerRequest {
                path,
                ..CallerRequest::new()
            });
        }
        let body = format!(r#"{{"messages":[{{"content":"my key: {form}"}}]}}"#);
        cases.push(CallerRequest {
            body,
            ..CallerRequest::new()
        });
        for request in cases {
            let refused = request.send().await;
            assert_eq!(
                refused,
                Err(Refusal::not_run(Reason::Malformed)),
                "{request:?}"
            );
        }
    }
}

#[tokio::test]
async fn repeated_headers_forward_their_first_value_alone() {
    let mut request = CallerRequest::new();
    request.headers.push(("x-request-id", "one".to_owned()));
    request
        .headers
        .push(("x-request-id", Key::mint().reveal().to_owned()));
    let received = request.send().await.expect("passes");
    assert!(contains(&received, "one"));
    assert!(!contains(&received, "bk_"));
}

#[test]
fn a_path_that_cannot_be_sent_is_malformed() {
    let build = |path| build_request(Method::GET, path, &HeaderMap::new(), Bytes::new());
    for path in ["", "x", "*", "http://other/x", "/a b", "/a\r\nHost: b"] {
        let refused = build(path).expect_err("malformed");
        assert_eq!(refused, Refusal::not_run(Reason::Malformed), "{path:?}");
    }
    build("//other/x?y=%20").expect("a path");
}

#[test]
fn answers_return_by_an_allow_list() {
    let mut headers = HeaderMap::new();
    for name in [
        "set-cookie",
        "connection",
        "x-internal",
        "content-type",
        "etag",
    ] {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static("v"));
    }
    let returned = filter_response_headers(&headers);
    assert!(returned.contains_key("content-type") && returned.contains_key("etag"));
    assert_eq!(returned.len(), 2);
}

#[test]
fn text_that_only_resembles_a_key_passes() {
    for text in [
        "bk_",
        "bk_123",
        "100%",
        "%zz",
        "\\u12",
        "bk_g",
        &"0".repeat(200),
    ] {
        assert!(!contains_key_text(text.as_bytes()), "{text}");
    }
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|window| window.eq_ignore_ascii_case(text.as_bytes()))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_is_found_with_any_of_its_characters_escaped(
        before in ".{0,20}",
        after in ".{0,20}",
        digits in proptest::collection::vec(any::<u8>(), 32),
        forms in proptest::collection::vec(0..3_u8, 67),
    ) {
        let digits = <[u8; 32]>::try_from(digits).expect("32 bytes");
        let key = format!("bk_{}", blake3::Hash::from_bytes(digits));
        let mut text = before;
        for (c, form) in key.chars().zip(forms) {
            let c = c.to_string();
            text += &match form { 0 => c, 1 => percent(&c), _ => json_escapes(&c) };
        }
        text += &after;
        prop_assert!(contains_key_text(text.as_bytes()));
    }
}
