//! Program `standin-log`; see `medlarreel_standin::command::run_log`.

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    medlarreel_standin::command::run_log(std::env::args().skip(1).collect()).await
}
