//! Contract files: parsing, formatting, differences and the messages of all errors.

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use oleanderlock::class_terms::ClassTerms;
use oleanderlock::contract::Contract;
use oleanderlock::contract_change::ContractChange;
use oleanderlock::limits::Limits;
use oleanderlock::prelude::*;
use oleanderlock::service_terms::ServiceTerms;
use oleanderlock::trainer_preference::TrainerPreference;

const KALAHARI: &str = include_str!("../../../contracts/kalahari.ini");
const SIAM_ASCEND: &str = include_str!("../../../contracts/siam-ascend.ini");
const SEEDS: std::ops::Range<u64> = 1..301;

fn errors(text: &str) -> Vec<String> {
    let errors = Contract::parse(text).expect_err("the contract has errors");
    errors.iter().map(ToString::to_string).collect()
}

/// Errors of the Kalahari contract with one text in place of another.
fn errors_with(from: &str, to: &str) -> Vec<String> {
    assert!(KALAHARI.contains(from), "{from}");
    errors(&KALAHARI.replacen(from, to, 1))
}

#[test]
fn shipped_contracts_parse_to_their_values() {
    let kalahari = Contract::parse(KALAHARI).unwrap();
    assert_eq!(kalahari.preference, TrainerPreference::Idle);
    assert_eq!(kalahari.classes["order-desk"].latency_bound, Millis(800));
    assert_eq!(
        kalahari.classes["advisor"].deadline,
        Millis::from_secs(31 * 60)
    );
    assert_eq!(kalahari.classes["advisor"].staleness_versions, Some(2));
    assert!(!kalahari.services["quote"].idempotent);
    assert!(kalahari.services["availability"].idempotent);
    let siam = Contract::parse(SIAM_ASCEND).unwrap();
    assert_eq!(siam.preference, TrainerPreference::Staleness);
    assert!(!siam.services["dispatch"].idempotent);
    for contract in [kalahari, siam] {
        let text = contract.to_ini();
        assert_eq!(Contract::parse(&text).unwrap(), contract, "{text}");
        assert_eq!(Contract::parse(&text).unwrap().to_ini(), text);
    }
}

#[test]
fn each_error_names_line_key_and_valid_values() {
    let cases = [
        (
            "800ms",
            "800",
            "line 11: [class order-desk] latency-bound: `800` has no unit; valid units: ms, s, min, h, for example 250ms",
        ),
        (
            "800ms",
            "800 parsecs",
            "line 11: [class order-desk] latency-bound: `800 parsecs` has unknown unit `parsecs`; valid units: ms, s, min, h, for example 250ms",
        ),
        (
            "800ms",
            "11s",
            "line 11: [class order-desk] latency-bound: the latency bound 11s exceeds the deadline 10s of the class",
        ),
        (
            "800ms",
            "0ms",
            "line 11: [class order-desk] latency-bound: must not be zero; the least valid value is 1ms",
        ),
        (
            "800ms",
            "fast",
            "line 11: [class order-desk] latency-bound: `fast` must be a whole number with a time unit",
        ),
        (
            "800ms",
            "99999999999999999999h",
            "line 11: [class order-desk] latency-bound: `99999999999999999999h` is too large; at most 168h",
        ),
        (
            "60%",
            "61%",
            "line 16: [class advisor] share: the shares of all classes sum up to 101%; at most 100%",
        ),
        (
            "60%",
            "0%",
            "line 16: [class advisor] share: must not be zero; the least valid value is 1%",
        ),
        (
            "60%",
            "101%",
            "line 16: [class advisor] share: `101%` is too large; at most 100%",
        ),
        (
            "2 versions",
            "2",
            "line 20: [class advisor] staleness: `2` has no unit; valid units: versions, for example 2 versions",
        ),
        (
            "staleness = 2 versions\n",
            "",
            "line 14: [class advisor] staleness: a class of kind samples needs a staleness bound, for example `staleness = 2 versions`",
        ),
        (
            "deadline = 10s",
            "deadline = 10s\nstaleness = 1 version",
            "line 13: [class order-desk] staleness: a staleness bound is valid for kind samples only",
        ),
        (
            "kind = samples",
            "kind = batch",
            "line 15: [class advisor] kind: `batch` must be one of: interactive, samples",
        ),
        (
            "weigh = idle",
            "weigh = cost",
            "line 5: [contract] weigh: `cost` must be one of: idle, staleness",
        ),
        (
            "customer = kalahari",
            "customer = a b",
            "line 3: [contract] customer: `a b` must be 1 to 64 of the characters a-z A-Z 0-9 - _ .",
        ),
        (
            "customer = kalahari\n",
            "",
            "line 2: [contract] customer: the key is missing",
        ),
        (
            "priority = 100",
            "prioritee = 100",
            "line 10: [class order-desk] prioritee: unknown key; valid keys: kind, share, priority, latency-bound, deadline, staleness",
        ),
        (
            "priority = 10\n",
            "priority = 10\npriority = 11\n",
            "line 18: [class advisor] priority: duplicate key; the first is in line 17",
        ),
        (
            "[limits]",
            "[limit]",
            "line 30: [limit]: unknown section; valid sections: [contract], [class NAME], [service NAME], [limits]",
        ),
        (
            "[limits]",
            "[class advisor]",
            "line 30: [class advisor]: duplicate section; the first is in line 14",
        ),
        (
            "[limits]",
            "[class  advisor]",
            "line 30: [advisor]: duplicate section; the first is in line 14",
        ),
        (
            "class = order-desk",
            "class = nobody",
            "line 23: [service quote] class: unknown class `nobody`; valid classes: order-desk",
        ),
        (
            "class = order-desk",
            "class = advisor",
            "line 23: [service quote] class: class `advisor` is of kind samples, but a service needs an interactive class; valid classes: order-desk",
        ),
        (
            "idempotent = no",
            "idempotent = maybe",
            "line 24: [service quote] idempotent: `maybe` must be one of: yes, no",
        ),
        (
            "drain = 30s",
            "drain = 9s",
            "line 12: [class order-desk] deadline: the deadline 10s of class `order-desk` exceeds the drain 9s in [limits]",
        ),
        (
            "[contract]",
            "colour = red\n[contract]",
            "line 2: colour: the key is outside of a section; valid sections: [contract], [class NAME], [service NAME], [limits]",
        ),
    ];
    for (from, to, expected) in cases {
        let seen = errors_with(from, to);
        assert!(
            seen.iter().any(|error| error == expected),
            "{to}: {seen:#?}"
        );
    }
}

#[test]
fn all_errors_are_reported_at_once_ordered_by_line() {
    let text = KALAHARI
        .replace("weigh = idle", "weigh = cost")
        .replace("800ms", "800")
        .replace("retries = 10%", "retries = ten");
    let seen = errors(&text);
    let lines: Vec<&str> = seen.iter().map(|error| &error[..8]).collect();
    assert_eq!(lines, ["line 5: ", "line 11:", "line 31:"], "{seen:#?}");
}

#[test]
fn invalid_text_is_rejected() {
    assert!(errors("")[0].contains("[contract]: the section is missing"));
    assert!(errors("[contract")[0].contains("can't be read as INI"));
    let long = "; x\n".repeat(20_000);
    assert_eq!(
        errors(&long),
        ["line 1: the file has 80000 bytes; at most 65536 are allowed"]
    );
    let many: String = (0..70).map(|index| format!("[class c{index}]\n")).collect();
    let too_many = errors(&many);
    assert!(too_many.iter().any(|error| error.contains("at most 64")));
}

/// The JSON of a contract is part of the operators' API.
#[test]
fn json_keys_of_a_contract_are_stable() {
    let contract = Contract::parse(KALAHARI).unwrap();
    let json = serde_json::to_value(&contract).unwrap();
    let mut keys: Vec<&String> = json.as_object().unwrap().keys().collect();
    keys.sort();
    assert_eq!(keys, ["classes", "customer", "limits", "services", "weigh"]);
    assert_eq!(json["weigh"], "idle");
    assert_eq!(serde_json::from_value::<Contract>(json).unwrap(), contract);
}

#[test]
fn diff_names_section_key_and_both_values() {
    let from = Contract::parse(KALAHARI).unwrap();
    assert!(from.diff(&from.clone()).is_empty());
    let mut to = from.clone();
    to.classes["advisor"].staleness_versions = Some(1);
    to.services.shift_remove("quote");
    to.limits.drain = Millis::from_secs(60);
    let service = to.services["availability"].clone();
    to.services.insert("stock".to_owned(), service);
    let lines: Vec<String> = from.diff(&to).iter().map(ToString::to_string).collect();
    let expected = [
        "[class advisor] staleness: 2 versions -> 1 version",
        "[service quote] removed",
        "[service stock] added",
        "[limits] drain: 30s -> 1min",
    ];
    assert_eq!(lines, expected);
    assert!(matches!(from.diff(&to)[1], ContractChange::Removed { .. }));
}

fn arbitrary_class(u: &mut Unstructured<'_>, share: u32) -> arbitrary::Result<ClassTerms> {
    let kind = *u.choose(&[WorkKind::Interactive, WorkKind::Samples])?;
    let deadline = u.int_in_range(1..=3_600_000)?;
    let versions = u.int_in_range(0..=1000)?;
    Ok(ClassTerms {
        kind,
        share_percent: share,
        priority: u.int_in_range(0..=1_000_000)?,
        latency_bound: Millis(u.int_in_range(1..=deadline)?),
        deadline: Millis(deadline),
        staleness_versions: (kind == WorkKind::Samples).then_some(versions),
    })
}

fn arbitrary_contract(u: &mut Unstructured<'_>) -> arbitrary::Result<Contract> {
    let mut contract = Contract {
        customer: format!("c-{}", u.int_in_range(0..=99)?),
        preference: *u.choose(&[TrainerPreference::Idle, TrainerPreference::Staleness])?,
        classes: Default::default(),
        services: Default::default(),
        limits: Limits {
            retry_percent: u.int_in_range(0..=100)?,
            hedge_percent: u.int_in_range(0..=100)?,
            drain: Millis(u.int_in_range(3_600_000..=7_200_000)?),
        },
    };
    for index in 0..u.int_in_range(1..=5)? {
        let share = u.int_in_range(1..=20)?;
        let terms = arbitrary_class(u, share)?;
        if terms.kind == WorkKind::Interactive {
            let idempotent = u.arbitrary()?;
            let class = format!("class_{index}");
            let service = ServiceTerms { class, idempotent };
            contract.services.insert(format!("s.{index}"), service);
        }
        contract.classes.insert(format!("class_{index}"), terms);
    }
    Ok(contract)
}

#[test]
fn any_contract_survives_a_round_trip() {
    for seed in SEEDS {
        arbtest(|u| {
            let contract = arbitrary_contract(u)?;
            let text = contract.to_ini();
            assert_eq!(Contract::parse(&text).as_ref(), Ok(&contract), "{text}");
            Ok(())
        })
        .seed(seed << 32 | 4096)
        .run();
    }
}

/// Splices lines of contracts with arbitrary text, so that many inputs are almost valid.
fn arbitrary_text(u: &mut Unstructured<'_>) -> arbitrary::Result<String> {
    let pieces: Vec<&str> = KALAHARI.lines().chain(SIAM_ASCEND.lines()).collect();
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=40)? {
        match u.int_in_range(0..=4)? {
            0 => text.push_str(&u.arbitrary::<String>()?),
            1 => text.push(*u.choose(&['=', '[', ']', '%', '\\', '"', '\r', '\u{0}'])?),
            _ => text.push_str(u.choose(&pieces)?),
        }
        if u.ratio(4, 5)? {
            text.push('\n');
        }
    }
    Ok(text)
}

#[test]
fn any_text_parses_or_fails_without_a_panic() {
    for seed in SEEDS {
        arbtest(|u| {
            let text = arbitrary_text(u)?;
            match Contract::parse(&text) {
                Ok(contract) => assert_eq!(Contract::parse(&contract.to_ini()), Ok(contract)),
                Err(errors) => assert!(!errors.is_empty()),
            }
            Ok(())
        })
        .seed(seed << 32 | 4096)
        .run();
    }
}
