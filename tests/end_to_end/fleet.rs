//! A fleet of router and sidecar processes, with stand-ins inside the test process.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use load::{Caller, Chat};
use serde_json::{Value, json};
use standin::{Engine, EngineSettings, Hosts, PlainService, Prompt, Store};

use crate::process::{Process, write_json};

const ANY_PORT: &str = "127.0.0.1:0";

/// The link key of all routers and sidecars.
pub const LINK_KEY: &str = "a-link-key-for-the-tests";

/// The example intents.
pub const INTENTS: &str = include_str!("../../examples/intents.json");

/// The model of the example intents.
pub const MODEL: &str = "menu-7b";

/// The size and the settings of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    pub routers: usize,
    pub engines: usize,
    pub services: usize,
    pub engine: EngineSettings,
    pub latency: Duration,
    pub admission: Value,
    pub router: Value,
    pub traces_url: Option<String>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: 3,
            services: 3,
            engine: EngineSettings { model: MODEL.to_owned(), ..EngineSettings::default() },
            latency: Duration::from_millis(2),
            admission: json!({}),
            router: json!({}),
            traces_url: None,
        }
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    pub layout: Layout,
    pub hosts: Hosts,
    pub store: Store,
    pub engines: Vec<Engine>,
    pub services: Vec<PlainService>,
    pub sidecars: BTreeMap<String, Process>,
    pub routers: Vec<Process>,
    pub intents: PathBuf,
}

impl Fleet {
    /// Starts a fleet and waits until every router is connected to every upstream.
    pub async fn start(layout: Layout) -> Self {
        let lag = Duration::from_millis(50);
        let mut fleet = Self {
            hosts: Hosts::start(ANY_PORT, lag).expect("the list starts"),
            store: Store::start(ANY_PORT).expect("the store starts"),
            engines: Vec::new(),
            services: Vec::new(),
            sidecars: BTreeMap::new(),
            routers: Vec::new(),
            intents: write_json(&serde_json::from_str(INTENTS).expect("the example is JSON")),
            layout,
        };
        for index in 1..=fleet.layout.engines {
            let engine =
                Engine::start(ANY_PORT, fleet.layout.engine.clone()).expect("the stand-in starts");
            fleet.engines.push(engine);
            fleet.start_sidecar(&format!("engine-{index}"));
        }
        for index in 1..=fleet.layout.services {
            let name = format!("pickup-{index}");
            let service = PlainService::start(ANY_PORT, &name, fleet.layout.latency)
                .expect("the stand-in starts");
            fleet.services.push(service);
            fleet.start_sidecar(&name);
        }
        for _ in 0..fleet.layout.routers {
            fleet.start_router();
        }
        fleet.wait_until_met().await;
        fleet
    }

    /// Starts or restarts the sidecar of an upstream.
    pub fn start_sidecar(&mut self, name: &str) {
        let (kind, index) = name.split_once('-').expect("a name of this fleet");
        let index: usize = index.parse::<usize>().expect("a number") - 1;
        let domain = format!("domain-{}", index % 3 + 1);
        if kind == "engine" {
            let url = self.engines[index].server().url();
            self.start_sidecar_for(name, &url, "engine", &domain, &json!({ "model": MODEL }));
        } else {
            let url = self.services[index].server().url();
            self.start_sidecar_for(name, &url, "plain", &domain, &json!({ "service": kind }));
        }
    }

    /// Starts the sidecar of the upstream at `url`.
    pub fn start_sidecar_for(
        &mut self,
        name: &str,
        url: &str,
        service: &str,
        domain: &str,
        pool: &Value,
    ) {
        let process = Process::start(
            env!("CARGO_BIN_EXE_silverstack-sidecar"),
            &json!({
                "name": name,
                "listen": ANY_PORT,
                "admin": ANY_PORT,
                "link_key": LINK_KEY,
                "upstream_url": url,
                "service": service,
                "hosts_url": self.hosts.server().url(),
                "pool": pool,
                "hosts_every_ms": 50,
                "traces_url": self.layout.traces_url,
                "admission": self.layout.admission,
            }),
        );
        self.hosts.put(json!({
            "name": name,
            "address": process.address("listen"),
            "domain": domain,
            "labels": pool,
        }));
        self.sidecars.insert(name.to_owned(), process);
    }

    /// Starts another router.
    pub fn start_router(&mut self) {
        let mut settings = json!({
            "name": format!("entry-{}", self.routers.len() + 1),
            "listen": ANY_PORT,
            "link_key": LINK_KEY,
            "hosts_url": self.hosts.server().url(),
            "store_url": self.store.server().url(),
            "intents": self.intents,
            "hosts_every_ms": 50,
            "drain_notice_ms": 100,
            "traces_url": self.layout.traces_url,
        });
        for (name, value) in self.layout.router.as_object().expect("an object") {
            settings[name] = value.clone();
        }
        self.routers.push(Process::start(env!("CARGO_BIN_EXE_silverstack-router"), &settings));
    }

    /// Waits until every router is connected to every upstream that has a sidecar.
    pub async fn wait_until_met(&self) {
        for router in 0..self.routers.len() {
            let caller = self.chat_caller(router).await;
            until(|| async {
                let status = caller.page("/status").await.unwrap_or_default();
                let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
                upstreams.iter().filter(|upstream| upstream["up"] == true).count()
                    >= self.sidecars.len()
            })
            .await;
        }
    }

    /// Returns the base URL of a router.
    pub fn url(&self, router: usize) -> String {
        format!("http://{}", self.routers[router].address("listen"))
    }

    /// Returns a caller of the workspace `mesa`, which sends chats.
    pub async fn chat_caller(&self, router: usize) -> Caller {
        Caller::new(&self.url(router), "mesa", "mesa-laptop-key").await.expect("a client")
    }

    /// Returns a caller of the workspace `courier`, which sends keyed calls.
    pub async fn call_caller(&self, router: usize) -> Caller {
        Caller::new(&self.url(router), "courier", "courier-laptop-key").await.expect("a client")
    }

    /// Returns the number of runs of each idempotency key at all services.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for service in &self.services {
            for (key, count) in service.runs() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }
}

/// Waits until `condition` is true, or fails the test.
pub async fn until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    for _ in 0..1_000 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the condition did not become true in time");
}

/// Returns the first request of a chat.
pub fn chat(name: &str, max_tokens: u64, stream: bool) -> Chat {
    let words: Vec<_> = (0..40).map(|index| format!("{name}-{index}")).collect();
    Chat {
        model: MODEL.to_owned(),
        chat: name.to_owned(),
        messages: vec![json!({ "role": "user", "content": words.join(" ") })],
        max_tokens,
        stream,
    }
}

/// Returns the answer that the engine gives to `chat`.
pub fn expected_answer(chat: &Chat) -> String {
    standin::answer(Prompt::new(&chat.model, &chat.messages).seed, chat.max_tokens)
}
