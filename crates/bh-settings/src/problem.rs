//! A problem in a YAML file, with its position and a suggested fix.

use bh_protocol::Code;
use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;
use std::fmt::Display;
use std::sync::Arc;

/// A problem at a position in a file.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{file}:{line}:{column}: {label}")]
pub struct Problem {
    /// Result code, [`Code::BadConfigFile`] or [`Code::InvalidSettings`].
    pub code: Code,
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub label: String,
    /// What to write instead.
    pub help: String,
    source_text: Option<Arc<NamedSource<String>>>,
    offset: usize,
}

impl Problem {
    /// Creates a problem at `line` and `column` of `file`, both from 1.
    pub fn new(
        code: Code,
        file: impl Into<Arc<str>>,
        (line, column): (usize, usize),
        label: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        Self {
            code,
            file: file.into(),
            line,
            column,
            label: label.into(),
            help: help.into(),
            source_text: None,
            offset: 0,
        }
    }

    /// Adds the text of the file, so that a report can quote the line.
    pub fn with_source(mut self, source: Arc<NamedSource<String>>) -> Self {
        self.offset = byte_offset(source.inner(), self.line, self.column);
        self.source_text = Some(source);
        self
    }
}

fn byte_offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    (before + column.saturating_sub(1)).min(text.len())
}

impl Diagnostic for Problem {
    fn code<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new(self.code))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new(&self.help))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source_text
            .as_deref()
            .map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        self.source_text.as_ref()?;
        let span = LabeledSpan::new(Some("here".to_owned()), self.offset, 1);
        Some(Box::new(std::iter::once(span)))
    }
}
