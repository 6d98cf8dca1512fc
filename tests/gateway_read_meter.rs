//! What a peer may send around the data of its response.

use std::sync::Arc;

use basilgw::gateway::framing::{RawHead, RecordedStream};
use basilgw::gateway::read_meter::{MeteredStream, ReadMeter, TooMuchOverhead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const MIB: u64 = 1 << 20;

// Guards against: interim responses, chunk extensions or trailers without end, which keep a VM
// reading until its caller gives up.
#[test]
fn bytes_without_data_end_a_connection() {
    let meter = ReadMeter::default();
    let mut received = 0;
    while meter.on_received(1000).is_ok() {
        received += 1000;
        assert!(received < MIB, "{received} bytes without any data");
    }
}

// Guards against: a bound that cuts sound responses: long ones, and ones in chunks of one byte.
#[test]
fn responses_of_any_length_and_any_chunks_go_on() {
    for bytes_per_data_byte in [1, 6, 12] {
        let meter = ReadMeter::default();
        for _ in 0..100_000 {
            assert_eq!(meter.on_received(bytes_per_data_byte * 100), Ok(()));
            meter.on_taken(100);
        }
    }
}

// Guards against: a count that goes on over the responses of one kept connection.
#[test]
fn each_response_of_a_connection_is_counted_anew() {
    let meter = ReadMeter::default();
    for _ in 0..10_000 {
        meter.restart();
        assert_eq!(meter.on_received(300), Ok(()));
    }
    meter.restart();
    assert_eq!(meter.on_received(2 * MIB), Err(TooMuchOverhead));
}

// Guards against: a connection wrapped for what it reads that loses what it writes (`forward_writes`).
#[tokio::test]
async fn what_is_written_passes_unchanged() {
    let (near, mut far) = tokio::io::duplex(64);
    let metered = MeteredStream::new(near, Arc::default());
    let mut stream = RecordedStream::new(metered, RawHead::default());
    stream.write_all(b"one, ").await.expect("a write");
    let parts = [&b"two"[..], b", three"].map(std::io::IoSlice::new);
    assert_eq!(stream.write_vectored(&parts).await.expect("a write"), 10);
    stream.shutdown().await.expect("an end");
    let mut read = String::new();
    far.read_to_string(&mut read).await.expect("all of it");
    assert_eq!(read, "one, two, three");
}
