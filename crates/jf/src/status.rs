//! Prints the status of the fleet.

use {
    crate::{
        api::{Api, Call},
        flags, table,
    },
    bytes::Bytes,
    eyre::Result,
    http::Method,
    serde_json::Value,
};

const ROUTER_FIELDS: &[&str] =
    &["id", "host", "addr", "domain", "state", "revision", "epoch", "behind", "silent_ms"];
const SERVICE_FIELDS: &[&str] = &["name", "kind", "endpoints", "reporting", "load"];
const ENDPOINT_FIELDS: &[&str] =
    &["id", "name", "service", "addr", "domain", "state", "fencing", "images"];

const EVACUATION_FIELDS: &[&str] = &["domain", "at_ms", "operator", "revision"];

pub(crate) async fn run(api: &Api, flags: &flags::Status) -> Result<()> {
    let path = "/v1/status".to_owned();
    let call = Call { method: Method::GET, path, operation: None, body: Bytes::new() };
    let status = api.call(&call).await?;
    if flags.json {
        println!("{status}");
        return Ok(());
    }
    let summary = ["leader", "revision", "epoch", "behind", "claims"];
    let line: Vec<String> = summary.iter().map(|it| format!("{it} {}", status[*it])).collect();
    println!("{}", line.join(", "));
    for (key, fields) in [
        ("routers", ROUTER_FIELDS),
        ("services", SERVICE_FIELDS),
        ("endpoints", ENDPOINT_FIELDS),
        ("evacuations", EVACUATION_FIELDS),
    ] {
        table::print(key, fields, status[key].as_array().map_or(&[], |it: &Vec<Value>| it));
    }
    Ok(())
}
