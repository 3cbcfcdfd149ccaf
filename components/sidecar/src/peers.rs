//! Other members of the pool: discovery, and load reports to them.

use std::rc::Rc;
use std::time::Duration;

use admission::{Event, Peer};
use link::Links;
use store::{Entry, Update};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use wire::{Frame, Hello, Report};

use crate::core::Core;

/// Time limit of a report, connecting included.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls the platform's host list and passes the members of the pool to the reducer.
pub(crate) async fn poll_hosts(core: Rc<Core>) {
    let interval = Duration::from_millis(core.settings.hosts_every_ms);
    let Ok(mut hosts) = store::Hosts::new(&core.settings.hosts_url).await else { return };
    loop {
        if let Ok(Update { entries: Some(entries), bytes, .. }) = hosts.fetch().await {
            core.metrics.record_control("hosts", bytes);
            apply_hosts(&core, entries);
        }
        tokio::time::sleep(interval).await;
    }
}

fn apply_hosts(core: &Core, list: Vec<Entry>) {
    let own = list.iter().find(|entry| entry.name == core.settings.name);
    if own.is_some_and(|entry| entry.leaving) {
        core.apply(Event::Leave);
    }
    let peers = list.into_iter().filter(|entry| !entry.leaving && is_member(core, entry));
    let peers = peers.map(|entry| Peer { name: entry.name, address: entry.address }).collect();
    core.apply(Event::Peers(peers));
}

fn is_member(core: &Core, entry: &Entry) -> bool {
    let pool = &core.settings.pool;
    pool.iter().all(|(label, value)| entry.labels.get(label) == Some(value))
}

/// Sends the load reports, each in a task of its own, so that a receiver that does not
/// answer delays no others.
pub(crate) async fn send_reports(core: Rc<Core>, mut reports: UnboundedReceiver<(Peer, Report)>) {
    let hello = Hello { key: core.settings.link_key.clone(), name: core.settings.name.clone() };
    let links = Rc::new(Links::new(hello, REPORT_TIMEOUT));
    let mut tasks = JoinSet::new();
    while let Some((to, report)) = reports.recv().await {
        while tasks.try_join_next().is_some() {}
        let (core, links) = (core.clone(), links.clone());
        tasks.spawn_local(async move {
            let sum = report.sum;
            let answered =
                tokio::time::timeout(REPORT_TIMEOUT, send_report(&core, &links, &to, report)).await;
            if let Ok(Some(pool)) = answered {
                core.apply(Event::Pool { pool, sum });
            }
        });
    }
}

async fn send_report(
    core: &Core,
    links: &Links,
    to: &Peer,
    report: Report,
) -> Option<placement::Pool> {
    let frame = Frame::Report(report);
    let (mut call, _) = links.call(&to.name, &to.address, &frame).await.ok()?;
    match call.next().await {
        Ok(Some(answer @ Frame::Pool(pool))) => {
            core.metrics.record_control("report", frame_bytes(&frame) + frame_bytes(&answer));
            Some(pool)
        }
        _ => None,
    }
}

/// Encoded size of a frame, without the overhead of HTTP/2.
fn frame_bytes(frame: &Frame) -> usize {
    wire::encode(frame).map_or(0, |bytes| bytes.len())
}
