//! Checks a contract for missing sections and for bounds that can't be met.

use crate::class_terms::ClassTerms;
use crate::contract_draft::ContractDraft;
use crate::contract_error::ContractError;
use crate::contract_error_kind::ContractErrorKind;
use crate::contract_section::ContractSection;
use crate::parsed_section::ParsedSection;
use crate::prelude::*;
use indexmap::IndexMap;

/// Adds an error to the draft for each section that is missing and each bound that can't be met.
pub(crate) fn check(draft: &mut ContractDraft) {
    check_sections(draft);
    for parsed in draft.classes.values_mut() {
        check_class(parsed);
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
    if draft.contract.is_none() {
        draft.errors.push(missing("contract"));
    }
    if draft.classes.is_empty() {
        draft.errors.push(missing("class NAME"));
    }
}

fn check_class(parsed: &mut ParsedSection<ClassTerms>) {
    let Some(terms) = &parsed.terms else {
        return;
    };
    let section = &mut parsed.section;
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
    // A staleness that is set but malformed has been reported already.
    let is_set = section.line_of("staleness") != section.line_of("");
    match terms.kind {
        WorkKind::Samples if !is_set => {
            section.report_at("staleness", ContractErrorKind::SamplesWithoutStaleness);
        }
        WorkKind::Interactive if is_set => {
            section.report_at("staleness", ContractErrorKind::StalenessOfInteractive);
        }
        _ => {}
    }
}

fn check_share_sum(classes: &mut IndexMap<String, ParsedSection<ClassTerms>>) {
    let shares = classes.values().filter_map(|parsed| parsed.terms.as_ref());
    let sum_percent = shares.map(|terms| u64::from(terms.share_percent)).sum();
    if sum_percent <= 100 {
        return;
    }
    let mut readable = classes.values_mut().filter(|parsed| parsed.terms.is_some());
    if let Some(last) = readable.next_back() {
        let kind = ContractErrorKind::ShareSum { sum_percent };
        last.section.report_at("share", kind);
    }
}

fn check_services(draft: &mut ContractDraft) {
    let is_interactive = |parsed: &ParsedSection<ClassTerms>| match &parsed.terms {
        Some(terms) => terms.kind == WorkKind::Interactive,
        None => false,
    };
    let valid: Vec<&str> = draft
        .classes
        .iter()
        .filter(|(_, parsed)| is_interactive(parsed))
        .map(|(name, _)| name.as_str())
        .collect();
    let valid = valid.join(", ");
    for parsed in draft.services.values_mut() {
        let Some(terms) = &parsed.terms else {
            continue;
        };
        let class = terms.class.clone();
        let valid = valid.clone();
        match draft.classes.get(&class) {
            None => {
                let kind = ContractErrorKind::UnknownClass { class, valid };
                parsed.section.report_at("class", kind);
            }
            Some(named) if named.terms.is_some() && !is_interactive(named) => {
                let kind = ContractErrorKind::ServiceOfSamples { class, valid };
                parsed.section.report_at("class", kind);
            }
            Some(_) => {}
        }
    }
}

/// Checks that a drain lasts at least as long as the longest deadline of interactive requests,
/// which run to their end during a graceful shutdown. Samples move to another engine instead.
fn check_drain(draft: &mut ContractDraft) {
    let terms = draft
        .limits
        .as_ref()
        .and_then(|parsed| parsed.terms.clone());
    let drain = terms.unwrap_or_default().drain;
    for (class, parsed) in &mut draft.classes {
        let Some(terms) = &parsed.terms else {
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
        parsed.section.report_at("deadline", kind);
    }
}
