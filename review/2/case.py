"""Gangs of many small tasks: no controller answers any more."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import Deployment, main_with  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GANGS = 6
TASKS = 100_000
# "a job about which no question is answered for 75 s counts as forgotten, however others fare"
FORGOTTEN_AFTER_S = 75.0
POLL_S = 1.0
WATCHED_S = 106.0


async def ask_all(deployment, job_id, answered):
    """Polls the job at each node, as users do, and keeps the time of the last answer."""
    async def ask(node):
        while True:
            status, _ = await deployment.poll(job_id, node)
            if status == 200:
                answered["at"] = time.monotonic()
                answered["count"] += 1
            await asyncio.sleep(POLL_S)
    await asyncio.gather(*[ask(node) for node in deployment.nodes])


def gang_spec(deployment, number):
    return deployment.spec(2 + number, lane="province-sim-sweep", shape="group", legs=TASKS, cores=0.00001,
                           accelerators=0.0, memGb=0.00001, urgency="idle", etaS=60.0 - 8.0 * number,
                           sizeGb=0.2)


async def play(deployment):
    record, cluster = deployment.record, deployment.cluster
    # The machine comes up after the gangs are accepted, so that the first plan has all of them.
    cluster.boot_s = 5.0
    # The cloud has no second machine to give; this one has room for everything.
    cluster.most_machines = 1
    if not await deployment.wait_ready():
        return 2
    job = deployment.spec(1, legs=2, cores=10.0, etaS=60.0, sizeGb=0.2)
    if await deployment.submit(job) != 201:
        return 2
    answered = {"at": time.monotonic(), "count": 0}
    polls = asyncio.ensure_future(ask_all(deployment, job["id"], answered))
    await asyncio.sleep(1)
    if TROUBLE:
        record.write(f"TROUBLE: {GANGS} gangs of {TASKS} tasks, which take one core together each")
        gangs = [asyncio.ensure_future(deployment.submit(gang_spec(deployment, number)))
                 for number in range(GANGS)]
        # Some of them may find that their controller does not answer any more; users repeat these.
        await asyncio.wait(gangs, timeout=5)
        accepted = [gang for gang in gangs if gang.done() and gang.result() in (200, 201)]
        record.write(f"{len(accepted)} of the gangs are accepted")
        if not accepted:
            return 2
    submitted = time.monotonic()
    while time.monotonic() < submitted + WATCHED_S:
        await asyncio.sleep(0.5)
        if deployment.ended_nodes():
            return 2
        silent_s = time.monotonic() - answered["at"]
        if silent_s > FORGOTTEN_AFTER_S:
            used = {node.label: round(deployment.cpu_s(node), 1) for node in deployment.nodes}
            record.write(f"processor time of the controllers in seconds: {used}")
            record.breach("forgotten", f"no poll for {job['id']} was answered at any node for "
                          f"{silent_s:.0f} s, after {answered['count']} answers")
            break
    polls.cancel()
    return 1 if any(rule == "forgotten" for rule, _ in record.broken) else 0


DEPLOYMENT = Deployment(os.path.join(HERE, "record.txt"), site="rotfai-care-transport")
sys.exit(asyncio.run(main_with(DEPLOYMENT, play)))
