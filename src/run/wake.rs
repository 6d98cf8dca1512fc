//! Asking a model's owner for a replica, over the peer links.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::sync::oneshot;

use crate::ids::{RequestId, VmId};
use crate::model::{Models, WakeClient, WakeError};
use crate::peer::{FrameHandler, PeerNode};
use crate::schema::peer::{Frame, WakeRequest, WakeResponse};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks that wait for their answer.
#[derive(Debug)]
pub struct Wakes {
    node: Arc<PeerNode>,
    pending: Mutex<BTreeMap<RequestId, oneshot::Sender<WakeResponse>>>,
}

impl Wakes {
    /// Opens the asking side.
    pub fn open(node: Arc<PeerNode>) -> Arc<Self> {
        Arc::new(Self {
            node,
            pending: Mutex::default(),
        })
    }

    fn expect(&self, request: RequestId) -> oneshot::Receiver<WakeResponse> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(request, sender);
        receiver
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<RequestId, oneshot::Sender<WakeResponse>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WakeClient for Wakes {
    fn send_wake<'a>(
        &'a self,
        to: &'a VmId,
        wake: WakeRequest,
    ) -> BoxFuture<'a, Result<WakeResponse, WakeError>> {
        Box::pin(async move {
            let request = wake.request.clone();
            let answer = self.expect(request.clone());
            let sent = self.node.send(to, &Frame::Wake(wake));
            let wait = if sent.is_ok() {
                ANSWER_TIMEOUT
            } else {
                Duration::ZERO
            };
            let outcome = tokio::time::timeout(wait, answer).await;
            self.lock().remove(&request);
            match outcome {
                Ok(Ok(answer)) => Ok(answer),
                _ => Err(WakeError::Unreachable),
            }
        })
    }
}

/// Answers of owners, as frames.
#[derive(Debug)]
pub struct Woken(pub Arc<Wakes>);

impl FrameHandler for Woken {
    fn on_frame(&self, _from: &VmId, frame: Frame) -> Option<Frame> {
        if let Frame::Woken(answer) = frame {
            let waiting = self.0.lock().remove(&answer.request);
            if let Some(waiting) = waiting {
                // The asker may have given up.
                let told = waiting.send(answer);
                drop(told);
            }
        }
        None
    }
}

/// Asks of other VMs, as frames.
#[derive(Debug)]
pub struct Waker {
    /// Answers the asks.
    pub models: Arc<Models>,
    /// Links; the node holds this handler, so a strong reference would keep both for ever.
    pub node: Weak<PeerNode>,
}

impl FrameHandler for Waker {
    fn on_frame(&self, from: &VmId, frame: Frame) -> Option<Frame> {
        let Frame::Wake(ask) = frame else {
            return None;
        };
        let (models, node, to) = (
            Arc::clone(&self.models),
            Weak::clone(&self.node),
            from.clone(),
        );
        tokio::spawn(async move {
            let answer = models.handle_wake(ask).await;
            if let Some(node) = node.upgrade() {
                // An answer that is lost makes the asker act by itself.
                let sent = node.send(&to, &Frame::Woken(answer));
                drop(sent);
            }
        });
        None
    }
}
