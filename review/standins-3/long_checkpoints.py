"""Case 11: with one more worker, the checkpoints of a job outgrow its row, and the leader can store nothing any more."""

import asyncio

import world as w

CHECKPOINT_CHARACTERS = 400
# Tasks of the large job, and how many of them one worker may run.
TASKS = 195
PER_WORKER = 34


async def case(world):
    short = world.checkpoint
    world.checkpoint = lambda run: short(run).ljust(CHECKPOINT_CHARACTERS, "0")
    await world.open()
    await world.add_workers(4)
    await asyncio.sleep(3)
    # A job of many small tasks that save their progress; from 20 s on one of them ends each 3 s.
    need = {"cpu": 1000, "mem_mb": 1024}
    step = {"count": TASKS, **need, "est_ms": 100000, "checkpointable": True, "max_per_server": PER_WORKER}
    program = {**need, "saves": True, "work_s": 20, "spread_s": 3}
    if not await world.submit("normal", "00000000000000d0", [step], [program]):
        raise w.Skip("the job was not accepted")
    await asyncio.sleep(7)
    if sum(len(worker.running) for worker in world.workers) != 4 * PER_WORKER:
        raise w.Skip("the tasks did not start")
    if world.trouble:
        await world.add_workers(1)
    await asyncio.sleep(15)
    # Small jobs of the other queues.
    step = {"count": 1, **need, "est_ms": 1000}
    small = []
    for number in range(20):
        job = f"{0xe00 + number:016x}"
        queue = ("urgent", "low")[number % 2]
        if await world.submit(queue, job, [step], [{**need, "work_s": 1}], node=number % 3):
            small.append((queue, job))
        await asyncio.sleep(0.5)
    # finish_s after the end of the traffic.
    await asyncio.sleep(w.BOUNDS["finish_s"])
    waiting = {job for _, job in small}
    capacity = sum(worker.capacity["cpu"] for worker in world.workers)
    free = capacity
    end = w.now() + 3
    while w.now() < end:
        waiting -= {entry[0].split(".")[0] for entry in world.runs}
        free = min(free, sum(worker.free()["cpu"] for worker in world.workers))
        await asyncio.sleep(0.1)
    states = [await world.state(queue, job) for queue, job in small]
    world.record.write(f"{len(small)} small jobs accepted, {len(waiting)} without a start; states: {states}")
    world.record.write(f"refused transactions: {world.store.refused}; at least {free // 1000} of {capacity // 1000} cores were free")
    if waiting and free * 2 > capacity:
        world.violate(f"LOST: {len(waiting)} of {len(small)} accepted jobs have nothing running {w.BOUNDS['finish_s']} to "
                      f"{w.BOUNDS['finish_s'] + 3} s after the end of the traffic, with over half of the room free")


w.main(case)
