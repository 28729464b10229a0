//! Label selectors.
//!
//! A selector is a comma-separated list of requirements that must all hold: `key=value`,
//! `key!=value`, `key in (a, b)`, `key notin (a, b)`, `key` (present) and `!key` (absent). The
//! empty selector matches everything. A VM has the labels that its endpoint announces, and in
//! addition `zone`, `fabric-domain` and `accelerators`, which the system sets.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use displaydoc::Display;
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use smallvec::SmallVec;

use crate::Name;

/// Labels of an object.
pub type Labels = BTreeMap<Name, Name>;

/// Why a text can't be parsed as a selector.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// requirement {0} is empty; remove the extra comma
    Empty(usize),
    /// `{0}` is not a label key; use letters, digits, `-`, `_`, `.` and `/`
    Key(String),
    /// `{0}` is not a label value; use letters, digits, `-`, `_`, `.` and `/`
    Value(String),
    /// `{0}` needs a list of values in parentheses after `in` or `notin`
    List(String),
}

impl std::error::Error for Error {}

/// Condition on the value of a label, which may be absent.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Condition {
    In(SmallVec<[Name; 2]>),
    NotIn(SmallVec<[Name; 2]>),
    Present,
    Absent,
}

/// A condition on the value of the label `key`.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Requirement {
    key: Name,
    condition: Condition,
}

/// A parsed selector.
///
/// ```
/// use dotterelhoist_core::selector::{Labels, Selector};
///
/// let selector = Selector::parse("model=planner, zone in (a, b), !retired").unwrap();
/// let labels = Labels::from([("model".into(), "planner".into()), ("zone".into(), "b".into())]);
/// assert!(selector.matches(&labels));
/// assert!(Selector::parse("model=").is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    requirements: Arc<[Requirement]>,
}

impl Selector {
    /// Parses a selector.
    ///
    /// # Errors
    ///
    /// Returns an error about the first requirement that is not well formed.
    pub fn parse(text: &str) -> Result<Selector, Error> {
        if text.trim().is_empty() {
            return Ok(Selector::default());
        }
        let mut requirements = Vec::new();
        for (index, part) in split(text).into_iter().enumerate() {
            let part = part.trim();
            if part.is_empty() {
                return Err(Error::Empty(index + 1));
            }
            requirements.push(parse_requirement(part)?);
        }
        Ok(Selector { requirements: requirements.into() })
    }

    /// Whether these labels meet all requirements.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|requirement| {
            let value = labels.get(&requirement.key);
            requirement.condition.holds(value)
        })
    }

    /// Whether an object whose label `key` has `value` could match, depending on its other labels.
    pub fn permits(&self, key: &str, value: &Name) -> bool {
        self.requirements
            .iter()
            .filter(|requirement| *requirement.key == *key)
            .all(|requirement| requirement.condition.holds(Some(value)))
    }
}

impl Condition {
    fn holds(&self, value: Option<&Name>) -> bool {
        match self {
            Condition::In(list) => value.is_some_and(|value| list.contains(value)),
            Condition::NotIn(list) => !value.is_some_and(|value| list.contains(value)),
            Condition::Present => value.is_some(),
            Condition::Absent => value.is_none(),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            let key = &requirement.key;
            match &requirement.condition {
                Condition::In(list) if list.len() == 1 => write!(f, "{key}={}", list[0])?,
                Condition::NotIn(list) if list.len() == 1 => write!(f, "{key}!={}", list[0])?,
                Condition::In(list) => write!(f, "{key} in ({})", list.join(","))?,
                Condition::NotIn(list) => write!(f, "{key} notin ({})", list.join(","))?,
                Condition::Present => f.write_str(key)?,
                Condition::Absent => write!(f, "!{key}")?,
            }
        }
        Ok(())
    }
}

impl Serialize for Selector {
    fn serialize<Target>(&self, serializer: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Selector {
    fn deserialize<Source>(deserializer: Source) -> Result<Selector, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Selector::parse(&text).map_err(de::Error::custom)
    }
}

/// Splits a selector at the commas outside parentheses.
fn split(text: &str) -> SmallVec<[&str; 4]> {
    let mut parts = SmallVec::new();
    let mut depth = 0u32;
    let mut start = 0;
    for (offset, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => {
                parts.push(&text[start..offset]);
                start = offset + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

fn parse_requirement(part: &str) -> Result<Requirement, Error> {
    if let Some((key, value)) = part.split_once("!=") {
        let list = SmallVec::from_iter([parse_value(value)?]);
        return Ok(Requirement { key: parse_key(key)?, condition: Condition::NotIn(list) });
    }
    if let Some((key, value)) = part.split_once('=') {
        let list = SmallVec::from_iter([parse_value(value)?]);
        return Ok(Requirement { key: parse_key(key)?, condition: Condition::In(list) });
    }
    if let Some((key, rest)) = part.split_once(char::is_whitespace) {
        return parse_list(part, key, rest.trim());
    }
    if let Some(key) = part.strip_prefix('!') {
        return Ok(Requirement { key: parse_key(key)?, condition: Condition::Absent });
    }
    Ok(Requirement { key: parse_key(part)?, condition: Condition::Present })
}

/// Parses a requirement with `in` or `notin`; `rest` is what follows the key.
fn parse_list(part: &str, key: &str, rest: &str) -> Result<Requirement, Error> {
    let error = || Error::List(part.to_owned());
    let (negative, list) = match rest.strip_prefix("notin") {
        Some(list) => (true, list),
        None => (false, rest.strip_prefix("in").ok_or_else(error)?),
    };
    let list = list.trim().strip_prefix('(').and_then(|list| list.strip_suffix(')'));
    let values: Result<SmallVec<[Name; 2]>, Error> =
        list.ok_or_else(error)?.split(',').map(parse_value).collect();
    let condition = if negative { Condition::NotIn(values?) } else { Condition::In(values?) };
    Ok(Requirement { key: parse_key(key)?, condition })
}

fn parse_key(text: &str) -> Result<Name, Error> {
    let text = text.trim();
    if !is_valid_label(text) {
        return Err(Error::Key(text.to_owned()));
    }
    Ok(text.into())
}

fn parse_value(text: &str) -> Result<Name, Error> {
    let text = text.trim();
    if !is_valid_label(text) {
        return Err(Error::Value(text.to_owned()));
    }
    Ok(text.into())
}

/// Whether `text` is a valid label key or value.
fn is_valid_label(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    !text.is_empty() && text.chars().all(allowed)
}
