//! A limit on the interim responses (status 1xx) before a response. The HTTP library
//! skips them, and as long as more are there to be read it lets no other task run.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::Request;
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::connection::Payload;

/// Interim responses before the final one.
pub(crate) const INTERIM_LIMIT: usize = 16;

/// Counts the interim responses to the request that a connection carries.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimCount(Arc<AtomicUsize>);

impl InterimCount {
    /// Starts to count those of a new request.
    pub(crate) fn start(&self, request: &mut Request<Payload>) {
        self.0.store(0, Ordering::Relaxed);
        let count = self.0.clone();
        hyper::ext::on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Whether there were more than [`INTERIM_LIMIT`].
    pub(crate) fn is_over(&self) -> bool {
        self.0.load(Ordering::Relaxed) > INTERIM_LIMIT
    }
}

/// A stream that can't be read any more after too many interim responses.
pub(crate) struct LimitedStream {
    inner: HyperStream<TcpStream>,
    count: InterimCount,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, count: InterimCount) -> Self {
        let inner = HyperStream::new_plain(stream);
        Self { inner, count }
    }
}

impl Read for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        match self.count.is_over() {
            true => Poll::Ready(Err(io::Error::other("too many interim responses"))),
            false => Pin::new(&mut self.inner).poll_read(context, buffer),
        }
    }
}

impl Write for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}
