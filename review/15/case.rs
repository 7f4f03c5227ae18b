//! A part of long prompts that crashes runners, behind many other parts.

#[path = "../common-3/harness.rs"]
mod harness;

use {
    harness::*,
    std::{
        net::{Ipv4Addr, SocketAddr},
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{sleep, spawn},
        time::{Duration, Instant},
    },
};

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-chat","host":"a.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":12000,"target_latency_ms":400,"priority":0,"service":"llm","attempts":1,"auth_exempt":false,"session_affinity":true,"stream_resume":false,"target_gap_ms":400}],
"services":[{"name":"llm","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":596884,"kv_bytes":163840,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":6,"most":2,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// The part that crashes runners.
const BAD_PART: &str = "badbad01";

/// `bounds.contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The rule allows this many requests to reach runners.
const MAX_REQUESTS: usize = 3;

const DOWN: Duration = Duration::from_millis(2_500);
const BAD_PAUSE: Duration = Duration::from_millis(1_200);
const SOUND_PAUSE: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(45);

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&record)));
    let code = ended.unwrap_or(NOT_RUN);
    record.say(format!("exit code {code}"));
    exit(code);
}

/// The parts of a prompt of a long chat. All but the last are those of the chat.
fn parts(own: u64, is_bad: bool) -> String {
    // `TURNS=3`: a short chat. Not part of the case.
    let turns = std::env::var("TURNS").ok().and_then(|it| it.parse().ok()).unwrap_or(70);
    let mut parts: Vec<_> = (0..turns).map(|it| format!("{:x}:60", 0x5c1e_0000_u64 + it)).collect();
    if is_bad {
        parts.push(format!("{BAD_PART}:60"));
    }
    parts.push(format!("{:x}:40", 0x9100_0000_u64 + own));
    parts.join(",")
}

fn stream(request: &Message) -> Vec<u8> {
    let id = request.header("jasminefront-request-attempt-id").unwrap_or_default();
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nJasminefront-Request-Attempt-Id: {id}\r\nJasminefront-Response-Stamp: s.{id}\r\n\
         Jasminefront-Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for at in 1..=3 {
        let event = format!("id: {at}\ndata: text\n\n");
        bytes += &format!("{:x}\r\n{event}\r\n", event.len());
    }
    (bytes + "0\r\n\r\n").into_bytes()
}

fn run(record: &Record) -> i32 {
    let trouble = has_trouble();
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut runners = Vec::new();
    for at in 0..4 {
        let (arrivals, log) = (arrivals.clone(), record.clone());
        let zone = ["prg-a", "prg-b", "brno"][at % 3];
        let handler = move |it: &Runner, request: &Message| {
            let is_bad = request.header("jasminefront-prefix-hash").is_some_and(|it| it.contains(BAD_PART));
            let kind = if is_bad { "bad" } else { "sound" };
            let id = request.header("jasminefront-request-attempt-id").unwrap_or_default();
            log.line(format!("runner {} runs {kind} request {id}", it.id()));
            sleep(ms(20));
            if is_bad {
                arrivals.lock().unwrap().push(Instant::now());
                if trouble {
                    return Reply::Crash(DOWN);
                }
            }
            Reply::Respond(stream(request))
        };
        runners.push(Runner::start(record, &format!("i-{at}"), "llm", zone, Ipv4Addr::LOCALHOST, handler));
    }
    let cloud = Cloud::start(&runners);
    let fleet = match Fleet::start(record, &cloud, 3, 260) {
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
    sleep(ms(1_500));
    let frontends: Vec<_> = (0..3).map(|it| fleet.frontend(it)).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    // Sound requests: served, refused, neither.
    let sound: Arc<[AtomicU64; 3]> = Arc::default();
    let mut clients = Vec::new();
    for frontend in frontends.clone() {
        let (is_over, sound, record) = (is_over.clone(), sound.clone(), record.clone());
        clients.push(spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let (id, status) = send(frontend, false);
                record.line(format!("client: sound request {id} -> {status}"));
                let at = match status {
                    200 => 0,
                    503 => 1,
                    _ => 2,
                };
                sound[at].fetch_add(1, Ordering::SeqCst);
                sleep(SOUND_PAUSE);
            }
        }));
    }
    let started = Instant::now();
    let mut bad = 0;
    while started.elapsed() < LENGTH {
        let (id, status) = send(frontends[bad % 3], true);
        record.line(format!("client: bad request {id} -> {status}"));
        bad += 1;
        sleep(BAD_PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| drop(it.join()));
    fleet.stop();
    let arrivals = arrivals.lock().unwrap().clone();
    let [served, refused, failed] = [0, 1, 2].map(|it| sound[it].load(Ordering::SeqCst));
    record.say(format!("sound requests: {served} served, {refused} refused, {failed} cut off or failed"));
    if served == 0 {
        record.say("no sound request was served");
        return NOT_RUN;
    }
    let late = match arrivals.get(4).filter(|_| trouble) {
        Some(fifth) => arrivals.iter().filter(|it| **it > *fifth + CONTACT).count(),
        None => 0,
    };
    record.say(format!(
        "{bad} requests with the part, {} reached runners, {late} of them later than contact_ms after the fifth crash",
        arrivals.len()
    ));
    if late > MAX_REQUESTS { BROKEN } else { HELD }
}

fn send(frontend: SocketAddr, is_bad: bool) -> (String, u16) {
    static OWN: AtomicU64 = AtomicU64::new(0);
    let own = OWN.fetch_add(1, Ordering::SeqCst);
    let (id, parts) = (attempt_id(), parts(own, is_bad));
    let tokens: u64 = parts.split(',').filter_map(|it| it.split(':').nth(1)?.parse::<u64>().ok()).sum();
    let tokens = format!("{tokens},60");
    let headers: [(&str, &[u8]); 7] = [
        ("Host", b"a.example"),
        ("Jasminefront-Request-Attempt-Id", id.as_bytes()),
        ("Jasminefront-Request-Deadline", b"12000"),
        ("Jasminefront-Key", b"n2ctnfzs989anu6wsjnb"),
        ("Jasminefront-Model", b"m"),
        ("Jasminefront-Token-Count", tokens.as_bytes()),
        ("Jasminefront-Prefix-Hash", parts.as_bytes()),
    ];
    let body = format!("question {own}");
    let answer = call(frontend, "POST", "/chat/2f", &headers, body.as_bytes(), ms(5_000));
    (id, answer.map_or(0, |it| it.status()))
}
