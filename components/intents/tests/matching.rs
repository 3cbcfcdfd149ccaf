//! Compares lookups in the compiled plan with a search of the document.

use std::collections::BTreeMap;
use std::sync::Arc;

use intents::{Document, Intent, Kind, Labels, Miss, Plan, Selector, Workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The fixed seed of the cases.
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
        inner.prop_map(|negated| Selector::Not { selector: Box::new(negated) })
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
            ignores_keys: false,
            workspaces: workspaces
                .into_iter()
                .enumerate()
                .map(|(index, labels)| Workspace {
                    name: format!("w{index}").into(),
                    key_sha256: vec!["0".repeat(64).into()],
                    priority: None,
                    labels,
                    upstreams: Vec::new(),
                })
                .collect(),
            kinds: kinds
                .into_iter()
                .enumerate()
                .map(|(index, labels)| Kind {
                    name: format!("k{index}").into(),
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
                .map(|(index, (workspaces, kinds, models, rank))| Intent {
                    name: format!("i{index}").into(),
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

/// Searches all intents of the document.
fn search(
    document: &Document,
    workspace: usize,
    kind: usize,
    model: Option<&str>,
) -> Result<Arc<str>, Miss> {
    let with_name = |name: &Arc<str>, labels: &Labels| {
        let mut labels: BTreeMap<_, _> = labels.clone();
        labels.insert("name".into(), name.clone());
        labels
    };
    let workspace = &document.workspaces[workspace];
    let kind = &document.kinds[kind];
    let is_match = |intent: &&Arc<Intent>| {
        intent
            .workspaces
            .iter()
            .all(|selector| selector.matches(&with_name(&workspace.name, &workspace.labels)))
            && intent
                .kinds
                .iter()
                .all(|selector| selector.matches(&with_name(&kind.name, &kind.labels)))
            && (intent.models.is_empty()
                || model.is_some_and(|model| intent.models.iter().any(|name| &**name == model)))
    };
    let matching: Vec<_> = document.intents.iter().filter(is_match).collect();
    let rank = matching.iter().map(|intent| intent.rank).max().ok_or(Miss::NoIntent)?;
    let best: Vec<_> = matching.iter().filter(|intent| intent.rank == rank).collect();
    match best.as_slice() {
        [intent] => Ok(intent.name.clone()),
        [first, second, ..] => Err(Miss::Ambiguous(first.name.clone(), second.name.clone())),
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
    fn lookups_agree_with_a_search_of_the_document(document in document()) {
        let plan = Plan::compile(document.clone()).expect("the document is valid");
        for workspace in 0..document.workspaces.len() {
            for kind in 0..document.kinds.len() {
                for model in [None, Some("a"), Some("c")] {
                    let found = plan.find(&format!("w{workspace}"), &format!("k{kind}"), model);
                    let found = found.map(|target| target.intent.name.clone());
                    prop_assert_eq!(found, search(&document, workspace, kind, model));
                }
            }
        }
    }
}

#[test]
fn unknown_names_and_wrong_keys_match_nothing() {
    let json = include_str!("../../../examples/intents.json");
    let plan = Plan::compile(Document::parse(json).expect("the example parses"))
        .expect("the example is valid");
    assert_eq!(plan.find("nobody", "chat", None).map(|_| ()), Err(Miss::NoIntent));
    assert_eq!(plan.find("mesa", "nothing", None).map(|_| ()), Err(Miss::NoIntent));
    assert_eq!(plan.find("mesa", "chat", Some("x")).map(|_| ()), Err(Miss::UnknownModel));
    assert!(plan.authenticate("mesa", "mesa-laptop-key"));
    assert!(!plan.authenticate("mesa", "courier-laptop-key"));
}
