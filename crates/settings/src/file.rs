//! Reads, parses and validates settings files, with errors on one line.

use {
    crate::error::SettingsError,
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// Maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Settings with constraints beyond the types of single values.
pub trait Validate {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the dotted key that violates a constraint, and the expected value.
    fn validate(&self) -> Result<(), (&'static str, String)>;
}

/// Checks one constraint, for use in [`Validate::validate`].
///
/// # Errors
///
/// Returns `key` and `expected` unless `satisfied`.
pub fn require(
    key: &'static str,
    satisfied: bool,
    expected: &str,
) -> Result<(), (&'static str, String)> {
    if satisfied { Ok(()) } else { Err((key, expected.to_owned())) }
}

/// Reads, parses and validates a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is not TOML, has an unknown or missing key or a value of the wrong
/// type, or violates a constraint.
pub fn load<T>(file: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Validate,
{
    let text = read(file).map_err(|expected| settings_error(file, 0, "file", &expected))?;
    parse(file, &text)
}

/// Parses and validates the text of a file; `file` is only used in errors.
///
/// # Errors
///
/// The same as for [`load`], except for errors of reading the file.
pub fn parse<T>(file: &Path, text: &str) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Validate,
{
    let parsed: Result<T, toml::de::Error> = toml::from_str(text);
    let settings = parsed.map_err(|it| parse_error(file, text, &it))?;
    let validated = settings.validate();
    validated
        .map_err(|(key, expected)| settings_error(file, line_of(text, key), key, &expected))?;
    Ok(settings)
}

fn read(file: &Path) -> Result<String, String> {
    let read_error = |it: std::io::Error| format!("expected a readable file ({it})");
    let bytes = fs::metadata(file).map_err(read_error)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(format!("expected at most {MAX_FILE_BYTES} bytes, found {bytes}"));
    }
    fs::read_to_string(file).map_err(read_error)
}

fn settings_error(file: &Path, line: usize, key: &str, expected: &str) -> SettingsError {
    let expected = expected.split(['\n', '\r']).map(str::trim).collect::<Vec<_>>().join("; ");
    SettingsError { file: file.to_owned(), line, key: key.to_owned(), expected }
}

/// Converts a parse error. The reported key is the one that the message quotes, or else the last one at or before the
/// position of the error.
fn parse_error(file: &Path, text: &str, err: &toml::de::Error) -> SettingsError {
    let offset = err.span().map_or(0, |it| it.start).min(text.len());
    let before = text.as_bytes().get(..offset).unwrap_or_default();
    let line = before.iter().filter(|it| **it == b'\n').count() + 1;
    let (table, key) = last_table_and_key(text, line);
    let quoted = quoted_field(err.message());
    let table_only = quoted.is_some() && err.message().starts_with("missing");
    let last_part = quoted.or(key);
    let table = if table_only { table_at(text, line).or(table) } else { table };
    let path: Vec<&str> = table.into_iter().chain(last_part).collect();
    let key = if path.is_empty() { "file".to_owned() } else { path.join(".") };
    settings_error(file, line, &key, err.message())
}

/// Returns the field name that a message about a missing or unknown field quotes.
fn quoted_field(message: &str) -> Option<&str> {
    let rest = message
        .strip_prefix("missing field `")
        .or_else(|| message.strip_prefix("unknown field `"))?;
    rest.split('`').next()
}

/// Returns the last table header and the last key at or before a line.
fn last_table_and_key(text: &str, line: usize) -> (Option<&str>, Option<&str>) {
    let mut found = (None, None);
    for text in text.lines().take(line) {
        if let Some(table) = table_header(text) {
            found = (Some(table), None);
        } else if let Some(key) = key(text) {
            found.1 = Some(key);
        }
    }
    found
}

/// Returns the table whose header is on a line.
fn table_at(text: &str, line: usize) -> Option<&str> {
    text.lines().nth(line.checked_sub(1)?).and_then(table_header)
}

fn table_header(line: &str) -> Option<&str> {
    let line = line.trim();
    line.strip_prefix('[')?.split(']').next().map(|it| it.trim_matches(['[', ' ']))
}

fn key(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    let key = key.trim();
    let is_key_char = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.' | '"');
    (!key.is_empty() && key.chars().all(is_key_char)).then_some(key)
}

/// Returns the first line that sets the last part of a dotted key, or zero if there is none.
fn line_of(text: &str, dotted: &str) -> usize {
    let last_part = dotted.rsplit('.').next().unwrap_or(dotted);
    text.lines().position(|it| key(it) == Some(last_part)).map_or(0, |it| it + 1)
}
