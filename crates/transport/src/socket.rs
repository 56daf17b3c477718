//! A TCP socket that sends a message's head and body together.

use async_dup::Arc;
use async_io::Async;
use futures_lite::{ready, AsyncRead, AsyncWrite};
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Written bytes are kept until they are flushed, as `async-h1` does at the
/// end of each message: a call and a packet less for each.
pub struct Socket {
    stream: Arc<Async<TcpStream>>,
    /// None in a clone, which writes through: nobody would flush it.
    unsent: Option<Vec<u8>>,
}

const MOST_UNSENT: usize = 64 * 1024;

impl Socket {
    pub fn new(stream: Async<TcpStream>) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Socket { stream: Arc::new(stream), unsent: Some(Vec::new()) }
    }

    /// The same socket for another message.
    pub fn again(&self) -> Self {
        Socket { stream: self.stream.clone(), unsent: Some(Vec::new()) }
    }
}

impl Clone for Socket {
    fn clone(&self) -> Self {
        Socket { stream: self.stream.clone(), unsent: None }
    }
}

impl AsyncRead for Socket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.unsent.as_ref().is_some_and(|u| u.len() >= MOST_UNSENT) {
            ready!(self.as_mut().poll_flush(cx))?;
        }
        match &mut self.unsent {
            Some(unsent) => {
                unsent.extend_from_slice(buf);
                Poll::Ready(Ok(buf.len()))
            }
            None => Pin::new(&mut self.stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(unsent) = &mut this.unsent {
            while !unsent.is_empty() {
                let n = ready!(Pin::new(&mut this.stream).poll_write(cx, unsent))?;
                if n == 0 {
                    return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
                }
                unsent.drain(..n);
            }
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(cx))?;
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
