//! Timeouts of calls and connections, checked once per tick.
//!
//! Nearly every timeout is dropped before it fires, and none has to be exact. Each timer of
//! `async-io`, however, wakes the reactor and costs several system calls; with one or more
//! timers per message, they were most of a busy node's work. The timeouts here cost no
//! system call, but fire up to one tick late.

use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Key that orders timeouts by deadline; `number` distinguishes those with the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimeoutKey {
    deadline: Instant,
    number: u64,
}

/// All pending timeouts of a thread. They fire only in [`TimeoutQueue::fire_expired`], which
/// has to be called regularly.
#[derive(Default)]
pub(crate) struct TimeoutQueue {
    /// Wakers of the waiting tasks. The entry of a timeout that has fired is removed.
    wakers: RefCell<BTreeMap<TimeoutKey, Waker>>,
    next_number: Cell<u64>,
}

impl TimeoutQueue {
    /// Returns the output of `future`, or None if it is not ready within `timeout`.
    pub(crate) async fn within<T>(&self, timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = TimeoutKey { deadline: Instant::now() + timeout, number };
        let timeout = Timeout { queue: self, key, registered: Cell::new(false) };
        future::or(async { Some(future.await) }, async {
            timeout.await;
            None
        })
        .await
    }

    /// Fires all timeouts whose deadline has passed.
    pub(crate) fn fire_expired(&self) {
        let now = Instant::now();
        loop {
            // The borrow has to end before `wake`, which may register other timeouts.
            let waker = match self.wakers.borrow_mut().first_entry() {
                Some(entry) if entry.key().deadline <= now => entry.remove(),
                _ => return,
            };
            waker.wake();
        }
    }
}

/// Future that becomes ready once the queue has removed its entry; dropping it removes the
/// entry as well.
struct Timeout<'a> {
    queue: &'a TimeoutQueue,
    key: TimeoutKey,
    /// Whether its entry has been added to the queue.
    registered: Cell<bool>,
}

impl Future for Timeout<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let mut wakers = self.queue.wakers.borrow_mut();
        let has_fired = self.registered.get() && !wakers.contains_key(&self.key);
        if has_fired {
            return Poll::Ready(());
        }
        self.registered.set(true);
        wakers.insert(self.key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Timeout<'_> {
    fn drop(&mut self) {
        self.queue.wakers.borrow_mut().remove(&self.key);
    }
}
