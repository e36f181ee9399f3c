//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::json::{Json, obj};
use crate::record::Record;
use crate::site::{Route, Site};
use crate::workers::{Health, Step};

const PLAN: Route = Route {
    name: "r-plan",
    prefix: "/lohu930/",
    prio: 1,
    attempts: 4,
};
const LIST: Route = Route {
    name: "r-list",
    prefix: "/pufi791/",
    prio: 0,
    attempts: 2,
};

/// Bounds of `kdn-sched-grown` that differ from those of `kdn-sched`.
const GROWN: [(&str, &str); 11] = [
    ("\"contact_ms\":3000", "\"contact_ms\":4000"),
    ("\"ack_ms\":4000", "\"ack_ms\":6000"),
    ("\"catch_up_s\":4", "\"catch_up_s\":6"),
    ("\"drain_ms\":2000", "\"drain_ms\":3000"),
    ("\"config_ms\":2000", "\"config_ms\":3000"),
    ("\"max_skew_ms\":5000", "\"max_skew_ms\":6000"),
    ("\"recover_s\":12", "\"recover_s\":15"),
    ("\"gang_ms\":3000", "\"gang_ms\":4000"),
    ("\"cancel_ms\":3000", "\"cancel_ms\":4000"),
    ("\"notice_ms\":4500", "\"notice_ms\":5500"),
    ("\"harm_ms\":4000", "\"harm_ms\":4500"),
];

pub fn run(name: &str, trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    match name {
        "backlog" => backlog(trouble, record, temp),
        "unwell" => unwell(trouble, record, temp),
        "route" => route(trouble, record, temp),
        "pending" => pending(trouble, record, temp),
        "gang" => gang(trouble, record, temp),
        "lasting" => lasting(trouble, record, temp),
        "wide" => wide(trouble, record, temp),
        "late" => late(trouble, record, temp),
        "again" => again(trouble, record, temp),
        _ => Err(format!("no case {name}")),
    }
}

fn pause(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// Workers in racks of four.
fn workers(count: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|index| {
            (
                format!("i-{:010x}", 0x7f3a_91c2 + 7 * index as u64),
                format!("r1-{}", index / 4),
            )
        })
        .collect()
}

fn single(gpu: u64, work_ms: u64) -> Step {
    Step {
        cpu: 11_000,
        mem_mb: 16_000,
        gpu,
        work_ms,
        ..Step::default()
    }
}

/// Whether a task of a job has begun.
fn has_begun(site: &Site, id: &str) -> bool {
    let world = site.fleet.world.lock().unwrap();
    world
        .events
        .iter()
        .any(|event| event.end.is_none() && event.task.starts_with(id))
}

fn is_at_work(site: &Site, id: &str) -> bool {
    site.fleet
        .world
        .lock()
        .unwrap()
        .workers
        .iter()
        .any(|worker| worker.runs_job(id))
}

/// The leader's process is killed while large jobs arrive at a steady rate.
fn backlog(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    const JOBS: usize = 144;
    const JOBS_PER_S: f64 = 12.0;
    const STEPS: usize = 500;
    let site = Site::start_with(record, temp, 3, &workers(20), &[PLAN, LIST], &GROWN)?;
    let digest = "4bf5122f344554c53bde2ebb8cd2b7e3d1600ad631c385a5d7cce23c7785459a";
    let steps = vec![
        Step {
            work_ms: 60_000,
            ..Step::default()
        };
        STEPS
    ];
    let wire: Vec<Json> = (0..STEPS)
        .map(|step| {
            let image = format!("shopdesk/restock-plan:2026-12-{step:03}@sha256:{digest}");
            let mut fields = vec![("image".to_owned(), Json::Str(image))];
            if step > 0 {
                fields.push(("after".to_owned(), Json::Arr(vec![(step as u64 - 1).into()])));
            }
            Json::Obj(fields)
        })
        .collect();
    let start = Instant::now();
    let mut accepted: Vec<String> = Vec::new();
    let mut killed = false;
    let killer = std::thread::scope(|scope| {
        let site = &site;
        let mut killer = None;
        let mut clients = Vec::new();
        for job in 0..JOBS {
            let due = Duration::from_secs_f64(job as f64 / JOBS_PER_S);
            sleep(due.saturating_sub(start.elapsed()));
            if trouble && !killed && start.elapsed() >= Duration::from_secs(4) {
                killed = true;
                let leader = site.leader();
                killer = Some(scope.spawn(move || site.kill(leader.ok_or("no leader")?)));
            }
            let (steps, wire) = (&steps, &wire);
            clients.push(scope.spawn(move || {
                let id = format!("a{job:015x}");
                (site.submit(job % 3, &PLAN, &id, steps, wire, "").0 == 200).then_some(id)
            }));
        }
        accepted.extend(clients.into_iter().filter_map(|client| client.join().ok().flatten()));
        killer.map_or(Ok(()), |killer| killer.join().unwrap_or(Err("killer".to_owned())))
    });
    killer?;
    record.line(&format!("end of the traffic: {} jobs accepted", accepted.len()));
    if accepted.len() < JOBS / 2 {
        return Err("too few jobs were accepted".to_owned());
    }
    // finish_s, and then 3 s in which a job has nothing running although its turn has come.
    pause(14_000);
    let mut idle = accepted.clone();
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        idle.retain(|id| !is_at_work(&site, id));
        pause(50);
    }
    let busy = site
        .fleet
        .world
        .lock()
        .unwrap()
        .workers
        .iter()
        .filter(|worker| !worker.is_idle())
        .count();
    record.line(&format!(
        "{} of {} jobs had nothing running for 3 s; {busy} of 20 workers run anything",
        idle.len(),
        accepted.len()
    ));
    for id in idle.iter().take(3) {
        record.line(&format!(
            "job {id}: begun {}, state {}",
            has_begun(&site, id),
            site.state(0, &PLAN, id)
        ));
    }
    Ok(idle.is_empty())
}

/// All workers of a small rack are unwell for some seconds, while a job arrives that requires this rack.
fn unwell(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    let mut fleet = workers(18);
    fleet.extend([
        ("i-00aace57a9".to_owned(), "r1-9".to_owned()),
        ("i-00ef21232c".to_owned(), "r1-9".to_owned()),
    ]);
    let site = Site::start(record, temp, 3, &fleet, &[PLAN, LIST])?;
    if trouble {
        site.fleet.set_health("r1-9", Health::Unwell);
    }
    pause(500);
    let wire = [obj([("requires", "r1-9".into())])];
    let id = "b000000000000001";
    if site.submit(0, &PLAN, id, &[single(1, 1_000)], &wire, "").0 != 200 {
        return Err("the job was not accepted".to_owned());
    }
    pause(6_000);
    if trouble {
        site.fleet.set_health("r1-9", Health::Well);
    }
    // contact_ms after the disruption, and then finish_s in which each 3 s would do.
    pause(3_000);
    let end = Instant::now() + Duration::from_secs(14);
    while !has_begun(&site, id) && Instant::now() < end {
        pause(50);
    }
    let begun = has_begun(&site, id);
    record.line(&format!("job {id}: begun {begun}, state {}", site.state(0, &PLAN, id)));
    Ok(begun)
}

/// The operator removes a route, and the instances are restarted one after the other, while a job of that route is
/// between its steps.
fn route(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    let site = Site::start(record, temp, 3, &workers(8), &[LIST, PLAN])?;
    let id = "c000000000000001";
    let wire = [Json::Null, obj([("after", Json::Arr(vec![0.into()]))])];
    if site
        .submit(0, &PLAN, id, &[single(1, 30_000), single(1, 1_000)], &wire, "")
        .0
        != 200
    {
        return Err("the job was not accepted".to_owned());
    }
    pause(2_000);
    if trouble {
        site.configure(&[LIST]);
    }
    pause(3_000);
    for index in 0..3 {
        if trouble {
            site.restart(index)?;
        }
        pause(2_000);
    }
    // The first step has ended, and its end was listed; from then on the turn of the second has come.
    let first_done = || {
        let world = site.fleet.world.lock().unwrap();
        world
            .events
            .iter()
            .any(|event| event.end == Some("done") && event.task == format!("{id}.0.0.0"))
    };
    let end = Instant::now() + Duration::from_secs(50);
    while !first_done() {
        if Instant::now() > end {
            return Err("the first step was not done".to_owned());
        }
        pause(50);
    }
    record.line("the first step is done");
    let end = Instant::now() + Duration::from_secs(14);
    let second = format!("{id}.0.1.0");
    while !has_begun(&site, &second) && Instant::now() < end {
        pause(50);
    }
    let begun = has_begun(&site, &second);
    record.line(&format!(
        "second step begun {begun}; state through the other route: {}",
        site.state(0, &LIST, id)
    ));
    Ok(begun)
}

/// All workers that may run some jobs are unwell for some seconds; instances are asked how many jobs wait.
fn pending(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    const JOBS: u64 = 4;
    let mut fleet = workers(18);
    fleet.extend([
        ("i-00aace57a9".to_owned(), "r1-9".to_owned()),
        ("i-00ef21232c".to_owned(), "r1-9".to_owned()),
    ]);
    let site = Site::start(record, temp, 3, &fleet, &[PLAN, LIST])?;
    if trouble {
        site.fleet.set_health("r1-9", Health::Unwell);
    }
    let changed = Instant::now();
    let wire = [obj([("requires", "r1-9".into())])];
    let ids: Vec<String> = (1..=JOBS).map(|job| format!("d{job:015x}")).collect();
    for id in &ids {
        if site.submit(0, &PLAN, id, &[single(1, 1_000)], &wire, "").0 != 200 {
            return Err("a job was not accepted".to_owned());
        }
    }
    // visible_ms and 2 s after the acknowledgements.
    pause(5_300);
    let mut held = true;
    for index in 0..3 {
        let before = ids.iter().filter(|id| !has_begun(&site, id)).count() as u64;
        let (status, body) = site.request(index, "GET", PLAN.prefix, "");
        let given = Json::parse(body.as_bytes()).unwrap_or(Json::Null).get("pending").num();
        let waiting = ids.iter().filter(|id| !has_begun(&site, id)).count() as u64;
        record.line(&format!(
            "instance {index}: GET {} -> {status} {body}; {waiting} jobs have not begun",
            PLAN.prefix
        ));
        let Some(given) = given else { continue };
        held &= before != waiting || given * 2 >= waiting;
    }
    pause(6_500_u64.saturating_sub(changed.elapsed().as_millis() as u64));
    if trouble {
        site.fleet.set_health("r1-9", Health::Well);
    }
    Ok(held)
}

/// A worker fails all that it starts; two members of a gang fail on it at once.
fn gang(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    let site = Site::start(record, temp, 3, &workers(10), &[LIST, PLAN])?;
    let id = "e000000000000001";
    let step = Step {
        count: 2,
        gang: true,
        cpu: 15_000,
        mem_mb: 39_000,
        gpu: 4,
        work_ms: 3_000,
        ..Step::default()
    };
    if site.submit(0, &LIST, id, &[step], &[Json::Null], "").0 != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let end = Instant::now() + Duration::from_secs(5);
    while !has_begun(&site, id) && Instant::now() < end {
        pause(20);
    }
    pause(500);
    if trouble {
        let mut world = site.fleet.world.lock().unwrap();
        for worker in &mut world.workers {
            if worker.runs_job(id) {
                record.line(&format!("worker {} fails all that it runs", worker.id));
                worker.health = Health::Failing;
            }
        }
    }
    pause(6_500);
    for index in 0..5 {
        site.fleet.set_health(&format!("r1-{index}"), Health::Well);
    }
    pause(3_000);
    let world = site.fleet.world.lock().unwrap();
    let failed: Vec<_> = world
        .events
        .iter()
        .filter(|event| event.end == Some("failed"))
        .cloned()
        .collect();
    drop(world);
    let runs = failed.iter().map(|event| event.run).max().unwrap_or(0);
    let state = site.state(0, &LIST, id);
    record.line(&format!(
        "{} members of run(s) up to {runs} ended failed; state {state}",
        failed.len()
    ));
    Ok(!(state == "failed" && runs < LIST.attempts))
}

/// A task that lasts fails on all workers that have room for it.
fn lasting(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    let fleet: Vec<_> = workers(4)
        .into_iter()
        .enumerate()
        .map(|(index, (id, _))| (id, format!("r1-{index}")))
        .collect();
    let site = Site::start(record, temp, 3, &fleet, &[PLAN, LIST])?;
    let serving = |cpu, mem_mb, gpu| Step {
        cpu,
        mem_mb,
        gpu,
        work_ms: 500,
        lasts: true,
        ..Step::default()
    };
    let submit = |id: &str, step: Step, wire: Json| match site.submit(0, &PLAN, id, &[step], &[wire], "").0 {
        200 => Ok(()),
        status => Err(format!("job {id} was answered with {status}")),
    };
    // Three workers with room for the task, and one without.
    for index in 0..4_u64 {
        let step = if index < 3 {
            serving(76_000, 100_000, 5)
        } else {
            serving(128_000, 262_144, 8)
        };
        submit(
            &format!("a{index:015x}"),
            step,
            obj([("requires", Json::Str(format!("r1-{index}")))]),
        )?;
    }
    pause(1_500);
    let id = "b000000000000001";
    submit(id, serving(10_000, 16_000, 1), Json::Null)?;
    let mut failures = 0;
    for _ in 0..3 {
        let end = Instant::now() + Duration::from_secs(10);
        while !is_at_work(&site, id) && Instant::now() < end {
            pause(50);
        }
        pause(8_000);
        if trouble && is_at_work(&site, id) {
            record.line(&format!("the task of job {id} fails"));
            site.fleet.world.lock().unwrap().failing.insert(id.to_owned());
            failures += 1;
            pause(100);
        }
    }
    // 6 s after its last run, and then 3 s without one; some more to see whether it stays so.
    let last_run = Instant::now();
    let mut idle_since = None;
    let mut longest = Duration::ZERO;
    while last_run.elapsed() < Duration::from_secs(30) {
        pause(50);
        if is_at_work(&site, id) {
            idle_since = None;
        } else if last_run.elapsed() >= Duration::from_secs(6) {
            longest = longest.max(idle_since.get_or_insert_with(Instant::now).elapsed());
        }
    }
    record.line(&format!(
        "{failures} failures; nothing running for {longest:.1?} from 6 s after the last run; state {}",
        site.state(0, &PLAN, id)
    ));
    Ok(longest < Duration::from_secs(3))
}

/// One job of many small tasks that save checkpoints.
fn wide(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    let uuid = |index: u64| {
        format!(
            "{:08x}-5d4c-4b1e-9a77-{:012x}",
            0x7f3a_91c2_u64 + index,
            0x21d9_4bf5_0000_u64 + 77 * index
        )
    };
    let fleet: Vec<_> = (0..20)
        .map(|index| (uuid(index), format!("r1-{}", index / 5)))
        .collect();
    let site = Site::start(record, temp, 3, &fleet, &[PLAN, LIST])?;
    if trouble {
        let long = Step {
            count: 999,
            work_ms: 80_000,
            checkpoints: true,
            ..Step::default()
        };
        let short = Step {
            work_ms: 4_000,
            ..Step::default()
        };
        let (status, _) = site.submit(
            0,
            &PLAN,
            "a000000000000001",
            &[long, short],
            &[Json::Null, Json::Null],
            "",
        );
        if status != 200 {
            return Err(format!("the large job was answered with {status}"));
        }
    }
    pause(5_000);
    let mut small = Vec::new();
    for number in 0..20_u64 {
        let id = format!("b{number:015x}");
        if site
            .submit(number as usize % 3, &PLAN, &id, &[single(1, 500)], &[Json::Null], "")
            .0
            == 200
        {
            small.push(id);
        }
        pause(500);
    }
    // finish_s after the end of the traffic, and 3 s more.
    pause(14_000);
    let mut idle: Vec<String> = small
        .iter()
        .filter(|id| site.state(0, &PLAN, id) != "done")
        .cloned()
        .collect();
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        idle.retain(|id| !is_at_work(&site, id));
        pause(50);
    }
    let states: Vec<String> = idle.iter().map(|id| site.state(0, &PLAN, id)).collect();
    record.line(&format!(
        "{} of {} small jobs had nothing running for 3 s; states {states:?}",
        idle.len(),
        small.len()
    ));
    Ok(idle.is_empty())
}

/// The store loses the answer to the write of a submission and does it late; the client cancels the job meanwhile.
fn late(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    const CANCEL: Duration = Duration::from_millis(3_000);
    const WAITS: Duration = Duration::from_millis(1_000);
    let site = Site::start(record, temp, 3, &workers(8), &[PLAN, LIST])?;
    let id = "a000000000000001";
    if trouble {
        site.store.lose_answers(Some((id, Duration::from_millis(5_000))));
    }
    let mut cancelled = Instant::now();
    let mut answer = 0;
    std::thread::scope(|scope| {
        // Other clients, whose writes are answered.
        for number in 0..10_u64 {
            let site = &site;
            scope.spawn(move || {
                pause(150 * number);
                site.submit(
                    number as usize % 3,
                    &LIST,
                    &format!("b{number:015x}"),
                    &[single(1, 300)],
                    &[Json::Null],
                    "",
                );
            });
        }
        site.submit_once(0, &PLAN, id, single(1, 3_000), WAITS);
        answer = site.request(1, "DELETE", &format!("{}{id}", PLAN.prefix), "").0;
        cancelled = Instant::now();
        record.line(&format!("client: DELETE {}{id} -> {answer}", PLAN.prefix));
        site.store.lose_answers(None);
    });
    if !(200..300).contains(&answer) && answer != 410 {
        return Err("the cancellation was not acknowledged".to_owned());
    }
    let mut held = true;
    let mut was_at_work = false;
    while cancelled.elapsed() < Duration::from_secs(14) {
        let at_work = is_at_work(&site, id);
        if at_work && !was_at_work {
            let after = cancelled.elapsed();
            record.line(&format!(
                "a task of job {id} started {after:.1?} after the acknowledgement of its cancelling"
            ));
            held &= after <= CANCEL;
        }
        was_at_work = at_work;
        pause(20);
    }
    record.line(&format!("state {}", site.state(1, &PLAN, id)));
    Ok(held)
}

/// A worker leaves a start and a hold unanswered, crashes, starts again under its id, and carries both out late.
fn again(trouble: bool, record: &Arc<Record>, temp: &Path) -> Outcome {
    let mut fleet = workers(8);
    fleet.push(("i-00aace57a9".to_owned(), "r1-9".to_owned()));
    let site = Site::start(record, temp, 3, &fleet, &[PLAN, LIST])?;
    let wire = [obj([("requires", "r1-9".into())])];
    let (first, second) = ("a000000000000001", "a000000000000002");
    if site.submit(0, &LIST, first, &[single(8, 2_000)], &wire, "").0 != 200 {
        return Err("the first job was not accepted".to_owned());
    }
    pause(700);
    // It waits for the room of the first.
    if site.submit(0, &LIST, second, &[single(8, 100)], &wire, "").0 != 200 {
        return Err("the second job was not accepted".to_owned());
    }
    pause(300);
    let site = Arc::new(site);
    let others = Arc::clone(&site);
    // Orders to other workers, which are answered.
    let background = std::thread::spawn(move || {
        for number in 0..40_u64 {
            let wire = [obj([("requires", "r1-0".into())])];
            others.submit(
                number as usize % 3,
                &LIST,
                &format!("b{number:015x}"),
                &[single(1, 200)],
                &wire,
                "",
            );
            pause(100);
        }
    });
    if trouble {
        site.fleet.arm(8);
        let end = Instant::now() + Duration::from_secs(10);
        while !site.fleet.world.lock().unwrap().has_kept_both() {
            if Instant::now() > end {
                return Err("the worker did not get a start and a hold".to_owned());
            }
            pause(5);
        }
        let kept = Instant::now();
        pause(200);
        site.fleet.crash();
        pause(1_600);
        site.fleet.start_again();
        sleep(Duration::from_millis(2_050).saturating_sub(kept.elapsed()));
        site.fleet.carry_out("/yuccaridge/run-start");
        pause(150);
        site.fleet.carry_out("/yuccaridge/hold");
        site.fleet.be_usual();
        pause(500);
        site.fleet.report(&site.store);
    }
    background.join().map_err(|_| "the other clients failed")?;
    pause(12_000);
    let world = site.fleet.world.lock().unwrap();
    let mut done = None;
    let mut twice = false;
    for event in world.events.iter().filter(|event| event.task.starts_with(second)) {
        record.line(&format!(
            "{} run {} {}",
            event.task,
            event.run,
            event.end.unwrap_or("started")
        ));
        twice |= event.end.is_none() && done.is_some();
        if event.end == Some("done") {
            done = Some(event.run);
        }
    }
    drop(world);
    record.line(&format!("state {}", site.state(1, &LIST, second)));
    Ok(!twice)
}
