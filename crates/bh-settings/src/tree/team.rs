//! Settings of a team.

use super::Customer;
use super::RequestType;
use crate::section::Section;
use crate::token;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Subtree of the settings that one team owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Maximum number of accelerators that the team's jobs hold at a time.
    pub quota_accelerators: u32,
    /// SHA-256 digests of the tokens that allow changing this subtree.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub operator_tokens_sha256: Vec<Arc<str>>,
    /// SHA-256 digests of the tokens that allow sending work; if empty, no token is needed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub caller_tokens_sha256: Vec<Arc<str>>,
    /// Job shapes by name: how many tasks and accelerators a job has, and how close together they are placed.
    #[serde(default)]
    pub shapes: BTreeMap<Arc<str>, Shape>,
    /// Kinds of requests and jobs by name, each with its priority, limits and objective.
    #[serde(default)]
    pub request_types: BTreeMap<Arc<str>, RequestType>,
    /// Customers for whom the team runs work, by name, each with its share, quota and guarantees.
    #[serde(default)]
    pub customers: BTreeMap<Arc<str>, Customer>,
}

impl Team {
    /// Reads one section of `teams`.
    pub fn read(mut section: Section<'_>) -> Self {
        let team = Self {
            quota_accelerators: section.number_u32("quota_accelerators"),
            operator_tokens_sha256: read_digests(&mut section, "operator_tokens_sha256"),
            caller_tokens_sha256: read_digests(&mut section, "caller_tokens_sha256"),
            shapes: read_named(&mut section, "shapes", read_shape),
            request_types: read_named(&mut section, "request_types", RequestType::read),
            customers: read_named(&mut section, "customers", Customer::read),
        };
        team.check_references(&section);
        // Reports the keys that were not read.
        section.finish();
        team
    }

    /// Reports guarantees of shapes that the team does not define. A guarantee keeps capacity for a customer's jobs of one shape.
    fn check_references(&self, section: &Section<'_>) {
        for (name, customer) in &self.customers {
            for guarantee in &customer.guarantees {
                if !guarantee.shape.is_empty() && !self.shapes.contains_key(&guarantee.shape) {
                    let known: Vec<&str> = self.shapes.keys().map(|shape| &**shape).collect();
                    section.report(
                        format!("customer `{name}` is guaranteed the shape `{}`, which the team does not have", guarantee.shape),
                        format!("add it under `shapes`, or use one of: {}", known.join(", ")),
                    );
                }
            }
        }
    }
}

fn read_named<T>(
    section: &mut Section<'_>,
    name: &'static str,
    read: impl Fn(Section<'_>) -> T,
) -> BTreeMap<Arc<str>, T> {
    section
        .named_sections(name)
        .into_iter()
        .map(|(key, inner)| (key, read(inner)))
        .collect()
}

fn read_shape(mut section: Section<'_>) -> Shape {
    let adjacent = match section.choice("adjacent") {
        "worker" => Adjacency::Worker,
        "rack" => Adjacency::Rack,
        _ => Adjacency::DataCentre,
    };
    let shape = Shape::new(
        section.number_u32("tasks"),
        section.number_u32("accelerators_per_task"),
        adjacent,
    );
    section.finish();
    shape
}

/// Reads a list of SHA-256 digests and reports the items that are not digests.
pub(super) fn read_digests(section: &mut Section<'_>, name: &'static str) -> Vec<Arc<str>> {
    let mut digests = Vec::new();
    for (text, _) in section.texts(name) {
        if token::is_digest(&text) {
            digests.push(text);
        } else {
            section.report(
                format!("an item of `{name}` is not a SHA-256 digest"),
                "write 64 hexadecimal digits, as `beechctl token hash` prints them; never the token itself",
            );
        }
    }
    digests
}
