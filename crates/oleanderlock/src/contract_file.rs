//! Parses and formats contracts as INI files.

use crate::contract::Contract;
use crate::contract_check::check;
use crate::contract_draft::ContractDraft;
use crate::contract_error::ContractError;
use crate::contract_error_kind::ContractErrorKind;
use crate::ini_lines::IniLines;
use crate::units::*;
use ini::{EscapePolicy, Ini, LineSeparator, ParseOption, WriteOption};

/// Largest contract file in bytes.
pub const MAX_CONTRACT_BYTES: usize = 64 * 1024;

impl Contract {
    /// Parses a contract file and checks that its bounds can be met.
    ///
    /// # Errors
    ///
    /// All errors of the file, ordered by line; only the first if it is too large or not INI.
    pub fn parse(text: &str) -> Result<Self, Vec<ContractError>> {
        if text.len() > MAX_CONTRACT_BYTES {
            let (bytes, max_bytes) = (text.len(), MAX_CONTRACT_BYTES);
            return Err(vec![whole_file(
                1,
                ContractErrorKind::TextTooLarge { bytes, max_bytes },
            )]);
        }
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|e| {
            let reason = e.msg.into_owned();
            vec![whole_file(e.line + 1, ContractErrorKind::Syntax { reason })]
        })?;
        let mut draft = ContractDraft::parse(&ini, &IniLines::parse(text));
        check(&mut draft);
        draft.finish()
    }

    /// Formats the contract as its canonical INI text, which parses to the same contract.
    pub fn to_ini(&self) -> String {
        let mut ini = Ini::new();
        ini.with_section(Some("contract"))
            .set("customer", &self.customer)
            .set("weigh", self.preference.to_string());
        for (name, terms) in &self.classes {
            let mut section = ini.with_section(Some(format!("class {name}")));
            section
                .set("kind", terms.kind.to_string())
                .set("share", format!("{}%", terms.share_percent))
                .set("priority", terms.priority.to_string())
                .set("latency-bound", format_time(terms.latency_bound))
                .set("deadline", format_time(terms.deadline));
            if let Some(versions) = terms.staleness_versions {
                section.set("staleness", format_versions(versions));
            }
        }
        for (name, terms) in &self.services {
            ini.with_section(Some(format!("service {name}")))
                .set("class", &terms.class)
                .set("idempotent", format_yes_no(terms.idempotent));
        }
        ini.with_section(Some("limits"))
            .set("retries", format!("{}%", self.limits.retry_percent))
            .set("hedges", format!("{}%", self.limits.hedge_percent))
            .set("drain", format_time(self.limits.drain));
        format_ini(&ini)
    }
}

fn format_ini(ini: &Ini) -> String {
    let option = WriteOption {
        escape_policy: EscapePolicy::Nothing,
        line_separator: LineSeparator::CR,
        kv_separator: " = ",
    };
    let mut buf = Vec::new();
    ini.write_to_opt(&mut buf, option)
        .expect("writing to memory can't fail");
    String::from_utf8(buf).expect("the INI writer keeps UTF-8 text")
}

fn whole_file(line: usize, kind: ContractErrorKind) -> ContractError {
    ContractError {
        line,
        section: String::new(),
        key: String::new(),
        kind,
    }
}
