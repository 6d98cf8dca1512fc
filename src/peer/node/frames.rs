//! Sending of frames, and dispatch of received frames to their handlers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::error::TrySendError;
use tokio::time::timeout;

use super::SendError;
use super::inner::{Inner, lock};
use crate::ids::{Generation, VmId};
use crate::peer::frame::{self, FrameKind};
use crate::schema::peer::{Digest, Frame};

impl Inner {
    pub(super) fn send(self: &Arc<Self>, to: &VmId, frame: &Frame) -> Result<(), SendError> {
        let sent = self.try_send(to, frame);
        if sent.is_err() {
            self.metrics.dropped.inc();
        }
        sent
    }

    pub(super) fn try_send(self: &Arc<Self>, to: &VmId, frame: &Frame) -> Result<(), SendError> {
        let bytes = frame::encode(frame, self.limits.frame)?;
        self.link_to(to)?.try_send(bytes).map_err(|e| match e {
            TrySendError::Full(_) => SendError::Full,
            TrySendError::Closed(_) => SendError::Closed,
        })
    }

    pub(super) async fn send_timeout(
        self: &Arc<Self>,
        to: &VmId,
        frame: &Frame,
        wait: Duration,
    ) -> Result<(), SendError> {
        let bytes = frame::encode(frame, self.limits.frame)?;
        let queue = self.link_to(to)?;
        match timeout(wait, queue.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(SendError::Closed),
            Err(_) => Err(SendError::Full),
        }
    }

    pub(super) fn on_frame(self: &Arc<Self>, from: &VmId, generation: Generation, frame: Frame) {
        if let Frame::Digest(digest) = &frame {
            self.on_digest(from, digest);
        } else {
            self.with_membership(|m, now| m.record_received(from, generation, now));
        }
        self.dispatch(from, frame);
    }

    pub(super) fn dispatch(self: &Arc<Self>, from: &VmId, frame: Frame) {
        let kind = FrameKind::of(&frame);
        let handler = self.handlers.load().get(&kind).cloned();
        let Some(handler) = handler else {
            // The node itself uses these two kinds, so they need no handler.
            if !matches!(kind, FrameKind::Hello | FrameKind::Digest) {
                self.metrics.unhandled.inc();
            }
            return;
        };
        if let Some(response) = handler.on_frame(from, frame) {
            // `send` counts a failure; the requesting VM repeats its request.
            let _ = self.send(from, &response);
        }
    }

    pub(super) fn on_digest(self: &Arc<Self>, from: &VmId, digest: &Digest) {
        if digest.vm != *from {
            self.metrics.rejected.inc();
            return;
        }
        lock(&self.gossip).record_sender(from);
        let store_age = Duration::from_millis(digest.heard);
        lock(&self.tracker).record_peer_store(store_age, self.clock.now());
        let newly_leaving = self.with_membership(|m, now| m.apply_digest(digest, now));
        if newly_leaving {
            self.publish_members();
            self.send_urgent(Some(from));
        }
    }
}
