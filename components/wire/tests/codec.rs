//! Frames are decoded as they were encoded, for any chunks of the stream; other bytes are refused.

use bytes::Bytes;
use clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use shares::{Demand, MAX_DEMANDS, Remainder, Summary};
use wire::{
    Build, Chunk, Delay, Demands, End, Error, Frame, Load, Loads, MAX_FRAME_BYTES, Observation,
    Observations, Open, Outcome, Pace, PartCrash, PartRun, Reader, Report, SavedStream,
    SavedStreams, Stage, Status, UpstreamCrash, WarmPrefixes, encode,
};

const SEED: u64 = 20_261_202;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn open(body: Vec<u8>, key: Option<String>) -> Frame {
    Frame::Open(Open {
        request: "entry-1-0-1".into(),
        attempt: 2,
        workspace: "mesa".into(),
        chat: 5,
        is_home: true,
        priority: -3,
        remaining_ms: 4_000,
        weight: 77,
        incarnation: 9,
        idempotency_key: key.map(Into::into),
        generation: 3,
        traceparent: None,
        method: "POST".into(),
        path: "/a?b=c".into(),
        headers: vec![("accept".into(), "*/*".into())],
        body: body.into(),
    })
}

fn demands(at: u64, demands: Vec<(u64, i32, u32, u32)>) -> Demands {
    let demand = |(workspace, priority, requested, served)| Demand {
        workspace,
        priority,
        requested,
        served,
    };
    let demands = demands.into_iter().map(demand).collect();
    let remainder = Remainder { workspaces: 3, requested: 70, served: 20 };
    let summary = Summary { at: Millis(at), saturated: true, starving: false, demands, remainder };
    Demands { router: "front-1".into(), pool: "engine".into(), summary }
}

fn frames() -> impl Strategy<Value = Frame> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..300);
    prop_oneof![
        (bytes(), any::<Option<String>>()).prop_map(|(body, key)| open(body, key)),
        (any::<u32>(), any::<u64>(), bytes()).prop_map(|(attempt, sequence, bytes)| {
            Frame::Chunk(Chunk { attempt, sequence, bytes: Bytes::from(bytes) })
        }),
        (any::<u32>(), any::<u64>(), any::<u64>()).prop_map(|(attempt, chunks, bytes)| {
            Frame::End(End { attempt, chunks, bytes, status: Status::default() })
        }),
        (any::<String>(), prop::collection::vec(any::<u64>(), 0..101), any::<bool>()).prop_map(
            |(upstream, prefixes, is_cached)| {
                let stage = if is_cached { Stage::Cached } else { Stage::Prefilling };
                Frame::WarmPrefixes(WarmPrefixes { upstream: upstream.into(), prefixes, stage })
            }
        ),
        (any::<bool>(), prop::collection::vec(any::<(String, u64, u64)>(), 0..40)).prop_map(
            |(current, loads)| {
                let load = |(name, requests, waiting): (String, u64, u64)| Load {
                    upstream: name.into(),
                    requests,
                    waiting,
                };
                let upstreams = loads.into_iter().map(load);
                let upstreams = upstreams.collect();
                Frame::Loads(Loads { router: "front-1".into(), current, upstreams })
            }
        ),
        (any::<bool>(), prop::collection::vec(any::<(String, u64, u64, u64)>(), 0..40)).prop_map(
            |(current, observations)| {
                let observations =
                    observations.into_iter().map(|(upstream, requests, waiting, age_ms)| {
                        Observation { upstream: upstream.into(), requests, waiting, age_ms }
                    });
                Frame::Observations(Observations { current, upstreams: observations.collect() })
            }
        ),
        prop::collection::vec(any::<(String, i32, u32, u32)>(), 0..40).prop_map(|delays| {
            let delay = |(pool, priority, waited_ms, queued): (String, i32, u32, u32)| Delay {
                pool: pool.into(),
                priority,
                waited_ms,
                queued,
            };
            Frame::Delays(delays.into_iter().map(delay).collect())
        }),
        (any::<u64>(), prop::collection::vec(any::<(u64, i32, u32, u32)>(), 0..40))
            .prop_map(|(at, entries)| Frame::Demands(demands(at, entries))),
        (any::<String>(), prop::collection::vec(any::<u64>(), 0..40)).prop_map(
            |(upstream, fingerprints)| Frame::UpstreamCrash(UpstreamCrash {
                upstream: upstream.into(),
                fingerprints
            })
        ),
        prop::collection::vec(any::<(String, u32, u32)>(), 0..40).prop_map(|outcomes| {
            let outcome = |(upstream, successes, failures): (String, u32, u32)| Outcome {
                upstream: upstream.into(),
                successes,
                failures,
            };
            Frame::Outcomes(outcomes.into_iter().map(outcome).collect())
        }),
        prop::collection::vec(any::<(String, u32, u64)>(), 0..40).prop_map(|paces| {
            let pace = |(upstream, percent, age_ms): (String, u32, u64)| Pace {
                upstream: upstream.into(),
                percent,
                age_ms,
            };
            Frame::Paces(paces.into_iter().map(pace).collect())
        }),
        prop::collection::vec(any::<u64>(), 0..40).prop_map(Frame::Cleared),
        prop::collection::vec(any::<u64>(), 0..40).prop_map(Frame::ClearedParts),
        (any::<(u64, String, String)>(), prop::collection::vec(any::<(u64, u64)>(), 0..40))
            .prop_map(|((at, pool, version), streams)| {
                let build = Build { pool: pool.into(), version: version.into() };
                let saved = |(stream, left_ms)| SavedStream { stream, left_ms };
                let streams = streams.into_iter().map(saved).collect();
                Frame::SavedStreams(SavedStreams { at, build, streams })
            }),
        (any::<String>(), prop::collection::vec(any::<(u64, u64)>(), 0..40)).prop_map(
            |(upstream, runs)| {
                let run = |(part, ran_ms)| PartRun { part, ran_ms };
                let runs = runs.into_iter().map(run).collect();
                Frame::PartCrash(PartCrash { upstream: upstream.into(), runs })
            }
        ),
        (any::<String>(), any::<u64>()).prop_map(|(name, load)| {
            Frame::Report(Report {
                name: name.into(),
                incarnation: 1,
                load,
                members: 1,
                sum: false,
            })
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decodes_frames_from_any_chunks(
        frames in prop::collection::vec(frames(), 1..8),
        cut in 1..64_usize,
    ) {
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend_from_slice(&encode(frame).expect("it fits"));
        }
        let mut reader = Reader::default();
        let mut read = Vec::new();
        for part in bytes.chunks(cut) {
            reader.push(part);
            while let Some(frame) = reader.next_frame().expect("it is a frame") {
                read.push(frame);
            }
        }
        prop_assert_eq!(read, frames);
        prop_assert!(!reader.is_partial());
    }

    #[test]
    fn invalid_bytes_are_refused_or_incomplete(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = Reader::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }
}

#[test]
fn refuses_an_oversized_length_before_its_bytes_arrive() {
    let mut reader = Reader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert!(matches!(reader.next_frame(), Err(Error::TooLong { .. })));
}

#[test]
fn refuses_to_encode_an_oversized_frame() {
    assert!(encode(&open(vec![0; MAX_FRAME_BYTES + 1], None)).is_err());
}

/// The largest datagram between routers that fits one packet.
const MAX_DATAGRAM_BYTES: usize = 1_200;

#[test]
fn the_longest_demand_report_fits_one_datagram() {
    let demands = demands(u64::MAX, vec![(u64::MAX, i32::MIN, u32::MAX, u32::MAX); MAX_DEMANDS]);
    let name: std::sync::Arc<str> = "n".repeat(128).into();
    let demands = Demands { router: name.clone(), pool: name, ..demands };
    let bytes = encode(&Frame::Demands(demands)).expect("it fits");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
}
