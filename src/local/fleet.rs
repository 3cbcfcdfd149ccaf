//! Start and stop of routers, sidecars and stand-ins.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use router::Router;
use serde_json::json;
use settings::Service;
use sidecar::Sidecar;
use snafu::{ResultExt, Snafu};
use standin::{Engine, EngineSettings, Hosts, PlainService, Store};
use tokio::task::JoinSet;

/// What each sidecar may use: the processes of a fleet share one host here.
const MEMORY_MB: u64 = 256;
const DESCRIPTORS: usize = 4_096;

/// Any free port of this host.
const ANY_PORT: &str = "127.0.0.1:0";

/// The link key of the fleet.
const LINK_KEY: &str = "a-link-key-for-one-process";

/// The intents of the examples.
const INTENTS: &str = include_str!("../../examples/intents.json");

/// The model of the engines, as in the intents.
pub(crate) const MODEL: &str = "menu-7b";

/// The failure domains of the upstreams, assigned in turn.
const DOMAINS: [&str; 3] = ["poa-1", "poa-2", "caxias-1"];

/// The delay of changes in the host list.
const HOSTS_LAG: Duration = Duration::from_millis(100);

/// The latency of a call to a plain service.
const PLAIN_LATENCY: Duration = Duration::from_millis(2);

/// Time limit for the routers to connect to all upstreams.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
}

/// An error at the start of the fleet.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A stand-in can't start.
    #[snafu(display("a stand-in can't start: {source}"))]
    Standin {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The intents file can't be written.
    #[snafu(display("can't write {}: {source}", path.display()))]
    Intents {
        /// The path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A router can't start.
    #[snafu(display("a router can't start: {source}"))]
    Router {
        /// The error.
        source: router::Error,
    },
    /// A sidecar can't start.
    #[snafu(display("a sidecar can't start: {source}"))]
    Sidecar {
        /// The error.
        source: sidecar::Error,
    },
    /// The routers did not become ready.
    #[snafu(display("the routers did not become ready"))]
    NotReady,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    hosts: Hosts,
    store: Store,
    engines: Vec<Engine>,
    services: Vec<PlainService>,
    routers: JoinSet<bool>,
    router_stops: Vec<process::Shutdown>,
    router_urls: Vec<String>,
    sidecars: JoinSet<usize>,
    sidecar_stops: Vec<process::Shutdown>,
    intents: PathBuf,
}

impl Fleet {
    /// Starts a fleet and waits until all routers are connected to all upstreams.
    ///
    /// # Errors
    ///
    /// A process can't start, or the routers did not connect in time.
    pub async fn start(size: Size) -> Result<Self, Error> {
        let intents = write_intents()?;
        let mut fleet = Self {
            hosts: Hosts::start(ANY_PORT, HOSTS_LAG).context(StandinSnafu)?,
            store: Store::start(ANY_PORT).context(StandinSnafu)?,
            engines: Vec::new(),
            services: Vec::new(),
            routers: JoinSet::new(),
            router_stops: Vec::new(),
            router_urls: Vec::new(),
            sidecars: JoinSet::new(),
            sidecar_stops: Vec::new(),
            intents,
        };
        for index in 0..size.engines {
            fleet.add_engine(index)?;
        }
        for index in 0..size.services {
            fleet.add_service(index)?;
        }
        for index in 0..size.routers {
            fleet.add_router(index)?;
        }
        fleet.wait_until_ready(size).await?;
        Ok(fleet)
    }

    /// The base URLs of the routers.
    pub fn router_urls(&self) -> &[String] {
        &self.router_urls
    }

    /// The number of runs of each idempotency key, over all services.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for service in &self.services {
            for (key, count) in service.runs() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Stops routers, then sidecars, then stand-ins. Returns the number of interrupted
    /// requests; an interrupted router counts as one.
    pub async fn stop(mut self) -> usize {
        let mut interrupted = 0;
        self.router_stops.iter().for_each(process::Shutdown::request);
        while let Some(is_complete) = self.routers.join_next().await {
            interrupted += usize::from(!is_complete.unwrap_or(false));
        }
        self.sidecar_stops.iter().for_each(process::Shutdown::request);
        while let Some(in_flight) = self.sidecars.join_next().await {
            interrupted += in_flight.unwrap_or(1);
        }
        for engine in &self.engines {
            engine.server().stop().await;
        }
        for service in &self.services {
            service.server().stop().await;
        }
        self.hosts.server().stop().await;
        self.store.server().stop().await;
        let _ = std::fs::remove_file(&self.intents);
        interrupted
    }

    fn add_engine(&mut self, index: usize) -> Result<(), Error> {
        let settings = EngineSettings { model: MODEL.to_owned(), ..EngineSettings::default() };
        let engine = Engine::start(ANY_PORT, settings).context(StandinSnafu)?;
        let pool = BTreeMap::from([("model".into(), MODEL.into())]);
        let name = format!("engine-{}", index + 1);
        self.add_sidecar(&name, index, &engine.server().url(), Service::Engine, &pool)?;
        self.engines.push(engine);
        Ok(())
    }

    fn add_service(&mut self, index: usize) -> Result<(), Error> {
        let name = format!("pickup-{}", index + 1);
        let plain = PlainService::start(ANY_PORT, &name, PLAIN_LATENCY).context(StandinSnafu)?;
        let pool = BTreeMap::from([("service".into(), "pickup".into())]);
        self.add_sidecar(&name, index, &plain.server().url(), Service::Plain, &pool)?;
        self.services.push(plain);
        Ok(())
    }

    fn add_sidecar(
        &mut self,
        name: &str,
        index: usize,
        upstream_url: &str,
        service: Service,
        pool: &BTreeMap<Arc<str>, Arc<str>>,
    ) -> Result<(), Error> {
        let settings = settings::Sidecar {
            name: name.into(),
            listen: ANY_PORT.into(),
            admin: ANY_PORT.into(),
            link_key: LINK_KEY.into(),
            upstream_url: upstream_url.into(),
            service,
            hosts_url: self.hosts.server().url().into(),
            pool: pool.clone(),
            hosts_every_ms: 200,
            memory_mb: MEMORY_MB,
            descriptors: DESCRIPTORS,
            drain_ms: 5_000,
            traces_url: None,
            admission: admission::Settings::default(),
        };
        let sidecar = Sidecar::bind(settings).context(SidecarSnafu)?;
        self.hosts.put(json!({
            "name": name,
            "address": sidecar.address().to_string(),
            "domain": DOMAINS[index % DOMAINS.len()],
            "labels": pool,
        }));
        self.sidecar_stops.push(sidecar.stop());
        self.sidecars.spawn_local(async move { sidecar.run().await });
        Ok(())
    }

    fn add_router(&mut self, index: usize) -> Result<(), Error> {
        let settings = json!({
            "name": format!("entry-{}", index + 1),
            "listen": ANY_PORT,
            "link_key": LINK_KEY,
            "hosts_url": self.hosts.server().url(),
            "store_url": self.store.server().url(),
            "intents": self.intents,
            "hosts_every_ms": 100,
            "drain_notice_ms": 0,
            "drain_ms": 5_000,
        });
        let settings = settings::parse(&settings.to_string()).expect("the settings are valid");
        let router = Router::bind(settings).context(RouterSnafu)?;
        self.router_urls.push(format!("http://{}", router.address()));
        self.router_stops.push(router.stop());
        self.routers.spawn_local(async move { router.run().await.unwrap_or(false) });
        Ok(())
    }

    async fn wait_until_ready(&self, size: Size) -> Result<(), Error> {
        let upstream_count = size.engines + size.services;
        let ready = async {
            for url in &self.router_urls {
                while !has_upstreams(url, upstream_count).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready).await.map_err(|_| Error::NotReady)
    }
}

/// Whether the router at `url` is connected to at least `min_count` upstreams.
async fn has_upstreams(url: &str, min_count: usize) -> bool {
    let Ok(caller) = load::Caller::new(url, "", "").await else {
        return false;
    };
    let Ok(status) = caller.page("/status").await else {
        return false;
    };
    let upstreams = status["upstreams"].as_array();
    upstreams.is_some_and(|all| {
        all.iter().filter(|upstream| upstream["up"] == true).count() >= min_count
    })
}

fn write_intents() -> Result<PathBuf, Error> {
    let path = std::env::temp_dir().join(format!("silverstack-{}.json", std::process::id()));
    let mut file = std::fs::File::create(&path).context(IntentsSnafu { path: &path })?;
    file.write_all(INTENTS.as_bytes()).context(IntentsSnafu { path: &path })?;
    Ok(path)
}
