//! gRPC between controllers: exchange of views and forwarding of heartbeats. `tonic` provides
//! the protocol; hyper's HTTP/2 on this thread's sockets replaces tonic's own transport.

mod client;
mod server;

pub(crate) use client::{exchange_views, forward, HeartbeatForwarding};
pub(crate) use server::{receive_forwards, serve, InboundForward, PeerMailbox};

use async_executor::LocalExecutor;
use std::future::Future;
use std::rc::Rc;

/// Spawns hyper's background tasks on the driver's thread.
#[derive(Clone)]
struct LocalSpawner(Rc<LocalExecutor<'static>>);

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalSpawner {
    fn execute(&self, future: F) {
        let task = self.0.spawn(async move {
            future.await;
        });
        task.detach();
    }
}
