//! Tasks that accept, dial and run links.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use super::SendError;
use super::inner::{Inner, lock};
use crate::ids::VmId;
use crate::peer::link::{Link, LinkError};
use crate::peer::meter::LinkActivity;
use crate::peer::registry::{FrameReceiver, LinkId};
use crate::schema::peer::Frame;

/// Most accepted connections that exchange `Hello` at the same time; further ones are closed.
const MAX_HANDSHAKES: usize = 256;

impl Inner {
    pub(super) async fn accept_all(self: Arc<Self>, listener: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.wait_stopped() => return,
            };
            let Ok((stream, _)) = accepted else {
                // Accepting usually fails when no file descriptors are left: wait until some are
                // closed.
                tokio::time::sleep(self.limits.ping).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
                self.metrics.rejected.inc();
                continue;
            };
            let inner = Arc::clone(&self);
            tokio::spawn(async move {
                let link = inner.accept_link(stream).await;
                drop(permit);
                if let Some(link) = link {
                    let vm = link.peer_hello.vm.clone();
                    let (id, queue) = lock(&inner.links).add(&vm);
                    inner.run_link(&vm, id, queue, link).await;
                }
            });
        }
    }

    pub(super) async fn accept_link(&self, stream: TcpStream) -> Option<Link> {
        let activity = LinkActivity::open(Arc::clone(&self.clock), self.metrics.clone());
        let hello = self.hello();
        match Link::accept(stream, &hello, self.limits, activity).await {
            Ok(link) if link.peer_hello.vm != self.options.vm => Some(link),
            Ok(_) => {
                self.metrics.rejected.inc();
                None
            }
            Err(error) => {
                self.count_error(&error);
                None
            }
        }
    }

    pub(super) fn dial(
        self: &Arc<Self>,
        vm: &VmId,
        address: SocketAddr,
        id: LinkId,
        queue: FrameReceiver,
    ) {
        let inner = Arc::clone(self);
        let vm = vm.clone();
        tokio::spawn(async move {
            let activity = LinkActivity::open(Arc::clone(&inner.clock), inner.metrics.clone());
            let hello = inner.hello();
            let dialled = tokio::select! {
                dialled = Link::dial(address, &hello, inner.limits, activity) => dialled,
                () = inner.wait_stopped() => Err(LinkError::Stopped),
            };
            match dialled {
                Ok(link) if link.peer_hello.vm == vm => inner.run_link(&vm, id, queue, link).await,
                Ok(_) => inner.on_dial_failed(&vm, id, queue, &LinkError::WrongVm),
                Err(error) => inner.on_dial_failed(&vm, id, queue, &error),
            }
        });
    }

    pub(super) fn on_dial_failed(
        &self,
        vm: &VmId,
        id: LinkId,
        queue: FrameReceiver,
        error: &LinkError,
    ) {
        self.count_error(error);
        self.metrics.unreachable.inc();
        let now = self.clock.now();
        let mut links = lock(&self.links);
        let in_use = links.remove(vm, id);
        if in_use {
            links.record_failure(vm, self.limits.ping, self.limits.silence, now);
        }
        drop(links);
        self.drop_queue(queue);
        // If another link replaced this one, the VM may be reachable over it.
        if in_use {
            self.with_membership(|m, now| m.mark_lost(vm, now));
            self.publish_members();
        }
    }

    pub(super) async fn run_link(
        self: &Arc<Self>,
        vm: &VmId,
        id: LinkId,
        mut queue: FrameReceiver,
        link: Link,
    ) {
        self.on_link_opened(vm, id, &link);
        let generation = link.peer_hello.generation;
        let activity = Arc::clone(&link.activity);
        let on_frame = |frame| self.on_frame(vm, generation, frame);
        let end = tokio::select! {
            end = link.run(&mut queue, on_frame) => end,
            () = self.wait_stopped() => LinkError::Stopped,
        };
        self.drop_queue(queue);
        self.on_link_ended(vm, id, &activity, &end);
    }

    pub(super) fn on_link_opened(self: &Arc<Self>, vm: &VmId, id: LinkId, link: &Link) {
        let hello = &link.peer_hello;
        self.metrics.opened.inc();
        if lock(&self.links).mark_open(vm, id, &link.activity) {
            self.metrics.replaced.inc();
        }
        self.with_membership(|m, now| {
            m.record_received(vm, hello.generation, now);
            m.set_centre(vm, &hello.centre, now);
        });
        self.publish_members();
        self.dispatch(vm, Frame::Hello(hello.clone()));
    }

    pub(super) fn on_link_ended(
        self: &Arc<Self>,
        vm: &VmId,
        id: LinkId,
        activity: &LinkActivity,
        end: &LinkError,
    ) {
        self.count_error(end);
        let limits = self.limits;
        let mut links = lock(&self.links);
        let in_use = links.remove(vm, id);
        if in_use && end.is_connection_failure() {
            links.mark_broken(vm);
        }
        if in_use && activity.age() < limits.ping {
            links.record_failure(vm, limits.ping, limits.silence, self.clock.now());
        }
        drop(links);
        if !in_use || !end.is_connection_failure() {
            return;
        }
        self.with_membership(|m, now| m.mark_lost(vm, now));
        self.publish_members();
        // The VM may still be reachable over a new connection.
        let _ = self.link_to(vm);
    }

    pub(super) fn count_error(&self, end: &LinkError) {
        if matches!(end, LinkError::Silent | LinkError::WriteTimeout) {
            self.metrics.silent.inc();
        }
        if end.is_protocol_violation() {
            self.metrics.rejected.inc();
        }
    }

    // Counts the frames left in the queue of an ended link as dropped.
    pub(super) fn drop_queue(&self, mut queue: FrameReceiver) {
        queue.close();
        while queue.try_recv().is_ok() {
            self.metrics.dropped.inc();
        }
    }

    // Returns the queue of the link to a VM, and dials the VM if there is no link.
    pub(super) fn link_to(self: &Arc<Self>, vm: &VmId) -> Result<mpsc::Sender<Bytes>, SendError> {
        let members = self.members.load();
        let address = members.vms.get(vm).and_then(|m| m.address);
        let mut links = lock(&self.links);
        if let Some(queue) = links.queue(vm) {
            return Ok(queue);
        }
        if links.in_backoff(vm, self.clock.now()) {
            return Err(SendError::Unreachable);
        }
        let address = address.ok_or(SendError::NoAddress)?;
        let (id, receiver) = links.add(vm);
        let queue = links.queue(vm).ok_or(SendError::Closed)?;
        drop(links);
        self.dial(vm, address, id, receiver);
        Ok(queue)
    }
}
