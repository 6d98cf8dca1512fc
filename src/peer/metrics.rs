//! Counters of the peer links.

use prometheus::{IntCounter, Registry};

macro_rules! counters {
    ($($field:ident: $help:literal,)*) => {
        /// Counters of one VM's links; clones share them.
        #[derive(Clone, Debug)]
        pub struct PeerMetrics {
            $(#[doc = $help] pub $field: IntCounter,)*
        }

        impl PeerMetrics {
            /// Makes counters at zero.
            pub fn open() -> Result<Self, prometheus::Error> {
                Ok(Self {
                    $($field: IntCounter::new(
                        concat!("basilgw_peer_", stringify!($field), "_total"),
                        $help,
                    )?,)*
                })
            }

            /// Adds the counters to a registry.
            pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
                $(registry.register(Box::new(self.$field.clone()))?;)*
                Ok(())
            }
        }
    };
}

counters! {
    bytes_in: "Bytes received on links, handshakes and framing included.",
    bytes_out: "Bytes sent on links, handshakes and framing included.",
    frames_in: "Frames received.",
    frames_out: "Frames sent.",
    pings_out: "Pings sent.",
    opened: "Links opened, dialled and accepted alike.",
    replaced: "Links opened in place of one that broke.",
    silent: "Links given up for silence.",
    rejected: "Frames or greetings that ended a link.",
    unhandled: "Frames of a kind that nothing here handles.",
    dropped: "Frames dropped: queue full, link lost, or VM unreachable.",
    unreachable: "Dials that failed.",
    told: "Digests sent at once because of news.",
}
