//! Program `standin-upstream`; see `medlarreel_standin::command::run_upstream`.

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    medlarreel_standin::command::run_upstream(std::env::args().skip(1).collect()).await
}
