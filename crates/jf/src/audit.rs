//! Prints the audit log and verifies its digest chain.

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

const EVACUATION_FIELDS: &[&str] = &["revision", "at_ms", "operator", "operation", "event"];
const FIELDS: &[&str] = &["number", "at_ms", "operator", "operation", "event", "after"];

pub(crate) async fn run(api: &Api, flags: &flags::Audit) -> Result<()> {
    let path = "/v1/audit".to_owned();
    let call = Call { method: Method::GET, path, operation: None, body: Bytes::new() };
    let audit = api.call(&call).await?;
    let records = audit["records"].as_array().map_or(&[][..], |it| it);
    let matching: Vec<Value> =
        records.iter().filter(|it| matches_filters(it, flags)).cloned().collect();
    let orders = audit["evacuations"].as_array().map_or(&[][..], |it| it);
    // Orders of evacuations have no number, so that a first number does not exclude them.
    let orders: Vec<Value> =
        orders.iter().filter(|it| matches_author(it, flags)).cloned().collect();
    if flags.json {
        println!("{}", Value::Array(matching.into_iter().chain(orders).collect()));
    } else {
        table::print("records", FIELDS, &matching);
        table::print("evacuations", EVACUATION_FIELDS, &orders);
    }
    let digests_verified = verify_chain(records)?;
    let verified =
        if digests_verified { "numbers, states and digests" } else { "numbers and states" };
    eprintln!("jf: the chain of {} records is intact ({verified} verified)", records.len());
    Ok(())
}

fn matches_filters(record: &Value, flags: &flags::Audit) -> bool {
    let from = flags.from.is_none_or(|it| record["number"].as_u64() >= Some(it));
    from && matches_author(record, flags)
}

fn matches_author(record: &Value, flags: &flags::Audit) -> bool {
    let text = |key: &str| record[key].as_str().unwrap_or("");
    let operator = flags.operator.as_ref().is_none_or(|it| text("operator") == it);
    let event = flags.event.as_ref().is_none_or(|it| text("event").contains(it.as_str()));
    operator && event
}

/// Verifies that each record follows the previous one, and returns whether the digests were
/// verified as well. Digests cannot be verified for records without their raw bytes.
fn verify_chain(records: &[Value]) -> Result<bool> {
    let mut digests_verified = !records.is_empty();
    for pair in records.windows(2) {
        let [before, after] = pair else { continue };
        let number = after["number"].as_u64().unwrap_or(0);
        if before["number"].as_u64().map(|it| it + 1) != Some(number) {
            bail!("audit chain broken at record {number}: the previous record is missing");
        }
        if before["after"] != after["before"] {
            bail!(
                "audit chain broken at record {number}: it does not start from the previous state"
            );
        }
        match verify_digest(before, after) {
            Some(true) => {}
            Some(false) => bail!("audit chain broken at record {number}: digest mismatch"),
            None => digests_verified = false,
        }
    }
    Ok(digests_verified)
}

/// Returns whether the digest of a record follows from the previous digest and the record's raw
/// bytes, or `None` if either is missing or malformed.
fn verify_digest(before: &Value, after: &Value) -> Option<bool> {
    let bytes = decode_hex(after["raw"].as_str()?)?;
    let previous: [u8; 32] = decode_hex(before["chain"].as_str()?)?.try_into().ok()?;
    Some(Digest(previous).chain(&bytes).to_string() == after["chain"].as_str()?)
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.len().is_multiple_of(2).then(|| digits.chunks(2).map(byte).collect())?
}
