//! TCP socket that sends the head and the body of a message together.

use async_dup::Arc;
use async_io::Async;
use futures_lite::{ready, AsyncRead, AsyncWrite};
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Number of buffered bytes from which on a write flushes the buffer first.
const FLUSH_THRESHOLD_BYTES: usize = 64 * 1024;

/// A socket that buffers written bytes until they are flushed, which `async-h1` does at the
/// end of each message. The buffer saves a system call and a packet per message.
pub(crate) struct Socket {
    stream: Arc<Async<TcpStream>>,
    /// Buffered bytes; None in a clone, which is unbuffered because nothing would flush it.
    unsent: Option<Vec<u8>>,
}

impl Socket {
    /// Creates a buffered socket on `stream`.
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Socket { stream: Arc::new(stream), unsent: Some(Vec::new()) }
    }

    /// Returns a buffered handle on the same stream, with an empty buffer.
    pub(crate) fn with_new_buffer(&self) -> Self {
        Socket { stream: self.stream.clone(), unsent: Some(Vec::new()) }
    }
}

impl Clone for Socket {
    fn clone(&self) -> Self {
        Socket { stream: self.stream.clone(), unsent: None }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unsent.as_ref().is_some_and(|unsent| unsent.len() >= FLUSH_THRESHOLD_BYTES) {
            ready!(self.as_mut().poll_flush(context))?;
        }
        match &mut self.unsent {
            Some(unsent) => {
                unsent.extend_from_slice(buffer);
                Poll::Ready(Ok(buffer.len()))
            }
            None => Pin::new(&mut self.stream).poll_write(context, buffer),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(unsent) = &mut this.unsent {
            while !unsent.is_empty() {
                let written = ready!(Pin::new(&mut this.stream).poll_write(context, unsent))?;
                if written == 0 {
                    return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
                }
                unsent.drain(..written);
            }
        }
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(context))?;
        Pin::new(&mut self.stream).poll_close(context)
    }
}
