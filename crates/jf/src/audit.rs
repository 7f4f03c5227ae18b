//! The audit trail and the check of its chain.

use {
    crate::{
        api::{Api, Call},
        flags, table,
    },
    bytes::Bytes,
    eyre::{Result, bail},
    http::Method,
    model::Digest,
    serde_json::Value,
};

const FIELDS: &[&str] = &["number", "at_ms", "operator", "operation", "event", "after"];

pub(crate) async fn run(api: &Api, flags: &flags::Audit) -> Result<()> {
    let path = "/v1/audit".to_owned();
    let call = Call { method: Method::GET, path, operation: None, body: Bytes::new() };
    let audit = api.call(&call).await?;
    let records = audit["records"].as_array().map_or(&[][..], |it| it);
    let passed: Vec<Value> = records.iter().filter(|it| passes(it, flags)).cloned().collect();
    if flags.json {
        println!("{}", Value::Array(passed));
    } else {
        table::show("records", FIELDS, &passed);
    }
    let digests = check_chain(records)?;
    let shown = if digests { "numbers, states and digests" } else { "numbers and states" };
    eprintln!("jf: the chain of {} records holds ({shown} checked)", records.len());
    Ok(())
}

fn passes(record: &Value, flags: &flags::Audit) -> bool {
    let text = |key: &str| record[key].as_str().unwrap_or("");
    let operator = flags.operator.as_ref().is_none_or(|it| text("operator") == it);
    let event = flags.event.as_ref().is_none_or(|it| text("event").contains(it.as_str()));
    let from = flags.from.is_none_or(|it| record["number"].as_u64() >= Some(it));
    operator && event && from
}

/// Checks that each record follows the one before; returns whether digests could be checked as well.
fn check_chain(records: &[Value]) -> Result<bool> {
    let mut digests = !records.is_empty();
    for pair in records.windows(2) {
        let [before, after] = pair else { continue };
        let number = after["number"].as_u64().unwrap_or(0);
        if before["number"].as_u64().map(|it| it + 1) != Some(number) {
            bail!("the chain is broken at record {number}: a record is missing before it");
        }
        if before["after"] != after["before"] {
            bail!("the chain is broken at record {number}: the state before it differs");
        }
        match digest_holds(before, after) {
            Some(true) => {}
            Some(false) => bail!("the chain is broken at record {number}: its digest differs"),
            None => digests = false,
        }
    }
    Ok(digests)
}

/// Returns whether the digest of a record chains to the one before, if the record's bytes are told.
fn digest_holds(before: &Value, after: &Value) -> Option<bool> {
    let bytes = decode_hex(after["raw"].as_str()?)?;
    let last: [u8; 32] = decode_hex(before["chain"].as_str()?)?.try_into().ok()?;
    Some(Digest(last).chain(&bytes).to_string() == after["chain"].as_str()?)
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.len().is_multiple_of(2).then(|| digits.chunks(2).map(byte).collect())?
}
