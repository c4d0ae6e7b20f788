//! Encoded bytes of one datagram of each kind, recorded from commit a97f0e8. Gateways of different versions
//! run side by side during a rolling upgrade, so neither the layout nor the order of the variants may change.

use petrelgauge_ownership::quota::{GroupDemand, GroupGrant, MeanRate, QuotaReport};
use petrelgauge_ownership::{
    Ballot, GatewayId, GrantedLease, LeadershipRole, LeaseRequest, LeaseResponse, Message, Notification,
    PrimaryAnnouncement, ReceivedMessage, Settings,
};

const FINGERPRINT: u32 = 0x1234_5678;
const SECRET: u64 = 0x5e;
const FROM: GatewayId = 300;
const DISCOVERY: LeadershipRole = LeadershipRole { kind: 1, shard: 3 };
const QUOTAS: LeadershipRole = LeadershipRole { kind: 2, shard: 200 };
const BALLOT: Ballot = Ballot { term: 0x1_0000_012c, proposer: 300 };
const OTHER: Ballot = Ballot { term: 0x1_0000_0007, proposer: 7 };
const PRIMARY: PrimaryAnnouncement =
    PrimaryAnnouncement { member: 0xfeed_beef_dead_cafe, evidence_at: 1_700_000_000_000_000 };
const SECOND_PRIMARY: PrimaryAnnouncement = PrimaryAnnouncement { member: 1, evidence_at: -5 };

fn request(request: LeaseRequest) -> Message {
    Message::LeaseRequest { role: DISCOVERY, request }
}

fn response(response: LeaseResponse) -> Message {
    Message::LeaseResponse { role: DISCOVERY, response }
}

fn notification(role: LeadershipRole, notification: Notification) -> Message {
    Message::Notification { role, term: BALLOT.term, notification }
}

/// Datagrams that acquire, renew and release leases.
fn lease_datagrams() -> Vec<(Message, &'static str)> {
    vec![
        (request(LeaseRequest::Prepare { ballot: BALLOT }), "a70112345678ac0200010300ac82808010ac025ed3be48"),
        (
            request(LeaseRequest::Propose { ballot: BALLOT, round: 129 }),
            "a70112345678ac0200010301ac82808010ac0281015c537b7b",
        ),
        (request(LeaseRequest::Release { ballot: BALLOT }), "a70112345678ac0200010302ac82808010ac02ccab4406"),
        (
            response(LeaseResponse::Promised { ballot: BALLOT, granted: None }),
            "a70112345678ac0201010300ac82808010ac0200a8f011ac",
        ),
        (
            response(LeaseResponse::Promised {
                ballot: BALLOT,
                granted: Some(GrantedLease { ballot: OTHER, remaining: 1_234_567 }),
            }),
            "a70112345678ac0201010300ac82808010ac02018780808010078eda9601af1decbe",
        ),
        (
            response(LeaseResponse::Accepted { ballot: BALLOT, round: 129 }),
            "a70112345678ac0201010301ac82808010ac0281016c81431e",
        ),
        (
            response(LeaseResponse::Rejected { ballot: OTHER, highest: BALLOT }),
            "a70112345678ac0201010302878080801007ac82808010ac029502f740",
        ),
        (
            Message::StaleTerm { role: DISCOVERY, highest: BALLOT.term },
            "a70112345678ac02040103ac828080105b4c38f4",
        ),
        (Message::Heartbeat, "a70112345678ac020791074d60"),
    ]
}

/// Notifications and reports of the two roles.
fn role_datagrams() -> Vec<(Message, &'static str)> {
    let primaries = vec![PRIMARY, SECOND_PRIMARY];
    let demands = vec![
        GroupDemand { group: 7, rate: 4_500, requested: -500 },
        GroupDemand { group: 900, rate: 0, requested: 1_250 },
    ];
    vec![
        (
            notification(DISCOVERY, Notification::LeaseHeld { remaining: 1_999_999 }),
            "a70112345678ac02020103ac8280801000fe91f4015995a4b3",
        ),
        (
            notification(DISCOVERY, Notification::Primary(PRIMARY)),
            "a70112345678ac02020103ac8280801001fe95b7f5fdddeff6fe018080f2818389850606b0ce2e",
        ),
        (
            notification(DISCOVERY, Notification::Primaries { primaries: primaries.clone() }),
            "a70112345678ac02020103ac828080100402fe95b7f5fdddeff6fe018080f28183898506010989ee2972",
        ),
        (
            notification(
                QUOTAS,
                Notification::QuotaRound {
                    round: 77,
                    mean_rates: vec![MeanRate { group: 7, rate: 4_500 }, MeanRate { group: 900, rate: 12 }],
                },
            ),
            "a70112345678ac020202c801ac82808010024d0207942384070c7ea5af77",
        ),
        (
            notification(
                QUOTAS,
                Notification::QuotaGrant {
                    report_number: u32::MAX,
                    granted: vec![
                        GroupGrant { group: 7, amount: 500 },
                        GroupGrant { group: 900, amount: -3 },
                    ],
                },
            ),
            "a70112345678ac020202c801ac8280801003ffffffff0f0207e8078407054ef1a47e",
        ),
        (Message::PrimaryReport(PRIMARY), "a70112345678ac0203fe95b7f5fdddeff6fe018080f28183898506bb97f211"),
        (
            Message::PrimaryReports { primaries },
            "a70112345678ac020602fe95b7f5fdddeff6fe018080f281838985060109330eaf2f",
        ),
        (
            Message::QuotaReport(QuotaReport {
                term: BALLOT.term,
                round: 77,
                number: 4_000_000_000,
                demands,
            }),
            "a70112345678ac0205ac828080104d80d0acf30e02079423e707840700c4136a47958c",
        ),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("a fixture")).collect()
}

fn assert_unchanged(datagrams: Vec<(Message, &'static str)>) {
    for (message, recorded) in datagrams {
        assert_eq!(hex(&message.encode(FROM, FINGERPRINT, SECRET)), recorded, "{message:?}");
        assert_eq!(
            Message::decode(&bytes(recorded), FINGERPRINT, SECRET),
            Ok(ReceivedMessage { from: FROM, message })
        );
    }
}

#[test]
fn lease_datagrams_keep_their_bytes() {
    assert_unchanged(lease_datagrams());
}

#[test]
fn notification_and_report_datagrams_keep_their_bytes() {
    assert_unchanged(role_datagrams());
}

#[test]
fn fingerprints_of_fleets_stay_the_same() {
    let settings = Settings { self_id: 3, gateways: 9, acceptors: vec![0, 3, 6], ..Settings::default() };
    let fingerprints = [0, 1, 2, 27].map(|shards| settings.sharded_fingerprint(shards));
    assert_eq!(fingerprints, [1_240_460_079, 1_240_460_079, 4_061_242_388, 2_600_319_159]);
    assert_eq!(settings.fingerprint(), fingerprints[0]);
}
