"""Stand-ins for the state service, the cloud and the workers, as PROTOCOL-anisecroft.md describes
them, and the record of what was sent, answered and run."""
import asyncio
import bisect
import json
import random
import time
import urllib.parse

import wire


# "The limit for request bodies is 64 KiB", and "size limits are counted in that form" (JSON).
MAX_BODY_BYTES = 64 * 1024


class Record:
    """Writes events to a file, each with the seconds since the start of the run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))

    def breach(self, rule, text):
        if (rule, text) in self.broken:
            return
        self.broken.append((rule, text))
        self.write(f"BROKEN {rule}: {text}")


class StateService:
    """Keys, leases, transactions and watches. Every controller gets an address of its own, so that
    faults can concern one controller. `faults[node]` is a function (method, path, body, execute)
    that returns the answer; without one, requests are executed and answered at once."""

    def __init__(self, record, write_rps=60.0):
        self.record = record
        self.data = {}
        self.keys = []
        self.revision = 0
        self.leases = {}
        self.next_lease = 0
        self.changes = []
        self.changed = asyncio.Event()
        self.faults = {}
        self.addresses = {}
        self.sizes = {}

    async def start(self, nodes):
        for node in nodes:
            async def handler(method, path, body, node=node):
                fault = self.faults.get(node)
                await asyncio.sleep(0.002)
                if fault is not None:
                    return await fault(method, path, body, lambda: self.execute(method, path, body))
                return await self.execute(method, path, body)
            _, self.addresses[node] = await wire.serve(handler)
        asyncio.ensure_future(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [key for key, (_, ends) in self.leases.items() if ends < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        gone = [key for key, (_, _, held) in self.data.items() if held == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.delete(key)
            self.notify()

    def delete(self, key):
        if key in self.data:
            del self.data[key]
            self.keys.pop(bisect.bisect_left(self.keys, key))
            self.changes.append((self.revision, key, {"delete": key, "stamp": self.revision}))

    def notify(self):
        if len(self.changes) > 10_000:
            del self.changes[:-10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def execute(self, method, path, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        route = urllib.parse.unquote(url.path)
        if route == "/kv":
            return self.list(query)
        if route.startswith("/kv/"):
            key = route[4:]
            if key not in self.data:
                return 404, {"ledger": self.revision}
            value, stamp, lease = self.data[key]
            item = {"path": key, "v": value, "stamp": stamp}
            return 200, item if lease is None else {**item, "permit": lease}
        if route == "/commit":
            return self.commit(body)
        if route == "/grants":
            self.next_lease += 1
            ttl = body["ttlMs"] / 1000.0
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"permit": self.next_lease}
        if route.startswith("/grants/"):
            lease = int(route.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {}
        if route == "/follow":
            return await self.follow(query)
        return 400, {"error": "unknown"}

    def list(self, query):
        prefix, since = query.get("starts", ""), query.get("since")
        most = min(int(query.get("most", 1000)), 1000)
        start = bisect.bisect_left(self.keys, prefix)
        if since is not None:
            start = max(start, bisect.bisect_right(self.keys, since))
        rows, size = [], 0
        for key in self.keys[start:]:
            if not key.startswith(prefix):
                return 200, {"rows": rows, "hasNext": False, "ledger": self.revision}
            value, stamp, _ = self.data[key]
            size += len(wire.pack(value)) + len(key) + 40
            if len(rows) >= most or size > 480 * 1024:
                return 200, {"rows": rows, "hasNext": True, "ledger": self.revision}
            rows.append({"path": key, "v": value, "stamp": stamp})
        return 200, {"rows": rows, "hasNext": False, "ledger": self.revision}

    def commit(self, body):
        failed = [item["path"] for item in body.get("when") or []
                  if (self.data[item["path"]][1] if item["path"] in self.data else 0) != item["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        writes = body.get("writes") or []
        for write in writes:
            if write.get("permit") is not None and write["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        if not writes:
            return 200, {"ledger": self.revision}
        self.revision += 1
        for write in writes:
            if "delete" in write:
                self.delete(write["delete"])
                continue
            key = write["write"]
            if key not in self.data:
                bisect.insort(self.keys, key)
            self.data[key] = (write["v"], self.revision, write.get("permit"))
            event = {"write": key, "v": write["v"], "stamp": self.revision}
            self.changes.append((self.revision, key, event))
        self.notify()
        return 200, {"ledger": self.revision}

    async def follow(self, query):
        prefix, since = query.get("starts", ""), int(query["since"])
        until = time.monotonic() + int(query.get("blockMs", 0)) / 1000.0
        while True:
            if self.changes and len(self.changes) >= 10_000 and since < self.changes[0][0] - 1:
                return 410, {}
            start = bisect.bisect_right(self.changes, since, key=lambda change: change[0])
            events = [event for _, key, event in self.changes[start:] if key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"ledger": self.revision, "events": events}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def leader(self):
        """Name of the node that holds the leader key, and the key's version."""
        if "a/leader" not in self.data:
            return None, 0
        value, stamp, _ = self.data["a/leader"]
        return value["Leader"]["node"], stamp


class Task:
    def __init__(self, leg, attempt, job):
        self.leg, self.attempt, self.job = leg, attempt, job
        self.state, self.cause, self.kept = "fetching", None, None
        self.on_machine = False
        self.process = None

    def report(self):
        entry = {"leg": self.leg, "try": self.attempt, "status": self.state}
        if self.cause is not None:
            entry["cause"] = self.cause
        if self.kept is not None:
            entry["kept"] = self.kept
        return entry


class Cluster:
    """Everything outside the controllers, except the state service."""

    def __init__(self, record, nodes, settings):
        self.record = record
        self.nodes = nodes
        self.settings = settings
        self.jobs = {}
        self.finished = {}
        self.running = {}
        self.starts = []
        self.machines = {}
        self.rentals = {}
        self.next_machine = 0
        self.told_cancelled = {}
        self.asked_cancel = set()
        self.told_final = {}
        self.accepted = {}
        self.cloud_faults = {}
        self.cloud_addresses = {}
        self.gangs = {}
        self.boot_s = 4.0
        self.most_machines = 12
        self.types = [{**item, "yards": settings["zones"]} for item in settings["types"]]

    async def start(self, nodes):
        for node in nodes:
            async def handler(method, path, body, node=node):
                fault = self.cloud_faults.get(node)
                await asyncio.sleep(0.05)
                if fault is not None:
                    return await fault(method, path, body, lambda: self.cloud(method, path, body))
                return await self.cloud(method, path, body)
            _, self.cloud_addresses[node] = await wire.serve(handler)
        asyncio.ensure_future(self.watch_cancellations())

    async def cloud(self, method, path, body):
        url = urllib.parse.urlsplit(path)
        if url.path == "/machine_types":
            return 200, {"breeds": self.types}
        if url.path == "/rentals" and method == "POST":
            if body["booking"] not in self.rentals:
                room = self.most_machines - len(self.machines)
                count = min(body["howMany"], 50, room)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                names = [await self.rent(body) for _ in range(count)]
                self.rentals[body["booking"]] = names
                self.record.write(f"cloud: rental {body['booking']} -> {names}")
            return 200, {"stalls": self.rentals[body["booking"]]}
        if url.path == "/rentals/delete":
            for name in body["stalls"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    self.record.write(f"cloud: {name} deleted")
                    machine.remove()
            return 200, {}
        query = dict(urllib.parse.parse_qsl(url.query))
        since = query.get("since", "")
        now = time.monotonic()
        rows = [machine.listing(now) for name, machine in sorted(self.machines.items()) if name > since]
        most = min(int(query.get("most", 500)), 500)
        return 200, {"stalls": rows[:most], "hasNext": len(rows) > most}

    async def rent(self, body):
        self.next_machine += 1
        name = "vm-%06d" % self.next_machine
        machine = Worker(self, name, body["breed"], body["yard"], body["loaners"])
        self.machines[name] = machine
        await machine.open()
        asyncio.ensure_future(machine.run(self.boot_s * random.uniform(0.6, 1.5)))
        return name

    def on_start(self, machine, task):
        leg, job_id = task.leg, task.leg.rsplit("/", 1)[0]
        others = self.running.setdefault(leg, {})
        self.record.write(f"run: {leg} try {task.attempt} starts on {machine.name}")
        self.starts.append((self.record.now(), leg, task.attempt, machine.name))
        if others:
            self.record.breach("ran_twice", f"{leg} starts on {machine.name} while it is on {list(others)}")
        others[machine.name] = task.attempt
        told = self.told_cancelled.get(job_id)
        if told is not None and time.monotonic() > told + self.settings["cancel_s"]:
            self.record.breach("ran_cancelled", f"{leg} starts on {machine.name}")
        spec = self.jobs.get(job_id)
        if spec is not None:
            if spec.get("yard") not in (None, machine.zone) or machine.spot and not spec["loaners"]:
                self.record.breach("wrong_place", f"{leg} starts on {machine.name}")
            for awaited in spec.get("awaits") or []:
                if len(self.finished.get(awaited, ())) < self.jobs[awaited]["legs"]:
                    self.record.breach("too_early", f"{leg} starts before {awaited} is done")

    def on_end(self, machine, task, why):
        others = self.running.get(task.leg, {})
        if machine.name in others:
            del others[machine.name]
        self.record.write(f"run: {task.leg} try {task.attempt} ends on {machine.name}: {why}")
        if why == "done":
            job_id, number = task.leg.rsplit("/", 1)
            self.finished.setdefault(job_id, set()).add(int(number))

    async def watch_cancellations(self):
        reported = set()
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for leg, machines in self.running.items():
                job_id = leg.rsplit("/", 1)[0]
                told = self.told_cancelled.get(job_id)
                if machines and told is not None and now > told + self.settings["cancel_s"] \
                        and leg not in reported:
                    reported.add(leg)
                    self.record.breach("ran_cancelled", f"{leg} is on {list(machines)} "
                                       f"{now - told:.1f} s after its user was told")


class Worker:
    """One machine and its worker."""

    def __init__(self, cluster, name, machine_type, zone, spot):
        self.cluster, self.name = cluster, name
        self.machine_type, self.zone, self.spot = machine_type, zone, spot
        self.rented = time.monotonic()
        self.up = self.gone = False
        self.up_since = None
        self.session, self.tally, self.token = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.wake = asyncio.Event()
        self.server = None
        self.addr = ""
        self.at = random.randrange(len(cluster.nodes))
        self.cut_from = set()
        self.connection = None
        self.processes = []
        self.report_bytes = 0

    async def open(self):
        self.server, self.addr = await wire.serve(self.on_direct)

    def listing(self, at):
        """The machine's entry in the cloud's list, as of the time `at`."""
        is_up = self.up_since is not None and self.up_since <= at
        return {"id": self.name, "endpoint": self.addr, "breed": self.machine_type, "yard": self.zone,
                "loaners": self.spot, "status": "running" if is_up else "starting",
                "heldS": at - self.rented}

    def remove(self):
        self.gone = True
        self.kill_all("the machine is gone")
        if self.server is not None:
            self.server.close()
        if self.connection is not None:
            self.connection.close()
        for process in self.processes:
            process.cancel()

    def kill_all(self, why):
        for task in self.tasks.values():
            if task.process is not None:
                task.process.cancel()
            if task.on_machine:
                task.on_machine = False
                self.cluster.on_end(self, task, why)
        self.tasks.clear()

    async def run(self, boot_s):
        self.processes = [asyncio.ensure_future(self.report_loop(boot_s))]

    def report(self):
        self.tally += 1
        return {"stall": self.name, "endpoint": self.addr, "breed": self.machine_type, "yard": self.zone,
                "loaners": self.spot, "shift": self.session, "tally": self.tally, "baton": self.token,
                "recallS": None, "legs": [task.report() for task in self.tasks.values()]}

    async def on_direct(self, method, path, body):
        if self.gone or not self.up:
            return None
        if path == "/inspect":
            return 200, self.report()
        if "baton" not in body or "shift" not in body:
            return 400, {}
        if body["baton"] < self.token or body["shift"] != self.session:
            return 409, self.report()
        self.token = body["baton"]
        self.execute(body["orders"])
        return 200, self.report()

    async def report_loop(self, boot_s):
        await asyncio.sleep(boot_s)
        self.up = True
        self.up_since = self.answered = time.monotonic()
        self.processes.append(asyncio.ensure_future(self.lease_loop()))
        report_s = self.cluster.settings["report_s"]
        nodes = self.cluster.nodes
        while True:
            node = nodes[self.at]
            sent, session = time.monotonic(), self.session
            report = self.report()
            self.report_bytes = len(json.dumps(report))
            self.wake.clear()
            if self.report_bytes > MAX_BODY_BYTES:
                # The worker must list all of its tasks, and may not send a larger body.
                self.cluster.record.write(f"worker: {self.name} cannot report {len(self.tasks)} tasks: "
                                          f"{self.report_bytes} bytes")
                await asyncio.sleep(1.0)
                continue
            status, answer = await self.send(node, report)
            if status == 200:
                self.take_answer(sent, session, answer)
                pause = random.uniform(0.75, 1.25) * report_s - (time.monotonic() - sent)
                await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - sent)))
                pause -= max(0.0, 0.5 - (time.monotonic() - sent))
                try:
                    await asyncio.wait_for(self.wake.wait(), max(0.01, pause))
                except asyncio.TimeoutError:
                    pass
                continue
            self.close()
            other = answer.get("dispatcher") if status == 421 and answer else None
            names = [item.label for item in nodes]
            if status not in (421, None):
                self.cluster.record.write(f"worker: {self.name} at {node.label}: {status} "
                                          f"({self.report_bytes} bytes)")
            if other in names and other != node.label:
                self.at = names.index(other)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.at = (self.at + 1) % len(nodes)
                await asyncio.sleep(1.0)

    async def send(self, node, report):
        if node.label in self.cut_from:
            await asyncio.sleep(4.0)
            return None, None
        if self.connection is None or self.connection.addr != node.front:
            self.close()
            self.connection = wire.Connection(node.front)
        try:
            status, answer, _ = await self.connection.request("POST", "/agent/beat", report, 4.0)
            return status, answer
        except (OSError, asyncio.TimeoutError):
            return None, None

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def take_answer(self, sent, session, answer):
        token = (answer or {}).get("baton")
        if token is None or token < self.token or session != self.session:
            return
        if token > self.token:
            self.token = token
            self.wake.set()
        self.answered = max(self.answered, sent)
        self.execute(answer["orders"])

    async def lease_loop(self):
        lease_s = self.cluster.settings["lease_s"]
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.answered > lease_s:
                self.cluster.record.write(f"worker: {self.name} lease over, session {self.session + 1}")
                self.kill_all("lease over")
                self.session += 1
                self.answered = time.monotonic()
                self.wake.set()

    def execute(self, orders):
        for order in orders:
            leg, attempt = order["leg"], order["try"]
            key = (leg, attempt)
            if order["verb"] == "launch":
                if key in self.tasks:
                    continue
                task = Task(leg, attempt, leg.rsplit("/", 1)[0])
                self.tasks[key] = task
                spec = self.cluster.jobs.get(task.job)
                refusal = None
                live = [other for other in self.tasks.values() if other.state != "ended"]
                if spec is None or int(leg.rsplit("/", 1)[1]) >= spec["legs"]:
                    refusal = "unknown"
                elif any(other.leg == leg for other in live if other is not task):
                    refusal = "in_use"
                elif not self.has_room(spec, live, task):
                    refusal = "no_room"
                self.wake.set()
                if refusal is not None:
                    task.state, task.cause = "ended", refusal
                    continue
                task.process = asyncio.ensure_future(self.run_task(task, spec))
            elif order["verb"] == "stop" and key in self.tasks:
                self.stop(self.tasks[key])
            elif order["verb"] == "clear" and key in self.tasks and self.tasks[key].state == "ended":
                del self.tasks[key]

    def has_room(self, spec, live, task):
        size = next(item for item in self.cluster.types if item["sku"] == self.machine_type)
        for field in ("cores", "accelerators", "memGb"):
            used = sum(self.cluster.jobs[other.job][field] for other in live if other is not task)
            if used + spec[field] > size[field] + 1e-6:
                return False
        return True

    def stop(self, task):
        if task.state == "ended":
            return
        if task.process is not None:
            task.process.cancel()
        self.exit(task, "stopped")

    def exit(self, task, cause):
        task.state, task.cause = "ended", cause
        if task.on_machine:
            task.on_machine = False
            self.cluster.on_end(self, task, cause)
        self.wake.set()

    async def run_task(self, task, spec):
        if spec["kit"] not in self.images:
            size = next(item for item in self.cluster.types if item["sku"] == self.machine_type)
            await asyncio.sleep(spec["sizeGb"] / size["pullGbPerS"])
            self.images.add(spec["kit"])
        number = int(task.leg.rsplit("/", 1)[1])
        if number in self.cluster.finished.get(task.job, ()):
            self.exit(task, "done")
            return
        task.on_machine = True
        self.cluster.on_start(self, task)
        if spec["shape"] == "group" and spec["legs"] > 1:
            return await self.run_gang_task(task, spec, number)
        task.state = "running"
        self.wake.set()
        if spec["shape"] == "standing":
            await asyncio.sleep(1e6)
        await asyncio.sleep(spec.get("run_s", spec["etaS"]))
        self.exit(task, "done")

    async def run_gang_task(self, task, spec, number):
        """The tasks of a gang start together and complete together."""
        task.state = "waiting"
        settings = self.cluster.settings
        gang = self.cluster.gangs.setdefault((task.job, task.attempt), {"tasks": {}, "ends": None,
                                                                       "done": False})
        gang["tasks"][number] = task
        waits_until = time.monotonic() + settings["gang_wait_s"]
        while gang["ends"] is None:
            members = [gang["tasks"].get(n) for n in range(spec["legs"])]
            if all(member is not None and member.on_machine for member in members):
                gang["ends"] = time.monotonic() + spec.get("run_s", spec["etaS"])
                break
            if time.monotonic() > waits_until:
                return self.exit(task, "alone")
            await asyncio.sleep(0.05)
        task.state = "running"
        self.wake.set()
        while not gang["done"]:
            await asyncio.sleep(0.05)
            if gang["done"]:
                break
            if not all(gang["tasks"][n].on_machine for n in range(spec["legs"])):
                await asyncio.sleep(settings["gang_peer_s"] / 2)
                return self.exit(task, "peers")
            if time.monotonic() >= gang["ends"]:
                gang["done"] = True
                self.cluster.finished.setdefault(task.job, set()).update(range(spec["legs"]))
        self.exit(task, "done")
