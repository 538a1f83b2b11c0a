//! Program `standin-list`; see `medlarreel_standin::command::run_list`.

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    medlarreel_standin::command::run_list(std::env::args().skip(1).collect()).await
}
