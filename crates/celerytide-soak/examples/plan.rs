//! Prints the plan of a seed.
/// Prints one line for each step.
fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    for step in celerytide_soak::plan::draw(seed, std::time::Duration::from_secs(6)) {
        println!("{:?} for {:?}: {:?}", step.at, step.lasts, step.fault);
    }
}
