//! Command-line entry point of the slope benchmarks.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match medlar_load::slopes::main(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlar-slopes: {error}");
            ExitCode::from(2)
        }
    }
}
