//! Differences between two contracts, field by field.

use crate::class_terms::ClassTerms;
use crate::contract::Contract;
use crate::contract_change::ContractChange;
use crate::service_terms::ServiceTerms;
use crate::units::{format_time, format_versions, format_yes_no};
use indexmap::IndexMap;

/// Text for an optional key that is not set.
const NOT_SET: &str = "none";

impl Contract {
    /// Lists the differences between this contract and `later`; empty if they are equal.
    pub fn diff(&self, later: &Self) -> Vec<ContractChange> {
        let mut changes = Vec::new();
        compare(
            &mut changes,
            "contract",
            self.contract_fields(),
            later.contract_fields(),
        );
        compare_all(
            &mut changes,
            "class",
            &self.classes,
            &later.classes,
            class_fields,
        );
        compare_all(
            &mut changes,
            "service",
            &self.services,
            &later.services,
            service_fields,
        );
        compare(
            &mut changes,
            "limits",
            self.limit_fields(),
            later.limit_fields(),
        );
        changes
    }

    fn contract_fields(&self) -> Vec<Field> {
        vec![
            field("customer", &self.customer),
            field("weigh", self.preference.to_string()),
        ]
    }

    fn limit_fields(&self) -> Vec<Field> {
        vec![
            field("retries", format!("{}%", self.limits.retry_percent)),
            field("hedges", format!("{}%", self.limits.hedge_percent)),
            field("drain", format_time(self.limits.drain)),
        ]
    }
}

/// A key and its value, formatted with its unit.
struct Field {
    key: &'static str,
    value: String,
}

fn field(key: &'static str, value: impl Into<String>) -> Field {
    let value = value.into();
    Field { key, value }
}

fn class_fields(terms: &ClassTerms) -> Vec<Field> {
    let staleness = terms.staleness_versions.map(format_versions);
    vec![
        field("kind", terms.kind.to_string()),
        field("share", format!("{}%", terms.share_percent)),
        field("priority", terms.priority.to_string()),
        field("latency-bound", format_time(terms.latency_bound)),
        field("deadline", format_time(terms.deadline)),
        field("staleness", staleness.unwrap_or(NOT_SET.to_owned())),
    ]
}

fn service_fields(terms: &ServiceTerms) -> Vec<Field> {
    vec![
        field("class", &terms.class),
        field("idempotent", format_yes_no(terms.idempotent)),
    ]
}

fn compare(changes: &mut Vec<ContractChange>, section: &str, from: Vec<Field>, to: Vec<Field>) {
    for (from, to) in from.into_iter().zip(to) {
        if from.value != to.value {
            changes.push(ContractChange::Changed {
                section: section.to_owned(),
                key: from.key.to_owned(),
                from: from.value,
                to: to.value,
            });
        }
    }
}

fn compare_all<T>(
    changes: &mut Vec<ContractChange>,
    kind: &str,
    from: &IndexMap<String, T>,
    to: &IndexMap<String, T>,
    fields: impl Fn(&T) -> Vec<Field>,
) {
    for (name, earlier) in from {
        let section = format!("{kind} {name}");
        match to.get(name) {
            Some(later) => compare(changes, &section, fields(earlier), fields(later)),
            None => changes.push(ContractChange::Removed { section }),
        }
    }
    for name in to.keys().filter(|name| !from.contains_key(*name)) {
        let section = format!("{kind} {name}");
        changes.push(ContractChange::Added { section });
    }
}
