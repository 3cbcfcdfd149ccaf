//! What a router does besides serving requests.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use clock::Millis;
use intents::{Document, Plan};
use routing::{Effect, Event, Host};
use snafu::ResultExt;
use spdlog::{error, info};
use store::Update;
use tokio::sync::mpsc::Receiver;
use tokio::task::JoinSet;
use wire::Frame;

use crate::core::Core;
use crate::error::{Error, IntentsSnafu, ReadSnafu};
use crate::memory::Memory;
use crate::{announcement, crashes, feed, hints, memory, places, telling};

/// How often the file of the intents is looked at.
const INTENTS_EVERY: Duration = Duration::from_secs(1);

/// Reads and compiles the intents.
pub(crate) fn read_plan(path: &str) -> Result<Arc<Plan>, Error> {
    let json = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let document = Document::parse(&json).context(IntentsSnafu { path })?;
    Ok(Arc::new(Plan::compile(document).context(IntentsSnafu { path })?))
}

/// Starts the tasks; they end when the stop is finished.
pub(crate) fn spawn(core: &Rc<Core>, outbox: Receiver<Effect>) {
    let core = core.clone();
    ntex::rt::spawn(async move {
        let mut tasks = JoinSet::new();
        if let Some(direct) = &core.settings.direct {
            let (memory, pending) = Memory::new();
            tasks.spawn_local(feed::follow(core.clone(), Millis(direct.look_ms), memory));
            tasks.spawn_local(memory::keep_hosts(core.clone(), pending.clone()));
            tasks.spawn_local(memory::keep_parts(core.clone(), pending));
            tasks.spawn_local(announcement::keep_up(core.clone()));
            tasks.spawn_local(hints::listen(core.clone()));
            tasks.spawn_local(hints::tell_loads(core.clone()));
            tasks.spawn_local(hints::spread(core.clone()));
            tasks.spawn_local(places::run(core.clone()));
            tasks.spawn_local(telling::serve(core.clone()));
            tasks.spawn_local(crashes::check(core.clone()));
            tasks.spawn_local(crashes::tell(core.clone()));
        } else {
            tasks.spawn_local(follow_hosts(core.clone()));
            tasks.spawn_local(follow_intents(core.clone()));
        }
        tasks.spawn_local(follow_settings(core.clone()));
        tasks.spawn_local(send_notes(core.clone(), outbox));
        core.stop.asked().await;
        tokio::time::sleep(Duration::from_millis(core.settings.drain_notice_ms)).await;
        let until = core.clock.now() + Millis(core.settings.drain_ms);
        core.apply(Event::Drain { until });
        core.stop.finished().await;
        tasks.shutdown().await;
    })
    .detach();
}

async fn follow_hosts(core: Rc<Core>) {
    let every = Duration::from_millis(core.settings.hosts_every_ms);
    let Ok(mut hosts) = store::Hosts::new(&core.settings.hosts_url).await else { return };
    let mut connecting = JoinSet::new();
    loop {
        let event = match hosts.fetch().await {
            Ok(Update { entries: Some(entries), bytes }) => {
                core.metrics.control("hosts", bytes);
                Event::Hosts(entries.into_iter().map(host).collect())
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

/// Puts the decisions' settings in force whenever the file was read again. The
/// others take a restart.
async fn follow_settings(core: Rc<Core>) {
    let mut changes = core.reload.clone();
    while changes.changed().await.is_ok() {
        let routing = changes.borrow_and_update().routing.clone();
        info!("settings in force", kv: { name = &*core.settings.name });
        core.apply(Event::Settings(Box::new(routing)));
    }
}

fn host(entry: store::Entry) -> Host {
    Host {
        name: entry.name,
        entry: "".into(),
        address: entry.address,
        domain: entry.domain,
        labels: entry.labels,
        leaving: entry.leaving,
        slots: 0,
        born: 0,
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

/// Takes a new generation from the file when the file changes.
async fn follow_intents(core: Rc<Core>) {
    let path = core.settings.intents.clone();
    let mut seen = changed(&path);
    loop {
        tokio::time::sleep(INTENTS_EVERY).await;
        let now = changed(&path);
        if now == seen {
            continue;
        }
        seen = now;
        match read_plan(&path) {
            Ok(plan) => {
                info!("new intents read", kv: { generation = plan.generation() });
                core.apply(Event::Configure(plan));
            }
            Err(fault) => error!("new intents refused", kv: { fault = fault.to_string() }),
        }
    }
}

fn changed(path: &str) -> Option<SystemTime> {
    Path::new(path).metadata().ok()?.modified().ok()
}

/// Tells first upstreams in rank where chats are; a lost note costs a chat its
/// context, no more.
async fn send_notes(core: Rc<Core>, mut outbox: Receiver<Effect>) {
    let timeout = Duration::from_millis(core.settings.connect_ms);
    while let Some(effect) = outbox.recv().await {
        let Effect::UpdateDirectory { upstream, address, note } = effect else { continue };
        let frame = Frame::DirectoryUpdate(note);
        core.metrics.control("note", wire::encode(&frame).map_or(0, |it| it.len()));
        let told = async {
            if let Ok((mut call, _)) = core.links.call(&upstream, &address, &frame).await {
                let _ = call.next().await;
            }
        };
        let _ = tokio::time::timeout(timeout, told).await;
    }
}
