//! The compiled plan against a naive matcher.

use std::collections::BTreeMap;
use std::sync::Arc;

use intents::{Document, Intent, Kind, Labels, Miss, Plan, Selector, Workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The seed of the cases, so that every run is the same.
const SEED: u64 = 20_261_202;

fn word() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![Just("a"), Just("b"), Just("c")].prop_map(Arc::from)
}

fn labels() -> impl Strategy<Value = Labels> {
    prop::collection::btree_map(word(), word(), 0..3)
}

fn selector() -> impl Strategy<Value = Selector> {
    let leaf = prop_oneof![
        (word(), word()).prop_map(|(label, value)| Selector::Equals { label, value }),
        (word(), prop::collection::vec(word(), 0..3))
            .prop_map(|(label, values)| Selector::In { label, values }),
        word().prop_map(|label| Selector::Exists { label }),
    ];
    leaf.prop_recursive(2, 4, 1, |inner| {
        inner.prop_map(|it| Selector::Not { selector: Box::new(it) })
    })
}

fn selectors() -> impl Strategy<Value = Vec<Selector>> {
    prop::collection::vec(selector(), 0..2)
}

fn document() -> impl Strategy<Value = Document> {
    let intent = (selectors(), selectors(), prop::collection::vec(word(), 0..2), 0..2_i32);
    (
        prop::collection::vec(labels(), 1..4),
        prop::collection::vec(labels(), 1..3),
        prop::collection::vec(intent, 0..4),
    )
        .prop_map(|(workspaces, kinds, intents)| Document {
            generation: 1,
            workspaces: workspaces
                .into_iter()
                .enumerate()
                .map(|(place, labels)| Workspace {
                    name: format!("w{place}").into(),
                    key_sha256: vec!["0".repeat(64).into()],
                    priority: None,
                    labels,
                    upstreams: Vec::new(),
                })
                .collect(),
            kinds: kinds
                .into_iter()
                .enumerate()
                .map(|(place, labels)| Kind {
                    name: format!("k{place}").into(),
                    repeatable: true,
                    keyless: false,
                    events: false,
                    resumable: false,
                    anonymous: false,
                    paths: Vec::new(),
                    labels,
                })
                .map(Into::into)
                .collect(),
            models: vec!["a".into(), "b".into(), "c".into()],
            upstreams: Vec::new(),
            pools: Vec::new(),
            intents: intents
                .into_iter()
                .enumerate()
                .map(|(place, (workspaces, kinds, models, rank))| Intent {
                    name: format!("i{place}").into(),
                    rank,
                    workspaces,
                    kinds,
                    models,
                    upstreams: Vec::new(),
                    domains: Vec::new(),
                    priority: 0,
                    deadline_ms: 1,
                    attempts: None,
                    objective_ms: None,
                    split: Vec::new(),
                })
                .map(Into::into)
                .collect(),
        })
}

/// Reads the whole document for every question.
fn naive(
    document: &Document,
    workspace: usize,
    kind: usize,
    model: Option<&str>,
) -> Result<Arc<str>, Miss> {
    let named = |name: &Arc<str>, labels: &Labels| {
        let mut labels: BTreeMap<_, _> = labels.clone();
        labels.insert("name".into(), name.clone());
        labels
    };
    let workspace = &document.workspaces[workspace];
    let kind = &document.kinds[kind];
    let fits = |intent: &&Arc<Intent>| {
        intent.workspaces.iter().all(|it| it.matches(&named(&workspace.name, &workspace.labels)))
            && intent.kinds.iter().all(|it| it.matches(&named(&kind.name, &kind.labels)))
            && (intent.models.is_empty()
                || model.is_some_and(|model| intent.models.iter().any(|it| &**it == model)))
    };
    let fitting: Vec<_> = document.intents.iter().filter(fits).collect();
    let best = fitting.iter().map(|it| it.rank).max().ok_or(Miss::NoIntent)?;
    let best: Vec<_> = fitting.iter().filter(|it| it.rank == best).collect();
    match best.as_slice() {
        [one] => Ok(one.name.clone()),
        [one, other, ..] => Err(Miss::Ambiguous(one.name.clone(), other.name.clone())),
        [] => Err(Miss::NoIntent),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_plan_finds_what_a_naive_matcher_finds(document in document()) {
        let plan = Plan::compile(document.clone()).expect("the document is right");
        for workspace in 0..document.workspaces.len() {
            for kind in 0..document.kinds.len() {
                for model in [None, Some("a"), Some("c")] {
                    let found = plan.find(&format!("w{workspace}"), &format!("k{kind}"), model);
                    let found = found.map(|it| it.intent.name.clone());
                    prop_assert_eq!(found, naive(&document, workspace, kind, model));
                }
            }
        }
    }
}

#[test]
fn unknown_names_match_nothing() {
    let json = include_str!("../../../examples/intents.json");
    let plan = Plan::compile(Document::parse(json).expect("it parses")).expect("it is right");
    assert_eq!(plan.find("nobody", "chat", None).map(|_| ()), Err(Miss::NoIntent));
    assert_eq!(plan.find("mesa", "nothing", None).map(|_| ()), Err(Miss::NoIntent));
    assert_eq!(plan.find("mesa", "chat", Some("x")).map(|_| ()), Err(Miss::UnknownModel));
    assert!(plan.authenticate("mesa", "mesa-laptop-key"));
    assert!(!plan.authenticate("mesa", "courier-laptop-key"));
}
