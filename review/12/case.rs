//! A request that crashes runners, while a sound request for another host has the same path, caller and body.

#[path = "../common-3/harness.rs"]
mod harness;

use {
    harness::*,
    std::{
        net::Ipv4Addr,
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
{"name":"r-a","host":"a.example","path_prefix":"/api/","kind":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"store-a","attempts":2,"auth_exempt":false,"session_affinity":false,"stream_resume":false},
{"name":"r-put","host":"a.example","path_prefix":"/put/","kind":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"store-a","attempts":1,"auth_exempt":false,"session_affinity":false,"stream_resume":false},
{"name":"r-b","host":"b.example","path_prefix":"/api/","kind":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"store-b","attempts":2,"auth_exempt":false,"session_affinity":false,"stream_resume":false}],
"services":[{"name":"store-a","health_path":"/health","max_connections":96,"protocol":"h1","tls":false},
{"name":"store-b","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// The path that both hosts have.
const PATH: &str = "/api/doc/7";

/// `bounds.contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The rule allows this many retries to reach runners.
const MAX_RETRIES: usize = 3;

const DOWN: Duration = Duration::from_millis(2_500);
const CRASHER_PAUSE: Duration = Duration::from_millis(1_500);
const SOUND_PAUSE: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(45);

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&record)));
    let code = ended.unwrap_or(NOT_RUN);
    record.say(format!("exit code {code}"));
    exit(code);
}

fn run(record: &Record) -> i32 {
    let trouble = has_trouble();
    // `OTHER_PATH=1`: the sound request has another path. Not part of the case.
    let sound_path = if std::env::var("OTHER_PATH").is_ok() { "/api/doc/8" } else { PATH };
    // When the crashing request reached a runner, and whether it crashed it.
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut runners = Vec::new();
    for at in 0..3 {
        let (arrivals, record) = (arrivals.clone(), record.clone());
        let zone = ["prg-a", "prg-b", "brno"][at];
        let it = Runner::start(
            &record.clone(),
            &format!("i-a{at}"),
            "store-a",
            zone,
            Ipv4Addr::LOCALHOST,
            move |it, request| {
                record.line(format!("runner {} runs {} {}", it.id(), request.method(), request.path()));
                sleep(ms(if request.path().starts_with("/put/") { 60 } else { 10 }));
                if request.path() == PATH {
                    arrivals.lock().unwrap().push(Instant::now());
                    record.line(format!("runner {}: the request that crashes arrives", it.id()));
                    if trouble {
                        return Reply::Crash(DOWN);
                    }
                }
                Reply::Respond(response(request, "200 OK", "", b"{}"))
            },
        );
        runners.push(it);
    }
    for at in 0..2 {
        let zone = ["prg-a", "prg-b"][at];
        let it = Runner::start(record, &format!("i-b{at}"), "store-b", zone, Ipv4Addr::LOCALHOST, {
            let record = record.clone();
            move |it, request| {
                record.line(format!("runner {} runs {} {}", it.id(), request.method(), request.path()));
                sleep(ms(10));
                Reply::Respond(response(request, "200 OK", "", b"{}"))
            }
        });
        runners.push(it);
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
    let sound: Arc<[AtomicU64; 2]> = Arc::default();
    let mut clients = Vec::new();
    for frontend in frontends.clone() {
        let (is_over, sound, record) = (is_over.clone(), sound.clone(), record.clone());
        clients.push(spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let status = send(frontend, "GET", "b.example", sound_path);
                sound[usize::from(status != 200)].fetch_add(1, Ordering::SeqCst);
                record.line(format!("client: sound GET {sound_path} to b.example -> {status}"));
                sleep(SOUND_PAUSE);
            }
        }));
    }
    // Work of the same service that must not be repeated.
    let put: Arc<[AtomicU64; 2]> = Arc::default();
    for (edge, frontend) in frontends.clone().into_iter().enumerate() {
        let (is_over, put, record) = (is_over.clone(), put.clone(), record.clone());
        clients.push(spawn(move || {
            for at in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let status = send(frontend, "POST", "a.example", &format!("/put/{edge}-{at}"));
                let is_lost = !matches!(status, 200 | 503);
                put[usize::from(is_lost)].fetch_add(1, Ordering::SeqCst);
                let note = if is_lost { ", may have run" } else { "" };
                record.line(format!("client: POST /put/{edge}-{at} to a.example -> {status}{note}"));
                sleep(SOUND_PAUSE);
            }
        }));
    }
    let started = Instant::now();
    for at in 0.. {
        if started.elapsed() >= LENGTH {
            break;
        }
        let status = send(frontends[at % 3], "GET", "a.example", PATH);
        record.line(format!("client: crashing request to a.example -> {status}"));
        sleep(CRASHER_PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| drop(it.join()));
    fleet.stop();
    let arrivals = arrivals.lock().unwrap().clone();
    let [served, others] = [0, 1].map(|it| sound[it].load(Ordering::SeqCst));
    record.say(format!("sound requests: {served} served, {others} not"));
    let [done, lost] = [0, 1].map(|it| put[it].load(Ordering::SeqCst));
    record.say(format!(
        "puts to the service that crashes: {lost} without an answer of the runner, {done} others"
    ));
    if served == 0 {
        record.say("no sound request was served");
        return NOT_RUN;
    }
    let (crashes, late) = match arrivals.get(2).filter(|_| trouble) {
        Some(third) => (arrivals.len(), arrivals.iter().filter(|it| **it > *third + CONTACT).count()),
        None => (0, 0),
    };
    record.say(format!(
        "{} arrivals of the crashing request, {crashes} crashes, {late} arrivals later than contact_ms after the third",
        arrivals.len()
    ));
    if late > MAX_RETRIES { BROKEN } else { HELD }
}

fn send(frontend: std::net::SocketAddr, method: &str, host: &str, path: &str) -> u16 {
    let id = attempt_id();
    let headers: [(&str, &[u8]); 4] = [
        ("Host", host.as_bytes()),
        ("Jasminefront-Request-Attempt-Id", id.as_bytes()),
        ("Jasminefront-Request-Deadline", b"2500"),
        ("Jasminefront-Key", b"n2ctnfzs989anu6wsjnb"),
    ];
    call(frontend, method, path, &headers, b"", ms(2_500)).map_or(0, |it| it.status())
}
