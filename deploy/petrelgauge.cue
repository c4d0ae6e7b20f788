// The operator's file of petrelgauge, read where PETRELGAUGE_FILE names it. This platform's run line does not: all of
// it is off here. Each record below switches a subsystem on; docs/operate has a page for each.

// sessions: {
//     classes: ["balance-view", "history-browse", "payment-post"]
//     secret: "9f3c5a7e21d04b68"
//     sources: ["token"]
// }

// ownership: {
//     secret: "9f3c5a7e21d04b68"
//     electors: 3
//     duties: ["scout", "shares"]
//     shards: 1  // of each duty; in fleets of hundreds as many as electors, see docs/operate/ownership.md
// }
