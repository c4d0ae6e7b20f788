//! Bounds of reading ahead, and the arrival times of messages.

use petrelgauge_lifecycle::read_ahead::{ReadAhead, MAX_BYTES, MAX_QUEUED};
use proptest::prelude::*;

/// A connection that has read `count` messages of `size` bytes each at `now`.
fn queued(count: usize, size: usize, now: i64) -> ReadAhead {
    let mut ahead = ReadAhead::new();
    ahead.on_read(now, count * size, usize::MAX);
    for number in 1..=count {
        ahead.on_queued(size, (count - number) * size);
    }
    ahead
}

#[test]
fn reading_pauses_at_the_message_bound_and_resumes_when_one_is_dequeued() {
    let mut ahead = queued(MAX_QUEUED, 100, 1_000);
    assert_eq!(ahead.allowance(), 0);
    assert!(!ahead.may_queue());
    ahead.on_dequeued(100);
    assert_eq!(ahead.allowance(), MAX_BYTES - (MAX_QUEUED - 1) * 100);
}

#[test]
fn reading_pauses_at_the_byte_bound() {
    let mut ahead = queued(2, MAX_BYTES / 2, 1_000);
    assert_eq!(ahead.allowance(), 0);
    ahead.on_dequeued(MAX_BYTES / 2);
    assert_eq!(ahead.allowance(), MAX_BYTES / 2);
    assert_eq!(ahead.message_bytes(), MAX_BYTES);
    ahead.on_handled();
    assert_eq!(ahead.message_bytes(), MAX_BYTES / 2);
}

// The bound covers parsed and unparsed bytes together, whoever accounts for their memory.
#[test]
fn unparsed_bytes_count_against_the_byte_bound() {
    let mut ahead = queued(1, MAX_BYTES / 2, 1_000);
    ahead.on_read(2_000, MAX_BYTES / 2, usize::MAX);
    assert_eq!((ahead.allowance(), ahead.message_bytes()), (0, MAX_BYTES / 2));
    ahead.set_unparsed_bytes(0);
    assert_eq!(ahead.allowance(), MAX_BYTES / 2);
}

// A connection whose request is open frees memory by itself, whoever accounts for its statement.
#[test]
fn a_message_that_was_handed_over_is_still_being_handled() {
    let mut ahead = queued(1, 100, 1_000);
    ahead.on_dequeued(100);
    ahead.on_handed_over();
    assert_eq!((ahead.message_bytes(), ahead.is_handling(), ahead.has_no_message()), (0, true, false));
    ahead.on_handled();
    assert!(ahead.has_no_message());
}

#[test]
fn bytes_read_without_a_pause_arrived_now() {
    let mut ahead = queued(1, 100, 1_000);
    ahead.on_read(9_000, 100, 65_536);
    assert_eq!(ahead.arrived_at(), 9_000);
}

#[test]
fn bytes_read_after_a_pause_may_have_arrived_when_it_began() {
    let mut ahead = queued(MAX_QUEUED, 100, 1_000);
    ahead.pause();
    ahead.on_dequeued(100);
    ahead.on_read(9_000, 100, 65_536);
    assert_eq!(ahead.arrived_at(), 1_000);
    // That read emptied the kernel's buffer: the bytes of the next one arrived after it.
    ahead.pause();
    ahead.on_read(12_000, 100, 65_536);
    assert_eq!(ahead.arrived_at(), 9_000);
}

#[test]
fn bytes_left_by_a_read_arrived_no_later_than_it_returned() {
    let mut ahead = ReadAhead::new();
    ahead.on_read(1_000, 65_536, 65_536);
    assert!(ahead.may_have_unread());
    ahead.on_read(7_000, 65_536, 65_536);
    assert_eq!(ahead.arrived_at(), 1_000);
    ahead.on_read(8_000, 10, 65_536);
    assert_eq!(ahead.arrived_at(), 1_000);
    assert!(!ahead.may_have_unread());
    ahead.on_read(9_000, 10, 65_536);
    assert_eq!(ahead.arrived_at(), 9_000);
}

proptest! {
    /// For any sequence of messages the bounds hold, and a connection with nothing queued may continue to
    /// read.
    #[test]
    fn bounds_hold_and_reading_always_resumes(
        steps in prop::collection::vec((1usize..70_000, any::<bool>()), 1..200),
    ) {
        const LONGEST: usize = MAX_BYTES / 2;
        let (mut ahead, mut queue, mut unparsed) = (ReadAhead::new(), Vec::new(), 0usize);
        for (now, (size, dequeues)) in steps.into_iter().enumerate() {
            let read = ahead.allowance().min(65_536).min(size);
            if read > 0 {
                ahead.on_read(now as i64, read, 65_536);
                unparsed += read;
            }
            while unparsed >= size.min(LONGEST) && ahead.may_queue() {
                let message_size = size.min(LONGEST);
                unparsed -= message_size;
                ahead.on_queued(message_size, unparsed);
                queue.push(message_size);
            }
            prop_assert!(queue.iter().sum::<usize>() + unparsed <= MAX_BYTES);
            prop_assert!(queue.len() <= MAX_QUEUED);
            if dequeues && !queue.is_empty() {
                ahead.on_dequeued(queue.remove(0));
            }
            if queue.is_empty() && unparsed < LONGEST {
                prop_assert!(ahead.allowance() > 0);
            }
        }
    }
}
