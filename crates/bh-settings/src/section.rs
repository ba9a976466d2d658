//! Reads YAML mappings according to the key tables and collects every problem found.

use crate::Problem;
use crate::document::Document;
use crate::key::Key;
use crate::key::Kind;
use marked_yaml::Node;
use marked_yaml::Span;
use marked_yaml::types::MarkedMappingNode;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum length of the name of a team, customer, shape or other item, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Reads one document and collects its problems.
pub struct Reader<'a> {
    document: &'a Document,
    keys: &'static [Key],
    problems: RefCell<Vec<Problem>>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `document` that accepts the keys in `keys`.
    pub fn new(document: &'a Document, keys: &'static [Key]) -> Self {
        Self {
            document,
            keys,
            problems: RefCell::new(Vec::new()),
        }
    }

    /// The top-level section.
    pub fn root(&'a self) -> Section<'a> {
        Section::new(self, &self.document.root, String::new())
    }

    /// Adds a problem at `span`.
    pub fn report(&self, span: &Span, label: impl Into<String>, help: impl Into<String>) {
        let position = span.start().map_or((1, 1), |m| (m.line(), m.column()));
        let problem = Problem::new(
            self.document.code,
            self.document.file.clone(),
            position,
            label,
            help,
        );
        self.problems
            .borrow_mut()
            .push(problem.with_source(self.document.source.clone()));
    }

    /// The collected problems, ordered by line and column.
    pub fn into_problems(self) -> Vec<Problem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| (problem.line, problem.column));
        problems
    }
}

/// One mapping of the document, with the names of the keys read from it so far.
pub struct Section<'a> {
    reader: &'a Reader<'a>,
    node: &'a MarkedMappingNode,
    path: String,
    read_keys: BTreeSet<&'static str>,
}

impl<'a> Section<'a> {
    fn new(reader: &'a Reader<'a>, node: &'a MarkedMappingNode, path: String) -> Self {
        Self {
            reader,
            node,
            path,
            read_keys: BTreeSet::new(),
        }
    }

    /// Position of the mapping in the file.
    pub fn span(&self) -> &'a Span {
        self.node.span()
    }

    /// Adds a problem at the position of this mapping.
    pub fn report(&self, label: impl Into<String>, help: impl Into<String>) {
        self.reader.report(self.span(), label, help);
    }

    /// Position of the value at `name`, or of the mapping if the key is missing.
    pub fn span_of(&self, name: &str) -> &'a Span {
        self.node
            .get_node(name)
            .map_or(self.node.span(), Node::span)
    }

    /// Looks up the key in the table and marks it as read.
    fn key(&mut self, name: &'static str) -> &'static Key {
        self.read_keys.insert(name);
        let path = join(&self.path, name);
        crate::key::find(self.reader.keys, &path)
            .unwrap_or_else(|| unreachable!("no key {path} in the table"))
    }

    fn wrong_kind(&self, name: &str, expected: &str) {
        self.reader.report(
            self.span_of(name),
            format!("`{name}` must be {expected}"),
            format!("write `{name}:` with {expected}"),
        );
    }

    fn missing(&self, name: &str, expected: &str) {
        self.report(
            format!("`{name}` is missing"),
            format!("add `{name}:` with {expected}"),
        );
    }

    /// Reads the whole number at `name`; returns its default, or else its minimum, if it is missing or invalid.
    pub fn number(&mut self, name: &'static str) -> u64 {
        let key = self.key(name);
        let Kind::Number { min, max, default } = key.kind else {
            unreachable!("{name} is not a number in the table")
        };
        let expected = format!(
            "a whole number from {min} to {max}{}",
            unit_suffix(key.unit)
        );
        let Some(node) = self.node.get_node(name) else {
            if default.is_none() {
                self.missing(name, &expected);
            }
            return default.unwrap_or(min);
        };
        let value = node.as_scalar().and_then(|scalar| scalar.as_u64());
        match value {
            Some(value) if (min..=max).contains(&value) => value,
            _ => {
                self.wrong_kind(name, &expected);
                default.unwrap_or(min)
            }
        }
    }

    /// Reads the number at `name` as `u32`; the key tables limit such keys to that range.
    pub fn number_u32(&mut self, name: &'static str) -> u32 {
        u32::try_from(self.number(name)).unwrap_or(u32::MAX)
    }

    /// Reads the boolean at `name`; returns its default if it is missing or invalid.
    pub fn flag(&mut self, name: &'static str) -> bool {
        let Kind::Flag { default } = self.key(name).kind else {
            unreachable!("{name} is not a flag in the table")
        };
        let Some(node) = self.node.get_node(name) else {
            return default;
        };
        match node.as_scalar().and_then(|scalar| scalar.as_bool()) {
            Some(value) => value,
            None => {
                self.wrong_kind(name, "`true` or `false`");
                default
            }
        }
    }

    /// Reads the word at `name`, one of those in the table; returns the first of them if it is missing or invalid.
    pub fn choice(&mut self, name: &'static str) -> &'static str {
        let Kind::Choice { words, required } = self.key(name).kind else {
            unreachable!("{name} is not a choice in the table")
        };
        let expected = format!("one of {}", words.join(", "));
        let Some(node) = self.node.get_node(name) else {
            if required {
                self.missing(name, &expected);
            }
            return words[0];
        };
        let word = node.as_scalar().map_or("", |scalar| scalar.as_str());
        match words.iter().find(|known| **known == word) {
            Some(known) => known,
            None => {
                self.wrong_kind(name, &expected);
                words[0]
            }
        }
    }

    /// Reads the text at `name`, which must not be empty.
    pub fn text(&mut self, name: &'static str) -> Option<Arc<str>> {
        let Kind::Text { required } = self.key(name).kind else {
            unreachable!("{name} is not a text in the table")
        };
        let Some(node) = self.node.get_node(name) else {
            if required {
                self.missing(name, "non-empty text");
            }
            return None;
        };
        match node.as_scalar() {
            Some(scalar) if !scalar.as_str().is_empty() => Some(Arc::from(scalar.as_str())),
            _ => {
                self.wrong_kind(name, "non-empty text");
                None
            }
        }
    }

    /// Reads the text at `name` and checks that it is a valid name; returns an empty text if it is missing.
    pub fn name(&mut self, name: &'static str) -> Arc<str> {
        let text = self.text(name).unwrap_or_else(|| Arc::from(""));
        if !text.is_empty() {
            self.check_name(&text, self.span_of(name));
        }
        text
    }

    /// Reads the list of texts at `name`, each with its position.
    pub fn texts(&mut self, name: &'static str) -> Vec<(Arc<str>, &'a Span)> {
        self.key(name);
        let Some(node) = self.node.get_node(name) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.wrong_kind(name, "a list of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in sequence.iter() {
            match item.as_scalar() {
                Some(scalar) => texts.push((Arc::from(scalar.as_str()), item.span())),
                None => self.reader.report(
                    item.span(),
                    format!("an item of `{name}` must be text"),
                    "write one `- text` item per line",
                ),
            }
        }
        texts
    }

    /// Reads the section at `name`.
    pub fn section(&mut self, name: &'static str) -> Option<Section<'a>> {
        self.key(name);
        let node = self.node.get_node(name)?;
        let Some(mapping) = node.as_mapping() else {
            self.wrong_kind(name, "a mapping");
            return None;
        };
        Some(Section::new(self.reader, mapping, join(&self.path, name)))
    }

    /// Reads the mapping from names to sections at `name`, in the order of the file.
    pub fn named_sections(&mut self, name: &'static str) -> Vec<(Arc<str>, Section<'a>)> {
        self.key(name);
        let Some(node) = self.node.get_node(name) else {
            return Vec::new();
        };
        let Some(mapping) = node.as_mapping() else {
            self.wrong_kind(name, "a mapping from names to sections");
            return Vec::new();
        };
        let path = format!("{}.*", join(&self.path, name));
        let mut sections = Vec::new();
        for (key, value) in mapping.iter() {
            self.check_name(key.as_str(), key.span());
            match value.as_mapping() {
                Some(inner) => sections.push((
                    Arc::from(key.as_str()),
                    Section::new(self.reader, inner, path.clone()),
                )),
                None => self.reader.report(
                    value.span(),
                    format!("`{}` must be a mapping", key.as_str()),
                    "write its keys below it, or `{}` for the defaults",
                ),
            }
        }
        sections
    }

    /// Reads the list of sections at `name`.
    pub fn section_list(&mut self, name: &'static str) -> Vec<Section<'a>> {
        self.key(name);
        let Some(node) = self.node.get_node(name) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.wrong_kind(name, "a list");
            return Vec::new();
        };
        let path = format!("{}[]", join(&self.path, name));
        let mut sections = Vec::new();
        for item in sequence.iter() {
            match item.as_mapping() {
                Some(inner) => sections.push(Section::new(self.reader, inner, path.clone())),
                None => self.reader.report(
                    item.span(),
                    format!("an item of `{name}` must be a mapping"),
                    "write `- key: value`",
                ),
            }
        }
        sections
    }

    /// Reports every key that was not read as unknown; call it after the last key is read.
    pub fn finish(self) {
        for key in self.node.keys() {
            if self.read_keys.contains(key.as_str()) {
                continue;
            }
            let known: Vec<&str> = self.read_keys.iter().copied().collect();
            let help = match closest_key(key.as_str(), &known) {
                Some(suggestion) => format!("did you mean `{suggestion}`?"),
                None => format!("known here: {}", known.join(", ")),
            };
            self.reader.report(
                key.span(),
                format!("the key `{}` is not known here", key.as_str()),
                help,
            );
        }
    }

    fn check_name(&self, name: &str, span: &Span) {
        let is_short_enough = name.len() <= MAX_NAME_BYTES;
        let has_valid_bytes = name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        let has_valid_ends = name.starts_with(|c: char| c.is_ascii_alphanumeric())
            && name.ends_with(|c: char| c.is_ascii_alphanumeric());
        if !(is_short_enough && has_valid_bytes && has_valid_ends) {
            self.reader.report(
                span,
                format!("`{}` is not a valid name", name.escape_debug()),
                "use 1 to 63 lower-case letters, digits and hyphens, with no hyphen at either end",
            );
        }
    }
}

fn unit_suffix(unit: &str) -> String {
    if unit.is_empty() {
        String::new()
    } else {
        format!(" ({unit})")
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// The known key closest to a misspelt one, if it is close enough to be a likely typing error.
fn closest_key<'k>(word: &str, known: &[&'k str]) -> Option<&'k str> {
    const MAX_DISTANCE: usize = 3;
    known
        .iter()
        .map(|candidate| (edit_distance(word, candidate), *candidate))
        .filter(|(distance, _)| *distance <= MAX_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance of the first 64 characters of both words.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(64).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().take(64).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
