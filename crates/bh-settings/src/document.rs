//! Parses bytes into a YAML tree with positions, within size and depth limits.

use crate::Problem;
use bh_protocol::Code;
use marked_yaml::LoadError;
use marked_yaml::LoaderOptions;
use marked_yaml::Marker;
use marked_yaml::types::MarkedMappingNode;
use miette::NamedSource;
use std::sync::Arc;

/// Maximum size of a YAML file in bytes.
pub const MAX_BYTES: usize = 1 << 20;
/// Maximum nesting depth of brackets. The deepest key of the schema is at level 7.
pub const MAX_DEPTH: usize = 32;

/// A parsed file whose keys and values have not been checked yet.
pub struct Document {
    /// Name of the file, for problem reports.
    pub file: Arc<str>,
    /// Result code of problems in this kind of file.
    pub code: Code,
    /// Text of the file, for problem reports.
    pub source: Arc<NamedSource<String>>,
    /// The top-level mapping.
    pub root: MarkedMappingNode,
}

impl Document {
    /// Parses `bytes` as YAML.
    ///
    /// # Errors
    ///
    /// The first problem in the YAML itself: too large, not UTF-8, nested too deeply, aliases, duplicate keys or a syntax error.
    pub fn parse(
        file: impl Into<Arc<str>>,
        code: Code,
        bytes: &[u8],
    ) -> Result<Document, Box<Problem>> {
        let file = file.into();
        let problem = |position, label: String, help: &str| {
            Box::new(Problem::new(code, file.clone(), position, label, help))
        };
        if bytes.len() > MAX_BYTES {
            let label = format!(
                "the file has {} bytes, over the limit of {MAX_BYTES}",
                bytes.len()
            );
            return Err(problem(
                (1, 1),
                label,
                "split the settings by team and apply each part with --team",
            ));
        }
        let text = std::str::from_utf8(bytes).map_err(|error| {
            let line = bytes[..error.valid_up_to()]
                .iter()
                .filter(|b| **b == b'\n')
                .count()
                + 1;
            problem(
                (line, 1),
                "this line is not valid UTF-8".to_owned(),
                "save the file as UTF-8",
            )
        })?;
        let source = Arc::new(NamedSource::new(&*file, text.to_owned()));
        if let Some(line) = first_too_deep_line(text) {
            let label = format!("nesting is deeper than {MAX_DEPTH} levels");
            return Err(Box::new(
                problem(
                    (line, 1),
                    label,
                    "no settings key is nested that deeply; check brackets and indentation",
                )
                .with_source(source),
            ));
        }
        let options = LoaderOptions::default().error_on_duplicate_keys(true);
        let node = marked_yaml::parse_yaml_with_options(0, text, options).map_err(|error| {
            let (position, label, help) = describe(&error);
            Box::new(problem(position, label, help).with_source(source.clone()))
        })?;
        let marked_yaml::Node::Mapping(root) = node else {
            return Err(problem(
                (1, 1),
                "the top level must be a mapping".to_owned(),
                "write `key: value` lines",
            ));
        };
        Ok(Document {
            file,
            code,
            source,
            root,
        })
    }
}

/// The first line whose estimated nesting exceeds the limit.
///
/// The YAML parser recurses once per level, so a file with a million brackets would overflow the stack and crash
/// the entry. The estimate counts two spaces of indentation as one level, and also brackets inside quotes. Brackets
/// may nest [`MAX_DEPTH`] levels, brackets and blocks together twice as many.
fn first_too_deep_line(text: &str) -> Option<usize> {
    let mut brackets = 0usize;
    for (number, line) in text.lines().enumerate() {
        let body = line.trim_start_matches([' ', '-', '?', ':', '\t']);
        let indent = line.len() - body.len();
        let markers = line[..indent].matches(['-', '?', ':']).count();
        let inline = line.matches(": ").count();
        let blocks = indent.min(indent / 2 + markers) + inline;
        let mut deepest = brackets;
        for byte in line.bytes() {
            match byte {
                b'[' | b'{' => brackets += 1,
                b']' | b'}' => brackets = brackets.saturating_sub(1),
                _ => {}
            }
            deepest = deepest.max(brackets);
        }
        if blocks + deepest > MAX_DEPTH * 2 || deepest > MAX_DEPTH {
            return Some(number + 1);
        }
    }
    None
}

fn position(marker: &Marker) -> (usize, usize) {
    (marker.line(), marker.column())
}

fn describe(error: &LoadError) -> ((usize, usize), String, &'static str) {
    match error {
        LoadError::TopLevelMustBeMapping(m) | LoadError::TopLevelMustBeSequence(m) => (
            position(m),
            "the top level must be a mapping".to_owned(),
            "write `key: value` lines",
        ),
        LoadError::UnexpectedAnchor(m) => (
            position(m),
            "anchors and aliases are not allowed".to_owned(),
            "write the value out in full",
        ),
        LoadError::MappingKeyMustBeScalar(m) => (
            position(m),
            "a key must be text, not a list or a mapping".to_owned(),
            "write `key: value`",
        ),
        LoadError::UnexpectedTag(m) => (
            position(m),
            "tags are not allowed".to_owned(),
            "leave out the word that starts with `!`",
        ),
        LoadError::ScanError(m, error) => (
            position(m),
            format!("the YAML cannot be read: {error}"),
            "check indentation, quotes and brackets",
        ),
        LoadError::DuplicateKey(inner) => {
            let at = inner.key.span().start().map_or((1, 1), position);
            (
                at,
                format!(
                    "the key `{}` is given twice in this mapping",
                    inner.key.as_str()
                ),
                "keep one of the two",
            )
        }
    }
}
