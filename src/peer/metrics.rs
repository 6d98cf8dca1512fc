//! Counters of the peer links.

use crate::metrics::counters;

counters! {
    /// Counters of all links of one VM; clones share the counters.
    PeerMetrics, "basilgw_peer_":
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
