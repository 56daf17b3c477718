//! Deadlines of calls and connections, looked at once a tick.

use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Nearly every deadline is dropped unused, and none needs to be exact, but each
/// timer of `async-io` wakes its poller and costs several system calls: with one
/// or more for every message they were most of a busy node's work. These cost
/// none; they end late by up to a tick.
#[derive(Default)]
pub struct TimeoutWheel {
    wakers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next: Cell<u64>,
}

impl TimeoutWheel {
    /// `f`'s outcome, or None if it takes longer than `left`.
    pub async fn within<T>(&self, left: Duration, f: impl Future<Output = T>) -> Option<T> {
        let number = self.next.get();
        self.next.set(number + 1);
        let due =
            Timeout { deadlines: self, key: (Instant::now() + left, number), registered: Cell::new(false) };
        future::or(async { Some(f.await) }, async {
            due.await;
            None
        })
        .await
    }

    /// Ends whatever is over.
    pub fn sweep(&self) {
        let now = Instant::now();
        loop {
            let over = match self.wakers.borrow_mut().first_entry() {
                Some(e) if e.key().0 <= now => e.remove(),
                _ => return,
            };
            over.wake();
        }
    }
}

struct Timeout<'a> {
    deadlines: &'a TimeoutWheel,
    key: (Instant, u64),
    registered: Cell<bool>,
}

impl Future for Timeout<'_> {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        // Swept away since: it is over.
        if self.registered.get() && !self.deadlines.wakers.borrow().contains_key(&self.key) {
            return Poll::Ready(());
        }
        self.registered.set(true);
        self.deadlines.wakers.borrow_mut().insert(self.key, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Timeout<'_> {
    fn drop(&mut self) {
        self.deadlines.wakers.borrow_mut().remove(&self.key);
    }
}
