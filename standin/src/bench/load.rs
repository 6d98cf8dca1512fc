//! Streamed load on one address, with what it cost the process behind it.
//!
//! Each caller sends one request after another. Latencies run from the sending of a request to its
//! first chunk and to its end mark; an answer without its end mark counts as failed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::ids::RequestId;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use serde::Serialize;
use tokio::sync::Mutex;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

use super::usage;

const END_MARK: &[u8] = b"[DONE]";
const MAX_MICROS: u64 = 120_000_000;

/// What to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where to.
    pub to: SocketAddr,
    /// Callers at once.
    pub callers: usize,
    /// Requests of each caller.
    pub requests: usize,
    /// Tokens of each answer.
    pub tokens: usize,
    /// The key that each request carries.
    pub key: String,
    /// The model asked for.
    pub model: String,
    /// The process whose cost is read.
    pub pid: u32,
}

/// What came back.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    callers: usize,
    answers: u64,
    failed: u64,
    chunks: u64,
    seconds: f64,
    first_p50_us: u64,
    first_p99_us: u64,
    whole_p50_us: u64,
    whole_p99_us: u64,
    cpu_us_per_chunk: f64,
    cpu_share: f64,
    resident_bytes: u64,
}

struct Tally {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    chunks: u64,
    failed: u64,
}

impl Tally {
    fn open() -> io::Result<Self> {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).map_err(io::Error::other);
        Ok(Self {
            first: histogram()?,
            whole: histogram()?,
            chunks: 0,
            failed: 0,
        })
    }
}

/// Sends the load and reports.
///
/// # Errors
///
/// Where the process cannot be read or the client cannot be built.
pub async fn run(plan: Plan) -> io::Result<Report> {
    let tally = Arc::new(Mutex::new(Tally::open()?));
    let before = usage::read(plan.pid)?;
    let begun = Instant::now();
    let callers = (0..plan.callers).map(|_| call_all(plan.clone(), Arc::clone(&tally)));
    for outcome in join_all(callers).await {
        outcome?;
    }
    let spent = begun.elapsed();
    let after = usage::read(plan.pid)?;
    let tally = tally.lock().await;
    let cpu = after.cpu.saturating_sub(before.cpu);
    Ok(Report {
        callers: plan.callers,
        answers: tally.whole.len(),
        failed: tally.failed,
        chunks: tally.chunks,
        seconds: spent.as_secs_f64(),
        first_p50_us: tally.first.value_at_quantile(0.5),
        first_p99_us: tally.first.value_at_quantile(0.99),
        whole_p50_us: tally.whole.value_at_quantile(0.5),
        whole_p99_us: tally.whole.value_at_quantile(0.99),
        cpu_us_per_chunk: cpu.as_micros() as f64 / tally.chunks.max(1) as f64,
        cpu_share: cpu.as_secs_f64() / spent.as_secs_f64(),
        resident_bytes: after.resident,
    })
}

struct Timing {
    first: Duration,
    whole: Duration,
    chunks: u64,
}

async fn call_all(plan: Plan, tally: Arc<Mutex<Tally>>) -> io::Result<()> {
    let client = Client::builder().build().map_err(io::Error::other)?;
    for _ in 0..plan.requests {
        let outcome = call(&client, &plan).await;
        let mut tally = tally.lock().await;
        match outcome {
            Some(timing) => {
                tally
                    .first
                    .saturating_record(timing.first.as_micros() as u64);
                tally
                    .whole
                    .saturating_record(timing.whole.as_micros() as u64);
                tally.chunks += timing.chunks;
            }
            None => tally.failed += 1,
        }
    }
    Ok(())
}

async fn call(client: &Client, plan: &Plan) -> Option<Timing> {
    let body = format!(
        r#"{{"model":"{}","stream":true,"max_tokens":{},"prompt":"measure"}}"#,
        plan.model, plan.tokens
    );
    let begun = Instant::now();
    let request = client.post(format!("http://{}/v1/completions", plan.to));
    let request = request
        .header("authorization", format!("Bearer {}", plan.key))
        .header("x-deadline-ms", "60000")
        .header("x-request-id", RequestId::random().to_string())
        .header("content-type", "application/json");
    let response: Response = request.body(Body::from(body)).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    let mut timing = Timing {
        first: Duration::ZERO,
        whole: Duration::ZERO,
        chunks: 0,
    };
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        let data = frame.data_ref()?;
        if timing.chunks == 0 {
            timing.first = begun.elapsed();
        }
        timing.chunks += data.windows(5).filter(|w| w == b"data:").count() as u64;
        done |= data.windows(END_MARK.len()).any(|w| w == END_MARK);
    }
    timing.whole = begun.elapsed();
    done.then_some(timing)
}
