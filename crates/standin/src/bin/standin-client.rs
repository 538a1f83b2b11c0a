//! Program `standin-client`; see `medlarreel_standin::command::run_client`.

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<std::process::ExitCode> {
    medlarreel_standin::command::run_client(std::env::args().skip(1).collect()).await
}
