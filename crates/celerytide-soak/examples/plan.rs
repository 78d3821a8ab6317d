//! Prints the faults that a seed draws, one line each with start and duration.
fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    let length = std::time::Duration::from_secs(6);
    for step in celerytide_soak::plan::draw(seed, length, celerytide_soak::plan::ROUTERS) {
        println!("{:?} for {:?}: {:?}", step.at, step.duration, step.fault);
    }
}
