//! Timeouts of calls and connections, checked once a tick.
//!
//! Nearly every timeout is dropped unused and none has to be exact, but each timer of
//! `async-io` wakes its poller and costs several system calls: with one or more for every
//! message they were most of a busy node's work. The timeouts here cost no system call;
//! they fire late by up to a tick.

use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Orders timeouts by when they are due; the number tells apart those due at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimeoutKey {
    due_at: Instant,
    number: u64,
}

/// All pending timeouts of a thread. They fire only in [`TimeoutWheel::sweep`], which has
/// to be called regularly.
#[derive(Default)]
pub(crate) struct TimeoutWheel {
    /// The tasks to wake, by timeout. An entry that is gone has fired.
    wakers: RefCell<BTreeMap<TimeoutKey, Waker>>,
    next_number: Cell<u64>,
}

impl TimeoutWheel {
    /// The output of `future`, or None if it is not ready within `timeout`.
    pub(crate) async fn within<T>(&self, timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = TimeoutKey { due_at: Instant::now() + timeout, number };
        let timeout = Timeout { wheel: self, key, registered: Cell::new(false) };
        future::or(async { Some(future.await) }, async {
            timeout.await;
            None
        })
        .await
    }

    /// Fires all timeouts that are due.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        loop {
            // The borrow ends before the waker runs, which may register other timeouts.
            let waker = match self.wakers.borrow_mut().first_entry() {
                Some(entry) if entry.key().due_at <= now => entry.remove(),
                _ => return,
            };
            waker.wake();
        }
    }
}

/// Becomes ready once it has been swept out of its wheel; leaves the wheel when dropped.
struct Timeout<'a> {
    wheel: &'a TimeoutWheel,
    key: TimeoutKey,
    /// It has been put into the wheel.
    registered: Cell<bool>,
}

impl Future for Timeout<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let mut wakers = self.wheel.wakers.borrow_mut();
        let was_swept = self.registered.get() && !wakers.contains_key(&self.key);
        if was_swept {
            return Poll::Ready(());
        }
        self.registered.set(true);
        wakers.insert(self.key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Timeout<'_> {
    fn drop(&mut self) {
        self.wheel.wakers.borrow_mut().remove(&self.key);
    }
}
