//! Looks up customers by API key.

use std::collections::HashMap;

use comfreyturn_types::KeyedCustomer;

/// Customers by API key.
#[derive(Debug, Default)]
pub struct KeyTable {
    customers: HashMap<String, KeyedCustomer>,
}

impl KeyTable {
    /// Builds the table.
    pub fn new(customers: &[KeyedCustomer]) -> Self {
        let pairs = customers
            .iter()
            .flat_map(|customer| customer.keys.iter().map(|key| (key.clone(), customer.clone())));
        Self { customers: pairs.collect() }
    }

    /// The customer that holds the key.
    pub fn customer(&self, key: &str) -> Option<&KeyedCustomer> {
        self.customers.get(key)
    }
}
