//! The end of a sidecar's work.

use admission::{Effect, Event, Peer, Settings, State};
use clock::Millis;

fn is_drained(state: &mut State, event: Event) -> bool {
    let effects = state.apply(event, Millis(1_000));
    effects.iter().any(|effect| matches!(effect, Effect::Drained))
}

/// The platform's list may end the work of a sidecar long before its stop is requested, and only
/// a stop that was requested can end.
#[test]
fn a_stop_of_a_drained_sidecar_ends() {
    let own = Peer { name: "e1".into(), address: "a".into() };
    let mut state = State::new(Settings::default(), own, 1);
    assert!(!is_drained(&mut state, Event::Tick));
    assert!(is_drained(&mut state, Event::Leave), "by the list");
    assert!(is_drained(&mut state, Event::Leave), "by the stop");
}
