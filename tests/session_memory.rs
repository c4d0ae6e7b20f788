//! The private memory of session tracking at the smallest memory limit, under ever new sessions. The only test
//! of its program, since it measures its own process.

use petrelgauge::os::process_memory::private_bytes;
use petrelgauge_sessions::{SessionKey, SessionMemory, Settings, Watermark};

/// An eighth of the smallest memory limit, 32 MiB.
const MEMORY: usize = 4 * 1024 * 1024;
/// Ever new sessions: as many as a gateway can keep in any of its configurations, and more.
const SESSIONS: u64 = 1_000_000;

// Issue 59: the sessions kept exactly did not depend on the memory limit, and needed 27 of 32 MB.
#[test]
fn ever_new_sessions_stay_within_their_share_of_the_memory() {
    let settings = Settings::default().within_memory(MEMORY);
    let before = private_bytes().expect("the kernel reports private memory");
    let mut memory = SessionMemory::new(settings.exact_sessions, 1, settings.secret);
    for number in 0..SESSIONS {
        let name_hash = number.wrapping_mul(0x9E37_79B9) & ((1 << 40) - 1);
        memory.join(SessionKey { group: 2, name_hash }, Watermark { written: number as i64, read: 0 }, 0);
    }
    let grown = private_bytes().expect("the kernel reports private memory").saturating_sub(before);
    println!("{} exact sessions need {grown} bytes", settings.exact_sessions);
    assert!(grown <= MEMORY, "{} exact sessions need {grown} bytes", settings.exact_sessions);
}
