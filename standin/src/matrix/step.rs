//! Steps of the system's work that faults meet.

use std::sync::Arc;
use std::time::Duration;

use basilgw::ids::RequestId;
use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use tokio::time::sleep;

use crate::caller::{Ask, Credential};
use crate::env::{EnvError, Environment, RARE_MODELS};

const BURST_REQUESTS: usize = 30;
const BURSTS: usize = 8;
const BURST_PAUSE: Duration = Duration::from_millis(400);
const BURST_TOKENS: u64 = 40;
const COLD_REQUESTS: usize = 12;
const BOOKINGS: usize = 6;
const STREAM_TOKENS: u64 = 1200;
const STREAM_DEADLINE: Duration = Duration::from_secs(10);
const STREAM_HEAD_START: Duration = Duration::from_millis(300);

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Requests are served.
    Serving,
    /// First requests for idle models, more than fit, meet at all VMs.
    Loading,
    /// One account asks for several times its share.
    Leasing,
    /// Two operators apply changes at once.
    Applying,
    /// A key is withdrawn while streams run.
    Withdrawing,
    /// Bookings are sent, each at two VMs at once.
    Booking,
    /// An engine and a service leave.
    Leaving,
    /// A VM shuts down while streams run.
    Stopping,
}

impl Step {
    /// All steps.
    pub const ALL: [Self; 8] = [
        Self::Serving,
        Self::Loading,
        Self::Leasing,
        Self::Applying,
        Self::Withdrawing,
        Self::Booking,
        Self::Leaving,
        Self::Stopping,
    ];

    /// Takes the step. Changes that a fault made a VM refuse are no failure of the cell.
    pub(super) async fn take(self, env: &Arc<Environment>) -> Result<(), EnvError> {
        match self {
            Self::Serving => Ok(()),
            Self::Loading => {
                let asks = (0..COLD_REQUESTS).map(|n| {
                    let request = name("cold", n);
                    let model = RARE_MODELS[n % RARE_MODELS.len()];
                    chat(request, &env.site.federation, model, 8, false)
                });
                send_all(env, asks.collect()).await;
                Ok(())
            }
            Self::Leasing => {
                for burst in 0..BURSTS {
                    let asks = (0..BURST_REQUESTS).map(|n| {
                        let request = name("burst", burst * BURST_REQUESTS + n);
                        chat(request, &env.site.crowd, "draft", BURST_TOKENS, false)
                    });
                    send_all(env, asks.collect()).await;
                    sleep(BURST_PAUSE).await;
                }
                Ok(())
            }
            Self::Applying => {
                let changes = [env.apply(0, Some("extra-a")), env.apply(1, Some("extra-b"))];
                tolerate(join_all(changes).await)
            }
            Self::Withdrawing => {
                let streams = tokio::spawn(streams(Arc::clone(env), env.site.spare.clone()));
                sleep(STREAM_HEAD_START).await;
                let withdrawn = env.withdraw(0, &env.site.spare.key).await;
                // A stream's own end is in the history.
                let _ = streams.await;
                tolerate(vec![withdrawn])
            }
            Self::Booking => {
                let asks = (0..BOOKINGS).flat_map(|n| {
                    let once = format!("step-{n}");
                    let first = booking(name("first", n), &env.site.club, &once);
                    let again = booking(name("again", n), &env.site.club, &once);
                    [first, again]
                });
                send_all(env, asks.collect()).await;
                Ok(())
            }
            Self::Leaving => env.leave(),
            Self::Stopping => {
                let streams = tokio::spawn(streams(Arc::clone(env), env.site.club.clone()));
                sleep(STREAM_HEAD_START).await;
                env.vms[env.vms.len() - 1].stop()?;
                let _ = streams.await;
                Ok(())
            }
        }
    }
}

/// Lets a VM refuse or miss a change, as its operator would see.
fn tolerate<T>(results: Vec<Result<T, EnvError>>) -> Result<(), EnvError> {
    for result in results {
        match result {
            Ok(_) | Err(EnvError::Ops(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn name(kind: &str, number: usize) -> RequestId {
    let text = format!("{kind}-{number}");
    text.parse().unwrap_or_else(|_| RequestId::random())
}

pub(super) fn chat(
    request: RequestId,
    credential: &Credential,
    model: &str,
    tokens: u64,
    stream: bool,
) -> Ask {
    let model = model.parse().unwrap_or_else(|_| unreachable!("a constant"));
    let mut ask = Ask::chat(request, credential, &model, None, tokens, stream);
    ask.deadline = Duration::from_secs(3);
    ask
}

pub(super) fn booking(request: RequestId, credential: &Credential, once: &str) -> Ask {
    let body = Bytes::from(format!("{{\"slot\":\"{once}\"}}"));
    let mut ask = Ask::call(request, Some(credential), Method::POST, "/bookings", body).once(once);
    ask.deadline = Duration::from_secs(3);
    ask
}

/// Sends requests at once, to one VM after another.
async fn send_all(env: &Arc<Environment>, asks: Vec<Ask>) {
    let sent = asks.iter().enumerate().map(|(n, ask)| {
        let target = env.target(n);
        async move { env.caller.send(&target, ask).await }
    });
    join_all(sent).await;
}

/// Runs a long stream at each VM.
async fn streams(env: Arc<Environment>, credential: Credential) {
    let asks = (0..env.vms.len()).map(|n| {
        let mut ask = chat(name("stream", n), &credential, "draft", STREAM_TOKENS, true);
        ask.deadline = STREAM_DEADLINE;
        ask
    });
    send_all(&env, asks.collect()).await;
}
