//! Runs the demo on loopback.

use oleander_load::demo;
use std::process::ExitCode;

fn main() -> ExitCode {
    match smol::block_on(demo::run()) {
        Ok(report) if report.print() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("oleander-demo: {fault}");
            ExitCode::FAILURE
        }
    }
}
