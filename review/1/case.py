"""A machine that is rented during an outage of the cloud is taken for gone while it runs tasks."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import Deployment, main_with  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SITE = "tuilenord-imagery"
OUTAGE_S = 25.0
# `cloud.list_lag_s` of the settings. A list is this old, or up to twice as old.
LIST_LAG_S = 8.0
OLDEST_LIST_S = 2 * LIST_LAG_S - 0.05
# The outage ends this long after a request for the list. The machines that are rented then are shown
# by the second list that is answered after it, and not by the third one if that is older.
AFTER_LIST_S = 2.8


class Cloud:
    """Lists the machines as of some seconds ago, and has an outage."""

    def __init__(self, deployment):
        self.record, self.cluster = deployment.record, deployment.cluster
        self.down = False
        self.history = []
        self.shown = set()
        self.list_asked = asyncio.Event()
        self.rented_at_once = self.cluster.rent
        self.cluster.rent = self.rent
        for node in deployment.nodes:
            self.cluster.cloud_faults[node.label] = self.answer

    async def rent(self, body):
        name = await self.rented_at_once(body)
        self.history.append({"machine": self.cluster.machines[name], "from": time.monotonic(), "to": None})
        return name

    async def answer(self, method, path, body, execute):
        is_list = method == "GET" and path.startswith("/rentals")
        if is_list:
            self.list_asked.set()
            self.list_asked = asyncio.Event()
        if self.down:
            return 503, {"error": "trouble"}
        if is_list:
            return 200, {"stalls": self.list(), "hasNext": False}
        if path == "/rentals/delete":
            for entry in self.history:
                if entry["machine"].name in body["stalls"] and entry["to"] is None:
                    entry["to"] = time.monotonic()
        return await execute()

    def list(self):
        now = time.monotonic()
        # The list may be older than the one before it.
        older = self.rows(now - OLDEST_LIST_S)
        hides = self.shown - {row["id"] for row in older}
        age_s = OLDEST_LIST_S if hides else LIST_LAG_S
        rows = older if hides else self.rows(now - LIST_LAG_S)
        names = sorted(row["id"] for row in rows)
        self.shown = set(names)
        self.record.write(f"cloud: list, {age_s:.2f} s old: {names}")
        return rows

    def rows(self, at):
        return [entry["machine"].listing(at) for entry in self.history
                if entry["from"] <= at and (entry["to"] is None or entry["to"] > at)]


async def submit_jobs(deployment):
    """Submits two jobs; each task takes most of a machine."""
    for number in (1, 2):
        spec = deployment.spec(number, lane="mosaic-train", legs=3, cores=57.0, accelerators=8.0,
                               memGb=410.0, etaS=60.0, sizeGb=0.2, loaners=False)
        if await deployment.submit(spec) != 201:
            return False
    return True


async def play(deployment):
    record, cluster = deployment.record, deployment.cluster
    cluster.boot_s = 1.3
    cluster.most_machines = 24
    cloud = Cloud(deployment)
    if not await deployment.wait_ready():
        return 2
    await asyncio.sleep(1)
    if TROUBLE:
        cloud.down = True
        record.write("TROUBLE: the cloud's interface is down")
        submitting = asyncio.ensure_future(submit_jobs(deployment))
        await asyncio.sleep(OUTAGE_S)
        await cloud.list_asked.wait()
        await asyncio.sleep(AFTER_LIST_S)
        cloud.down = False
        record.write("TROUBLE: the cloud's interface is up again")
    else:
        await cloud.list_asked.wait()
        await asyncio.sleep(AFTER_LIST_S)
        submitting = asyncio.ensure_future(submit_jobs(deployment))
    if not await submitting:
        return 2
    started = record.now()
    while record.now() < started + 55 and not record.broken:
        await asyncio.sleep(0.2)
        if deployment.ended_nodes():
            return 2
    if not cluster.starts:
        return 2
    await asyncio.sleep(1)
    return 1 if any(rule == "ran_twice" for rule, _ in record.broken) else 0


sys.exit(asyncio.run(main_with(Deployment(os.path.join(HERE, "record.txt"), site=SITE), play)))
