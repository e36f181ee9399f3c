"""Case 14: a caller without a key looks up and cancels the job of a tenant through a route that is public."""

import asyncio

import world as w


async def case(world):
    routes = [world.route("orders", 1), world.route("questions", 2, public=True)]
    await world.open(routes=routes)
    await world.add_workers(2)
    await asyncio.sleep(3)
    need = {"cpu": 16000, "mem_mb": 32768, "gpu": 1}
    job = "5c0e7a21d94b36f8"
    step = {"count": 2, **need, "est_ms": 12000}
    if not await world.submit("orders", job, [step], [{**need, "work_s": 12}]):
        raise w.Skip("the job was not accepted")
    await asyncio.sleep(3)
    if await world.state("orders", job) != "running":
        raise w.Skip("the job does not run")
    if world.trouble:
        # A client without a key asks for the id at the public route, where no job has it, and cancels it there.
        status, answer = await world.call("GET", "questions", job, node=1, key="")
        if status == 200:
            world.violate(f"MIXED: /questions/ shows a job that nobody submitted there, to a caller without a key: {answer.decode()}")
        await world.call("DELETE", "questions", job, node=1, key="")
    end = w.now() + 20
    state = ""
    while w.now() < end and state not in ("done", "failed", "canceled"):
        await asyncio.sleep(0.5)
        state = await world.state("orders", job, quiet=False)
    ends = [entry[5] for entry in world.runs]
    if state != "done":
        world.violate(f"LOST: the job is shown as {state} though its tenant has not cancelled it; its tasks ended {ends}")


w.main(case)
