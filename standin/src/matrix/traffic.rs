//! Traffic of all kinds, at all VMs.

use std::sync::Arc;
use std::time::Duration;

use basilgw::ids::RequestId;
use bytes::Bytes;
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};

use super::step::{booking, chat};
use crate::caller::Ask;
use crate::env::{Environment, RARE_MODELS};

const WORKERS: u64 = 4;
const KINDS: u32 = 10;
const SHORT_TOKENS: u64 = 8;
const DEADLINE: Duration = Duration::from_secs(2);
const SHORTEST_PAUSE_MS: u64 = 20;
const LONGEST_PAUSE_MS: u64 = 80;

/// Sends traffic until a moment and waits for its ends.
pub(super) async fn run(env: &Arc<Environment>, seed: u64, until: Instant) {
    let workers = (0..WORKERS).map(|worker| {
        let rng = StdRng::seed_from_u64(seed ^ (worker << 32));
        tokio::spawn(work(Arc::clone(env), worker, rng, until))
    });
    let workers: Vec<_> = workers.collect();
    for worker in workers {
        // A worker's requests are in the history; one that panicked left an unanswered one.
        let _ = worker.await;
    }
}

async fn work(env: Arc<Environment>, worker: u64, mut rng: StdRng, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        let vm = rng.random_range(0..env.vms.len());
        let kind = rng.random_range(0..KINDS);
        let pause = rng.random_range(SHORTEST_PAUSE_MS..LONGEST_PAUSE_MS);
        let name = format!("w{worker}-{number}");
        number += 1;
        let Ok(request) = name.parse() else { return };
        let ask = ask(&env, kind, request, &name);
        if env.vms[vm].is_running() {
            env.caller.send(&env.target(vm), &ask).await;
        }
        if kind == 0 {
            repeat(&env, vm + 1, &name).await;
        }
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends a booking again at another VM.
async fn repeat(env: &Arc<Environment>, vm: usize, name: &str) {
    let Ok(request) = format!("{name}-again").parse() else {
        return;
    };
    let ask = booking(request, &env.site.club, name);
    if env.vms[vm % env.vms.len()].is_running() {
        env.caller.send(&env.target(vm), &ask).await;
    }
}

fn ask(env: &Environment, kind: u32, request: RequestId, name: &str) -> Ask {
    let site = &env.site;
    let mut ask = match kind {
        0 => booking(request, &site.club, name),
        1 => call(request, "/slots/1", true),
        2 => {
            let mut ask = call(request, "/open/1", true);
            ask.open = true;
            ask
        }
        3 => chat(request, &site.club, "private", SHORT_TOKENS, false),
        4 => chat(request, &site.spare, "draft", SHORT_TOKENS, true),
        5 => adapted(env, request),
        6 | 7 => chat(request, &site.federation, "draft", SHORT_TOKENS, false),
        8 => {
            let last = name.bytes().last().unwrap_or_default();
            let model = RARE_MODELS[usize::from(last) % RARE_MODELS.len()];
            chat(request, &site.federation, model, SHORT_TOKENS, false)
        }
        _ => chat(request, &site.club, "draft", SHORT_TOKENS, true),
    };
    match kind {
        1 => ask.credential = Some(site.federation.clone()),
        3 => ask.allowed = false,
        _ => {}
    }
    ask.deadline = DEADLINE;
    ask
}

fn call(request: RequestId, path: &str, idempotent: bool) -> Ask {
    let mut ask = Ask::call(request, None, Method::GET, path, Bytes::new());
    ask.idempotent = idempotent;
    ask
}

fn adapted(env: &Environment, request: RequestId) -> Ask {
    let (Ok(model), Ok(adapter)) = ("draft".parse(), "team-a".parse()) else {
        unreachable!("constant names")
    };
    let credential = &env.site.club;
    Ask::chat(
        request,
        credential,
        &model,
        Some(&adapter),
        SHORT_TOKENS,
        true,
    )
}
