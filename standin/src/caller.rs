//! The stand-in for a caller: sends requests, verifies that answers are whole and their own.
//!
//! A request is sent once, on a connection of its own, and never again by itself.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use basilgw::ids::{AdapterId, ClientAccount, KeyId, ModelId, RequestId, Text, VmId};
use basilgw::schema::caller::{ErrorBody, ErrorResponse};
use bytes::{Bytes, BytesMut};
use http::{HeaderName, Method, StatusCode};
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::ClientError;
use volo_http::response::Response;

use crate::engine::answer::digest;
use crate::history::{Echo, Event, Micros, Outcome, Sent};
use crate::record::Recorder;

/// Added to a request's deadline before the caller gives up.
const PATIENCE: Duration = Duration::from_secs(3);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a caller cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("the HTTP client cannot be built: {0}")]
pub struct OpenError(String);

/// A VM's listener for callers.
#[derive(Clone, Debug)]
pub struct Target {
    /// The VM.
    pub vm: VmId,
    /// Its address.
    pub address: SocketAddr,
}

/// A test key.
#[derive(Clone, Debug)]
pub struct Credential {
    /// Its public name.
    pub key: KeyId,
    /// Its account.
    pub account: ClientAccount,
    /// The secret.
    pub secret: Text,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Ask {
    request: RequestId,
    method: Method,
    path: String,
    body: Bytes,
    digest: Text,
    model: Option<ModelId>,
    adapter: Option<AdapterId>,
    /// The key it carries.
    pub credential: Option<Credential>,
    /// Whether the declaration lets its account reach what it asks for.
    pub allowed: bool,
    /// Whether the route is open to all.
    pub open: bool,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Its idempotency key.
    pub once: Option<Text>,
    /// Time to its deadline.
    pub deadline: Duration,
    /// More headers.
    pub headers: Vec<(HeaderName, String)>,
}

impl Ask {
    /// A completion by a model; the prompt also names the request, so that no two are alike.
    pub fn chat(
        request: RequestId,
        credential: &Credential,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        tokens: u64,
        stream: bool,
    ) -> Self {
        let named = match adapter {
            Some(adapter) => format!("{model}/{adapter}"),
            None => model.to_string(),
        };
        let messages = json!([{"role": "user", "content": format!("draft for {request}")}]);
        let body = json!({
            "model": named,
            "messages": messages,
            "max_tokens": tokens,
            "stream": stream,
        });
        Self {
            digest: digest(messages.to_string().as_bytes()),
            model: Some(model.clone()),
            adapter: adapter.cloned(),
            idempotent: true,
            ..Self::call(
                request,
                Some(credential),
                Method::POST,
                "/v1/chat/completions",
                body.to_string().into(),
            )
        }
    }

    /// A call of a plain service.
    pub fn call(
        request: RequestId,
        credential: Option<&Credential>,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Self {
        Self {
            request,
            method,
            path: path.to_owned(),
            digest: digest(&body),
            body,
            model: None,
            adapter: None,
            credential: credential.cloned(),
            allowed: true,
            open: false,
            idempotent: false,
            once: None,
            deadline: Duration::from_secs(10),
            headers: Vec::new(),
        }
    }

    /// The same with an idempotency key.
    #[must_use]
    pub fn once(mut self, key: &str) -> Self {
        self.once = Some(key.into());
        self
    }

    fn sent(&self, vm: &VmId) -> Sent {
        Sent {
            request: self.request.clone(),
            vm: vm.clone(),
            key: self.credential.as_ref().map(|c| c.key.clone()),
            account: self.credential.as_ref().map(|c| c.account.clone()),
            allowed: self.allowed,
            open: self.open,
            idempotent: self.idempotent,
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            digest: self.digest.clone(),
            once: self.once.clone(),
            deadline: self.deadline.as_millis() as u64,
        }
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    /// How the request ended.
    pub outcome: Outcome,
    /// The body, as far as it came.
    pub body: Bytes,
    /// When to come back, where the answer says so, in seconds.
    pub retry: Option<u64>,
}

/// A caller.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    recorder: Arc<Recorder>,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caller")
            .field("recorder", &self.recorder)
            .finish_non_exhaustive()
    }
}

impl Caller {
    /// A caller that records under a name.
    ///
    /// # Errors
    ///
    /// Where the HTTP client cannot be built.
    pub fn open(party: &str) -> Result<Self, OpenError> {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_max_idle_per_host(0);
        let client = builder.build().map_err(|e| OpenError(e.to_string()))?;
        Ok(Self {
            client,
            recorder: Recorder::open(party),
        })
    }

    /// What it recorded.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.recorder
    }

    /// Sends a request and waits for its end.
    pub async fn send(&self, to: &Target, ask: &Ask) -> Got {
        self.recorder.record(Event::Sent(ask.sent(&to.vm)));
        let until = Instant::now() + ask.deadline + PATIENCE;
        let mut reading = Reading::default();
        let (outcome, retry) = self.exchange(to, ask, until, &mut reading).await;
        self.recorder.record(Event::Answered {
            request: ask.request.clone(),
            outcome: outcome.clone(),
            last: reading.last,
        });
        Got {
            outcome,
            body: reading.body.freeze(),
            retry,
        }
    }

    async fn exchange(
        &self,
        to: &Target,
        ask: &Ask,
        until: Instant,
        reading: &mut Reading,
    ) -> (Outcome, Option<u64>) {
        let uri = format!("http://{}{}", to.address, ask.path);
        let mut request = self
            .client
            .request(ask.method.clone(), uri)
            .header("x-request-id", ask.request.as_str())
            .header("x-deadline-ms", ask.deadline.as_millis().to_string())
            .header("content-type", "application/json")
            .data(ask.body.clone());
        if let Some(credential) = &ask.credential {
            request = request.header("authorization", format!("Bearer {}", credential.secret));
        }
        if let Some(once) = &ask.once {
            request = request.header("idempotency-key", once.as_str());
        }
        for (name, value) in &ask.headers {
            request = request.header(name.clone(), value.as_str());
        }
        let response: Response<Body> = match timeout_at(until, request.send()).await {
            Err(_) => return (Outcome::Silent, None),
            Ok(Err(error)) if is_unsent(&error) => return (Outcome::Unreachable, None),
            Ok(Err(_)) => return (Outcome::Broken, None),
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        let header = |name: &str| head.headers.get(name)?.to_str().ok();
        let retry = header("retry-after").and_then(|wait| wait.parse().ok());
        let end = reading.read(body, until, &self.recorder).await;
        let streamed = header("content-type").is_some_and(|m| m.starts_with("text/event-stream"));
        let outcome = match end {
            End::Whole if streamed => events(&reading.body),
            End::Whole => whole(head.status, &reading.body),
            End::Cut => Outcome::Cut {
                code: None,
                ran: None,
            },
            End::Silent => Outcome::Silent,
        };
        (outcome, retry)
    }
}

/// Whether no connection could be made. The client reports that as a failed request whose source
/// is the socket's own error; once connected, the source is one of HTTP.
fn is_unsent(error: &ClientError) -> bool {
    error.source().is_some_and(<dyn Error>::is::<io::Error>)
}

enum End {
    Whole,
    Cut,
    Silent,
}

#[derive(Default)]
struct Reading {
    body: BytesMut,
    last: Option<Micros>,
}

impl Reading {
    async fn read(&mut self, mut body: Body, until: Instant, recorder: &Recorder) -> End {
        loop {
            match timeout_at(until, body.frame()).await {
                Err(_) => return End::Silent,
                Ok(None) => return End::Whole,
                Ok(Some(Err(_))) => return End::Cut,
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.body.extend_from_slice(&data);
                    self.last = Some(recorder.now());
                }
            }
        }
    }
}

/// What a caller reads of an answer that an upstream made.
#[derive(Debug, Deserialize)]
struct Answer {
    echo: Option<Echo>,
    usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<Part>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Part {
    text: String,
}

fn whole(status: StatusCode, body: &[u8]) -> Outcome {
    if let Ok(ErrorResponse { error }) = serde_json::from_slice(body) {
        return refused(status, &error);
    }
    let answer: Option<Answer> = serde_json::from_slice(body).ok();
    match answer {
        Some(answer) => verified(status, answer),
        None if status.is_success() && !body.is_empty() => Outcome::Truncated,
        None => Outcome::Whole {
            status: status.as_u16(),
            echo: None,
        },
    }
}

fn refused(status: StatusCode, error: &ErrorBody) -> Outcome {
    Outcome::Refused {
        status: status.as_u16(),
        code: error.code,
        ran: error.ran,
    }
}

/// A whole answer, or a garbled one where a token is missing, doubled or another request's.
fn verified(status: StatusCode, answer: Answer) -> Outcome {
    let got: String = answer
        .choices
        .iter()
        .map(|part| part.text.as_str())
        .collect();
    let tokens = answer.usage.map_or(0, |usage| usage.completion_tokens);
    let expected = answer.echo.as_ref().map(|echo| {
        let token = |index| format!("{}#{index} ", echo.request);
        (0..tokens).map(token).collect::<String>()
    });
    if expected.is_some_and(|expected| expected != got) {
        return Outcome::Garbled;
    }
    Outcome::Whole {
        status: status.as_u16(),
        echo: answer.echo,
    }
}

fn events(body: &[u8]) -> Outcome {
    let text = String::from_utf8_lossy(body);
    let mut all = Answer {
        echo: None,
        usage: None,
        choices: Vec::new(),
    };
    let mut failed = false;
    for line in text.lines() {
        if line.trim_end() == "event: error" {
            failed = true;
        }
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            continue;
        };
        if data == "[DONE]" {
            return verified(StatusCode::OK, all);
        }
        if failed {
            let error: Option<ErrorResponse> = serde_json::from_str(data).ok();
            return Outcome::Cut {
                code: error.as_ref().map(|answer| answer.error.code),
                ran: error.map(|answer| answer.error.ran),
            };
        }
        let Ok(part) = serde_json::from_str::<Answer>(data) else {
            return Outcome::Garbled;
        };
        all.choices.extend(part.choices);
        all.echo = part.echo.or(all.echo);
        all.usage = part.usage.or(all.usage);
    }
    Outcome::Truncated
}
