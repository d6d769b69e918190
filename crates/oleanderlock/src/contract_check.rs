//! Checks that the bounds of a contract can be met.

use crate::class_terms::ClassTerms;
use crate::contract_draft::{ContractDraft, Read};
use crate::contract_error::{ContractError, ContractErrorKind};
use crate::contract_section::ContractSection;
use crate::prelude::*;
use indexmap::IndexMap;

/// Adds an error to the draft for everything that is missing or that can't be met.
pub(crate) fn check(draft: &mut ContractDraft) {
    check_sections(draft);
    for read in draft.classes.values_mut() {
        check_class(read);
    }
    check_share_sum(&mut draft.classes);
    check_services(draft);
    check_drain(draft);
}

fn check_sections(draft: &mut ContractDraft) {
    let missing = |section: &str| ContractError {
        line: 1,
        section: section.to_owned(),
        key: String::new(),
        kind: ContractErrorKind::MissingSection,
    };
    if draft.head.is_none() {
        draft.errors.push(missing("contract"));
    }
    if draft.classes.is_empty() {
        draft.errors.push(missing("class NAME"));
    }
}

fn check_class(read: &mut Read<ClassTerms>) {
    let Some(terms) = &read.terms else {
        return;
    };
    let section = &mut read.section;
    if terms.share_percent == 0 {
        section.report_at("share", ContractErrorKind::Zero { least: "1%" });
    }
    for (key, length) in [
        ("latency-bound", terms.latency_bound),
        ("deadline", terms.deadline),
    ] {
        if length == Millis::ZERO {
            section.report_at(key, ContractErrorKind::Zero { least: "1ms" });
        }
    }
    if terms.latency_bound > terms.deadline {
        let bound = terms.latency_bound;
        let deadline = terms.deadline;
        let kind = ContractErrorKind::BoundAboveDeadline { bound, deadline };
        section.report_at("latency-bound", kind);
    }
    check_staleness(terms, section);
}

fn check_staleness(terms: &ClassTerms, section: &mut ContractSection) {
    // A staleness that stands but can't be read was reported as such.
    let stands = section.line_of("staleness") != section.line_of("");
    match terms.kind {
        WorkKind::Samples if !stands => {
            section.report_at("staleness", ContractErrorKind::SamplesWithoutStaleness);
        }
        WorkKind::Interactive if stands => {
            section.report_at("staleness", ContractErrorKind::StalenessOfInteractive);
        }
        _ => {}
    }
}

fn check_share_sum(classes: &mut IndexMap<String, Read<ClassTerms>>) {
    let shares = classes.values().filter_map(|read| read.terms.as_ref());
    let sum_percent = shares.map(|terms| u64::from(terms.share_percent)).sum();
    if sum_percent <= 100 {
        return;
    }
    let mut readable = classes.values_mut().filter(|read| read.terms.is_some());
    if let Some(last) = readable.next_back() {
        let kind = ContractErrorKind::ShareSum { sum_percent };
        last.section.report_at("share", kind);
    }
}

fn check_services(draft: &mut ContractDraft) {
    let is_interactive = |read: &Read<ClassTerms>| match &read.terms {
        Some(terms) => terms.kind == WorkKind::Interactive,
        None => false,
    };
    let valid: Vec<&str> = draft
        .classes
        .iter()
        .filter(|(_, read)| is_interactive(read))
        .map(|(name, _)| name.as_str())
        .collect();
    let valid = valid.join(", ");
    for read in draft.services.values_mut() {
        let Some(terms) = &read.terms else {
            continue;
        };
        let class = terms.class.clone();
        let valid = valid.clone();
        match draft.classes.get(&class) {
            None => {
                let kind = ContractErrorKind::UnknownClass { class, valid };
                read.section.report_at("class", kind);
            }
            Some(named) if named.terms.is_some() && !is_interactive(named) => {
                let kind = ContractErrorKind::ServiceOfSamples { class, valid };
                read.section.report_at("class", kind);
            }
            Some(_) => {}
        }
    }
}

/// Interactive requests run to their end during a graceful shutdown, so it must be as long as the
/// longest of their deadlines; samples move to another engine.
fn check_drain(draft: &mut ContractDraft) {
    let terms = draft.limits.as_ref().and_then(|read| read.terms.clone());
    let drain = terms.unwrap_or_default().drain;
    for (class, read) in &mut draft.classes {
        let Some(terms) = &read.terms else {
            continue;
        };
        if terms.kind == WorkKind::Samples || terms.deadline <= drain {
            continue;
        }
        let kind = ContractErrorKind::DrainBelowDeadline {
            drain,
            deadline: terms.deadline,
            class: class.clone(),
        };
        read.section.report_at("deadline", kind);
    }
}
