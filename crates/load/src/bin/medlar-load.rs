//! Command-line entry point of the open-loop HTTP/1.1 load generator.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match medlar_load::generator::main(&args) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("medlar-load: {error}");
            ExitCode::from(2)
        }
    }
}
