//! The story of one request, endpoint or version, from the logs of several processes.

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

/// Fields that are shown first, or are part of the line's head.
const HEAD: [&str; 4] = ["timestamp", "level", "event", "message"];

/// One log line.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Line {
    time: String,
    source: String,
    fields: Map<String, Value>,
}

pub(crate) fn run(flags: &flags::Explain) -> Result<()> {
    let mut lines = Vec::new();
    for file in &flags.files {
        lines.extend(read(file)?);
    }
    if flags.files.is_empty() {
        let mut text = String::new();
        stdin().read_to_string(&mut text).wrap_err("jf: read standard input")?;
        lines.extend(parse("-", &text));
    }
    let story = story(&lines, &flags.word);
    if story.is_empty() {
        let reason = format!("no line names {:?}", flags.word);
        return Err(BadInput::new(reason).into());
    }
    story.iter().for_each(|it| println!("{}", show(it)));
    Ok(())
}

fn read(file: &PathBuf) -> Result<Vec<Line>> {
    let bytes = fs::read(file).wrap_err_with(|| format!("jf: read {}", file.display()))?;
    let name = file.file_stem().map(|it| it.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(parse(&name, &String::from_utf8_lossy(&bytes)))
}

/// Reads the lines that hold a JSON object; what stands before it on a line names its source.
fn parse(file: &str, text: &str) -> Vec<Line> {
    let line = |it: &str| {
        let (before, object) = it.split_at(it.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let source = before.split_whitespace().last().unwrap_or(file).to_owned();
        let time = fields.get("timestamp").and_then(Value::as_str).unwrap_or_default().to_owned();
        Some(Line { time, source, fields })
    };
    text.lines().filter_map(line).collect()
}

/// Returns the lines that name a word, and what was believed of the endpoints that they name, in the order of time.
///
/// Lines of different processes are ordered by their own clocks, which may differ.
fn story<'a>(lines: &'a [Line], word: &str) -> Vec<&'a Line> {
    let named: Vec<_> = lines.iter().filter(|it| names(it, word)).collect();
    let sources: BTreeSet<_> = named.iter().map(|it| &it.source).collect();
    let endpoints: BTreeSet<_> =
        named.iter().filter_map(|it| it.fields.get("endpoint")?.as_str()).collect();
    let last = named.iter().map(|it| &it.time).max();
    let belief = |it: &&Line| {
        let endpoint = it.fields.get("endpoint").and_then(Value::as_str);
        let about = endpoint.is_some_and(|it| !it.is_empty() && endpoints.contains(it));
        about && !it.fields.contains_key("request") && sources.contains(&it.source)
    };
    let beliefs = lines.iter().filter(|it| belief(it) && Some(&it.time) <= last);
    let mut story: Vec<_> = named.iter().copied().chain(beliefs).collect();
    story.sort_by(|a, b| a.time.cmp(&b.time));
    story.dedup();
    story
}

fn names(line: &Line, word: &str) -> bool {
    line.fields.iter().any(|(key, value)| {
        let same = match value {
            Value::String(text) => text == word,
            Value::Number(number) => number.to_string() == word,
            _ => false,
        };
        same && !HEAD.contains(&key.as_str())
    })
}

fn show(line: &Line) -> String {
    let head = |key: &str| line.fields.get(key).and_then(Value::as_str).unwrap_or("-");
    let rest = line.fields.iter().filter(|it| !HEAD.contains(&it.0.as_str()));
    let rest: Vec<_> = rest.map(|(key, value)| format!("{key}={}", plain(value))).collect();
    format!("{} {:<16} {:<14} {}", line.time, line.source, head("event"), rest.join(" "))
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("{text:?}"),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
