"""Case 13: a lasting task that fails after a burst of large jobs is not started again while these wait."""

import asyncio

import world as w
from lasting import longest_outage

# Work of a large job, and the time between two of them in usual traffic.
WORK_S = 8.4
EVERY_S = 3
# The burst: this many times the usual traffic of the large jobs for this long, in seconds.
BURST_X = 2.4
BURST_S = 6


async def large_jobs(world, begin):
    """Submits gangs of two tasks, each as large as a worker."""
    whole = {"cpu": 128000, "mem_mb": 262144, "gpu": 8}
    step = {"count": 2, **whole, "est_ms": round(WORK_S * 1000), "gang": True}
    number = 0
    while True:
        await world.submit("normal", f"{0xb000 + number:016x}", [step], [{**whole, "gang": 2, "work_s": WORK_S}], node=number % 3)
        number += 1
        in_burst = world.trouble and 12 <= w.now() - begin < 12 + BURST_S
        await asyncio.sleep(EVERY_S / BURST_X if in_burst else EVERY_S)


async def case(world):
    await world.open()
    await world.add_workers(8)
    await asyncio.sleep(3)
    # Tasks that last, of an eighth of a worker each: they leave room for two more of them on their two workers.
    need = {"cpu": 16000, "mem_mb": 32768, "gpu": 1}
    serving = "00000000000000a1"
    step = {"count": 15, **need, "est_ms": 2000, "long_running": True, "image": "web"}
    if not await world.submit("low", serving, [step], [{**need, "lasts": True}]):
        raise w.Skip("the job was not accepted")
    await asyncio.sleep(3)
    if sum(len(worker.running) for worker in world.workers) != 15:
        raise w.Skip("the lasting tasks did not start")
    begin = w.now()
    traffic = asyncio.create_task(large_jobs(world, begin))
    # One of them fails 6 s after the end of the burst, with the burst or without.
    await asyncio.sleep(12 + BURST_S + 6)
    host = max(world.workers, key=lambda worker: len([run for run in worker.running.values() if run.task.startswith(serving)]))
    run = sorted(host.running.values(), key=lambda run: run.task)[0]
    host.end(run, "failed")
    failed_at = w.now()
    room = []
    while w.now() - failed_at < 40 and not world.running(run.task):
        await asyncio.sleep(0.1)
        room.append(sum(min(worker.free()[name] // need[name] for name in need) for worker in world.workers))
    traffic.cancel()
    outage, _ = longest_outage(world.runs, run.task, w.now())
    window = room[60:90]
    world.record.write(f"time without {run.task}: {outage:.1f} s; room for such tasks from 6 to 9 s: {min(window, default=None)} at least")
    if outage > 9 and min(window) >= 2:
        world.violate(f"LOST: {run.task} did not run for {outage:.1f} s though there was room for {min(window)} of its kind at any time from 6 to 9 s")


w.main(case)
