//! The load bound under a tenfold surge: `cargo bench --bench bound`.

/// The number of seeds for each row.
const SEEDS: u64 = 8;

fn main() {
    println!("{}", experiment::surge::table(SEEDS));
}
