//! Plan, confirm and drain.

use {
    crate::{
        api::{Api, Call},
        check::{check_intent, check_layout},
        failure::BadInput,
        flags,
    },
    bytes::Bytes,
    eyre::{Result, WrapErr},
    http::Method,
    serde_json::Value,
    std::{fs, time::UNIX_EPOCH},
};

pub(crate) async fn plan(api: &Api, flags: &flags::Plan) -> Result<()> {
    let file = flags.file.display();
    check_intent(&flags.file)?;
    let text = fs::read(&flags.file)
        .map_err(|it| BadInput::new(format!("{file}: file: expected a readable file ({it})")))?;
    let planned = operate(api, "/v1/plans".to_owned(), flags.operation.as_deref(), text).await?;
    if flags.json {
        println!("{planned}");
        return Ok(());
    }
    show_plan(&planned);
    Ok(())
}

pub(crate) async fn confirm(api: &Api, flags: &flags::Confirm) -> Result<()> {
    let path = format!("/v1/plans/{}/confirm", segment("PLAN", &flags.plan)?);
    let confirmed = operate(api, path, flags.operation.as_deref(), Vec::new()).await?;
    if flags.json {
        println!("{confirmed}");
    } else {
        println!("revision {} is committed", confirmed["revision"]);
    }
    Ok(())
}

pub(crate) async fn drain(api: &Api, flags: &flags::Drain) -> Result<()> {
    let path = format!("/v1/endpoints/{}/drain", segment("ENDPOINT", &flags.endpoint)?);
    let drained = operate(api, path, flags.operation.as_deref(), Vec::new()).await?;
    if flags.json {
        println!("{drained}");
    } else if drained["revision"].is_null() {
        show_plan(&drained);
    } else {
        println!("{} drains from revision {} on", flags.endpoint, drained["revision"]);
    }
    Ok(())
}

pub(crate) async fn publish(api: &Api, flags: &flags::Publish) -> Result<()> {
    let body = Bytes::from(check_layout(&flags.file)?);
    let path = "/v1/layout".to_owned();
    let published = api.call(&Call { method: Method::PUT, path, operation: None, body }).await?;
    match published["overtaken"].as_u64() {
        Some(version) => println!("version {version} is in force; nothing changed"),
        None => println!("published"),
    }
    Ok(())
}

pub(crate) async fn layout(api: &Api) -> Result<()> {
    let path = "/v1/layout".to_owned();
    let call = Call { method: Method::GET, path, operation: None, body: Bytes::new() };
    println!("{}", api.call(&call).await?);
    Ok(())
}

async fn operate(api: &Api, path: String, operation: Option<&str>, body: Vec<u8>) -> Result<Value> {
    let fresh = fresh_operation()?;
    let operation = operation.unwrap_or(&fresh);
    let call =
        Call { method: Method::POST, path, operation: Some(operation), body: Bytes::from(body) };
    api.call(&call).await.wrap_err_with(|| format!("operation {operation}"))
}

/// Returns an operation id that no other operator uses.
fn fresh_operation() -> Result<String> {
    let since = UNIX_EPOCH.elapsed().wrap_err("clock before 1970")?;
    Ok(format!("{:x}-{:x}", since.as_nanos(), std::process::id()))
}

/// Returns a name that can stand in a path.
fn segment<'a>(key: &str, text: &'a str) -> Result<&'a str> {
    let plain = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if text.is_empty() || !text.chars().all(plain) {
        let expected = "expected letters, digits, '-', '_' and '.'";
        return Err(BadInput::new(format!("{key}: {expected}, found {text:?}")).into());
    }
    Ok(text)
}

fn show_plan(planned: &Value) {
    let plan = planned["plan"].as_str().unwrap_or("?");
    println!("{plan} on revision {}", planned["base"]);
    for key in ["changes", "effects"] {
        println!("{key}:");
        let lines = planned[key].as_array().map_or(&[][..], |it| it);
        lines.iter().for_each(|it| println!("  {}", line(it)));
        if lines.is_empty() {
            println!("  none");
        }
    }
    println!("to put it in force: jf confirm {plan}");
}

fn line(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
