//! Facts are passed between routers as they were read from the store.

use clock::Millis;
use edge::Fact;
use routing::Crash;

/// A crash under work as a whole, or under one part of its prompt.
fn crash(ran: Option<Millis>) -> Crash {
    Crash { fingerprint: 7, upstream: "engine-1".into(), at: Millis(1_000), cleared: false, ran }
}

#[test]
fn crashes_are_decoded_as_they_were_encoded() {
    let crashes = vec![
        crash(None),
        crash(Some(Millis(30))),
        Crash::cleared(8, Millis(2_000)),
        Crash::cleared_part(9, Millis(3_000)),
    ];
    let facts = vec![
        Fact::Crashes { router: "front-1".into(), crashes },
        Fact::CrashesRemoved("front-2".into()),
    ];
    let decoded: Vec<Fact> = wire::unpack(&wire::pack(&facts).expect("bytes")).expect("facts");
    assert_eq!(decoded, facts);
}
