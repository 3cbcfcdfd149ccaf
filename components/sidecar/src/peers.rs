//! The other members of the pool: who they are, and the load reports to them.

use std::rc::Rc;
use std::time::Duration;

use admission::{Event, Peer};
use link::Links;
use store::{Entry, Update};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use wire::{Frame, Hello, Report};

use crate::core::Core;

/// How long a report may take.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the platform's list of hosts again and again.
pub(crate) async fn follow(core: Rc<Core>) {
    let every = Duration::from_millis(core.settings.hosts_every_ms);
    let Ok(mut hosts) = store::Hosts::new(&core.settings.hosts_url).await else { return };
    loop {
        if let Ok(Update { entries: Some(entries), bytes }) = hosts.fetch().await {
            core.metrics.record_control("hosts", bytes);
            take(&core, entries);
        }
        tokio::time::sleep(every).await;
    }
}

fn take(core: &Core, list: Vec<Entry>) {
    let own = list.iter().find(|it| it.name == core.settings.name);
    if own.is_some_and(|it| it.leaving) {
        core.apply(Event::Leave);
    }
    let peers = list.into_iter().filter(|it| !it.leaving && is_member(core, it));
    let peers = peers.map(|it| Peer { name: it.name, address: it.address }).collect();
    core.apply(Event::Peers(peers));
}

fn is_member(core: &Core, entry: &Entry) -> bool {
    let pool = &core.settings.pool;
    pool.iter().all(|(label, value)| entry.labels.get(label) == Some(value))
}

/// Sends the load reports; a silent receiver holds up none but its own.
pub(crate) async fn report(core: Rc<Core>, mut outbox: UnboundedReceiver<(Peer, Report)>) {
    let hello = Hello { key: core.settings.link_key.clone(), name: core.settings.name.clone() };
    let links = Rc::new(Links::new(hello, TIMEOUT));
    let mut asking = JoinSet::new();
    while let Some((to, report)) = outbox.recv().await {
        while asking.try_join_next().is_some() {}
        let (core, links) = (core.clone(), links.clone());
        asking.spawn_local(async move {
            let sum = report.sum;
            let asked = tokio::time::timeout(TIMEOUT, ask(&core, &links, &to, report)).await;
            if let Ok(Some(pool)) = asked {
                core.apply(Event::Pool { pool, sum });
            }
        });
    }
}

async fn ask(core: &Core, links: &Links, to: &Peer, report: Report) -> Option<placement::Pool> {
    let frame = Frame::Report(report);
    let (mut call, _) = links.call(&to.name, &to.address, &frame).await.ok()?;
    match call.next().await {
        Ok(Some(answer @ Frame::Pool(pool))) => {
            core.metrics.record_control("report", size(&frame) + size(&answer));
            Some(pool)
        }
        _ => None,
    }
}

/// A frame's bytes, without those of the connection around it.
fn size(frame: &Frame) -> usize {
    wire::encode(frame).map_or(0, |it| it.len())
}
