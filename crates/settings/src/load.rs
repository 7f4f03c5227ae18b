//! Reading a file of settings and saying in one line what is wrong with it.

use {
    crate::error::SettingsError,
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// The longest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Settings with rules that go beyond the types of single values.
pub trait Validate {
    /// Checks the rules.
    ///
    /// # Errors
    ///
    /// The dotted key that breaks a rule, and what was expected.
    fn validate(&self) -> Result<(), (&'static str, String)>;
}

/// Returns the fault of a rule that does not hold, for [`Validate::check`].
///
/// # Errors
///
/// The key and what was expected, unless `held`.
pub fn require(
    key: &'static str,
    held: bool,
    expected: &str,
) -> Result<(), (&'static str, String)> {
    if held { Ok(()) } else { Err((key, expected.to_owned())) }
}

/// Reads, parses and checks a file.
///
/// # Errors
///
/// The file cannot be read, is not TOML, has an unknown or missing key or a value of the wrong type, or breaks a rule.
pub fn load<T>(file: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Validate,
{
    let text = read(file).map_err(|expected| fault(file, 0, "file", &expected))?;
    parse(file, &text)
}

/// Parses and checks the text of a file; `file` is only named in errors.
///
/// # Errors
///
/// As [`load`], but for reading.
pub fn parse<T>(file: &Path, text: &str) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Validate,
{
    let parsed: Result<T, toml::de::Error> = toml::from_str(text);
    let settings = parsed.map_err(|it| locate(file, text, &it))?;
    let checked = settings.validate();
    checked.map_err(|(key, expected)| fault(file, line_of(text, key), key, &expected))?;
    Ok(settings)
}

fn read(file: &Path) -> Result<String, String> {
    let unreadable = |it: std::io::Error| format!("expected a readable file ({it})");
    let bytes = fs::metadata(file).map_err(unreadable)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(format!("expected at most {MAX_FILE_BYTES} bytes, found {bytes}"));
    }
    fs::read_to_string(file).map_err(unreadable)
}

fn fault(file: &Path, line: usize, key: &str, expected: &str) -> SettingsError {
    let expected = expected.split(['\n', '\r']).map(str::trim).collect::<Vec<_>>().join("; ");
    SettingsError { file: file.to_owned(), line, key: key.to_owned(), expected }
}

/// Names the key at which the parser failed: the one that its message quotes, else the one before the fault.
fn locate(file: &Path, text: &str, err: &toml::de::Error) -> SettingsError {
    let at = err.span().map_or(0, |it| it.start).min(text.len());
    let head = text.as_bytes().get(..at).unwrap_or_default();
    let line = head.iter().filter(|it| **it == b'\n').count() + 1;
    let (table, key) = key_at(text, line);
    let quoted = quoted_field(err.message());
    let table_only = quoted.is_some() && err.message().starts_with("missing");
    let leaf = quoted.or(key);
    let table = if table_only { header_at(text, line).or(table) } else { table };
    let path: Vec<&str> = table.into_iter().chain(leaf).collect();
    let key = if path.is_empty() { "file".to_owned() } else { path.join(".") };
    fault(file, line, &key, err.message())
}

/// Returns the field that a message about a missing or unknown field quotes.
fn quoted_field(message: &str) -> Option<&str> {
    let rest = message
        .strip_prefix("missing field `")
        .or_else(|| message.strip_prefix("unknown field `"))?;
    rest.split('`').next()
}

/// Returns the last table header and the last key at or before a line.
fn key_at(text: &str, line: usize) -> (Option<&str>, Option<&str>) {
    let mut found = (None, None);
    for text in text.lines().take(line) {
        if let Some(table) = header(text) {
            found = (Some(table), None);
        } else if let Some(key) = key(text) {
            found.1 = Some(key);
        }
    }
    found
}

/// Returns the table whose header stands on a line.
fn header_at(text: &str, line: usize) -> Option<&str> {
    text.lines().nth(line.checked_sub(1)?).and_then(header)
}

fn header(line: &str) -> Option<&str> {
    let line = line.trim();
    line.strip_prefix('[')?.split(']').next().map(|it| it.trim_matches(['[', ' ']))
}

fn key(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    let key = key.trim();
    let plain = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.' | '"');
    (!key.is_empty() && key.chars().all(plain)).then_some(key)
}

/// Returns the line on which a dotted key's last part stands, zero if it is not written.
fn line_of(text: &str, dotted: &str) -> usize {
    let leaf = dotted.rsplit('.').next().unwrap_or(dotted);
    text.lines().position(|it| key(it) == Some(leaf)).map_or(0, |it| it + 1)
}
