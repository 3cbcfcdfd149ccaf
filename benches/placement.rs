//! Where chats are placed: `cargo bench --bench placement`.

/// The seeds of each row.
const SEEDS: u64 = 3;

fn main() {
    println!("{}", experiment::placement::table(SEEDS));
}
