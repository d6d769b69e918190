//! Replay of processes that choose endpoints by the even choice and by other rules: how evenly slots
//! are occupied, how long calls wait for one, and how many connections are opened.

mod even_support;

use even_support::case::Case;
use even_support::figures::Figures;
use even_support::replay::Replay;
use even_support::rule::Rule;

fn print(name: &str, rule: Rule, it: &Figures) {
    println!(
        "{name:24} {:12} spread {:.2} wait p99 {:6.2} mean {:5.2} ms busiest {:.2} refused {:5.1} \
         own {:.2} opened {:5.1} open {:4} gave up {:.2} first {:.2}",
        format!("{rule:?}"),
        it.spread,
        it.wait_p99_ms,
        it.wait_mean_ms,
        it.busiest,
        it.refused,
        it.own_domain,
        it.opened,
        it.open_max,
        it.gave_up,
        it.to_first
    );
}

const RULES: [Rule; 5] = [
    Rule::Random,
    Rule::LeastReport,
    Rule::TwoRandom,
    Rule::Current,
    Rule::Even,
];

#[test]
fn trial() {
    for rule in [Rule::Current, Rule::Even] {
        print(
            "typical",
            rule,
            &Replay::run(
                Case {
                    seconds: 120,
                    ..Case::typical(1)
                },
                rule,
            ),
        );
        print(
            "typical",
            rule,
            &Replay::run(
                Case {
                    seconds: 120,
                    ..Case::typical(3)
                },
                rule,
            ),
        );
        for slow in [2.0, 4.0, 8.0] {
            let case = Case {
                first_slow: slow,
                slowdowns: false,
                ..Case::typical(2)
            };
            print("typical slow", rule, &Replay::run(case, rule));
        }
    }
    let rule = Rule::Even;
    for choosers in [3, 10, 30, 100] {
        for knowledge in [20_000] {
            let name = format!("{choosers} choosers {knowledge}");
            print(
                &name,
                rule,
                &Replay::run(Case::choosers(choosers, knowledge, 1), rule),
            );
        }
    }
}
