//! Writes of a connection that is wrapped only for what it reads.

/// Implements `AsyncWrite` for a generic wrapper by that of its field `stream`.
macro_rules! forward_writes {
    ($wrapper:ident) => {
        impl<S> tokio::io::AsyncWrite for $wrapper<S>
        where
            S: tokio::io::AsyncWrite + Unpin,
        {
            fn poll_write(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
                buf: &[u8],
            ) -> std::task::Poll<std::io::Result<usize>> {
                std::pin::Pin::new(&mut self.stream).poll_write(cx, buf)
            }

            fn poll_flush(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
            ) -> std::task::Poll<std::io::Result<()>> {
                std::pin::Pin::new(&mut self.stream).poll_flush(cx)
            }

            fn poll_shutdown(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
            ) -> std::task::Poll<std::io::Result<()>> {
                std::pin::Pin::new(&mut self.stream).poll_shutdown(cx)
            }

            fn poll_write_vectored(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
                bufs: &[std::io::IoSlice<'_>],
            ) -> std::task::Poll<std::io::Result<usize>> {
                std::pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
            }

            fn is_write_vectored(&self) -> bool {
                self.stream.is_write_vectored()
            }
        }
    };
}

pub(super) use forward_writes;
