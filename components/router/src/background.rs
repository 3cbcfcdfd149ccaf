//! Background tasks of a router.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use clock::Millis;
use intents::{Document, Plan};
use process::Evictions;
use routing::{Effect, Event, Host};
use snafu::ResultExt;
use spdlog::{error, info, warn};
use store::Update;
use tokio::sync::mpsc::Receiver;
use tokio::task::JoinSet;
use wire::Frame;

use crate::core::Core;
use crate::error::{Error, IntentsSnafu, ReadSnafu};
use crate::persistence::Saver;
use crate::{
    announcement, crashes, feed, hints, lateness, permits, persistence, query_server, report,
    stream_records,
};

/// How often the intents file is checked for changes.
const INTENTS_INTERVAL: Duration = Duration::from_secs(1);

/// How often closed connections are reported.
const EVICTIONS_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) fn read_plan(path: &str) -> Result<Arc<Plan>, Error> {
    let json = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let document = Document::parse(&json).context(IntentsSnafu { path })?;
    Ok(Arc::new(Plan::compile(document).context(IntentsSnafu { path })?))
}

/// Spawns the tasks.
pub(crate) fn spawn(core: &Rc<Core>, directory_updates: Receiver<Effect>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    if let Some(direct) = &core.settings.direct {
        let (saver, pending) = Saver::new();
        tasks.spawn_local(feed::run(core.clone(), Millis(direct.poll_interval_ms), saver));
        tasks.spawn_local(persistence::save_upstreams(core.clone(), pending.clone()));
        tasks.spawn_local(persistence::save_prefixes(core.clone(), pending));
        tasks.spawn_local(announcement::run(core.clone()));
        tasks.spawn_local(hints::receive(core.clone()));
        tasks.spawn_local(hints::publish(core.clone()));
        tasks.spawn_local(hints::forward(core.clone()));
        tasks.spawn_local(permits::run(core.clone()));
        tasks.spawn_local(query_server::serve(core.clone()));
        tasks.spawn_local(crashes::run_checks(core.clone()));
        tasks.spawn_local(crashes::run_reports(core.clone()));
        tasks.spawn_local(lateness::run(core.clone()));
        tasks.spawn_local(stream_records::run(core.clone()));
    } else {
        tasks.spawn_local(poll_hosts(core.clone()));
        tasks.spawn_local(watch_intents(core.clone()));
    }
    tasks.spawn_local(report_evictions(core.clone()));
    tasks.spawn_local(watch_settings(core.clone()));
    tasks.spawn_local(send_directory_updates(core.clone(), directory_updates));
    tasks
}

/// Logs and counts the connections that were closed to keep to the limit.
async fn report_evictions(core: Rc<Core>) {
    loop {
        tokio::time::sleep(EVICTIONS_INTERVAL).await;
        let evictions = core.connections.take_evictions();
        if evictions == Evictions::default() {
            continue;
        }
        report::log_evictions(evictions, core.connections.len(), core.connections.limit());
        core.metrics.record_change("connections_closed");
    }
}

async fn poll_hosts(core: Rc<Core>) {
    let every = Duration::from_millis(core.settings.hosts_every_ms);
    let Ok(mut hosts) = store::Hosts::new(&core.settings.hosts_url).await else { return };
    let mut connecting = JoinSet::new();
    loop {
        let event = match hosts.fetch().await {
            Ok(Update { entries: Some(entries), unreadable, bytes }) => {
                core.metrics.record_control("hosts", bytes);
                if let Some(reason) = unreadable.first() {
                    core.metrics.record_change("entry_unreadable");
                    let entries = unreadable.len();
                    warn!("hosts can't be read", kv: { entries, reason = &**reason });
                }
                Event::Hosts(entries.into_iter().map(to_host).collect())
            }
            Ok(Update { entries: None, .. }) | Err(_) => Event::Tick,
        };
        for effect in core.apply(event) {
            if let Effect::Connect { upstream, address } = effect {
                connecting.spawn_local(connect(core.clone(), upstream, address));
            }
        }
        while connecting.try_join_next().is_some() {}
        tokio::time::sleep(every).await;
    }
}

/// Applies reloaded routing settings. All other settings need a restart.
async fn watch_settings(core: Rc<Core>) {
    let mut changes = core.reload.clone();
    while changes.changed().await.is_ok() {
        let routing = changes.borrow_and_update().routing.clone();
        info!("settings in force", kv: { name = &*core.settings.name });
        core.apply(Event::Settings(Box::new(routing)));
    }
}

fn to_host(entry: store::Entry) -> Host {
    Host {
        name: entry.name,
        entry: "".into(),
        address: entry.address,
        domain: entry.domain,
        labels: entry.labels,
        leaving: entry.leaving,
        slots: 0,
        born: 0,
        version: "".into(),
    }
}

async fn connect(core: Rc<Core>, upstream: Arc<str>, address: Arc<str>) {
    match core.links.connect(&upstream, &address).await {
        Ok(Some(welcome)) => {
            core.apply(Event::Connected(welcome));
        }
        Ok(None) => {
            core.apply(Event::Alive { upstream });
        }
        Err(_) => {
            core.apply(Event::Unreachable { upstream });
        }
    }
}

/// Applies a new configuration when the intents file changes.
async fn watch_intents(core: Rc<Core>) {
    let path = core.settings.intents.clone();
    let mut last_modified = modified_at(&path);
    loop {
        tokio::time::sleep(INTENTS_INTERVAL).await;
        let modified = modified_at(&path);
        if modified == last_modified {
            continue;
        }
        last_modified = modified;
        match read_plan(&path) {
            Ok(plan) => {
                info!("new intents read", kv: { generation = plan.generation() });
                core.apply(Event::Configure(plan));
            }
            Err(error) => error!("new intents refused", kv: { fault = error.to_string() }),
        }
    }
}

fn modified_at(path: &str) -> Option<SystemTime> {
    Path::new(path).metadata().ok()?.modified().ok()
}

/// Sends directory updates to the first upstreams in rank. A lost update only costs a chat its
/// cached context.
async fn send_directory_updates(core: Rc<Core>, mut directory_updates: Receiver<Effect>) {
    let timeout = Duration::from_millis(core.settings.connect_ms);
    while let Some(effect) = directory_updates.recv().await {
        let Effect::UpdateDirectory { upstream, address, update } = effect else { continue };
        let frame = Frame::DirectoryUpdate(update);
        core.metrics.record_control("note", wire::encode(&frame).map_or(0, |frame| frame.len()));
        let exchange = async {
            if let Ok((mut call, _)) = core.links.call(&upstream, &address, &frame).await {
                let _ = call.next().await;
            }
        };
        let _ = tokio::time::timeout(timeout, exchange).await;
    }
}
