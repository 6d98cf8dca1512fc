//! Broadcasts to all VMs, and their forwarding within a data centre.

use std::net::SocketAddr;

use crate::schema::mesh::{Broadcast, Datagram, Forwarded};

use super::Mesh;

/// Forwarders of a broadcast in each other data centre.
pub(super) const COPIES: usize = 1;
/// Forwarders of a broadcast whose loss would be felt before the next one.
pub(super) const URGENT_COPIES: usize = 2;

impl Mesh {
    /// Sends a message to all VMs, with `copies` forwarders in each other data centre.
    pub(super) async fn broadcast(&self, message: Broadcast, copies: usize) {
        let now = self.gateway.clock.now();
        let home = &self.gateway.centre;
        let recipients = self
            .lock()
            .peers
            .recipients(home, copies, rand::random(), now);
        if !recipients.forwarders.is_empty() {
            let forwarded = Forwarded {
                origin: None,
                message: message.clone(),
            };
            self.send_each(&Datagram::Forwarded(forwarded), recipients.forwarders)
                .await;
        }
        self.send_each(&message.into(), recipients.direct).await;
    }

    async fn send_each(&self, datagram: &Datagram, to: Vec<SocketAddr>) {
        let Some(bytes) = self.encode(datagram) else {
            return;
        };
        for address in to {
            self.send_bytes(&bytes, address).await;
        }
    }

    /// Handles a forwarded broadcast, and passes it on if this VM is its forwarder.
    pub(super) fn handle_forwarded(&self, forwarded: Forwarded, from: SocketAddr) {
        let origin = forwarded.origin.unwrap_or(from);
        let now = self.gateway.clock.boot();
        let old = self.lock().backlog.may_be_old(now);
        if forwarded.origin.is_none() && !old {
            self.pass_on(&forwarded.message, origin);
        }
        match forwarded.message {
            Broadcast::Usage(usage) => self.handle_usage(usage, origin),
            Broadcast::Notice(notice) => self.handle_notice(&notice),
            Broadcast::Configuration(report) => self.handle_configuration(&report, origin),
        }
    }

    /// Passes a broadcast on to the VMs of this data centre.
    fn pass_on(&self, message: &Broadcast, origin: SocketAddr) {
        let forwarded = Datagram::Forwarded(Forwarded {
            origin: Some(origin),
            message: message.clone(),
        });
        let Some(bytes) = self.encode(&forwarded) else {
            return;
        };
        let local = self.lock().peers.addresses_in(&self.gateway.centre);
        for address in local.into_iter().filter(|address| *address != origin) {
            self.try_send_bytes(&bytes, address);
        }
        self.gateway.counters.broadcasts_forwarded.inc();
    }
}

impl From<Broadcast> for Datagram {
    fn from(message: Broadcast) -> Self {
        match message {
            Broadcast::Usage(usage) => Self::Usage(usage),
            Broadcast::Notice(notice) => Self::Notice(notice),
            Broadcast::Configuration(report) => Self::Configuration(report),
        }
    }
}
