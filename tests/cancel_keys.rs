//! Waiting for a cancel request by its key.

use petrelgauge::client::cancel_registry::CancelRegistry;
use petrelgauge::postgres::cancel::CancelKey;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

#[test]
fn a_cancel_before_the_wait_is_first_polled_is_not_missed() {
    let registry = CancelRegistry::new(1);
    let client = registry.register(7);
    let cancelled = pin!(client.cancelled());
    registry.cancel(client.key);
    assert_eq!(cancelled.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(()));
}

#[test]
fn a_cancel_before_the_wait_or_with_another_key_does_not_end_it() {
    let registry = CancelRegistry::new(1);
    let client = registry.register(7);
    registry.cancel(client.key);
    let cancelled = pin!(client.cancelled());
    registry.cancel(CancelKey { secret: client.key.secret ^ 1, ..client.key });
    assert_eq!(cancelled.poll(&mut Context::from_waker(Waker::noop())), Poll::Pending);
}
