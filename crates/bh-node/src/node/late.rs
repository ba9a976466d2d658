//! A handle to the node for the hooks of its own groups, filled once the node stands.

use super::Node;
use std::cell::OnceCell;
use std::rc::Rc;
use std::rc::Weak;

/// A node that will be there by the time it is asked for.
#[derive(Clone, Default)]
pub struct Late {
    node: Rc<OnceCell<Weak<Node>>>,
}

impl Late {
    /// A handle that is not filled yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fills the handle.
    pub fn fill(&self, node: &Rc<Node>) {
        let _ = self.node.set(Rc::downgrade(node));
    }

    /// The node, unless it is gone or not there yet.
    pub fn get(&self) -> Option<Rc<Node>> {
        self.node.get()?.upgrade()
    }
}
