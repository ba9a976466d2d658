//! The runner of random steps. The environment may set its number of cases and its seed; otherwise the test does.

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

pub fn runner(cases: u32, seed: u64) -> TestRunner {
    let from_environment = |name: &str| std::env::var(name).ok();
    let cases = from_environment("PROPTEST_CASES")
        .and_then(|text| text.parse().ok())
        .unwrap_or(cases);
    let seed = from_environment("PROPTEST_RNG_SEED")
        .and_then(|text| text.parse().ok())
        .unwrap_or(seed);
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    })
}
