//! Most edge machines are killed at once, and clients take their streams up again at one that lives.

#[path = "../common-3/harness.rs"]
mod harness;

use {
    harness::*,
    std::{
        net::{Ipv4Addr, SocketAddr},
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread::{sleep, spawn},
        time::{Duration, Instant},
    },
};

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-qa","host":"a.example","path_prefix":"/qa/","kind":"streaming","timeout_ms":12000,"target_latency_ms":400,"priority":0,"service":"llm","attempts":2,"auth_exempt":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":400}],
"services":[{"name":"llm","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":577479,"kv_bytes":163840,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":6,"most":2,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// The rule asks for this many streams.
const MIN_STREAMS: usize = 12;
const EDGES: usize = 7;
const RUNNERS: usize = 4;
const EVENTS: u64 = 80;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const CLIENTS_PER_EDGE: usize = 10;
/// How long the machines have run before the disruption, longer than a stream of the route may be taken up.
const BEFORE: Duration = Duration::from_secs(30);
/// How often a client takes a stream up: its retries in the deployment's sheet, and one more.
const TRIES: usize = 2;

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&record)));
    let code = ended.unwrap_or(NOT_RUN);
    record.say(format!("exit code {code}"));
    exit(code);
}

fn stream(request: &Message) -> Reply {
    let id = request.header("jasminefront-request-attempt-id").unwrap_or_default();
    let last = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nJasminefront-Request-Attempt-Id: {id}\r\nJasminefront-Response-Stamp: s.{id}\r\n\
         Jasminefront-Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut parts = vec![(ms(20), head.into_bytes())];
    for at in last + 1..=EVENTS {
        let event = format!("id: {at}\ndata: text\n\n");
        parts.push((EVENT_PAUSE, format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()));
    }
    parts.push((ms(0), b"0\r\n\r\n".to_vec()));
    Reply::Stream(parts)
}

/// What a client got: the status, the last event, whether the answer is complete, and when to come back.
struct Answer {
    id: String,
    status: u16,
    last: u64,
    is_complete: bool,
    retry_after: Option<f64>,
}

fn run(record: &Record) -> i32 {
    let trouble = has_trouble();
    let mut runners = Vec::new();
    for at in 0..RUNNERS {
        let log = record.clone();
        let zone = ["prg-a", "prg-b", "brno"][at % 3];
        let handler = move |it: &Runner, request: &Message| {
            let id = request.header("jasminefront-request-attempt-id").unwrap_or_default();
            let last = request.header("last-event-id").unwrap_or_default();
            log.line(format!("runner {} runs {id} after event [{last}]", it.id()));
            stream(request)
        };
        runners.push(Runner::start(record, &format!("i-{at}"), "llm", zone, Ipv4Addr::LOCALHOST, handler));
    }
    let cloud = Cloud::start(&runners);
    let mut fleet = match Fleet::start(record, &cloud, EDGES, 260) {
        Ok(it) => it,
        Err(err) => {
            record.say(format!("the fleet did not start: {err}"));
            return NOT_RUN;
        }
    };
    if fleet.publish(CONFIG) != 200 || !fleet.wait_ready(ms(15_000)) {
        record.say("the fleet was not ready");
        fleet.stop();
        return NOT_RUN;
    }
    sleep(BEFORE);
    let survivor = fleet.frontend(0);
    // Streams that were taken up, and those that went on. New streams, and those that began.
    let taken: Arc<Mutex<Vec<bool>>> = Arc::default();
    let new: Arc<Mutex<Vec<bool>>> = Arc::default();
    let mut clients = Vec::new();
    for at in 0..(EDGES - 1) * CLIENTS_PER_EDGE {
        let frontend = fleet.frontend(1 + at % (EDGES - 1));
        let (record, taken) = (record.clone(), taken.clone());
        clients.push(spawn(move || {
            sleep(ms(20 * at as u64));
            let deadline = Instant::now() + ms(12_000);
            let first = send(frontend, None, deadline);
            record.line(format!(
                "client: {} -> {} up to event {}, complete: {}",
                first.id, first.status, first.last, first.is_complete
            ));
            if first.status != 200 || first.is_complete || first.last == 0 {
                return;
            }
            // The connection broke. The stream is taken up again at the machine that lives.
            let mut goes_on = false;
            for _ in 0..TRIES {
                let again = send(survivor, Some((&first.id, first.last)), deadline);
                record.line(format!(
                    "client: {} resumes {} after event {} -> {} up to event {}, come back after {:?} s",
                    again.id, first.id, first.last, again.status, again.last, again.retry_after
                ));
                goes_on = again.status == 200 && again.last > first.last;
                let left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
                match again.retry_after.filter(|it| !goes_on && *it <= left / 3.0) {
                    Some(pause) => sleep(Duration::from_secs_f64(pause)),
                    None => break,
                }
            }
            taken.lock().unwrap().push(goes_on);
        }));
    }
    sleep(ms(3_500));
    if trouble {
        record.line("all edge machines but the first are killed");
        fleet.kill_edges_but_first();
    }
    for _ in 0..30 {
        let (record, new) = (record.clone(), new.clone());
        clients.push(spawn(move || {
            let answer = send(survivor, None, Instant::now() + ms(12_000));
            record
                .line(format!("client: new {} -> {} up to event {}", answer.id, answer.status, answer.last));
            new.lock().unwrap().push(answer.status == 200 && answer.last > 0);
        }));
        sleep(ms(100));
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    fleet.stop();
    let count = |it: &[bool]| (it.iter().filter(|it| **it).count(), it.len());
    let (taken, new) = (count(&taken.lock().unwrap()), count(&new.lock().unwrap()));
    record.say(format!("new streams: {} of {} begun", new.0, new.1));
    record.say(format!("streams taken up again: {} of {} went on", taken.0, taken.1));
    if !trouble {
        return if new.0 == new.1 { HELD } else { NOT_RUN };
    }
    if taken.1 < MIN_STREAMS || new.0 == 0 {
        return NOT_RUN;
    }
    let share = |it: (usize, usize)| it.0 as f64 / it.1 as f64;
    if share(taken) < share(new) / 2.0 { BROKEN } else { HELD }
}

fn send(frontend: SocketAddr, resumes: Option<(&str, u64)>, deadline: Instant) -> Answer {
    static OWN: AtomicU64 = AtomicU64::new(0);
    let own = OWN.fetch_add(1, Ordering::SeqCst);
    let id = attempt_id();
    let parts = format!("5c1e07a2:119,{:x}:580,{:x}:130", 0x7000_0000 + own % 20, 0x9100_0000_u64 + own);
    let left = deadline.saturating_duration_since(Instant::now());
    let left_ms = left.as_millis().to_string();
    let last_id = resumes.map(|it| it.1.to_string()).unwrap_or_default();
    let mut headers: Vec<(&str, &[u8])> = vec![
        ("Host", b"a.example"),
        ("Jasminefront-Request-Attempt-Id", id.as_bytes()),
        ("Jasminefront-Request-Deadline", left_ms.as_bytes()),
        ("Jasminefront-Key", b"n2ctnfzs989anu6wsjnb"),
        ("Jasminefront-Model", b"m"),
        ("Jasminefront-Token-Count", b"829,300"),
        ("Jasminefront-Prefix-Hash", parts.as_bytes()),
    ];
    if let Some((first, _)) = resumes {
        headers.push(("Resumes", first.as_bytes()));
        headers.push(("Last-Event-Id", last_id.as_bytes()));
    }
    let body = format!("question {own}");
    match call_partly(frontend, "POST", "/qa/2f", &headers, body.as_bytes(), left + ms(500)) {
        Err(_) => Answer { id, status: 0, last: 0, is_complete: false, retry_after: None },
        Ok((answer, is_complete)) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let last =
                text.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).next_back().unwrap_or(0);
            let retry_after = answer.header("retry-after").and_then(|it| it.parse().ok());
            Answer { id, status: answer.status(), last, is_complete, retry_after }
        }
    }
}
