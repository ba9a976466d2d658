//! Random job arrivals that resemble the workloads of the two users' deployments.

use bh_testkit::Random;
use bh_workload::job::Resources;
use bh_workload::job::StepSpec;

/// A kind of job, with the distributions from which its jobs are drawn.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    /// Mean number of jobs per second at load 1.
    pub jobs_per_s: f64,
    pub mean_tasks: f64,
    pub max_tasks: f64,
    pub mean_run_ms: f64,
    /// Standard deviation of the logarithm of the run times.
    pub run_time_spread: f64,
    pub cpu_millis: u64,
    pub memory_mb: u64,
    /// Possible numbers of accelerators of a task, drawn with equal probability.
    pub accelerators: &'static [u64],
    pub gang: bool,
    /// Share of jobs that run slowly on several racks, in percent.
    pub rack_local_percent: u64,
    /// Share of jobs that write checkpoints, in percent.
    pub checkpoints_percent: u64,
    pub slack_factor: f64,
    pub target_ms: u64,
    /// Value of a job of mean size when it ends on time, and when it ends late.
    pub values: (f64, f64),
}

/// The workers of a deployment and its kinds of jobs.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub workers: usize,
    pub per_rack: usize,
    pub capacity: Resources,
    /// Time that a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// Time that a task takes to resume from its checkpoint, in milliseconds.
    pub restore_ms: u64,
    pub kinds: [Kind; 3],
}

/// A job that arrives during the day.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub kind: usize,
    pub step: StepSpec,
    /// Actual run time of each task, in milliseconds.
    pub run_ms: u64,
}

const ANY_SIZE: &[u64] = &[1, 2, 4, 8, 8];

/// Kaupluseühendus: large machines, stops take up to 0.9 s.
pub const KAUPLUSE: Deployment = Deployment {
    name: "kaupluse",
    workers: 48,
    per_rack: 8,
    capacity: Resources {
        cpu_millis: 128_000,
        memory_mb: 512_000,
        accelerators: 8,
    },
    stop_ms: 600,
    restore_ms: 250,
    kinds: kinds(
        [52_000, 15_000, 11_000],
        [0.784, 1.91, 0.738],
        [5.0, 3.0, 16.0],
    ),
};

/// Manizales: small machines, six in a rack, quick stops.
pub const MANIZALES: Deployment = Deployment {
    name: "manizales",
    per_rack: 6,
    capacity: Resources {
        cpu_millis: 32_000,
        memory_mb: 128_000,
        accelerators: 8,
    },
    stop_ms: 150,
    restore_ms: 100,
    kinds: kinds([13_000, 3_700, 2_800], [1.08, 2.39, 1.06], [4.0, 3.0, 12.0]),
    ..KAUPLUSE
};

/// The kinds of jobs, with the figures that differ between the deployments: cores, arrival rate and number of tasks.
const fn kinds(cpu_millis: [u64; 3], jobs_per_s: [f64; 3], mean_tasks: [f64; 3]) -> [Kind; 3] {
    let long = Kind {
        name: "long gangs",
        priority: 1,
        jobs_per_s: jobs_per_s[0],
        mean_tasks: mean_tasks[0],
        max_tasks: 24.0,
        mean_run_ms: 6_800.0,
        run_time_spread: 0.3,
        cpu_millis: cpu_millis[0],
        memory_mb: 16_000,
        accelerators: ANY_SIZE,
        gang: true,
        rack_local_percent: 60,
        checkpoints_percent: 45,
        slack_factor: 3.0,
        target_ms: 1_000,
        values: (3.0, 0.9),
    };
    let first = Kind {
        name: "first gangs",
        priority: 0,
        jobs_per_s: jobs_per_s[1],
        mean_tasks: mean_tasks[1],
        max_tasks: 18.0,
        mean_run_ms: 2_500.0,
        run_time_spread: 0.5,
        cpu_millis: cpu_millis[1],
        rack_local_percent: 80,
        checkpoints_percent: 0,
        slack_factor: 1.5,
        target_ms: 250,
        values: (4.0, 0.8),
        ..long
    };
    let small = Kind {
        name: "small tasks",
        priority: 2,
        jobs_per_s: jobs_per_s[2],
        mean_tasks: mean_tasks[2],
        max_tasks: 72.0,
        mean_run_ms: 6_100.0,
        cpu_millis: cpu_millis[2],
        accelerators: &[1],
        gang: false,
        rack_local_percent: 0,
        target_ms: 3_000,
        values: (1.0, 0.3),
        ..long
    };
    [long, first, small]
}

/// Returns a random number between 0 and 1, both excluded.
fn unit_interval(random: &mut Random) -> f64 {
    const PARTS: u64 = 1 << 32;
    (random.below(PARTS - 1) + 1) as f64 / PARTS as f64
}

/// Returns a random factor whose logarithm has a mean of 0 and a standard deviation of `deviation`.
fn log_normal_factor(random: &mut Random, deviation: f64) -> f64 {
    // The sum of twelve uniform numbers is close to a normal distribution with a standard deviation of 1.
    let normal = (0..12).map(|_| unit_interval(random)).sum::<f64>() - 6.0;
    (normal * deviation).exp()
}

/// Returns true with a probability of `percent`.
fn chance(random: &mut Random, percent: u64) -> bool {
    random.below(100) < percent
}

fn step(random: &mut Random, kind: &Kind, run_ms: u64) -> StepSpec {
    /// Declared times differ from actual ones by a factor of about two.
    const DECLARED_TIME_SPREAD: f64 = 0.7;
    let tasks = (-unit_interval(random).ln() * kind.mean_tasks).clamp(1.0, kind.max_tasks);
    StepSpec {
        count: tasks.round() as u32,
        needs: Resources {
            cpu_millis: kind.cpu_millis,
            memory_mb: kind.memory_mb,
            accelerators: kind.accelerators[random.index(kind.accelerators.len())],
        },
        declared_ms: (run_ms as f64 * log_normal_factor(random, DECLARED_TIME_SPREAD)) as u64,
        checkpoints: chance(random, kind.checkpoints_percent),
        gang: kind.gang,
        rack_local: chance(random, kind.rack_local_percent),
        ..StepSpec::default()
    }
}

/// Returns all arrivals of a day of `day_ms` at `load` times the usual rate, in order of time.
pub fn arrivals(deployment: &Deployment, load: f64, seed: u64, day_ms: u64) -> Vec<Arrival> {
    let mut random = Random::new(seed);
    let mut all = Vec::new();
    for (index, kind) in deployment.kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            at_ms += -unit_interval(&mut random).ln() * 1_000.0 / (kind.jobs_per_s * load);
            if at_ms >= day_ms as f64 {
                break;
            }
            let run_ms =
                (kind.mean_run_ms * log_normal_factor(&mut random, kind.run_time_spread)) as u64;
            all.push(Arrival {
                at_ms: at_ms as u64,
                kind: index,
                step: step(&mut random, kind, run_ms),
                run_ms,
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at_ms);
    all
}
