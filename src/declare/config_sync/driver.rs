//! Runs a [`SyncState`] with the frames of a [`PeerNode`] and the configuration of a
//! [`ConfigHolder`].

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Semaphore;
use tokio::time::interval;

use super::{Action, ConfigHolder, Event, Export, FETCH_TIMEOUT, PART_BYTES, SyncState};
use crate::clock::Clock;
use crate::ids::{Revision, VmId};
use crate::peer::{Blob, FrameHandler, FrameKind, PeerNode};
use crate::schema::peer::{ConfigFetch, ConfigPart, Frame};

/// Most VMs to which this VM sends its configuration at the same time.
const MAX_UPLOADS: usize = 8;
const TICK: Duration = Duration::from_millis(250);

/// What this VM knows of the revisions of peer VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyncStatus {
    /// Whether any peer VM has sent its revision.
    pub peer_reported: bool,
    /// Whether a peer VM has a newer revision than the one in force here.
    pub behind: bool,
}

/// Exchanges the configuration with peer VMs over one [`PeerNode`].
#[derive(Debug)]
pub struct ConfigSync {
    state: Mutex<SyncState>,
    holder: Arc<dyn ConfigHolder>,
    clock: Arc<dyn Clock>,
    uploads: Arc<Semaphore>,
    // Weak, because the node owns this value as a frame handler: a strong reference would leak both.
    node: Weak<PeerNode>,
}

impl ConfigSync {
    /// Registers the frame handlers and starts the exchange, which ends when the node is dropped.
    pub fn spawn(
        node: &Arc<PeerNode>,
        holder: Arc<dyn ConfigHolder>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let sync = Arc::new(Self {
            state: Mutex::new(SyncState::open(holder.revision())),
            holder,
            clock,
            uploads: Arc::new(Semaphore::new(MAX_UPLOADS)),
            node: Arc::downgrade(node),
        });
        for kind in [
            FrameKind::Hello,
            FrameKind::Digest,
            FrameKind::Fetch,
            FrameKind::Config,
        ] {
            let handler = Arc::new(Handler(Arc::clone(&sync)));
            node.set_handler(kind, handler);
        }
        tokio::spawn(run_ticks(Arc::downgrade(&sync)));
        sync
    }

    /// Announces a revision that came into force on this VM. To be called once the holder exports
    /// that revision.
    pub fn announce(self: &Arc<Self>, revision: Revision) {
        self.step(Event::Activated(revision));
    }

    /// What this VM knows of the revisions of peer VMs.
    pub fn status(&self) -> SyncStatus {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        SyncStatus {
            peer_reported: state.has_peer_report(),
            behind: state.is_behind(),
        }
    }

    /// Number of received parts that were dropped because their revision was not newer than the one
    /// in force.
    pub fn stale_parts(&self) -> u64 {
        let state = self.state.lock();
        state.unwrap_or_else(PoisonError::into_inner).stale_parts()
    }

    fn step(self: &Arc<Self>, event: Event) {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = state.step(event, now);
        drop(state);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Arc<Self>, action: Action) {
        let Some(node) = self.node.upgrade() else {
            return;
        };
        match action {
            Action::Announce { except } => node.announce(except.as_ref()),
            Action::SendRevision { to } => node.send_state(&to),
            Action::Fetch { from, revision } => {
                // If the send fails, the fetch stalls and another source is chosen.
                let _ = node.send(&from, &Frame::Fetch(ConfigFetch { revision }));
            }
            Action::Offer { from, bytes } => {
                let sync = Arc::clone(self);
                tokio::task::spawn_blocking(move || {
                    let result = sync.holder.offer(bytes);
                    sync.step(Event::OfferCompleted { from, result });
                });
            }
            Action::RereadStore => self.holder.reread_store(),
        }
    }

    fn spawn_upload(&self, to: &VmId, fetch: &ConfigFetch) {
        // A VM that gets no response fetches from another VM after `FETCH_TIMEOUT`.
        let Ok(permit) = Arc::clone(&self.uploads).try_acquire_owned() else {
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
            bytes: Blob(slice_part(&export.bytes, part)),
        });
        if node.send_timeout(to, &frame, FETCH_TIMEOUT).await.is_err() {
            return;
        }
    }
}

fn slice_part(bytes: &Bytes, part: u32) -> Bytes {
    let start = part as usize * PART_BYTES;
    let end = bytes.len().min(start + PART_BYTES);
    bytes.slice(start..end)
}

async fn run_ticks(sync: Weak<ConfigSync>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let Some(sync) = sync.upgrade() else {
            return;
        };
        sync.step(Event::Tick);
    }
}

#[derive(Debug)]
struct Handler(Arc<ConfigSync>);

impl FrameHandler for Handler {
    fn on_frame(&self, from: &VmId, frame: Frame) -> Option<Frame> {
        let from_vm = || from.clone();
        match frame {
            Frame::Hello(hello) => self.0.step(Event::RevisionReceived {
                from: from_vm(),
                revision: hello.revision,
            }),
            Frame::Digest(digest) => self.0.step(Event::RevisionReceived {
                from: from_vm(),
                revision: digest.revision,
            }),
            Frame::Config(part) => self.0.step(Event::PartReceived {
                from: from_vm(),
                part,
            }),
            Frame::Fetch(fetch) => self.0.spawn_upload(from, &fetch),
            _ => {}
        }
        None
    }
}
