//! Cache hits by placement policy: `cargo bench --bench placement`.

/// The number of seeds for each row.
const SEEDS: u64 = 3;

fn main() {
    println!("{}", experiment::placement::table(SEEDS));
}
