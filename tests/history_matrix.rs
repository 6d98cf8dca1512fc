//! The cells of the fault matrix that CI runs, against real VM processes.

mod testenv;

use standin::matrix::{Cell, SUBSET, run, table};

const SEED: u64 = 1;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_point_holds_in_the_subset_of_cells() {
    let tell = |cell: &Cell| println!("{:?}/{:?}: {}", cell.step, cell.fault, cell.mark());
    let (tally, cells) = run(testenv::program(), &SUBSET, SEED, tell).await;
    println!("{}seed {SEED}: {tally}", table(&cells));
    assert!(tally.is_sound(), "{tally}");
}
