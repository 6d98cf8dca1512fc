//! Accepting, dialling and carrying links.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use super::SendError;
use super::inner::{Inner, lock};
use crate::ids::VmId;
use crate::peer::link::{Link, LinkError};
use crate::peer::meter::Gauge;
use crate::peer::registry::{LinkId, Queue};
use crate::schema::peer::Frame;

/// Connections that greet at the same time.
const MAX_GREETING: usize = 256;

impl Inner {
    pub(super) async fn accept_all(self: Arc<Self>, listener: TcpListener) {
        let greeting = Arc::new(Semaphore::new(MAX_GREETING));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop() => return,
            };
            let Ok((stream, _)) = accepted else {
                // Out of descriptors: leave the system time to free some.
                tokio::time::sleep(self.limits.ping).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&greeting).try_acquire_owned() else {
                self.metrics.rejected.inc();
                continue;
            };
            let inner = Arc::clone(&self);
            tokio::spawn(async move {
                let link = inner.greet(stream).await;
                drop(permit);
                if let Some(link) = link {
                    let vm = link.remote_hello.vm.clone();
                    let (id, queue) = lock(&inner.links).add(&vm);
                    inner.carry(&vm, id, queue, link).await;
                }
            });
        }
    }

    pub(super) async fn greet(&self, stream: TcpStream) -> Option<Link> {
        let gauge = Gauge::open(Arc::clone(&self.clock), self.metrics.clone());
        let hello = self.hello();
        match Link::accept(stream, &hello, self.limits, gauge).await {
            Ok(link) if link.remote_hello.vm != self.options.vm => Some(link),
            Ok(_) => {
                self.metrics.rejected.inc();
                None
            }
            Err(error) => {
                self.count_end(&error);
                None
            }
        }
    }

    pub(super) fn dial(self: &Arc<Self>, vm: &VmId, address: SocketAddr, id: LinkId, queue: Queue) {
        let inner = Arc::clone(self);
        let vm = vm.clone();
        tokio::spawn(async move {
            let gauge = Gauge::open(Arc::clone(&inner.clock), inner.metrics.clone());
            let hello = inner.hello();
            let dialled = tokio::select! {
                dialled = Link::dial(address, &hello, inner.limits, gauge) => dialled,
                () = inner.stop() => Err(LinkError::Stopped),
            };
            match dialled {
                Ok(link) if link.remote_hello.vm == vm => inner.carry(&vm, id, queue, link).await,
                Ok(_) => inner.unreached(&vm, id, queue, &LinkError::WrongVm),
                Err(error) => inner.unreached(&vm, id, queue, &error),
            }
        });
    }

    pub(super) fn unreached(&self, vm: &VmId, id: LinkId, queue: Queue, error: &LinkError) {
        self.count_end(error);
        self.metrics.unreachable.inc();
        let now = self.clock.now();
        let mut links = lock(&self.links);
        let in_use = links.remove(vm, id);
        if in_use {
            links.failed(vm, self.limits.ping, self.limits.silence, now);
        }
        drop(links);
        self.drop_queue(queue);
        // An older or newer link with the VM may be up.
        if in_use {
            self.with_members(|m, now| m.mark_lost(vm, now));
            self.publish();
        }
    }

    pub(super) async fn carry(
        self: &Arc<Self>,
        vm: &VmId,
        id: LinkId,
        mut queue: Queue,
        link: Link,
    ) {
        self.opened(vm, id, &link);
        let generation = link.remote_hello.generation;
        let gauge = Arc::clone(&link.gauge);
        let on_frame = |frame| self.on_frame(vm, generation, frame);
        let end = tokio::select! {
            end = link.run(&mut queue, on_frame) => end,
            () = self.stop() => LinkError::Stopped,
        };
        self.drop_queue(queue);
        self.ended(vm, id, &gauge, &end);
    }

    pub(super) fn opened(self: &Arc<Self>, vm: &VmId, id: LinkId, link: &Link) {
        let remote_hello = &link.remote_hello;
        self.metrics.opened.inc();
        if lock(&self.links).opened(vm, id, &link.gauge) {
            self.metrics.replaced.inc();
        }
        self.with_members(|m, now| {
            m.record_received(vm, remote_hello.generation, now);
            m.set_centre(vm, &remote_hello.centre, now);
        });
        self.publish();
        self.dispatch(vm, Frame::Hello(remote_hello.clone()));
    }

    pub(super) fn ended(self: &Arc<Self>, vm: &VmId, id: LinkId, gauge: &Gauge, end: &LinkError) {
        self.count_end(end);
        let limits = self.limits;
        let mut links = lock(&self.links);
        let in_use = links.remove(vm, id);
        if in_use && end.is_connection_failure() {
            links.broke(vm);
        }
        if in_use && gauge.life() < limits.ping {
            links.failed(vm, limits.ping, limits.silence, self.clock.now());
        }
        drop(links);
        if !in_use || !end.is_connection_failure() {
            return;
        }
        self.with_members(|m, now| m.mark_lost(vm, now));
        self.publish();
        // The VM may be well and only this connection dead.
        let _ = self.link_to(vm);
    }

    pub(super) fn count_end(&self, end: &LinkError) {
        if matches!(end, LinkError::Silent | LinkError::WriteTimeout) {
            self.metrics.silent.inc();
        }
        if end.is_protocol_violation() {
            self.metrics.rejected.inc();
        }
    }

    pub(super) fn drop_queue(&self, mut queue: Queue) {
        queue.close();
        while queue.try_recv().is_ok() {
            self.metrics.dropped.inc();
        }
    }

    pub(super) fn link_to(self: &Arc<Self>, vm: &VmId) -> Result<mpsc::Sender<Bytes>, SendError> {
        let members = self.members.load();
        let address = members.vms.get(vm).and_then(|m| m.address);
        let mut links = lock(&self.links);
        if let Some(queue) = links.queue(vm) {
            return Ok(queue);
        }
        if links.is_paused(vm, self.clock.now()) {
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
