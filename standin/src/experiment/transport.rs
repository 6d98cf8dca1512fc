//! What the dispatcher and its transport add to a bare HTTP client.
//!
//! Callers in this process read event streams from a server in this process, by turns through a
//! bare `volo-http` client and through the dispatcher. Both read the same bytes over loopback; the
//! difference in processor time a chunk, and in time to the first chunk, is what is added. One JSON
//! line a run.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::clock::SystemClock;
use basilgw::ids::Generation;
use basilgw::route::UpstreamRequest;
use basilgw::route::balancer::{Balancer, BalancerSettings};
use basilgw::route::dispatch::{Dispatcher, Job};
use basilgw::route::http::HttpTransport;
use basilgw::schema::settings::UpstreamSettings;
use basilgw::store::{Instance, InstanceKind, InstanceState};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body_util::BodyExt;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use volo::net::Address;
use volo_http::client::{Client, ClientBuilder};

use super::ExperimentError;

const CALLERS: [usize; 3] = [1, 16, 256];
const ROUNDS: usize = 3;
const CHUNKS: usize = 200;
const CHUNK_PAUSE: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_mins(1);
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
const CHUNK: &str = "2f\r\ndata: {\"choices\":[{\"text\":\"word and more \"}]}\n\n\r\n";
const LAST: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// How the streams are read.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Bare,
    Dispatcher,
}

/// One run's figures.
#[derive(Debug, Serialize)]
struct Line {
    experiment: &'static str,
    mode: Mode,
    callers: usize,
    chunks: u64,
    cpu_ns_per_chunk: u64,
    first_p50_us: u64,
    first_p99_us: u64,
}

/// Both readers.
struct Bench {
    address: SocketAddr,
    instance: Instance,
    bare: Client,
    dispatcher: Dispatcher,
}

/// Runs both modes by turns.
pub fn run<W>(out: &mut W) -> ExitCode
where
    W: Write,
{
    let Ok(runtime) = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    else {
        return ExitCode::FAILURE;
    };
    match runtime.block_on(measure(out)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure<W>(out: &mut W) -> Result<(), ExperimentError>
where
    W: Write,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let bench = Arc::new(Bench::open(listener.local_addr()?)?);
    tokio::spawn(accept(listener));
    for callers in CALLERS {
        for _ in 0..ROUNDS {
            for mode in [Mode::Bare, Mode::Dispatcher] {
                let line = run_once(&bench, mode, callers).await?;
                serde_json::to_writer(&mut *out, &line)?;
                writeln!(out)?;
            }
        }
    }
    Ok(())
}

async fn run_once(bench: &Arc<Bench>, mode: Mode, callers: usize) -> Result<Line, ExperimentError> {
    let before = cpu_ns()?;
    let tasks = (0..callers).map(|_| {
        let bench = Arc::clone(bench);
        tokio::spawn(async move { bench.read(mode).await })
    });
    let mut first = Histogram::<u64>::new_with_max(DEADLINE.as_micros() as u64, 3)?;
    let mut chunks = 0;
    for read in join_all(tasks).await {
        let (span, count) = read??;
        first.saturating_record(span.as_micros() as u64);
        chunks += count;
    }
    let spent = cpu_ns()?.saturating_sub(before);
    Ok(Line {
        experiment: "transport",
        mode,
        callers,
        chunks,
        cpu_ns_per_chunk: spent / chunks.max(1),
        first_p50_us: first.value_at_quantile(0.5),
        first_p99_us: first.value_at_quantile(0.99),
    })
}

impl Bench {
    fn open(address: SocketAddr) -> Result<Self, ExperimentError> {
        let clock = SystemClock::open();
        let settings: UpstreamSettings = serde_json::from_str("{}")?;
        let transport = HttpTransport::open(Arc::clone(&clock), &settings)?;
        let instance = Instance {
            address: address.to_string().into(),
            centre: "dc-a".parse()?,
            fenced: true,
            generation: Generation(1),
            kind: InstanceKind::Engine,
            memory: None,
            service: None,
            state: InstanceState::Live,
            vm: "e1".parse()?,
        };
        let choose = BalancerSettings {
            centre: instance.centre.clone(),
            retry_percent: settings.budget,
            seed: 1,
        };
        let balancer = Balancer::open(&choose, clock.now());
        let dispatcher = Dispatcher::open(
            Arc::new(balancer),
            Arc::new(transport),
            clock,
            settings.retries,
        );
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(0);
        Ok(Self {
            address,
            instance,
            bare: builder.build()?,
            dispatcher,
        })
    }

    /// Reads one stream; the time to its first chunk and the number of its chunks.
    async fn read(&self, mode: Mode) -> Result<(Duration, u64), ExperimentError> {
        match mode {
            Mode::Bare => self.read_bare().await,
            Mode::Dispatcher => self.read_dispatched().await,
        }
    }

    async fn read_bare(&self) -> Result<(Duration, u64), ExperimentError> {
        let start = Instant::now();
        let request = self.bare.post("/v1/completions");
        let request = request.address(Address::from(self.address));
        let request = request.header(header::CONNECTION, "close").data("{}");
        let mut body = request.send().await?.into_body();
        let mut first = None;
        let mut count = 0;
        while let Some(frame) = body.frame().await {
            frame.or(Err(ExperimentError::Cut))?;
            first.get_or_insert_with(|| start.elapsed());
            count += 1;
        }
        Ok((first.unwrap_or_default(), count))
    }

    async fn read_dispatched(&self) -> Result<(Duration, u64), ExperimentError> {
        let start = Instant::now();
        let mut headers = HeaderMap::new();
        headers.insert(
            header::ACCEPT,
            HeaderValue::from_static("text/event-stream"),
        );
        let job = Job {
            request: UpstreamRequest {
                method: Method::POST,
                path: "/v1/completions".into(),
                headers,
                body: Bytes::from_static(b"{}"),
                new_connection: true,
            },
            idempotent: true,
            deadline: start + DEADLINE,
            prefix: Some(7),
            replicas: BTreeMap::new(),
        };
        let among = std::slice::from_ref(&self.instance);
        let served = self.dispatcher.dispatch(among, &job).await?;
        let mut body = served.response.body;
        let mut first = None;
        let mut count = 0;
        while let Some(chunk) = body.next().await {
            chunk?;
            first.get_or_insert_with(|| start.elapsed());
            count += 1;
        }
        Ok((first.unwrap_or_default(), count))
    }
}

async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream));
    }
}

/// Streams one answer, a chunk a pause.
async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n{}") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    stream.write_all(HEAD.as_bytes()).await?;
    for _ in 0..CHUNKS {
        stream.write_all(CHUNK.as_bytes()).await?;
        tokio::time::sleep(CHUNK_PAUSE).await;
    }
    stream.write_all(LAST.as_bytes()).await
}

/// Processor time of all threads of this process, in nanoseconds.
fn cpu_ns() -> Result<u64, ExperimentError> {
    let mut total = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let spent = text.split_whitespace().next().unwrap_or_default();
        total += spent.parse::<u64>().or(Err(ExperimentError::Cpu))?;
    }
    Ok(total)
}
