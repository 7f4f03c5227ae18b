//! Collects the log lines about one request, endpoint or version from the logs of several
//! processes.

use {
    crate::{failure::BadInput, flags},
    derive_more::Debug,
    eyre::{Result, WrapErr},
    serde_json::{Map, Value},
    std::{
        collections::BTreeSet,
        fs,
        io::{Read, stdin},
        path::PathBuf,
    },
};

/// Fields that are printed at the start of a line or not at all, rather than as `key=value`.
const HEADER_FIELDS: [&str; 4] = ["timestamp", "level", "event", "message"];

/// A log line.
#[derive(Clone, PartialEq, Eq, Debug)]
struct LogLine {
    time: String,
    source: String,
    fields: Map<String, Value>,
}

pub(crate) fn run(flags: &flags::Explain) -> Result<()> {
    let mut lines = Vec::new();
    for file in &flags.files {
        lines.extend(read_file(file)?);
    }
    if flags.files.is_empty() {
        let mut text = String::new();
        stdin().read_to_string(&mut text).wrap_err("failed to read standard input")?;
        lines.extend(parse_lines("-", &text));
    }
    let related = related_lines(&lines, &flags.word);
    if related.is_empty() {
        let reason = format!("no log line mentions {:?}", flags.word);
        return Err(BadInput::new(reason).into());
    }
    related.iter().for_each(|it| println!("{}", format_line(it)));
    Ok(())
}

fn read_file(file: &PathBuf) -> Result<Vec<LogLine>> {
    let bytes = fs::read(file).wrap_err_with(|| format!("failed to read {}", file.display()))?;
    let name = file.file_stem().map(|it| it.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(parse_lines(&name, &String::from_utf8_lossy(&bytes)))
}

/// Parses the lines that contain a JSON object. The last word before the object, if any, is the
/// line's source; otherwise the source is `file`.
fn parse_lines(file: &str, text: &str) -> Vec<LogLine> {
    let parse_line = |it: &str| {
        let (prefix, object) = it.split_at(it.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let source = prefix.split_whitespace().last().unwrap_or(file).to_owned();
        let time = fields.get("timestamp").and_then(Value::as_str).unwrap_or_default().to_owned();
        Some(LogLine { time, source, fields })
    };
    text.lines().filter_map(parse_line).collect()
}

/// Returns the lines that mention a word, ordered by time, with the lines about the state of the
/// endpoints that these lines name.
///
/// State lines carry no request, come from the same sources and are no later than the last line
/// that mentions the word. Lines of different processes are ordered by their own clocks, which may
/// differ.
fn related_lines<'a>(lines: &'a [LogLine], word: &str) -> Vec<&'a LogLine> {
    let mentioning: Vec<_> = lines.iter().filter(|it| mentions(it, word)).collect();
    let sources: BTreeSet<_> = mentioning.iter().map(|it| &it.source).collect();
    let endpoints: BTreeSet<_> =
        mentioning.iter().filter_map(|it| it.fields.get("endpoint")?.as_str()).collect();
    let last_time = mentioning.iter().map(|it| &it.time).max();
    let is_state_line = |it: &&LogLine| {
        let endpoint = it.fields.get("endpoint").and_then(Value::as_str);
        let concerns_endpoint = endpoint.is_some_and(|it| !it.is_empty() && endpoints.contains(it));
        concerns_endpoint && !it.fields.contains_key("request") && sources.contains(&it.source)
    };
    let state_lines = lines.iter().filter(|it| is_state_line(it) && Some(&it.time) <= last_time);
    let mut related: Vec<_> = mentioning.iter().copied().chain(state_lines).collect();
    related.sort_by(|a, b| a.time.cmp(&b.time));
    related.dedup();
    related
}

fn mentions(line: &LogLine, word: &str) -> bool {
    line.fields.iter().any(|(key, value)| {
        let matches = match value {
            Value::String(text) => text == word,
            Value::Number(number) => number.to_string() == word,
            _ => false,
        };
        matches && !HEADER_FIELDS.contains(&key.as_str())
    })
}

fn format_line(line: &LogLine) -> String {
    let header = |key: &str| line.fields.get(key).and_then(Value::as_str).unwrap_or("-");
    let rest = line.fields.iter().filter(|it| !HEADER_FIELDS.contains(&it.0.as_str()));
    let rest: Vec<_> = rest.map(|(key, value)| format!("{key}={}", format_value(value))).collect();
    format!("{} {:<16} {:<14} {}", line.time, line.source, header("event"), rest.join(" "))
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("{text:?}"),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
