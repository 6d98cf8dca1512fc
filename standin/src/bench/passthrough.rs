//! A bare pass-through: one server, one client, no decisions.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

use http::StatusCode;
use http_body_util::BodyExt;
use volo::Service;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::context::ServerContext;
use volo_http::error::BoxError;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

/// Sends every request on to one upstream.
#[derive(Clone)]
struct Passthrough {
    client: Client,
    to: SocketAddr,
    replica: String,
}

impl Passthrough {
    async fn pass(&self, request: Request) -> Result<Response, BoxError> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let uri = format!("http://{}{}", self.to, head.uri.path());
        let mut outgoing = self.client.request(head.method, uri);
        outgoing = outgoing.header("x-replica", self.replica.as_str());
        for name in ["content-type", "x-request-id"] {
            if let Some(value) = head.headers.get(name) {
                outgoing = outgoing.header(name, value.clone());
            }
        }
        Ok(outgoing.body(Body::from(body)).send().await?)
    }
}

impl Service<ServerContext, Request> for Passthrough {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.pass(req).await.unwrap_or_else(|_| {
            let mut failed = Response::new(Body::empty());
            *failed.status_mut() = StatusCode::BAD_GATEWAY;
            failed
        }))
    }
}

/// Listens and passes on to a replica until a signal; `bound` is told where.
///
/// # Errors
///
/// Where the address cannot be bound or the server fails.
pub async fn run<F>(listen: SocketAddr, to: SocketAddr, replica: String, bound: F) -> io::Result<()>
where
    F: FnOnce(SocketAddr) -> io::Result<()>,
{
    let client = Client::builder().build().map_err(io::Error::other)?;
    let listener = basilgw::listen::bind(listen)?;
    bound(listener.local_addr()?)?;
    let server = Server::new(Passthrough {
        client,
        to,
        replica,
    })
    .http1_only();
    server
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(io::Error::other)
}
