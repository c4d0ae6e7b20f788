//! Messages that were received before and after changes of the settings.

use petrelgauge_lifecycle::received_settings::{ReceivedSettings, MAX_EARLIER};
use proptest::prelude::*;

#[test]
fn what_was_received_before_a_change_belongs_to_the_earlier_settings_whether_it_was_read_or_not() {
    let mut received = ReceivedSettings::new(1);
    received.on_read(30);
    // Ten bytes are parsed, ten were read behind them, and twenty wait in the kernel.
    assert_eq!(received.of_message(20), 1);
    received.on_change(20, 20, 2);
    assert_eq!(received.of_message(10), 1);
    received.on_read(40);
    assert_eq!(received.of_message(30), 1, "its last byte is among those that waited in the kernel");
    assert_eq!(received.of_message(20), 1, "it ends with the last byte before the change");
    assert_eq!(received.of_message(19), 2, "its last byte came behind the change");
    assert_eq!(received.of_message(0), 2);
}

#[test]
fn settings_under_which_no_byte_was_received_are_skipped() {
    let mut received = ReceivedSettings::new(1);
    received.on_read(10);
    received.on_change(10, 0, 2);
    received.on_change(10, 0, 3);
    assert_eq!(received.of_message(0), 1);
    received.on_change(0, 0, 4);
    received.on_read(5);
    assert_eq!(received.of_message(0), 4);
}

#[test]
fn each_of_two_changes_in_a_row_applies_to_the_bytes_behind_it() {
    let mut received = ReceivedSettings::new(1);
    received.on_change(0, 10, 2);
    received.on_change(0, 20, 3);
    received.on_read(30);
    assert_eq!([20, 10, 0].map(|unparsed| received.of_message(unparsed)), [1, 2, 3]);
}

proptest! {
    /// Against a list of the settings of every byte.
    #[test]
    fn a_message_has_the_settings_of_its_last_byte(
        steps in prop::collection::vec((0_usize..4, 0_usize..4, 0_usize..4, any::<bool>()), 1..MAX_EARLIER),
    ) {
        let mut received = ReceivedSettings::new(0);
        let (mut in_force, mut settings_of_bytes) = (0, Vec::new());
        let (mut read, mut parsed) = (0, 0);
        for (arriving, reading, parsing, changes) in steps {
            settings_of_bytes.extend(std::iter::repeat_n(in_force, arriving));
            if changes {
                in_force += 1;
                received.on_change(read - parsed, settings_of_bytes.len() - read, in_force);
            }
            let count = reading.min(settings_of_bytes.len() - read);
            received.on_read(count);
            read += count;
            let length = parsing.min(read - parsed);
            if length > 0 {
                parsed += length;
                prop_assert_eq!(received.of_message(read - parsed), settings_of_bytes[parsed - 1]);
            }
        }
    }
}

#[test]
fn the_number_of_settings_that_are_told_apart_is_bounded() {
    let mut received = ReceivedSettings::new(0);
    let changes = 3 * MAX_EARLIER;
    (1..=changes).for_each(|change| received.on_change(0, change, change));
    received.on_read(changes + 1);
    let of_byte = |received: &mut ReceivedSettings<usize>, byte: usize| received.of_message(changes - byte);
    assert_eq!(of_byte(&mut received, MAX_EARLIER - 1), MAX_EARLIER - 1);
    assert_eq!(of_byte(&mut received, changes - 1), MAX_EARLIER - 1);
    assert_eq!(of_byte(&mut received, changes), changes);
}
