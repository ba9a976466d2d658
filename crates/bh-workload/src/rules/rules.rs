//! One version of the operator's rules.

use super::Customer;
use super::Pool;
use super::Queue;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One complete version of the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Number of the version. Rules are only replaced by a version with a higher number.
    pub version: u64,
    /// Text that the operator submitted, returned verbatim when the rules are read.
    pub document: Arc<str>,
    /// Queues.
    pub queues: Vec<Arc<Queue>>,
    /// Pools.
    pub pools: Vec<Arc<Pool>>,
    /// Customers.
    pub customers: Vec<Arc<Customer>>,
}

impl Rules {
    /// Returns the first reason why the rules are invalid, or `None` if they are valid.
    pub fn problem(&self) -> Option<String> {
        let pools: BTreeSet<&str> = self.pools.iter().map(|pool| &*pool.name).collect();
        let mut routes = BTreeSet::new();
        for queue in &self.queues {
            if !pools.contains(&*queue.pool) {
                return Some(format!(
                    "queue `{}` names the unknown pool `{}`",
                    queue.name, queue.pool
                ));
            }
            if !routes.insert((&queue.host, &queue.path_prefix)) {
                return Some(format!(
                    "two queues share `{}{}`",
                    queue.host, queue.path_prefix
                ));
            }
            if queue.timeout_ms == 0 {
                return Some(format!("queue `{}` has no time limit", queue.name));
            }
        }
        let mut keys = BTreeSet::new();
        for customer in &self.customers {
            let own_keys: BTreeSet<&Arc<str>> = customer.keys.iter().collect();
            if own_keys.into_iter().any(|key| !keys.insert(key)) {
                return Some(format!(
                    "customer `{}` shares a key with another",
                    customer.name
                ));
            }
        }
        None
    }

    /// Returns the queue for a request to `host` and `path`, and the part of the path after the queue's prefix.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Queue>, &'a str)> {
        let queue = self
            .queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())?;
        Some((queue, &path[queue.path_prefix.len()..]))
    }

    /// Returns the queue named `name`.
    pub fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Returns the customer that has the key `key`.
    pub fn customer_of_key(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers
            .iter()
            .find(|customer| customer.keys.iter().any(|own_key| &**own_key == key))
    }

    /// Returns the number of accelerators that the customer `name` is guaranteed; 0 for an unknown customer.
    pub fn guaranteed(&self, name: &str) -> u64 {
        self.customers
            .iter()
            .find(|customer| &*customer.name == name)
            .map_or(0, |customer| customer.guaranteed_accelerators)
    }
}
