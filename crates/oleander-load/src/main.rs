//! The load and experiment tool.

use bpaf::Bpaf;
use oleander_load::experiment::Experiment;
use oleander_load::report::{PolicyReport, keep, print_ratios, print_results};
use oleander_load::run::RunResult;
use oleander_load::{experiment_file, measure, plot, process, run};
use oleanderlock::policy::Policy;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// Runs experiments on real daemons over loopback
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Policy to run; may be given several times, the first is compared with the others
    #[bpaf(argument("POLICY"), many)]
    policy: Vec<Policy>,
    /// Rounds in which the policies alternate
    #[bpaf(argument("COUNT"), fallback(1))]
    rounds: u32,
    /// Folder of results and plots
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("bench-out")))]
    out: PathBuf,
    /// Experiment files
    #[bpaf(positional("FILE"), some("at least one experiment file expected"))]
    experiments: Vec<PathBuf>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options().run();
    process::end_children_on_stop()?;
    for path in &options.experiments {
        let experiment = experiment_file::read(path)
            .map_err(|faults| format!("{}:\n{faults}", path.display()))?;
        run_experiment(&options, &experiment)?;
    }
    Ok(())
}

fn run_experiment(options: &Options, experiment: &Experiment) -> Result<(), Box<dyn Error>> {
    let policies = match options.policy.as_slice() {
        [] => &[Policy::Product],
        policies => policies,
    };
    for round in 0..options.rounds {
        let mut results = Vec::new();
        let mut reports = Vec::new();
        for policy in policies {
            let result = smol::block_on(run::run(experiment, *policy))?;
            reports.push(report(&options.out, experiment, &result, round)?);
            results.push(result);
        }
        let [first, others @ ..] = reports.as_slice() else {
            continue;
        };
        for other in others {
            print_ratios(&mut io::stdout(), first, other)?;
        }
        let plot = options.out.join(format!("{}-{round}.svg", experiment.name));
        plot::plot(&plot, experiment, &results)?;
    }
    Ok(())
}

fn report(
    out: &Path,
    experiment: &Experiment,
    result: &RunResult,
    round: u32,
) -> Result<PolicyReport, Box<dyn Error>> {
    let report = PolicyReport {
        experiment: experiment.name.clone(),
        policy: result.policy,
        round,
        measures: measure::measure(experiment, result),
    };
    print_results(&mut io::stdout(), &report)?;
    keep(out, &report)?;
    Ok(report)
}
