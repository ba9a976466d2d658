//! From bytes to a YAML tree with positions, within limits.

use crate::Problem;
use bh_protocol::Code;
use marked_yaml::LoadError;
use marked_yaml::LoaderOptions;
use marked_yaml::Marker;
use marked_yaml::types::MarkedMappingNode;
use miette::NamedSource;
use std::sync::Arc;

/// Largest YAML text that is read, in bytes.
pub const MAX_BYTES: usize = 1 << 20;
/// Deepest nesting that is read. The deepest key of the schema stands at level 7.
pub const MAX_DEPTH: usize = 32;

/// A parsed file, still unchecked.
pub struct Document {
    /// Name of the file, for reports.
    pub file: Arc<str>,
    /// Code that mistakes in this kind of file carry.
    pub code: Code,
    /// Text of the file, for reports.
    pub source: Arc<NamedSource<String>>,
    /// The top mapping.
    pub root: MarkedMappingNode,
}

impl Document {
    /// Reads `bytes` as YAML.
    ///
    /// # Errors
    ///
    /// The first mistake in the YAML itself: too large, not UTF-8, too deep, aliases, duplicate keys, syntax.
    pub fn parse(
        file: impl Into<Arc<str>>,
        code: Code,
        bytes: &[u8],
    ) -> Result<Document, Box<Problem>> {
        let file = file.into();
        let fail = |place, label: String, help: &str| {
            Box::new(Problem::new(code, file.clone(), place, label, help))
        };
        if bytes.len() > MAX_BYTES {
            let label = format!(
                "the file has {} bytes, over the limit of {MAX_BYTES}",
                bytes.len()
            );
            return Err(fail(
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
            fail(
                (line, 1),
                "this line is not valid UTF-8".to_owned(),
                "save the file as UTF-8",
            )
        })?;
        let source = Arc::new(NamedSource::new(&*file, text.to_owned()));
        if let Some(line) = too_deep(text) {
            let label = format!("nesting is deeper than {MAX_DEPTH} levels");
            return Err(Box::new(
                fail(
                    (line, 1),
                    label,
                    "no key stands that deep; check brackets and indentation",
                )
                .with_source(source),
            ));
        }
        let options = LoaderOptions::default().error_on_duplicate_keys(true);
        let node = marked_yaml::parse_yaml_with_options(0, text, options).map_err(|error| {
            let (place, label, help) = describe(&error);
            Box::new(fail(place, label, help).with_source(source.clone()))
        })?;
        let marked_yaml::Node::Mapping(root) = node else {
            return Err(fail(
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

/// The first line nested deeper than [`MAX_DEPTH`].
///
/// The YAML parser recurses once a level, so a file of a million brackets would overflow the stack and kill
/// the entry. This count never underestimates the depth: brackets inside quotes only make it larger.
fn too_deep(text: &str) -> Option<usize> {
    let mut brackets = 0usize;
    for (number, line) in text.lines().enumerate() {
        let body = line.trim_start_matches([' ', '-', '?', ':', '\t']);
        let lead = line.len() - body.len();
        let markers = line[..lead].matches(['-', '?', ':']).count();
        let inline = line.matches(": ").count();
        let blocks = lead.min(lead / 2 + markers) + inline;
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

fn place(marker: &Marker) -> (usize, usize) {
    (marker.line(), marker.column())
}

fn describe(error: &LoadError) -> ((usize, usize), String, &'static str) {
    match error {
        LoadError::TopLevelMustBeMapping(m) | LoadError::TopLevelMustBeSequence(m) => (
            place(m),
            "the top level must be a mapping".to_owned(),
            "write `key: value` lines",
        ),
        LoadError::UnexpectedAnchor(m) => (
            place(m),
            "anchors and aliases are not allowed".to_owned(),
            "write the value out in full",
        ),
        LoadError::MappingKeyMustBeScalar(m) => (
            place(m),
            "a key must be a plain word".to_owned(),
            "write `key: value`",
        ),
        LoadError::UnexpectedTag(m) => (
            place(m),
            "tags are not allowed".to_owned(),
            "leave out the word that starts with `!`",
        ),
        LoadError::ScanError(m, error) => (
            place(m),
            format!("the YAML cannot be read: {error}"),
            "check indentation, quotes and brackets",
        ),
        LoadError::DuplicateKey(inner) => {
            let at = inner.key.span().start().map_or((1, 1), place);
            (
                at,
                format!(
                    "the key `{}` stands twice in this mapping",
                    inner.key.as_str()
                ),
                "keep one of the two",
            )
        }
    }
}
