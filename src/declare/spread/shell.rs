//! Drives [`Spread`] with a peer node and a holder of configuration.

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Semaphore;
use tokio::time::interval;

use super::{Action, ConfigHolder, Event, Export, FETCH_TIMEOUT, PART_BYTES, Spread};
use crate::clock::Clock;
use crate::ids::{Revision, VmId};
use crate::peer::{Blob, FrameHandler, FrameKind, PeerNode};
use crate::schema::peer::{ConfigFetch, ConfigPart, Frame};

/// VMs served with a configuration at the same time.
const MAX_SERVED: usize = 8;
const TICK: Duration = Duration::from_millis(250);

/// What is known of peers' revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// Whether some peer said what it holds.
    pub told: bool,
    /// Whether a peer told of a newer revision than the one held.
    pub behind: bool,
}

/// Spreads the configuration over one peer node.
#[derive(Debug)]
pub struct Spreader {
    spread: Mutex<Spread>,
    holder: Arc<dyn ConfigHolder>,
    clock: Arc<dyn Clock>,
    serving: Arc<Semaphore>,
    // The node holds this as a handler; a strong reference would keep both for ever.
    node: Weak<PeerNode>,
}

impl Spreader {
    /// Starts to spread; ends with the node.
    pub fn spawn(
        node: &Arc<PeerNode>,
        holder: Arc<dyn ConfigHolder>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let spreader = Arc::new(Self {
            spread: Mutex::new(Spread::open(holder.revision())),
            holder,
            clock,
            serving: Arc::new(Semaphore::new(MAX_SERVED)),
            node: Arc::downgrade(node),
        });
        for kind in [
            FrameKind::Hello,
            FrameKind::Digest,
            FrameKind::Fetch,
            FrameKind::Config,
        ] {
            let handler = Arc::new(Handler(Arc::clone(&spreader)));
            node.set_handler(kind, handler);
        }
        tokio::spawn(tick(Arc::downgrade(&spreader)));
        spreader
    }

    /// Announces a revision that came into force here, as soon as the holder serves it.
    pub fn accepted(self: &Arc<Self>, revision: Revision) {
        self.step(Event::Accepted(revision));
    }

    /// What is known of peers' revisions: whether any was told, and whether one is newer.
    pub fn outlook(&self) -> Outlook {
        let spread = self.spread.lock().unwrap_or_else(PoisonError::into_inner);
        Outlook {
            told: spread.is_told(),
            behind: spread.is_behind(),
        }
    }

    /// Count of parts refused because they were not newer than what is held.
    pub fn stale(&self) -> u64 {
        let spread = self.spread.lock();
        spread.unwrap_or_else(PoisonError::into_inner).stale()
    }

    fn step(self: &Arc<Self>, event: Event) {
        let now = self.clock.now();
        let mut spread = self.spread.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = spread.step(event, now);
        drop(spread);
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Arc<Self>, action: Action) {
        let Some(node) = self.node.upgrade() else {
            return;
        };
        match action {
            Action::Announce { except } => node.announce(except.as_ref()),
            Action::Hint { to } => node.send_state(&to),
            Action::Fetch { from, revision } => {
                // Where it fails, the timeout picks another source.
                let _ = node.send(&from, &Frame::Fetch(ConfigFetch { revision }));
            }
            Action::Offer { from, bytes } => {
                let spreader = Arc::clone(self);
                tokio::task::spawn_blocking(move || {
                    let result = spreader.holder.offer(bytes);
                    spreader.step(Event::Offered { from, result });
                });
            }
            Action::Reread => self.holder.reread(),
        }
    }

    fn serve(&self, to: &VmId, fetch: &ConfigFetch) {
        // A VM that is not served now asks another after its timeout.
        let Ok(permit) = Arc::clone(&self.serving).try_acquire_owned() else {
            return;
        };
        let since = Revision(fetch.revision.0.saturating_sub(1));
        let holder = Arc::clone(&self.holder);
        let node = Weak::clone(&self.node);
        let to = to.clone();
        tokio::spawn(async move {
            if let Some(export) = holder.export(since) {
                send_parts(&node, &to, &export).await;
            }
            drop(permit);
        });
    }
}

async fn send_parts(node: &Weak<PeerNode>, to: &VmId, export: &Export) {
    let parts = export.bytes.len().div_ceil(PART_BYTES).max(1) as u32;
    for part in 0..parts {
        let Some(node) = node.upgrade() else {
            return;
        };
        let frame = Frame::Config(ConfigPart {
            revision: export.revision,
            part,
            parts,
            bytes: Blob(slice(&export.bytes, part)),
        });
        if node.send_timeout(to, &frame, FETCH_TIMEOUT).await.is_err() {
            return;
        }
    }
}

fn slice(bytes: &Bytes, part: u32) -> Bytes {
    let start = part as usize * PART_BYTES;
    let end = bytes.len().min(start + PART_BYTES);
    bytes.slice(start..end)
}

async fn tick(spreader: Weak<Spreader>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let Some(spreader) = spreader.upgrade() else {
            return;
        };
        spreader.step(Event::Tick);
    }
}

#[derive(Debug)]
struct Handler(Arc<Spreader>);

impl FrameHandler for Handler {
    fn on_frame(&self, from: &VmId, frame: Frame) -> Option<Frame> {
        let from_vm = || from.clone();
        match frame {
            Frame::Hello(hello) => self.0.step(Event::Heard {
                from: from_vm(),
                revision: hello.revision,
            }),
            Frame::Digest(digest) => self.0.step(Event::Heard {
                from: from_vm(),
                revision: digest.revision,
            }),
            Frame::Config(part) => self.0.step(Event::Part {
                from: from_vm(),
                part,
            }),
            Frame::Fetch(fetch) => self.0.serve(from, &fetch),
            _ => {}
        }
        None
    }
}
