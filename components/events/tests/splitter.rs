//! Tests with streams in chunks of any length, resumed streams and invalid ones.

use events::{Error, Splitter};
use proptest::prelude::*;

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// Feeds `bytes` to the splitter in chunks of these lengths, repeated; returns what it
/// forwards.
fn feed(splitter: &mut Splitter, bytes: &[u8], chunk_lengths: &[usize]) -> Result<Vec<u8>, Error> {
    let mut forwarded = Vec::new();
    let mut remaining = bytes;
    for length in chunk_lengths.iter().cycle() {
        if remaining.is_empty() {
            break;
        }
        let (chunk, after) = remaining.split_at((*length).clamp(1, remaining.len()));
        forwarded.extend_from_slice(&splitter.push(chunk)?);
        remaining = after;
    }
    Ok(forwarded)
}

proptest! {
    #[test]
    fn forwards_complete_events_unchanged_for_any_chunk_lengths(
        data in prop::collection::vec("[ -~]{0,20}", 1..20),
        chunk_lengths in prop::collection::vec(1_usize..40, 1..8),
        partial in "[a-z: ]{0,10}",
    ) {
        let complete: String = (1..).zip(&data).map(|(id, data)| event(id, data)).collect();
        let mut splitter = Splitter::default();
        let forwarded =
            feed(&mut splitter, format!("{complete}{partial}").as_bytes(), &chunk_lengths).unwrap();
        prop_assert_eq!(forwarded, complete.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(data.len() as u64));
        prop_assert_eq!(splitter.is_partial(), !partial.is_empty());
    }

    #[test]
    fn forwards_each_event_once_when_a_stream_is_resumed(
        count in 1_u64..20,
        broken_after in 0_u64..20,
        resumed_at in 1_u64..20,
        chunk_lengths in prop::collection::vec(1_usize..40, 1..8),
    ) {
        let broken_after = broken_after.min(count);
        let resumed_at = resumed_at.min(broken_after + 1);
        let events = |from: u64, to: u64| (from..=to).map(|id| event(id, "x")).collect::<String>();
        let mut splitter = Splitter::resume_after((broken_after > 0).then_some(broken_after));
        let second = events(resumed_at.max(u64::from(broken_after == 0)), count);
        let forwarded = feed(&mut splitter, second.as_bytes(), &chunk_lengths).unwrap();
        prop_assert_eq!(String::from_utf8(forwarded).unwrap(), events(broken_after + 1, count));
    }

    #[test]
    fn fails_on_a_gap_in_the_ids(last in 1_u64..1000, missing in 1_u64..1000) {
        let mut splitter = Splitter::resume_after(Some(last));
        let later = event(last + 1 + missing, "x");
        prop_assert_eq!(splitter.push(later.as_bytes()), Err(Error::Gap));
    }

    #[test]
    fn forwards_only_complete_events_of_arbitrary_bytes(
        bytes in prop::collection::vec(prop::sample::select(b"id: 019\n\r\0\xffx".to_vec()), 0..300),
        chunk_lengths in prop::collection::vec(1_usize..40, 1..8),
    ) {
        let mut splitter = Splitter::default();
        if let Ok(forwarded) = feed(&mut splitter, &bytes, &chunk_lengths) {
            prop_assert!(normalized(&forwarded).is_empty() || normalized(&forwarded).ends_with("\n\n"));
        }
    }

    #[test]
    fn lines_may_end_in_cr_lf_or_both(
        text in "[a:\r\n]{0,60}",
        chunk_lengths in prop::collection::vec(1_usize..9, 1..8),
    ) {
        // The last byte shows whether a line feed follows a carriage return.
        let bytes = format!("{text}x").into_bytes();
        let forwarded = feed(&mut Splitter::default(), &bytes, &chunk_lengths).unwrap();
        prop_assert!(bytes.starts_with(&forwarded), "{:?}", forwarded);
        let all = normalized(&bytes);
        prop_assert_eq!(normalized(&forwarded), &all[..complete_events(&all)]);
        prop_assert_eq!(feed(&mut Splitter::default(), &bytes, &[bytes.len()]).unwrap(), forwarded);
    }

    #[test]
    fn ids_are_read_whatever_ends_their_lines(
        endings in prop::collection::vec(prop::sample::select(vec!["\n", "\r\n", "\r"]), 1..20),
        chunk_lengths in prop::collection::vec(1_usize..40, 1..8),
    ) {
        let event = |(id, end): (u64, &&str)| format!("id: {id}{end}data: x{end}{end}");
        let complete: String = (1..).zip(&endings).map(event).collect();
        let mut splitter = Splitter::default();
        let forwarded = feed(&mut splitter, complete.as_bytes(), &chunk_lengths).unwrap();
        prop_assert_eq!(forwarded, complete.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(endings.len() as u64));
        prop_assert!(!splitter.is_partial());
        // Events that were forwarded before are left out, with all of their bytes.
        let mut resumed = Splitter::resume_after(Some(endings.len() as u64));
        let forwarded = feed(&mut resumed, complete.as_bytes(), &chunk_lengths).unwrap();
        prop_assert!(forwarded.is_empty(), "{:?}", forwarded);
    }
}

/// Text whose lines all end in LF.
fn normalized(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).replace("\r\n", "\n").replace('\r', "\n")
}

/// The length of the complete events in normalized text.
fn complete_events(text: &str) -> usize {
    let mut length = 0;
    while let Some(end) = text[length..].find("\n\n") {
        length += end + 2;
    }
    length
}

#[test]
fn an_event_that_is_cut_within_its_last_line_ending_is_partial() {
    for partial in ["id: 1\r\ndata: x\r\n", "id: 1\r\ndata: x\r\n\r", "id: 1\rdata: x\r"] {
        let mut splitter = Splitter::default();
        assert_eq!(splitter.push(partial.as_bytes()).expect("valid events"), "", "{partial:?}");
        assert!(splitter.is_partial(), "{partial:?}");
    }
}

#[test]
fn an_event_is_forwarded_as_soon_as_its_last_line_has_ended() {
    for event in ["id: 1\r\n\r\n", "id: 1\r\r", "id: 1\n\n", "id: 1\n\r\n", "id: 1\n\r"] {
        let mut splitter = Splitter::default();
        assert_eq!(splitter.push(event.as_bytes()).expect("valid events"), event, "{event:?}");
    }
}

#[test]
fn fails_on_an_event_over_the_size_limit() {
    let mut splitter = Splitter::default();
    let chunk = vec![b'x'; 64 * 1024];
    let error = (0..100).find_map(|_| splitter.push(&chunk).err());
    assert_eq!(error, Some(Error::TooLarge));
}

#[test]
fn counts_the_bytes_of_an_incomplete_event() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: x\n\nid: 2").expect("valid events");
    assert_eq!(splitter.buffered(), b"id: 2".len());
    splitter.push(b"\ndata: x\n\n").expect("valid events");
    assert_eq!(splitter.buffered(), 0);
}
