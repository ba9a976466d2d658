//! The cases.

use crate::Verdict;
use crate::adviser::Adviser;
use crate::cluster::Cluster;
use crate::cluster::Setup;
use crate::json::Json;
use crate::record::Record;
use crate::record::Run;
use crate::worker::Settings;
use crate::worker::Worker;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const KEY: &str = "key-of-tenant-1";
const KEY_2: &str = "key-of-tenant-2";
const KEY_3: &str = "key-of-tenant-3";
const CLEAR: Duration = Duration::from_secs(10);

pub fn run(case: &str, record: &Arc<Record>, trouble: bool) -> Verdict {
    let verdict = match case {
        "departure" => departure(record, trouble),
        "flapping" => flapping(record, trouble),
        "guarantee" => guarantee(record, trouble),
        "service-after-crash" => service_after_crash(record, trouble),
        "advice-backlog" => advice_backlog(record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    verdict.unwrap_or_else(Verdict::CouldNotRun)
}

/// A route for the configuration.
fn route(name: &str, prefix: &str, priority: i64, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"jobs.example","pathPrefix":"{prefix}","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":{priority},"service":"svc","maxAttempts":3,"slackFactor":3.0,"public":false{more}}}"#
    )
}

/// A configuration with three tenants. The first two are guaranteed 8 accelerators each, the third none.
fn config(version: i64, routes: &[String]) -> Json {
    let tenant = |number: u32, key: &str, gpu: u32| {
        format!(
            r#"{{"name":"tenant-{number}","apiKeys":["{key}"],"priority":1,"guaranteed":{{"gpu":{gpu}}}}}"#
        )
    };
    let text = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"svc","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{},{},{}]}}"#,
        routes.join(","),
        tenant(1, KEY, 8),
        tenant(2, KEY_2, 8),
        tenant(3, KEY_3, 0),
    );
    Json::parse(&text).expect("a configuration")
}

/// Starts a deployment with a configuration and `count` workers, changed by `change`.
fn deploy(
    setup: Setup,
    count: usize,
    routes: &[String],
    record: &Arc<Record>,
    change: impl Fn(usize, &mut Settings),
) -> Option<(Cluster, Vec<Worker>)> {
    let cluster = Cluster::start(setup, count, record.clone())?;
    cluster.operator("PUT", "/-/config", Some(&config(1, routes)), CLEAR)?;
    let workers = (0..count).map(|number| {
        let mut settings = Settings {
            name: format!("w{number}"),
            service: "svc".to_owned(),
            zone: cluster.setup.zones[number % cluster.setup.zones.len()].clone(),
            rack: format!("r{}", number / 4),
            kind: "a".to_owned(),
            address: cluster.workers[number],
            control: cluster.control.clone(),
            cpu: 32_000,
            memory_mb: 65_536,
            gpu: 8,
            stop_ms: cluster.setup.stop_timeout_ms,
        };
        change(number, &mut settings);
        Worker::start(settings, record.clone())
    });
    let workers = workers.collect();
    wait_ms(3_000);
    Some((cluster, workers))
}

fn wait_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn started<T>(deployed: Option<T>) -> Result<T, String> {
    deployed.ok_or_else(|| "the deployment didn't start".to_owned())
}

/// Hands a job in. Returns when it was acknowledged.
fn submit(
    cluster: &Cluster,
    record: &Record,
    (path, key): (&str, &str),
    body: &str,
) -> Result<u64, String> {
    let body = Json::parse(body).expect("a job");
    match cluster.client("POST", path, key, Some(&body), CLEAR) {
        Some((200, _)) => Ok(record.now_ms()),
        other => Err(format!("{path} was not accepted: {other:?}")),
    }
}

/// The state that a job is shown in.
fn state(cluster: &Cluster, (path, key): (&str, &str)) -> String {
    match cluster.client("GET", path, key, None, CLEAR) {
        Some((200, body)) => body.get("state").str().unwrap_or("none").to_owned(),
        other => format!("{other:?}"),
    }
}

/// Writes down how many tasks run on each worker, each second for `seconds`.
fn watch(workers: &[Worker], record: &Record, seconds: u64) {
    for _ in 0..seconds {
        wait_ms(1_000);
        let loads: Vec<usize> = workers.iter().map(|worker| worker.tasks().len()).collect();
        record.line(format!("tasks on the workers: {loads:?}"));
    }
}

/// Whether a run was in progress at some time from `from_ms` to `to_ms`.
fn ran_within(run: &Run, from_ms: u64, to_ms: u64) -> bool {
    run.started_ms <= to_ms && run.ended_ms.is_none_or(|ended_ms| ended_ms >= from_ms)
}

/// A worker drains, announces its end and ends. Just before, it is cut off: what it sends arrives, what is sent to it does not. So it gets no
/// acknowledgement of its announcement, and ends some seconds later.
fn departure(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    /// `drainMs`, and a little longer.
    const SERVES_ON_MS: u64 = 3_500;
    /// Time from the cut to the announcement.
    const CUT_BEFORE_MS: u64 = 300;
    /// Time after which a worker ends without an acknowledgement.
    const ENDS_AFTER_MS: u64 = 4_000;
    let routes = [route("r1", "/q/", 1, "")];
    let (cluster, workers) = started(deploy(Setup::default(), 8, &routes, record, |_, _| {}))?;
    submit(
        &cluster,
        record,
        ("/q/00000000000000a1", KEY),
        r#"{"spec":"run 20000","steps":[{"count":2,"cpu":1000,"requestMemoryMb":256,"gpu":1,"estimatedMs":20000}]}"#,
    )?;
    wait_ms(4_000);
    let leaving = workers
        .iter()
        .max_by_key(|worker| worker.tasks().len())
        .expect("workers");
    let leader = cluster.leader(CLEAR).ok_or("there is no leader")?;
    leaving.drain();
    wait_ms(SERVES_ON_MS - CUT_BEFORE_MS);
    let mut connection = leaving
        .connection(cluster.control[leader])
        .ok_or("no connection")?;
    if trouble {
        leaving.cut_off();
    }
    wait_ms(CUT_BEFORE_MS);
    let waits = if trouble {
        Duration::ZERO
    } else {
        Duration::from_secs(1)
    };
    if !leaving.announce_end(&mut connection, waits) {
        wait_ms(ENDS_AFTER_MS);
    }
    leaving.end();
    watch(&workers, record, 24);
    let runs = record.runs_of("00000000000000a1");
    let mut twice = Vec::new();
    for (index, first) in runs.iter().enumerate() {
        for second in &runs[index + 1..] {
            let both_ms = first
                .ended_ms
                .unwrap_or(u64::MAX)
                .saturating_sub(second.started_ms);
            if first.task == second.task && both_ms > 0 {
                twice.push(format!(
                    "{} on {} and {} for {both_ms} ms",
                    first.task, first.worker, second.worker
                ));
            }
        }
    }
    let done = runs.iter().filter(|run| run.how == "done").count();
    let text = format!(
        "{} runs, {done} done; tasks that ran twice at the same time: {twice:?}",
        runs.len()
    );
    Ok(if twice.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

/// One of eight workers goes down and up by turns. It is the only one with the label that two jobs require: one whose task lasts, one whose task
/// works for six seconds. Neither task fails.
fn flapping(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    const PERIOD_MS: u64 = 1_120;
    const DOWN_MS: u64 = 560;
    const TIMES: u32 = 6;
    let routes = [route("r1", "/q/", 1, "")];
    let deployed = deploy(Setup::default(), 8, &routes, record, |number, settings| {
        if number == 0 {
            settings.kind = "b".to_owned();
        }
    });
    let (cluster, workers) = started(deployed)?;
    let (lasting, batch) = (("/q/00000000000000a1", KEY), ("/q/00000000000000b1", KEY));
    submit(
        &cluster,
        record,
        lasting,
        r#"{"spec":"last","steps":[{"count":1,"cpu":1000,"requestMemoryMb":256,"estimatedMs":1000,"longRunning":true,"image":"web","requirements":"b"}]}"#,
    )?;
    submit(
        &cluster,
        record,
        batch,
        r#"{"spec":"run 6000","steps":[{"count":1,"cpu":1000,"requestMemoryMb":256,"estimatedMs":6000,"image":"batch","requirements":"b"}]}"#,
    )?;
    wait_ms(1_000);
    if trouble {
        for _ in 0..TIMES {
            workers[0].crash(Duration::from_millis(DOWN_MS), "goes down");
            wait_ms(PERIOD_MS);
        }
        record.line("the worker stays up from now on");
    }
    watch(&workers, record, 20);
    let states = [state(&cluster, lasting), state(&cluster, batch)];
    let failed = record
        .runs()
        .iter()
        .filter(|run| run.how == "failed")
        .count();
    let text = format!(
        "the lasting job is shown as `{}`, the other as `{}`; {failed} runs have ended `failed`; {} tasks run on the worker",
        states[0],
        states[1],
        workers[0].tasks().len()
    );
    let gave_up = failed == 0 && states.iter().any(|state| state == "failed");
    Ok(if gave_up {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// A tenant without a guarantee has five tasks on each of three workers. A tenant that is guaranteed 8 accelerators gets 8 tasks of one accelerator
/// in the gaps. Another tenant that is guaranteed 8 asks for one task of 8 accelerators.
fn guarantee(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    /// `reclaimMs`.
    const RECLAIM_MS: u64 = 2_900;
    let routes = [route("r0", "/g/", 0, ""), route("r1", "/q/", 2, "")];
    let (cluster, workers) = started(deploy(Setup::default(), 3, &routes, record, |_, _| {}))?;
    if trouble {
        submit(
            &cluster,
            record,
            ("/q/00000000000000c1", KEY_3),
            r#"{"spec":"run 15000","steps":[{"count":15,"cpu":1000,"requestMemoryMb":256,"gpu":1,"estimatedMs":15000,"antiAffinity":5,"image":"batch"}]}"#,
        )?;
        wait_ms(3_000);
    }
    submit(
        &cluster,
        record,
        ("/g/00000000000000a1", KEY_2),
        r#"{"spec":"last","steps":[{"count":8,"cpu":1000,"requestMemoryMb":256,"gpu":1,"estimatedMs":1000,"longRunning":true,"image":"web"}]}"#,
    )?;
    wait_ms(4_000);
    let asked = ("/g/00000000000000b1", KEY);
    let accepted_ms = submit(
        &cluster,
        record,
        asked,
        r#"{"spec":"run 3000","steps":[{"count":1,"cpu":1000,"requestMemoryMb":256,"gpu":8,"estimatedMs":3000}]}"#,
    )?;
    watch(&workers, record, 25);
    let begun_ms = record
        .runs_of("00000000000000b1")
        .first()
        .map(|run| run.started_ms - accepted_ms);
    let text = match begun_ms {
        Some(begun_ms) => format!("the guaranteed job began after {begun_ms} ms"),
        None => format!(
            "the guaranteed job has not begun after 25 s, it is shown as `{}`",
            state(&cluster, asked)
        ),
    };
    let in_time = begun_ms.is_some_and(|begun_ms| begun_ms <= RECLAIM_MS);
    Ok(if in_time {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

/// One of eight workers crashes three seconds after a job with 96 lasting tasks began there.
fn service_after_crash(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    const TASKS: usize = 96;
    const DOWN_MS: u64 = 2_000;
    let routes = [route("r1", "/q/", 1, "")];
    let (cluster, workers) = started(deploy(Setup::default(), 8, &routes, record, |_, _| {}))?;
    let body = format!(
        r#"{{"spec":"last","steps":[{{"count":{TASKS},"cpu":250,"requestMemoryMb":256,"estimatedMs":1000,"longRunning":true,"image":"web"}}]}}"#
    );
    submit(&cluster, record, ("/q/00000000000000a1", KEY), &body)?;
    wait_ms(3_000);
    let busiest = workers
        .iter()
        .max_by_key(|worker| worker.tasks().len())
        .expect("workers");
    let crashed_ms = record.now_ms();
    if trouble {
        busiest.crash(Duration::from_millis(DOWN_MS), "crashes");
    }
    watch(&workers, record, 40);
    // Calm since the worker is back, and from six seconds after the last run on.
    let back_ms = crashed_ms + DOWN_MS + 500;
    let (from_ms, to_ms) = (back_ms + 4_000, back_ms + 7_000);
    let missing = |from_ms: u64, to_ms: u64| {
        let runs = record.runs();
        let runs_in_time = |index: &usize| {
            let task = format!("00000000000000a1.0.0.{index}");
            runs.iter()
                .any(|run| run.task == task && ran_within(run, from_ms, to_ms))
        };
        TASKS - (0..TASKS).filter(runs_in_time).count()
    };
    let counts: Vec<usize> = (0..7)
        .map(|turn| missing(from_ms + turn * 3_000, to_ms + turn * 3_000))
        .collect();
    let text = format!(
        "of {TASKS} lasting tasks, so many had nothing running in all of a span of three seconds, the first from {from_ms} to {to_ms} ms, the \
         others right after it: {counts:?}"
    );
    Ok(if counts.iter().any(|count| *count > 0) {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Two workers of one kind are busy, and 60 jobs wait for them. Then jobs come for the ten idle workers of another kind. All queues have an
/// adviser.
fn advice_backlog(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    /// `finish_s`.
    const FINISH_MS: u64 = 14_000;
    const WAITING: u32 = 60;
    const JOBS: u32 = 6;
    let advised = r#","recommendation":{"decisionMs":50,"periodMs":10,"validityMs":3000}"#;
    let routes = [
        route("r1", "/a/", 1, advised),
        route("r2", "/b/", 2, advised),
    ];
    let setup = Setup {
        adviser: true,
        ..Setup::default()
    };
    let deployed = deploy(setup, 12, &routes, record, |number, settings| {
        if number < 2 {
            settings.kind = "b".to_owned();
        }
    });
    let (cluster, workers) = started(deployed)?;
    let _adviser = Adviser::start(cluster.adviser, (50, 10), record.clone());
    if trouble {
        for number in 0..WAITING {
            submit(
                &cluster,
                record,
                (&format!("/a/00000000000001{number:02}"), KEY_3),
                r#"{"spec":"run 60000 adv","steps":[{"count":1,"cpu":1000,"requestMemoryMb":256,"gpu":8,"estimatedMs":60000,"requirements":"b"}]}"#,
            )?;
            wait_ms(120);
        }
        wait_ms(3_000);
    }
    for number in 0..JOBS {
        submit(
            &cluster,
            record,
            (&format!("/b/00000000000002{number:02}"), KEY_3),
            r#"{"spec":"run 1000 adv","steps":[{"count":1,"cpu":1000,"requestMemoryMb":256,"gpu":1,"estimatedMs":1000,"requirements":"a"}]}"#,
        )?;
    }
    let end_ms = record.now_ms();
    record.line("the traffic has ended");
    watch(&workers, record, 30);
    let (from_ms, to_ms) = (end_ms + FINISH_MS, end_ms + FINISH_MS + 3_000);
    let late = (0..JOBS).filter(|number| {
        let runs = record.runs_of(&format!("00000000000002{number:02}"));
        !runs.iter().any(|run| run.started_ms <= to_ms)
    });
    let late = late.count();
    let text = format!(
        "of {JOBS} jobs for ten idle workers, {late} had not begun in all of {from_ms} to {to_ms} ms, after the traffic's end at {end_ms} ms"
    );
    Ok(if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
