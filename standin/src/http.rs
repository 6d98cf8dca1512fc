//! The HTTP shell that all serving stand-ins share.

use std::convert::Infallible;
use std::fmt::Debug;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::panic::resume_unwind;
use std::sync::{Arc, OnceLock, Weak};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{Stream, TryStreamExt};
use http::{HeaderMap, Method, StatusCode};
use http_body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;

use tokio::task::JoinHandle;
use volo::Service;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::{Body, BodyConversion};
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::gate::{Gate, Mode};

/// A request, read whole.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its query.
    pub query: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A header, parsed.
    pub fn parsed<T>(&self, name: &str) -> Option<T>
    where
        T: std::str::FromStr,
    {
        self.header(name)?.parse().ok()
    }

    /// A number out of the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next()?.1.parse().ok()
    }

    /// The body as JSON.
    pub fn json<T>(&self) -> Option<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).ok()
    }

    /// Request line, header lines and body, as received.
    pub fn raw(&self) -> String {
        let first = format!("{} {}?{}\n", self.method, self.path, self.query);
        let lines = self.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            format!("{name}: {value}\n")
        });
        let head = lines.fold(first, |head, line| head + &line);
        head + &String::from_utf8_lossy(&self.body)
    }
}

/// What becomes of a call.
#[derive(Debug)]
pub enum Reply {
    /// An answer.
    Answer(Response),
    /// The connection closes without an answer.
    Abort,
    /// Nothing is ever answered.
    Silence,
}

impl Reply {
    /// An answer with a JSON body.
    pub fn json<T>(status: StatusCode, value: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", body.into())
    }

    /// An answer with a body of bytes.
    pub fn bytes(status: StatusCode, media: &'static str, body: Bytes) -> Self {
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = status;
        let media = http::HeaderValue::from_static(media);
        response.headers_mut().insert("content-type", media);
        Self::Answer(response)
    }

    /// An answer without a body.
    pub fn status(status: StatusCode) -> Self {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        Self::Answer(response)
    }

    /// An answer of server-sent events; an error in the stream cuts it.
    pub fn stream<S>(media: &'static str, stream: S) -> Self
    where
        S: Stream<Item = io::Result<Bytes>> + Send + Sync + 'static,
    {
        let frames = stream.map_ok(Frame::data).map_err(Into::into);
        let mut response = Response::new(Body::from_stream(frames));
        let media = http::HeaderValue::from_static(media);
        response.headers_mut().insert("content-type", media);
        Self::Answer(response)
    }

    /// The same answer with one more header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        if let (Self::Answer(response), Ok(value)) = (&mut self, value.parse()) {
            response.headers_mut().insert(name, value);
        }
        self
    }
}

/// What a stand-in answers.
pub trait Api: Send + Sync + Debug + 'static {
    /// Answers a call.
    fn handle(&self, call: Call) -> BoxFuture<'_, Reply>;
}

struct Shell(Arc<dyn Api>);

impl Service<ServerContext, Request> for Shell {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let (head, body) = req.into_parts();
        let Ok(body) = body.into_bytes().await else {
            close();
        };
        let call = Call {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
        };
        match self.0.handle(call).await {
            Reply::Answer(response) => Ok(response),
            Reply::Abort => close(),
            Reply::Silence => std::future::pending().await,
        }
    }
}

/// Ends the connection's task, which closes the connection without an answer.
fn close() -> ! {
    resume_unwind(Box::new("connection closed on command"))
}

/// A stand-in that listens.
#[derive(Debug)]
pub struct Listening {
    gate: Arc<Gate>,
    admin: SocketAddr,
    task: JoinHandle<()>,
}

/// Addresses of a stand-in, printed when it listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// Where it serves, through its gate.
    pub listening: SocketAddr,
    /// The same API behind the gate, so that faults can be ended.
    pub admin: SocketAddr,
}

impl Listening {
    /// Serves an API on `listen`, behind a gate.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    #[expect(
        clippy::unused_async,
        reason = "a bind of a stand-in is awaited like any other"
    )]
    pub async fn bind(
        listen: SocketAddr,
        handle: &GateHandle,
        api: Arc<dyn Api>,
    ) -> io::Result<Self> {
        let inner = basilgw::listen::bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let admin = inner.local_addr()?;
        let gate = Arc::new(Gate::bind(listen, admin)?);
        handle.0.get_or_init(|| Arc::downgrade(&gate));
        let server = Server::new(Shell(api)).http1_only();
        let task = tokio::spawn(async move {
            // The server ends only by a signal, when the whole process ends.
            let _ = server.run(DefaultIncoming::from(inner)).await;
        });
        Ok(Self { gate, admin, task })
    }

    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            listening: self.gate.address(),
            admin: self.admin,
        }
    }

    /// Changes what its gate does.
    pub fn set(&self, mode: Mode) {
        self.gate.set(mode);
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Lets an API change its own gate.
#[derive(Debug, Default)]
pub struct GateHandle(OnceLock<Weak<Gate>>);

impl GateHandle {
    /// Answers `PUT /admin/gate`, whose body is a mode.
    pub fn handle(&self, call: &Call) -> Reply {
        let gate = self.0.get().and_then(Weak::upgrade);
        let (Some(mode), Some(gate)) = (call.json(), gate) else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        gate.set(mode);
        Reply::status(StatusCode::NO_CONTENT)
    }
}
