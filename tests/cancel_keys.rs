//! The wait for a cancel request by its key.

use petrelgauge::postgres::cancel::{CancelKey, CancelKeys};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

#[test]
fn a_cancel_before_the_wait_is_first_polled_is_not_missed() {
    let keys = CancelKeys::new(1);
    let client = keys.register(7);
    let cancelled = pin!(client.cancelled());
    keys.cancel(client.key);
    assert_eq!(cancelled.poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(()));
}

#[test]
fn a_cancel_before_the_wait_or_with_another_key_does_not_end_it() {
    let keys = CancelKeys::new(1);
    let client = keys.register(7);
    keys.cancel(client.key);
    let cancelled = pin!(client.cancelled());
    keys.cancel(CancelKey { secret: client.key.secret ^ 1, ..client.key });
    assert_eq!(cancelled.poll(&mut Context::from_waker(Waker::noop())), Poll::Pending);
}
