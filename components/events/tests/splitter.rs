//! Streams cut anywhere, and streams that are not what they should be.

use events::{Error, Splitter};
use proptest::prelude::*;

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// What a splitter lets through of `bytes`, fed in parts of these lengths.
fn feed(splitter: &mut Splitter, bytes: &[u8], lengths: &[usize]) -> Result<Vec<u8>, Error> {
    let mut passed = Vec::new();
    let mut rest = bytes;
    for length in lengths.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (part, after) = rest.split_at((*length).clamp(1, rest.len()));
        passed.extend_from_slice(&splitter.push(part)?);
        rest = after;
    }
    Ok(passed)
}

proptest! {
    #[test]
    fn whole_events_pass_unchanged_wherever_they_are_cut(
        data in prop::collection::vec("[ -~]{0,20}", 1..20),
        lengths in prop::collection::vec(1_usize..40, 1..8),
        torn in "[a-z: ]{0,10}",
    ) {
        let whole: String = (1..).zip(&data).map(|(id, it)| event(id, it)).collect();
        let mut splitter = Splitter::default();
        let passed = feed(&mut splitter, format!("{whole}{torn}").as_bytes(), &lengths).unwrap();
        prop_assert_eq!(passed, whole.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(data.len() as u64));
        prop_assert_eq!(splitter.is_partial(), !torn.is_empty());
    }

    #[test]
    fn a_stream_that_goes_on_elsewhere_has_each_event_once(
        count in 1_u64..20,
        broke_after in 0_u64..20,
        begins_at in 1_u64..20,
        lengths in prop::collection::vec(1_usize..40, 1..8),
    ) {
        let broke_after = broke_after.min(count);
        let begins_at = begins_at.min(broke_after + 1);
        let events = |from: u64, to: u64| (from..=to).map(|id| event(id, "x")).collect::<String>();
        let mut splitter = Splitter::resume_after((broke_after > 0).then_some(broke_after));
        let second = events(begins_at.max(u64::from(broke_after == 0)), count);
        let passed = feed(&mut splitter, second.as_bytes(), &lengths).unwrap();
        prop_assert_eq!(String::from_utf8(passed).unwrap(), events(broke_after + 1, count));
    }

    #[test]
    fn an_event_that_is_missing_is_noticed(last in 1_u64..1000, missing in 1_u64..1000) {
        let mut splitter = Splitter::resume_after(Some(last));
        let jump = event(last + 1 + missing, "x");
        prop_assert_eq!(splitter.push(jump.as_bytes()), Err(Error::Gap));
    }

    #[test]
    fn hostile_bytes_never_pass_in_part(
        bytes in prop::collection::vec(prop::sample::select(b"id: 019\n\r\0\xffx".to_vec()), 0..300),
        lengths in prop::collection::vec(1_usize..40, 1..8),
    ) {
        let mut splitter = Splitter::default();
        if let Ok(passed) = feed(&mut splitter, &bytes, &lengths) {
            prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
        }
    }
}

#[test]
fn an_endless_event_is_given_up() {
    let mut splitter = Splitter::default();
    let part = vec![b'x'; 64 * 1024];
    let fault = (0..100).find_map(|_| splitter.push(&part).err());
    assert_eq!(fault, Some(Error::TooLarge));
}
