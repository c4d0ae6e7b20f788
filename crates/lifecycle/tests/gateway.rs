//! The times until which a stopping gateway answers requests and reads messages.

use petrelgauge_lifecycle::client::Idleness;
use petrelgauge_lifecycle::gateway::{Event, Gateway, ListenerSharing, ReadDeadlines, LOAD_BALANCER_NOTICE};
use petrelgauge_policy::Time;

#[test]
fn answers_and_reads_end_before_the_kill_and_a_second_stop_changes_nothing() {
    let second = 1_000_000;
    for (longest, kill) in
        [(second, 17 * second / 10), (3 * second, 37 * second / 10), (30 * second, 37 * second / 10)]
    {
        let mut gateway = Gateway::new(ListenerSharing::Exclusive);
        assert_eq!(
            (gateway.answer_deadline(longest), gateway.read_deadlines(longest)),
            (Time::MAX, ReadDeadlines::default())
        );
        gateway.on(5 * second, Event::Stop);
        let deadline = gateway.answer_deadline(longest);
        assert!((5 * second + kill - 300_000..5 * second + kill - 200_000).contains(&deadline), "{deadline}");
        let reads = gateway.read_deadlines(longest);
        assert_eq!((reads.of(Idleness::New), reads.of(Idleness::CutOff)), (deadline, deadline));
        let answered = reads.of(Idleness::Answered);
        assert!(answered >= 5 * second + LOAD_BALANCER_NOTICE, "{answered}");
        assert!(answered <= deadline - (deadline - 5 * second) / 4, "{answered}");
        gateway.on(6 * second, Event::Stop);
        assert_eq!(gateway.answer_deadline(longest), deadline);
    }
}
