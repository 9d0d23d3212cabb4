//! Reads a YAML file and collects all findings with their locations.

use garde::{Report, Validate};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_saphyr::path_map::{PathKey, PathMap};
use serde_saphyr::{Error, Location};

use crate::finding::{Finding, Findings, Severity};

/// Result of this crate.
pub type Result<T, E = Findings> = std::result::Result<T, E>;

/// Rules that one validation pass applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pass {
    /// The rules that a file must meet.
    #[default]
    Errors,
    /// The rules that a file should meet.
    Warnings,
}

// Separates the message from the hint in the text of a violated rule.
const HINT_SEPARATOR: &str = "; hint: ";

/// Parses `text` and applies all rules of `T`.
///
/// Returns the value with its warnings.
///
/// # Errors
///
/// If there is any error, returns all errors and warnings with their locations.
pub fn parse<T>(text: &str, file: &str) -> Result<(T, Vec<Finding>)>
where
    T: DeserializeOwned + Validate<Context = Pass>,
{
    let mut unknown = Vec::new();
    let parsed = serde_saphyr::with_deserializer_from_str(text, |de| {
        serde_ignored::deserialize(de, |path| unknown.push(path.to_string()))
    });
    check(parsed, text, file, &unknown)
}

/// Parses `text` and applies all rules of `T` as [`parse`] does, but ignores
/// unknown keys.
///
/// # Errors
///
/// If there is any error, returns all errors and warnings with their locations.
pub fn parse_known<T>(text: &str, file: &str) -> Result<(T, Vec<Finding>)>
where
    T: DeserializeOwned + Validate<Context = Pass>,
{
    check(serde_saphyr::from_str(text), text, file, &[])
}

/// Applies the rules of `T` to the result of parsing `text`.
fn check<T>(
    parsed: Result<T, Error>,
    text: &str,
    file: &str,
    unknown: &[String],
) -> Result<(T, Vec<Finding>)>
where
    T: DeserializeOwned + Validate<Context = Pass>,
{
    let value = parsed.map_err(|e| Findings {
        list: vec![parse_error_finding(&e, file)],
    })?;
    let mut list = findings_of::<T>(text, file, unknown, Pass::Errors);
    let warnings = findings_of::<T>(text, file, &[], Pass::Warnings);
    if list.is_empty() {
        return Ok((value, warnings));
    }
    list.extend(warnings);
    list.sort_by_key(|f| (f.line, f.column));
    Err(Findings { list })
}

fn parse_error_finding(error: &Error, file: &str) -> Finding {
    let location = error.location().unwrap_or(Location::UNKNOWN);
    let text = error.without_snippet().to_string();
    Finding {
        severity: Severity::Error,
        file: file.to_owned(),
        line: location.line(),
        column: location.column(),
        message: text.lines().next().unwrap_or_default().to_owned(),
        hint: String::new(),
    }
}

/// Wraps a value so that validation always fails, since the library returns the
/// map of locations only with a validation error.
#[derive(Deserialize)]
#[serde(transparent)]
struct Located<T>(T);

impl<T: Validate<Context = Pass>> Validate for Located<T> {
    type Context = Pass;

    fn validate_into(
        &self,
        ctx: &Pass,
        parent: &mut dyn FnMut() -> garde::Path,
        report: &mut Report,
    ) {
        self.0.validate_into(ctx, parent, report);
        report.append(parent(), garde::Error::new(""));
    }
}

fn findings_of<T>(text: &str, file: &str, unknown: &[String], pass: Pass) -> Vec<Finding>
where
    T: DeserializeOwned + Validate<Context = Pass>,
{
    let options = serde_saphyr::options! { with_snippet: false };
    let result =
        serde_saphyr::from_str_with_options_context_valid::<Located<T>>(text, options, &pass);
    let Err(Error::ValidationError {
        issues, locations, ..
    }) = result
    else {
        return Vec::new();
    };
    let severity = match pass {
        Pass::Errors => Severity::Error,
        Pass::Warnings => Severity::Warning,
    };
    let violations = issues.iter().filter_map(|issue| {
        let text = issue.message.as_deref().filter(|m| !m.is_empty())?;
        let (message, hint) = text.split_once(HINT_SEPARATOR).unwrap_or((text, ""));
        let location = location_of(&locations, &issue.path);
        Some(Finding {
            severity,
            file: file.to_owned(),
            line: location.line(),
            column: location.column(),
            message: format!("{}: {message}", dotted_path(&issue.path)),
            hint: hint.to_owned(),
        })
    });
    let unknown_keys = unknown
        .iter()
        .map(|path| unknown_key_finding(text, file, path, &locations));
    let mut list: Vec<Finding> = violations.chain(unknown_keys).collect();
    list.sort_by_key(|f| (f.line, f.column));
    list
}

/// Returns the location of the value at `path`, or of its nearest ancestor.
fn location_of(locations: &PathMap, path: &PathKey) -> Location {
    let segments: Vec<_> = path.segments().collect();
    (0..=segments.len())
        .rev()
        .map(|len| path_key(segments[..len].iter().map(|(_, s)| *s)))
        .find_map(|key| locations.locations_for(&key)?.primary_location())
        .unwrap_or(Location::UNKNOWN)
}

fn path_key<'a>(segments: impl Iterator<Item = &'a str>) -> PathKey {
    segments.fold(PathKey::new(), |key, s| match s.parse::<usize>() {
        Ok(index) => key.join_index(index),
        Err(_) => key.join_key(s),
    })
}

fn dotted_path(path: &PathKey) -> String {
    let segments: Vec<_> = path.segments().map(|(_, s)| s).collect();
    segments.join(".")
}

fn unknown_key_finding(text: &str, file: &str, path: &str, locations: &PathMap) -> Finding {
    let (parent, key) = path.rsplit_once('.').unwrap_or(("", path));
    let parent_key = path_key(parent.split('.').filter(|s| !s.is_empty()));
    let start = location_of(locations, &parent_key);
    let (line, column) =
        find_key(text, key, start.line()).unwrap_or((start.line(), start.column()));
    Finding {
        severity: Severity::Error,
        file: file.to_owned(),
        line,
        column,
        message: format!("unknown key `{path}`"),
        hint: "see docs/OPERATIONS.md for the keys and their units".to_owned(),
    }
}

/// Returns the line and column of the first use of `key` as a mapping key, from
/// `first_line` on.
fn find_key(text: &str, key: &str, first_line: u64) -> Option<(u64, u64)> {
    let skip = usize::try_from(first_line).unwrap_or(1).saturating_sub(1);
    text.lines().enumerate().skip(skip).find_map(|(i, line)| {
        let column = line.find(&format!("{key}:"))?;
        let before = line[..column].chars().next_back();
        let is_key_start = before.is_none_or(|c| matches!(c, ' ' | '{' | ','));
        is_key_start.then_some((i as u64 + 1, column as u64 + 1))
    })
}
