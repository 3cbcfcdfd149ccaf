//! The cases.

use super::*;

const HOST: &str = "ficu95.example";

fn route(name: &str, kind: &str, service: &str, further: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":10000,\"fullValueMs\":500,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\"allowAnonymous\":false{further}}}"
    )
}

const STREAM: &str = ",\"sessionAffinity\":true,\"streamResumption\":true,\"gapTargetMs\":400";

fn config(version: u64, routes: &[String], tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\"healthPath\":\"/health\",\"connectionLimit\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"cacheTokens\":423882,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"app\",\"healthPath\":\"/health\",\"connectionLimit\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}},\"tenants\":[{tenants}]}}",
        routes.join(",")
    )
}

fn tenant(name: &str, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!("{{\"name\":\"{name}\",\"apiKeys\":[{}],\"priority\":1}}", keys.join(","))
}

const PLAIN: Work = Work { begin: Duration::from_millis(15), events: 0, pause: Duration::ZERO };

/// One request of a consumer, as it was sent and answered.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Instant,
    key: String,
    status: u16,
    body: String,
    whole: bool,
}

/// Sends a request with a key, and writes it into the record.
fn ask(
    lab: &Lab,
    front: SocketAddr,
    line: &str,
    id: &str,
    key: &str,
    body: &[u8],
    wait: Duration,
) -> Sent {
    let at = Instant::now();
    let authorization = format!("Bearer {key}");
    let remaining = wait.as_millis().to_string();
    let mut headers =
        vec![("Host", HOST), ("Attempt-Identifier", id), ("Deadline-Remaining", &remaining)];
    if !key.is_empty() {
        headers.push(("Authorization", &authorization));
    }
    let answer = send(front, line, &headers, body, wait + ms(1_000)).unwrap_or_default();
    lab.log.line(&format!(
        "sent at {:>6}: {id} {line} key={} -> {} {} bytes{}",
        lab.elapsed(at),
        if key.is_empty() { "-" } else { key },
        answer.status,
        answer.body.len(),
        if answer.whole { "" } else { ", not whole" }
    ));
    Sent {
        id: id.to_owned(),
        at,
        key: key.to_owned(),
        status: answer.status,
        body: answer.text(),
        whole: answer.whole,
    }
}

/// The requests with `key`, sent more than `bound` after `confirmed`, that a runner has run.
fn run_late(lab: &Lab, sent: &[Sent], key: &str, confirmed: Instant, bound: Duration) -> usize {
    let ran: BTreeSet<_> = lab.runs.lock().unwrap().iter().map(|run| run.id.clone()).collect();
    let late = sent.iter().filter(|one| one.key == key && one.at > confirmed + bound);
    let (late, run): (Vec<_>, Vec<_>) =
        (late.clone().collect(), late.filter(|one| ran.contains(&one.id)).collect());
    for one in &run {
        lab.log.line(&format!(
            "BROKEN {} sent {} ms after the confirmation was run",
            one.id,
            (one.at - confirmed).as_millis()
        ));
    }
    lab.log.say(&format!(
        "with {key}, over {} ms after the confirmation: {} sent, {} run",
        bound.as_millis(),
        late.len(),
        run.len()
    ));
    run.len()
}

pub fn play(case: &str, lab: &Lab) -> bool {
    match case {
        "upgrade" => upgrade(lab),
        "last-tenant" => last_tenant(lab),
        "long-timeout" => long_timeout(lab),
        "older-copy" => older_copy(lab),
        "anonymous" => anonymous(lab),
        "split-resume" => split_resume(lab),
        _ => give_up("no such case"),
    }
}

// ---------------------------------------------------------------------------------------- upgrade

/// Nine runners start again in turn under the identifiers that they had, each with the next version of
/// its software; three times in all.
fn upgrade(lab: &Lab) -> bool {
    let work = Work { begin: ms(30), events: 42, pause: ms(60) };
    lab.store.put(
        "op/config",
        &config(1, &[route("s", "streaming", "llm", STREAM)], &tenant("t1", &["key-one"])),
    );
    let start = |name: &str, version: &str, port| {
        Runner::start(name, "llm", version, port, 64, work, &lab.store, &lab.runs)
    };
    let mut runners: Vec<_> = (0..9).map(|number| start(&format!("i-{number}"), "v1", 0)).collect();
    let routers: Vec<_> =
        [("front-1", "poa-a"), ("front-2", "poa-a"), ("front-3", "poa-b"), ("front-4", "caxias")]
            .iter()
            .map(|(name, zone)| Router::start(name, zone, &lab.folder, &lab.store, true))
            .collect();
    routers.iter().for_each(Router::wait_until_ready);
    let sent = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let stop = Instant::now() + ms(29_000);
            let mut number = 0;
            while Instant::now() < stop {
                number += 1;
                let (sent, front) = (&sent, routers[number % routers.len()].front);
                scope.spawn(move || {
                    let id = format!("s{number}");
                    let one = ask(
                        lab,
                        front,
                        "POST /s/x",
                        &id,
                        "key-one",
                        format!("p{number}").as_bytes(),
                        ms(9_000),
                    );
                    sent.lock().unwrap().push(one);
                });
                sleep(ms(60));
            }
        });
        sleep(ms(5_000));
        for version in ["v2", "v3", "v4"] {
            if !lab.trouble {
                sleep(ms(8_000));
                continue;
            }
            lab.log.say(&format!("the runners are started again in turn, as {version}"));
            for (number, runner) in runners.iter_mut().enumerate() {
                let (name, port) = (format!("i-{number}"), runner.address.port());
                lab.log.line(&format!("{name} ends, and is back as {version} in 100 ms"));
                runner.crash();
                sleep(ms(100));
                *runner = start(&name, version, port);
                sleep(ms(300));
            }
            sleep(ms(4_000));
        }
    });
    lab.record_runs();
    let sent = sent.into_inner().unwrap();
    let versions = |one: &&Sent| {
        let written =
            one.body.lines().filter_map(|line| line.strip_prefix("data: ")?.split(' ').next());
        written.collect::<BTreeSet<_>>().len()
    };
    let mixed: Vec<_> = sent.iter().filter(|one| versions(one) > 1).collect();
    for one in &mixed {
        let order: Vec<_> =
            one.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        lab.log.line(&format!(
            "BROKEN {} status={} whole={}: {}",
            one.id,
            one.status,
            one.whole,
            order.join(", ")
        ));
    }
    let whole = sent.iter().filter(|one| one.status == 200 && one.whole).count();
    lab.log.say(&format!(
        "{} streams, {whole} whole, {} with events of two versions",
        sent.len(),
        mixed.len()
    ));
    mixed.len() > 2
}

// ------------------------------------------------------------------------------------- keys

/// Sends requests with `key` at a steady rate until `stop`.
fn keep_asking(
    lab: &Lab,
    front: SocketAddr,
    line: &str,
    prefix: &str,
    key: &str,
    stop: &AtomicBool,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        sent.push(ask(lab, front, line, &format!("{prefix}{number}"), key, b"", ms(600)));
        sleep(ms(80));
    }
    sent
}

/// Two tenants; the first version takes one of them away, the next one the other, which is the last.
/// Without the disruption the last one stays.
fn last_tenant(lab: &Lab) -> bool {
    let routes = [route("a", "safe", "app", "")];
    let (one, two) = (tenant("t1", &["key-one"]), tenant("t2", &["key-two"]));
    lab.store.put("op/config", &config(1, &routes, &format!("{one},{two}")));
    let _runner = Runner::start("i-a", "app", "v1", 0, 6, PLAIN, &lab.store, &lab.runs);
    let router = Router::start("front-1", "poa-a", &lab.folder, &lab.store, true);
    router.wait_until_ready();
    let stop = AtomicBool::new(false);
    let (sent, confirmed) = std::thread::scope(|scope| {
        let first =
            scope.spawn(|| keep_asking(lab, router.front, "GET /a/x", "k", "key-one", &stop));
        let second =
            scope.spawn(|| keep_asking(lab, router.front, "GET /a/x", "m", "key-two", &stop));
        sleep(ms(3_000));
        lab.store.put("op/config", &config(4, &routes, &one));
        let mut confirmed = vec![("key-two", Instant::now())];
        lab.log.say("version 4 is confirmed: the tenant with key-two is gone, one is left");
        sleep(ms(8_000));
        if lab.trouble {
            lab.store.put("op/config", &config(7, &routes, ""));
            confirmed.push(("key-one", Instant::now()));
            lab.log.say("version 7 is confirmed: the tenant with key-one is gone, none is left");
        }
        sleep(ms(11_000));
        stop.store(true, Ordering::SeqCst);
        let mut sent = first.join().unwrap();
        sent.extend(second.join().unwrap());
        (sent, confirmed)
    });
    lab.record_runs();
    if lab.trouble {
        let at = confirmed[1].1;
        let late = sent
            .iter()
            .filter(|one| one.key == "key-two" && one.at > at + ms(2_000) && one.status == 200);
        lab.log.say(&format!(
            "with key-two, gone since version 4: {} answered with 200 after version 7",
            late.count()
        ));
    }
    let broken =
        confirmed.iter().map(|(key, at)| run_late(lab, &sent, key, *at, ms(5_000))).sum::<usize>();
    broken > 0
}

/// One version takes a key away and adds a route, with a long or a usual time-out.
fn long_timeout(lab: &Lab) -> bool {
    let mut routes = vec![route("a", "safe", "app", "")];
    lab.store.put("op/config", &config(1, &routes, &tenant("t1", &["key-one", "key-two"])));
    let _runner = Runner::start("i-a", "app", "v1", 0, 6, PLAIN, &lab.store, &lab.runs);
    let router = Router::start("front-1", "poa-a", &lab.folder, &lab.store, true);
    router.wait_until_ready();
    let stop = AtomicBool::new(false);
    let (sent, confirmed) = std::thread::scope(|scope| {
        let asking =
            scope.spawn(|| keep_asking(lab, router.front, "GET /a/x", "k", "key-one", &stop));
        sleep(ms(3_000));
        let timeout = if lab.trouble { 172_800_000 } else { 12_000 };
        routes.push(
            route("batch", "unsafe", "app", "")
                .replace("\"timeoutMs\":10000", &format!("\"timeoutMs\":{timeout}")),
        );
        lab.store.put("op/config", &config(4, &routes, &tenant("t1", &["key-two"])));
        let confirmed = Instant::now();
        lab.log.say("version 4 is confirmed: key-one is gone, and a route is new");
        sleep(ms(12_000));
        stop.store(true, Ordering::SeqCst);
        (asking.join().unwrap(), confirmed)
    });
    ask(lab, router.front, "POST /batch/x", "new-route", "key-two", b"b", ms(600));
    lab.record_runs();
    run_late(lab, &sent, "key-one", confirmed, ms(5_000)) > 0
}

/// A key is taken away; then a router starts, with the drill or without it.
fn older_copy(lab: &Lab) -> bool {
    let routes = [route("a", "safe", "app", "")];
    let before = config(1, &routes, &tenant("t1", &["key-one", "key-two"]));
    let after = config(4, &routes, &tenant("t1", &["key-two"]));
    lab.store.put("op/config", &before);
    let _runner = Runner::start("i-a", "app", "v1", 0, 6, PLAIN, &lab.store, &lab.runs);
    let first = Router::start("front-1", "poa-a", &lab.folder, &lab.store, true);
    first.wait_until_ready();
    let stop = AtomicBool::new(false);
    let (sent, confirmed) = std::thread::scope(|scope| {
        let asking =
            scope.spawn(|| keep_asking(lab, first.front, "GET /a/x", "k", "key-one", &stop));
        sleep(ms(4_000));
        lab.store.take_copy();
        sleep(ms(500));
        lab.store.put("op/config", &after);
        let confirmed = Instant::now();
        lab.log.say("version 4 is confirmed: key-one is gone");
        sleep(ms(4_500));
        if lab.trouble {
            lab.log.say("the store is away");
            lab.store.go_away();
        }
        sleep(ms(1_000));
        if lab.trouble {
            lab.log.say("the store is back from a copy that is 6 s old");
            lab.store.come_back_older();
        }
        sleep(ms(300));
        let mut second = Router::start("front-2", "poa-b", &lab.folder, &lab.store, false);
        lab.log.say("front-2 starts");
        let (front, stop) = (second.front, &stop);
        let further = scope.spawn(move || {
            while send(front, "GET /a/y", &[("Host", HOST)], b"", ms(200)).is_none() {
                sleep(ms(10));
            }
            keep_asking(lab, front, "GET /a/x", "f", "key-one", stop)
        });
        sleep(ms(1_200));
        if lab.trouble {
            lab.store.put("op/config", &after);
            lab.log.say("the operator has written version 4 again");
        }
        sleep(ms(6_000));
        stop.store(true, Ordering::SeqCst);
        let mut sent = asking.join().unwrap();
        sent.extend(further.join().unwrap());
        second.kill();
        (sent, confirmed)
    });
    lab.record_runs();
    run_late(lab, &sent, "key-one", confirmed, ms(5_000)) > 0
}

/// A key is taken away; its consumers use a route that needs none.
fn anonymous(lab: &Lab) -> bool {
    let open = route("o", "safe", "app", "")
        .replace("\"allowAnonymous\":false", "\"allowAnonymous\":true");
    let routes = [open, route("a", "safe", "app", "")];
    lab.store.put("op/config", &config(1, &routes, &tenant("t1", &["key-one", "key-two"])));
    let _runner = Runner::start("i-a", "app", "v1", 0, 6, PLAIN, &lab.store, &lab.runs);
    let router = Router::start("front-1", "poa-a", &lab.folder, &lab.store, true);
    router.wait_until_ready();
    let stop = AtomicBool::new(false);
    let (sent, confirmed) = std::thread::scope(|scope| {
        let asking =
            scope.spawn(|| keep_asking(lab, router.front, "GET /o/x", "k", "key-one", &stop));
        sleep(ms(3_000));
        if lab.trouble {
            lab.store.put("op/config", &config(4, &routes, &tenant("t1", &["key-two"])));
        }
        let confirmed = Instant::now();
        lab.log.say(if lab.trouble {
            "version 4 is confirmed: key-one is gone"
        } else {
            "nothing changes"
        });
        sleep(ms(10_000));
        stop.store(true, Ordering::SeqCst);
        (asking.join().unwrap(), confirmed)
    });
    lab.record_runs();
    if !lab.trouble {
        lab.log.say(&format!("{} sent; no key was taken away", sent.len()));
        return false;
    }
    run_late(lab, &sent, "key-one", confirmed, ms(5_000)) > 0
}

// ------------------------------------------------------------------------------- streams taken up

/// One stream of a consumer, with its tries.
#[derive(Default)]
struct Taken {
    first: String,
    /// The number of the last event that arrived.
    last: u64,
    whole: bool,
    /// Whether it went on, if it was taken up again at a router in touch.
    in_touch: Option<bool>,
}

/// The number of the last whole event in a body, or `before`.
fn last_event(body: &str, before: u64) -> u64 {
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
    let numbers = whole.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    numbers.last().unwrap_or(before)
}

/// After such a gap a consumer gives a stream up: the longest of 2 s, four times the objective of 1.2 s
/// and eight times the pause of 0.4 s.
const GAP: Duration = Duration::from_millis(4_800);

/// A consumer: sends a request for a stream, and takes it up again once if nothing comes for [`GAP`].
fn consume(
    lab: &Lab,
    id: &str,
    lines: [SocketAddr; 2],
    in_touch_from: &Mutex<Option<Instant>>,
) -> Taken {
    let until = Instant::now() + ms(12_000);
    let mut taken = Taken { first: id.to_owned(), ..Taken::default() };
    for (number, line) in lines.iter().enumerate() {
        let left = until.saturating_duration_since(Instant::now());
        let attempt = format!("{id}.{number}");
        let (last, remaining, began) =
            (taken.last.to_string(), left.as_millis().to_string(), format!("{id}.0"));
        let mut headers = vec![
            ("Host", HOST),
            ("Attempt-Identifier", attempt.as_str()),
            ("Deadline-Remaining", remaining.as_str()),
            ("Authorization", "Bearer key-one"),
        ];
        if number > 0 {
            headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", began.as_str())]);
        }
        let touch = in_touch_from.lock().unwrap().is_some_and(|at| Instant::now() >= at);
        let at = Instant::now();
        let answer =
            send(*line, "POST /s/x", &headers, id.as_bytes(), GAP.min(left)).unwrap_or_default();
        let goes_on = answer.status == 200 && !answer.body.is_empty();
        let from = taken.last;
        if answer.status == 200 {
            taken.last = last_event(&answer.text(), taken.last);
            taken.whole = answer.whole;
        }
        lab.log.line(&format!(
            "sent at {:>6}: {attempt}{} in touch={touch} -> {} events {}..{} whole={} retry-after={}",
            lab.elapsed(at),
            if number > 0 { format!(" resumes {began} after {from}") } else { String::new() },
            answer.status,
            from + 1,
            taken.last,
            answer.whole,
            answer.header("retry-after").unwrap_or("-")
        ));
        if number > 0 && touch && answer.status != 0 {
            taken.in_touch = Some(goes_on);
        }
        if taken.whole || taken.last == 0 {
            break;
        }
    }
    taken
}

/// Streams on a route that is split between two services. All routers lose power at once and are back
/// after a second; consumers take their streams up again once they have heard nothing for a while.
/// Without the disruption only the consumers' channels go silent.
fn split_resume(lab: &Lab) -> bool {
    let work = Work { begin: ms(30), events: 54, pause: ms(70) };
    let split = ",\"trafficSplit\":[{\"service\":\"llm\",\"weight\":90},{\"service\":\"llm-b\",\"weight\":10}]";
    let split = route("s", "streaming", "llm", &format!("{STREAM}{split}"))
        .replace("\"service\":\"llm\",\"attempts\"", "\"attempts\"");
    let split = split.replace(
        "\"timeoutMs\":10000,\"fullValueMs\":500",
        "\"timeoutMs\":12000,\"fullValueMs\":1200",
    );
    let services = "{\"name\":\"llm-b\",\"healthPath\":\"/health\",\"connectionLimit\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"cacheTokens\":423882,\"models\":[{\"name\":\"m\"}]}},";
    let text = config(1, &[split], &tenant("t1", &["key-one"]))
        .replace("\"services\":[", &format!("\"services\":[{services}"));
    lab.log.line(&format!("the manifest: {text}"));
    lab.store.put("op/config", &text);
    let _runners: Vec<_> =
        [("i-0", "llm"), ("i-1", "llm"), ("i-2", "llm"), ("i-3", "llm-b"), ("i-4", "llm-b")]
            .iter()
            .map(|(name, service)| {
                Runner::start(name, service, "v1", 0, 64, work, &lab.store, &lab.runs)
            })
            .collect();
    let names =
        [("front-1", "poa-a"), ("front-2", "poa-a"), ("front-3", "poa-b"), ("front-4", "caxias")];
    let mut routers: Vec<_> = names
        .iter()
        .map(|(name, zone)| Router::start(name, zone, &lab.folder, &lab.store, true))
        .collect();
    routers.iter().for_each(Router::wait_until_ready);
    sleep(ms(6_000));
    let lines: Vec<_> = routers.iter().map(|router| Line::start(router.front)).collect();
    let addresses: Vec<_> = lines.iter().map(|line| line.address).collect();
    let in_touch_from = Mutex::new(None);
    let taken = Mutex::new(Vec::new());
    let (mut new, mut new_begun) = (0, 0);
    std::thread::scope(|scope| {
        let breaks_at = Instant::now() + ms(2_500);
        for number in 0..40 {
            let (addresses, taken, in_touch_from) = (&addresses, &taken, &in_touch_from);
            scope.spawn(move || {
                sleep(ms(number * 40));
                // Retries reach other routers.
                let number = number as usize;
                let lines = [addresses[number % 4], addresses[(number + 1) % 4]];
                let one = consume(lab, &format!("s{number}"), lines, in_touch_from);
                taken.lock().unwrap().push(one);
            });
        }
        sleep(breaks_at.saturating_duration_since(Instant::now()));
        lines.iter().for_each(Line::go_silent);
        if lab.trouble {
            lab.log.say("all routers lose power");
            routers.iter_mut().for_each(Router::kill);
            sleep(ms(1_000));
            for (router, (name, zone)) in routers.iter_mut().zip(names) {
                router.start_again(name, zone, &lab.folder, &lab.store);
            }
            lab.log.say("all routers are started again");
        } else {
            lab.log.say("the consumers' channels go silent");
            sleep(ms(1_000));
        }
        *in_touch_from.lock().unwrap() = Some(Instant::now() + ms(3_000));
        sleep(ms(3_300));
        let asked: Vec<_> = (0..20)
            .map(|number| {
                sleep(ms(100));
                let front = addresses[number % 4];
                scope.spawn(move || {
                    ask(
                        lab,
                        front,
                        "POST /s/x",
                        &format!("n{number}"),
                        "key-one",
                        b"new",
                        ms(9_000),
                    )
                })
            })
            .collect();
        new = asked.len();
        let begun = asked.into_iter().map(|one| one.join().unwrap());
        new_begun = begun.filter(|one| one.status == 200 && !one.body.is_empty()).count();
    });
    lab.record_runs();
    let taken = taken.into_inner().unwrap();
    let again: Vec<_> = taken.iter().filter(|one| one.in_touch.is_some()).collect();
    let went_on = again.iter().filter(|one| one.in_touch == Some(true)).count();
    for one in &again {
        let word = if one.in_touch == Some(true) { "went on" } else { "BROKEN: didn't go on" };
        lab.log
            .line(&format!("{}: up to event {}, whole={}, {word}", one.first, one.last, one.whole));
    }
    let whole = taken.iter().filter(|one| one.whole).count();
    lab.log.say(&format!(
        "{} streams, {whole} whole; {} taken up again at routers in touch, {went_on} of them went on; {new_begun} of {new} new ones began",
        taken.len(),
        again.len()
    ));
    // Under half of the share of new streams that begin, of 12 or more.
    again.len() >= 12 && 2 * went_on * new < again.len() * new_begun
}
