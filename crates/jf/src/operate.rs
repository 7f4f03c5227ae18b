//! The commands that change or print the configuration: plan, confirm, drain, evacuate,
//! publish and layout.

use {
    crate::{
        api::{Api, Call},
        check::{check_intent, read_valid_layout},
        failure::BadInput,
        flags, table,
    },
    bytes::Bytes,
    eyre::{Result, WrapErr},
    http::Method,
    serde_json::Value,
    std::{fs, time::UNIX_EPOCH},
};

const SERVICE_LOSS_FIELDS: &[&str] = &["name", "endpoints", "in_domain", "remaining"];

pub(crate) async fn plan(api: &Api, flags: &flags::Plan) -> Result<()> {
    let file = flags.file.display();
    check_intent(&flags.file)?;
    let text = fs::read(&flags.file)
        .map_err(|it| BadInput::new(format!("{file}: file: expected a readable file ({it})")))?;
    let planned =
        send_operation(api, "/v1/plans".to_owned(), flags.operation.as_deref(), text).await?;
    if flags.json {
        println!("{planned}");
        return Ok(());
    }
    print_plan(&planned);
    Ok(())
}

pub(crate) async fn confirm(api: &Api, flags: &flags::Confirm) -> Result<()> {
    let path = format!("/v1/plans/{}/confirm", path_segment("PLAN", &flags.plan)?);
    let confirmed = send_operation(api, path, flags.operation.as_deref(), Vec::new()).await?;
    if flags.json {
        println!("{confirmed}");
    } else {
        println!("revision {} is committed", confirmed["revision"]);
    }
    Ok(())
}

pub(crate) async fn drain(api: &Api, flags: &flags::Drain) -> Result<()> {
    let path = format!("/v1/endpoints/{}/drain", path_segment("ENDPOINT", &flags.endpoint)?);
    let drained = send_operation(api, path, flags.operation.as_deref(), Vec::new()).await?;
    if flags.json {
        println!("{drained}");
    } else if drained["revision"].is_null() {
        print_plan(&drained);
    } else {
        println!("{} is draining as of revision {}", flags.endpoint, drained["revision"]);
    }
    Ok(())
}

pub(crate) async fn evacuate(api: &Api, flags: &flags::Evacuate) -> Result<()> {
    let domain = path_segment("DOMAIN", &flags.domain)?;
    let path = format!("/v1/domains/{domain}/evacuation");
    if flags.plan {
        let call = Call { method: Method::GET, path, operation: None, body: Bytes::new() };
        let effect = api.call(&call).await?;
        if flags.json {
            println!("{effect}");
        } else {
            let services = effect["services"].as_array().map_or(&[][..], |it| it);
            table::print("services", SERVICE_LOSS_FIELDS, services);
        }
        return Ok(());
    }
    let method = if flags.withdraw { Method::DELETE } else { Method::POST };
    let new_id = new_operation_id()?;
    let operation = flags.operation.as_deref().unwrap_or(&new_id);
    let call = Call { method, path, operation: Some(operation), body: Bytes::new() };
    let answer = api.call(&call).await.wrap_err_with(|| format!("operation {operation}"))?;
    match (flags.json, flags.withdraw) {
        (true, _) => println!("{answer}"),
        (false, false) => println!("{domain} is evacuated"),
        (false, true) => println!("the evacuation of {domain} is withdrawn"),
    }
    Ok(())
}

pub(crate) async fn publish(api: &Api, flags: &flags::Publish) -> Result<()> {
    let body = Bytes::from(read_valid_layout(&flags.file)?);
    let path = "/v1/layout".to_owned();
    let published = api.call(&Call { method: Method::PUT, path, operation: None, body }).await?;
    match published["overtaken"].as_u64() {
        Some(version) => println!("not published: version {version} is already in force"),
        None => println!("published"),
    }
    Ok(())
}

pub(crate) async fn layout(api: &Api) -> Result<()> {
    println!("{}", layout_in_force(api).await?);
    Ok(())
}

/// Returns the routing configuration in force, or null before the first.
pub(crate) async fn layout_in_force(api: &Api) -> Result<Value> {
    let path = "/v1/layout".to_owned();
    let call = Call { method: Method::GET, path, operation: None, body: Bytes::new() };
    api.call(&call).await
}

async fn send_operation(
    api: &Api,
    path: String,
    operation: Option<&str>,
    body: Vec<u8>,
) -> Result<Value> {
    let new_id = new_operation_id()?;
    let operation = operation.unwrap_or(&new_id);
    let call =
        Call { method: Method::POST, path, operation: Some(operation), body: Bytes::from(body) };
    api.call(&call).await.wrap_err_with(|| format!("operation {operation}"))
}

/// Returns an operation id that no other operator uses.
fn new_operation_id() -> Result<String> {
    let since_epoch = UNIX_EPOCH.elapsed().wrap_err("the system clock is set before 1970")?;
    Ok(format!("{:x}-{:x}", since_epoch.as_nanos(), std::process::id()))
}

/// Returns `text` if it can be used as a path segment.
///
/// # Errors
///
/// Returns [`BadInput`] naming the argument `key` otherwise.
fn path_segment<'a>(key: &str, text: &'a str) -> Result<&'a str> {
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if text.is_empty() || !text.chars().all(allowed) {
        let expected = "expected letters, digits, '-', '_' and '.'";
        return Err(BadInput::new(format!("{key}: {expected}, found {text:?}")).into());
    }
    Ok(text)
}

fn print_plan(planned: &Value) {
    let plan = planned["plan"].as_str().unwrap_or("?");
    println!("{plan}, based on revision {}", planned["base"]);
    for key in ["changes", "effects"] {
        println!("{key}:");
        let lines = planned[key].as_array().map_or(&[][..], |it| it);
        lines.iter().for_each(|it| println!("  {}", format_value(it)));
        if lines.is_empty() {
            println!("  none");
        }
    }
    println!("to apply it: jf confirm {plan}");
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
