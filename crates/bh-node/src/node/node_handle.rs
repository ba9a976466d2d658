//! A handle to the node for the hooks of its groups, which are created before the node.

use super::Node;
use std::cell::OnceCell;
use std::rc::Rc;
use std::rc::Weak;

/// A weak reference to the node, set once the node is built.
#[derive(Clone, Default)]
pub struct NodeHandle {
    node: Rc<OnceCell<Weak<Node>>>,
}

impl NodeHandle {
    /// A handle without a node.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the node.
    pub fn set(&self, node: &Rc<Node>) {
        let _ = self.node.set(Rc::downgrade(node));
    }

    /// The node; `None` before it is set and after it is dropped.
    pub fn get(&self) -> Option<Rc<Node>> {
        self.node.get()?.upgrade()
    }
}
