//! Deserializers that stop at the limits of a job or a worker, before what is over them takes memory.

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::SeqAccess;
use serde::de::Visitor;
use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

/// Deserializes a list of at most `MAX` values.
///
/// # Errors
///
/// If there are more, or one is invalid.
pub fn list<'de, const MAX: usize, T: Deserialize<'de>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    deserializer.deserialize_seq(List::<MAX, T>(PhantomData))
}

struct List<const MAX: usize, T>(PhantomData<T>);

impl<'de, const MAX: usize, T: Deserialize<'de>> Visitor<'de> for List<MAX, T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} values")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while list.len() < MAX {
            match values.next_element()? {
                Some(value) => list.push(value),
                None => return Ok(list),
            }
        }
        match values.next_element::<IgnoredAny>()? {
            Some(_) => Err(A::Error::invalid_length(MAX + 1, &self)),
            None => Ok(list),
        }
    }
}

/// Deserializes a text of at most `MAX` bytes.
///
/// # Errors
///
/// If it is longer, or no text.
pub fn text<'de, const MAX: usize, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<str>, D::Error> {
    deserializer.deserialize_str(Text::<MAX>)
}

/// Deserializes a text of at most `MAX` bytes, or nothing.
///
/// # Errors
///
/// If it is longer, or neither a text nor null.
pub fn optional_text<'de, const MAX: usize, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Arc<str>>, D::Error> {
    deserializer.deserialize_option(OptionalText::<MAX>)
}

struct Text<const MAX: usize>;

impl<const MAX: usize> Visitor<'_> for Text<MAX> {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a text of at most {MAX} bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Arc<str>, E> {
        if text.len() > MAX {
            return Err(E::invalid_length(text.len(), &self));
        }
        Ok(Arc::from(text))
    }
}

/// Deserializes a list of at most `VALUES` texts of at most `MAX` bytes each.
///
/// # Errors
///
/// If there are more, or one is longer or no text.
pub fn texts<'de, const VALUES: usize, const MAX: usize, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Arc<str>>, D::Error> {
    let texts: Vec<BoundedText<MAX>> = list::<VALUES, _, _>(deserializer)?;
    Ok(texts.into_iter().map(|text| text.0).collect())
}

struct BoundedText<const MAX: usize>(Arc<str>);

impl<'de, const MAX: usize> Deserialize<'de> for BoundedText<MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        text::<MAX, D>(deserializer).map(Self)
    }
}

struct OptionalText<const MAX: usize>;

impl<'de, const MAX: usize> Visitor<'de> for OptionalText<MAX> {
    type Value = Option<Arc<str>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a text of at most {MAX} bytes or null")
    }

    fn visit_none<E: Error>(self) -> Result<Option<Arc<str>>, E> {
        Ok(None)
    }

    fn visit_unit<E: Error>(self) -> Result<Option<Arc<str>>, E> {
        Ok(None)
    }

    fn visit_some<D: Deserializer<'de>>(self, text: D) -> Result<Option<Arc<str>>, D::Error> {
        text.deserialize_str(Text::<MAX>).map(Some)
    }
}
