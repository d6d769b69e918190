//! The sections of a contract file, parsed one by one before they are checked together.

use crate::class_terms::ClassTerms;
use crate::contract::Contract;
use crate::contract_error::ContractError;
use crate::contract_error_kind::ContractErrorKind;
use crate::contract_section::ContractSection;
use crate::ini_lines::IniLines;
use crate::limits::Limits;
use crate::parsed_section::ParsedSection;
use crate::service_terms::ServiceTerms;
use crate::units::*;
use indexmap::IndexMap;
use ini::{Ini, Properties};

/// Most classes, and most services, in one contract.
const MAX_SECTIONS: usize = 64;
/// Valid sections of a contract, for error messages.
const VALID_SECTIONS: &str = "[contract], [class NAME], [service NAME], [limits]";

const CONTRACT_KEYS: [&str; 2] = ["customer", "weigh"];
const CLASS_KEYS: [&str; 6] = [
    "kind",
    "share",
    "priority",
    "latency-bound",
    "deadline",
    "staleness",
];
const SERVICE_KEYS: [&str; 2] = ["class", "idempotent"];
const LIMITS_KEYS: [&str; 3] = ["retries", "hedges", "drain"];

/// All sections of a contract file, and the errors outside of valid sections.
#[derive(Debug)]
pub(crate) struct ContractDraft {
    pub(crate) contract: Option<ParsedSection<Contract>>,
    pub(crate) classes: IndexMap<String, ParsedSection<ClassTerms>>,
    pub(crate) services: IndexMap<String, ParsedSection<ServiceTerms>>,
    pub(crate) limits: Option<ParsedSection<Limits>>,
    pub(crate) errors: Vec<ContractError>,
}

impl ContractDraft {
    /// Parses all sections.
    pub(crate) fn parse(ini: &Ini, lines: &IniLines) -> Self {
        let mut draft = Self {
            contract: None,
            classes: IndexMap::new(),
            services: IndexMap::new(),
            limits: None,
            errors: Vec::new(),
        };
        let mut seen = IndexMap::<&str, usize>::new();
        for (name, properties) in ini.iter() {
            let Some(name) = name else {
                draft.report_keys_outside(properties, lines);
                continue;
            };
            let nth = seen.entry(name).or_default();
            if *nth > 0 {
                let first_line = lines.line(name, "", 0);
                let line = lines.line(name, "", *nth);
                draft.report(
                    line,
                    name,
                    ContractErrorKind::DuplicateSection { first_line },
                );
            } else {
                draft.parse_section(name, properties, lines);
            }
            *nth += 1;
        }
        draft
    }

    fn report(&mut self, line: usize, section: &str, kind: ContractErrorKind) {
        self.errors.push(ContractError {
            line,
            section: section.to_owned(),
            key: String::new(),
            kind,
        });
    }

    fn report_keys_outside(&mut self, properties: &Properties, lines: &IniLines) {
        for (key, _) in properties.iter() {
            self.errors.push(ContractError {
                line: lines.line("", key, 0),
                section: String::new(),
                key: key.to_owned(),
                kind: ContractErrorKind::OutsideSection {
                    valid: VALID_SECTIONS,
                },
            });
        }
    }

    fn parse_section(&mut self, name: &str, properties: &Properties, lines: &IniLines) {
        let open = |valid: &[&str]| ContractSection::open(name, 0, properties, lines, valid);
        let line = lines.line(name, "", 0);
        let mut words = name.split_whitespace();
        match (words.next(), words.next(), words.next()) {
            (Some("contract"), None, _) => {
                self.contract = Some(parse_contract(open(&CONTRACT_KEYS)))
            }
            (Some("limits"), None, _) => self.limits = Some(parse_limits(open(&LIMITS_KEYS))),
            (Some("class"), Some(class), None) if self.classes.len() < MAX_SECTIONS => {
                let parsed = parse_class(class, open(&CLASS_KEYS));
                insert_new(&mut self.classes, class, parsed, &mut self.errors, line);
            }
            (Some("service"), Some(service), None) if self.services.len() < MAX_SECTIONS => {
                let parsed = parse_service(service, open(&SERVICE_KEYS));
                insert_new(&mut self.services, service, parsed, &mut self.errors, line);
            }
            (Some("class" | "service"), Some(_), None) => {
                self.report(
                    line,
                    name,
                    ContractErrorKind::TooManySections { max: MAX_SECTIONS },
                );
            }
            _ => {
                let valid = VALID_SECTIONS;
                self.report(line, name, ContractErrorKind::UnknownSection { valid });
            }
        }
    }

    /// Returns the contract.
    ///
    /// # Errors
    ///
    /// All errors of the file, ordered by line.
    pub(crate) fn finish(self) -> Result<Contract, Vec<ContractError>> {
        let mut errors = self.errors;
        let contract = collect(self.contract, &mut errors);
        let limits = collect(self.limits, &mut errors);
        let classes = collect_all(self.classes, &mut errors);
        let services = collect_all(self.services, &mut errors);
        errors.sort_by_key(|error| error.line);
        match contract {
            Some(contract) if errors.is_empty() => Ok(Contract {
                classes,
                services,
                limits: limits.unwrap_or_default(),
                ..contract
            }),
            _ => Err(errors),
        }
    }
}

/// Inserts a section unless it is a duplicate whose header has other whitespace.
fn insert_new<T>(
    sections: &mut IndexMap<String, ParsedSection<T>>,
    name: &str,
    parsed: ParsedSection<T>,
    errors: &mut Vec<ContractError>,
    line: usize,
) {
    if let Some(first) = sections.get(name) {
        let first_line = first.section.line_of("");
        errors.push(ContractError {
            line,
            section: name.to_owned(),
            key: String::new(),
            kind: ContractErrorKind::DuplicateSection { first_line },
        });
        return;
    }
    sections.insert(name.to_owned(), parsed);
}

fn collect<T>(parsed: Option<ParsedSection<T>>, errors: &mut Vec<ContractError>) -> Option<T> {
    let parsed = parsed?;
    errors.extend(parsed.section.into_errors());
    parsed.terms
}

fn collect_all<T>(
    sections: IndexMap<String, ParsedSection<T>>,
    errors: &mut Vec<ContractError>,
) -> IndexMap<String, T> {
    let mut all = IndexMap::new();
    for (name, parsed) in sections {
        if let Some(terms) = collect(Some(parsed), errors) {
            all.insert(name, terms);
        }
    }
    all
}

fn parse_contract(mut section: ContractSection) -> ParsedSection<Contract> {
    let customer = section.required("customer", parse_name);
    let preference = section.required("weigh", parse_variant);
    let terms = customer
        .zip(preference)
        .map(|(customer, preference)| Contract {
            customer,
            preference,
            classes: IndexMap::new(),
            services: IndexMap::new(),
            limits: Limits::default(),
        });
    ParsedSection { section, terms }
}

fn parse_class(name: &str, mut section: ContractSection) -> ParsedSection<ClassTerms> {
    report_bad_name(name, &mut section);
    let kind = section.required("kind", parse_variant);
    let share = section.required("share", parse_percent);
    let priority = section.required("priority", parse_number);
    let bound = section.required("latency-bound", parse_time);
    let deadline = section.required("deadline", parse_time);
    let staleness_versions = section.optional("staleness", parse_versions);
    let terms = || {
        Some(ClassTerms {
            kind: kind?,
            share_percent: share?,
            priority: priority?,
            latency_bound: bound?,
            deadline: deadline?,
            staleness_versions,
        })
    };
    let terms = terms();
    ParsedSection { section, terms }
}

fn parse_service(name: &str, mut section: ContractSection) -> ParsedSection<ServiceTerms> {
    report_bad_name(name, &mut section);
    let class = section.required("class", parse_name);
    let idempotent = section.required("idempotent", parse_yes_no);
    let terms = class
        .zip(idempotent)
        .map(|(class, idempotent)| ServiceTerms { class, idempotent });
    ParsedSection { section, terms }
}

fn parse_limits(mut section: ContractSection) -> ParsedSection<Limits> {
    let default = Limits::default();
    let retries = section.optional("retries", parse_percent);
    let hedges = section.optional("hedges", parse_percent);
    let drain = section.optional("drain", parse_time);
    let terms = Some(Limits {
        retry_percent: retries.unwrap_or(default.retry_percent),
        hedge_percent: hedges.unwrap_or(default.hedge_percent),
        drain: drain.unwrap_or(default.drain),
    });
    ParsedSection { section, terms }
}

fn report_bad_name(name: &str, section: &mut ContractSection) {
    if let Err(reason) = parse_name(name) {
        let value = name.to_owned();
        section.report_at("", ContractErrorKind::Value { value, reason });
    }
}
