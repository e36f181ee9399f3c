"""Case 12: tasks that take six times as long as estimated are stopped every few seconds, and then they aren't started at all."""

import asyncio

import world as w

ESTIMATE_S = 60
# Of the jobs of three seconds, one in twenty takes this many times as long.
FACTOR = 6
JOBS_PER_S = 20


async def case(world):
    await world.open()
    await world.add_workers(3)
    await asyncio.sleep(3)
    need = {"cpu": 1000, "mem_mb": 1024}
    step = {"count": 1, **need, "est_ms": ESTIMATE_S * 1000}
    long_jobs = []
    # Traffic for 6 s. In the middle three seconds every twentieth job is a long one.
    for number in range(6 * JOBS_PER_S):
        disrupted = 1.5 * JOBS_PER_S <= number < 4.5 * JOBS_PER_S
        is_long = disrupted and number % 20 == 0 and world.trouble
        job = f"{0x1000 + number:016x}"
        work_s = ESTIMATE_S * (FACTOR if is_long else 1)
        if not await world.submit("normal", job, [step], [{**need, "work_s": work_s}], node=number % 3):
            raise w.Skip("a job was not accepted")
        if is_long or not world.trouble and number % 40 == 0:
            long_jobs.append(job)
        await asyncio.sleep(1 / JOBS_PER_S)
    # finish_s after the end of the traffic.
    await asyncio.sleep(w.BOUNDS["finish_s"])
    idle_since, longest, reached = {}, dict.fromkeys(long_jobs, 0.0), dict.fromkeys(long_jobs, 0)
    end = w.now() + 45
    capacity = sum(worker.capacity["cpu"] for worker in world.workers)
    most_used = 0
    while w.now() < end:
        await asyncio.sleep(0.1)
        used = capacity - sum(worker.free()["cpu"] for worker in world.workers)
        most_used = max(most_used, used)
        for job in long_jobs:
            task = f"{job}.0.0.0"
            workers = world.running(task)
            for worker in workers:
                reached[job] = max(reached[job], worker.percent(worker.running[task]))
            done = any(entry[0] == task and entry[5] == "done" for entry in world.runs)
            if workers or done or used * 2 >= capacity:
                idle_since.pop(job, None)
                continue
            since = idle_since.setdefault(job, w.now())
            longest[job] = max(longest[job], w.now() - since)
    world.record.write(f"at most {most_used // 1000} of {capacity // 1000} cores were in use")
    for job in long_jobs:
        ends = [entry[5] for entry in world.runs if entry[0].startswith(job)]
        state = await world.state("normal", job)
        world.record.write(f"{job}: {len(ends)} starts, at most {reached[job]} percent, longest time without a run {longest[job]:.1f} s, state {state}")
        if longest[job] >= 3:
            world.violate(f"LOST: {job} has nothing running for {longest[job]:.1f} s, after {len(ends)} starts; under half of the room is in use")


w.main(case)
