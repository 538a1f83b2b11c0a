//! Command-line client for operators of medlarreel; see `medlarctl --help`.

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let output = medlarreel::ctl::run(&args);
    // Write errors such as a closed pipe are ignored: nobody reads the output any more.
    let _ = std::io::stdout().write_all(output.stdout.as_bytes());
    let _ = std::io::stderr().write_all(output.stderr.as_bytes());
    ExitCode::from(output.exit_code as u8)
}
