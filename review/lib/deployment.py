"""Starts the controllers with the commands of the deploy file, and stands for users."""
import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import wire
from stand_ins import Cluster, Record, StateService

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# From the settings of the two deployments, at their smallest size (BRIEF).
SITES = {
    "rotfai-care-transport": {
        "zones": ["bangkok-north", "chiang-mai", "khon-kaen"],
        "report_s": 3.0, "lease_s": 19.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": 39.0,
        "rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48,
        "cloud_rps": 2.0, "list_lag_s": 3.0,
        "cpu_share": 0.12, "memory_mb": 104.0, "max_connections": 1200,
        "teams": (("dispatch", 32.0, 72.0), ("clinics", 48.0, 152.0), ("fleet", 24.0, 96.0)),
        "objectives": ({"kind": "wait", "class": "urgent-rebook", "within_s": 12.0, "share": 0.82},
                       {"kind": "deadline", "class": "eta-refit", "share": 0.9, "times": 1.0}),
        "types": ({"sku": "chedi-node", "cores": 48.0, "accelerators": 4.0, "memGb": 288.0,
                   "localGb": 80.0, "pullGbPerS": 0.6, "price": 10.1, "lowPrice": 2.92, "bootS": 45.0},),
        "job": {"lane": "eta-refit", "crew": "fleet", "cores": 10.0, "accelerators": 1.0, "memGb": 54.0},
    },
    "tuilenord-imagery": {
        "zones": ["montreal-east", "quebec-city", "saguenay"],
        "report_s": 3.0, "lease_s": 29.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": 54.0,
        "rps": 150.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 24,
        "cloud_rps": 6.0, "list_lag_s": 8.0,
        "cpu_share": 0.16, "memory_mb": 136.0, "max_connections": 3000,
        "teams": (("imagery-ops", 0.0, 0.0),),
        "objectives": ({"kind": "wait", "class": "mosaic-train", "within_s": 25.0, "share": 0.85},
                       {"kind": "deadline", "class": "cloud-mask", "share": 0.65, "times": 1.0}),
        "types": ({"sku": "epinette-small", "cores": 24.0, "accelerators": 4.0, "memGb": 96.0,
                   "localGb": 80.0, "pullGbPerS": 0.6, "price": 13.12, "lowPrice": 4.98, "bootS": 40.0},
                  {"sku": "epinette-large", "cores": 64.0, "accelerators": 8.0, "memGb": 512.0,
                   "localGb": 80.0, "pullGbPerS": 0.6, "price": 25.56, "lowPrice": 9.95, "bootS": 30.0}),
        "job": {"lane": "cloud-mask", "crew": "imagery-ops", "cores": 6.0, "accelerators": 1.0,
                "memGb": 48.0},
    },
}
ZONES = SITES["rotfai-care-transport"]["zones"]


def free_addresses(count):
    """Free ports below the range of outgoing connections, so that a restart finds its port free."""
    addresses, sockets = [], []
    while len(addresses) < count:
        port = random.randrange(20000, 32000)
        item = socket.socket()
        try:
            item.bind(("127.0.0.1", port))
        except OSError:
            item.close()
            continue
        sockets.append(item)
        addresses.append(f"127.0.0.1:{port}")
    for item in sockets:
        item.close()
    return addresses


class Node:
    """One controller: its settings file and its process."""

    def __init__(self, label, zone, front, back):
        self.label, self.zone, self.front, self.back = label, zone, front, back
        self.process = None
        self.stopped = False


class Deployment:
    def __init__(self, record_path, settings=None, nodes=3, site="rotfai-care-transport"):
        self.settings = {**SITES[site], **(settings or {})}
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        addresses = free_addresses(2 * nodes)
        self.nodes = [Node(f"stable-{i}", self.settings["zones"][i], addresses[2 * i], addresses[2 * i + 1])
                      for i in range(nodes)]
        self.state = StateService(self.record)
        self.cluster = Cluster(self.record, self.nodes, self.settings)
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.command = shlex.split(tomllib.load(file)["run"])
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            print("the program is not built")
            self.close()
            sys.exit(2)

    async def start(self, start_nodes=True):
        await self.state.start([node.label for node in self.nodes])
        await self.cluster.start([node.label for node in self.nodes])
        for node in self.nodes:
            self.write_settings(node)
            if start_nodes:
                self.start_node(node)

    def write_settings(self, node):
        s = self.settings
        lines = [f'label = "{node.label}"', f'location = "{node.zone}"', f'front = "{node.front}"',
                 f'back = "{node.back}"']
        for peer in self.nodes:
            if peer is not node:
                lines += ["[[seeds]]", f'label = "{peer.label}"', f'location = "{peer.zone}"',
                          f'peer_addr = "{getattr(node, "peer_addrs", {}).get(peer.label, peer.back)}"']
        lines += ["[external]", f'cloud = "{self.cluster.cloud_addresses[node.label]}"',
                  f'state = "{self.state.addresses[node.label]}"', "[params]", f"size = {len(self.nodes)}",
                  "zones = [" + ", ".join(f'"{zone}"' for zone in s["zones"]) + "]",
                  "clock_error_ms = 5.0"]
        for name, gpus, most in s["teams"]:
            lines += ["[[params.teams]]", f'name = "{name}"', "cpus = 0.0", "cpus_max = 0.0",
                      f"gpus = {gpus}", f"gpus_max = {most}"]
        for objective in s["objectives"]:
            lines.append("[[params.objectives]]")
            lines += [f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
                      for key, value in objective.items()]
        lines += [
                  "[params.workers]", f"report_s = {s['report_s']}", f"lease_s = {s['lease_s']}",
                  f"gang_wait_s = {s['gang_wait_s']}", f"gang_peer_s = {s['gang_peer_s']}",
                  f"cancel_s = {s['cancel_s']}",
                  "[params.state]", f"rps = {s['rps']}", f"write_rps = {s['write_rps']}",
                  f"value_kb = {s['value_kb']}", f"txn_ops = {s['txn_ops']}"]
        if "next" in s:
            lines += ["[params.state.next]"] + [f"{key} = {value}" for key, value in s["next"].items()]
        lines += ["[params.cloud]", f"rps = {s['cloud_rps']}", f"list_lag_s = {s['list_lag_s']}",
                  "[params.resources]", f"cpu_share = {s['cpu_share']}", f"memory_mb = {s['memory_mb']}",
                  f"max_connections = {s['max_connections']}"]
        node.config = os.path.join(self.folder, node.label + ".toml")
        with open(node.config, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start_node(self, node):
        log = open(os.path.join(self.folder, node.label + ".log"), "ab")
        node.process = subprocess.Popen(self.command + [node.config], cwd=ROOT, stderr=log, stdout=log,
                                        stdin=subprocess.DEVNULL,
                                        env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})
        node.stopped = False
        self.record.write(f"node: {node.label} started, pid {node.process.pid}")

    def kill(self, node):
        node.process.kill()
        node.process.wait()
        self.record.write(f"node: {node.label} killed")

    def pause(self, node):
        node.process.send_signal(signal.SIGSTOP)
        node.stopped = True
        self.record.write(f"node: {node.label} stopped (SIGSTOP)")

    def resume(self, node):
        node.process.send_signal(signal.SIGCONT)
        node.stopped = False
        self.record.write(f"node: {node.label} continued (SIGCONT)")

    def ended_nodes(self):
        return [node for node in self.nodes if node.process is not None and node.process.poll() is not None]

    def cpu_s(self, node):
        """Processor time that the node's process has used."""
        with open(f"/proc/{node.process.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def leader(self):
        label, token = self.state.leader()
        return next((node for node in self.nodes if node.label == label), None), token

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self.keep_logs()
        shutil.rmtree(self.folder, ignore_errors=True)

    def keep_logs(self):
        target = os.environ.get("KEEP_LOGS")
        if target:
            os.makedirs(target, exist_ok=True)
            for node in self.nodes:
                path = os.path.join(self.folder, node.label + ".log")
                if os.path.exists(path):
                    shutil.copy(path, target)

    # --- users ---

    def spec(self, number, **fields):
        spec = {"id": "req-%06d" % number, "shape": "array", "urgency": "standard", "legs": 1,
                "kit": "img-01", "sizeGb": 2.0, "breeds": None, "yard": None, "together": False,
                "spread": False, "loaners": True, "etaS": 8.0, "waypointS": 0.0, "stashS": 0.0,
                "dueS": None, **self.settings["job"]}
        spec.update(fields)
        return spec

    async def ask(self, node, method, path, body=None, timeout=5.0):
        """One request on a new connection. Returns (status, body) or (None, reason)."""
        connection = wire.Connection(node.front)
        try:
            status, answer, headers = await connection.request(method, path, body, timeout)
            return status, answer
        except (OSError, asyncio.TimeoutError) as error:
            return None, type(error).__name__
        finally:
            connection.close()

    async def wait_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        for node in self.nodes:
            while True:
                status, _ = await self.ask(node, "GET", "/up", timeout=1.0)
                if status == 200:
                    break
                if time.monotonic() > until:
                    self.record.write(f"{node.label} is not healthy")
                    return False
                await asyncio.sleep(0.2)
        return True

    def check_answer(self, job_id, asked_at, status, answer, node, kind):
        """The rules about answers, for a request sent at `asked_at`."""
        cluster, record = self.cluster, self.record
        accepted = cluster.accepted.get(job_id)
        was_accepted = accepted is not None and accepted < asked_at
        final = cluster.told_final.get(job_id)
        was_final = final is not None and final[1] < asked_at
        if kind == "poll" and status == 404 and was_accepted:
            record.breach("forgotten", f"{job_id} gets 404 at {node.label}")
        if kind == "submit" and status in (400, 422) and was_accepted:
            record.breach("forgotten", f"repeated submission of {job_id} gets {status} at {node.label}")
        if status not in (200, 201) or not isinstance(answer, dict) or "status" not in answer:
            return
        if answer.get("id") != job_id:
            record.breach("foreign", f"answer for {answer.get('id')} to a request for {job_id}")
        told = answer["status"]
        if job_id not in cluster.jobs:
            record.breach("invented", f"{job_id} gets {status}")
            return
        if was_final and told != final[0]:
            record.breach("went_back", f"{job_id} is {told} at {node.label} after {final[0]}")
        if told == "withdrawn" and job_id not in cluster.asked_cancel and not self.awaits_cancelled(job_id):
            record.breach("went_back", f"{job_id} is called withdrawn, its user did not cancel it")
        if told == "done" and len(cluster.finished.get(job_id, ())) < cluster.jobs[job_id]["legs"]:
            record.breach("not_done", f"{job_id} is called done")
        if told in ("done", "withdrawn"):
            cluster.told_final.setdefault(job_id, (told, time.monotonic()))
            if told == "withdrawn":
                cluster.told_cancelled.setdefault(job_id, time.monotonic())
        cluster.accepted.setdefault(job_id, time.monotonic())

    def awaits_cancelled(self, job_id):
        pending, seen = [job_id], set()
        while pending:
            spec = self.cluster.jobs.get(pending.pop())
            for awaited in (spec or {}).get("awaits") or []:
                if awaited in self.cluster.asked_cancel:
                    return True
                if awaited not in seen:
                    seen.add(awaited)
                    pending.append(awaited)
        return False

    async def submit(self, spec, node=None, limit_s=60.0, quiet=False):
        """Submits as a user does: with retries, for up to 60 s."""
        job_id = spec["id"]
        self.cluster.jobs.setdefault(job_id, spec)
        body = {key: value for key, value in spec.items() if key != "run_s"}
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            target = node or self.pick()
            asked = time.monotonic()
            status, answer = await self.ask(target, "POST", "/api/jobs", body)
            if not quiet:
                self.record.write(f"user: submit {job_id} at {target.label}: {status} {answer}")
            self.check_answer(job_id, asked, status, answer, target, "submit")
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return None

    async def poll(self, job_id, node=None, quiet=False):
        target = node or self.pick()
        asked = time.monotonic()
        status, answer = await self.ask(target, "GET", f"/api/jobs/{job_id}", timeout=2.0)
        if not quiet:
            self.record.write(f"user: poll {job_id} at {target.label}: {status} {answer}")
        self.check_answer(job_id, asked, status, answer, target, "poll")
        return status, (answer or {}).get("status") if isinstance(answer, dict) else None

    async def cancel(self, job_id, node=None, limit_s=60.0):
        self.cluster.asked_cancel.add(job_id)
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            target = node or self.pick()
            asked = time.monotonic()
            status, answer = await self.ask(target, "POST", f"/api/jobs/{job_id}/cancel")
            self.record.write(f"user: cancel {job_id} at {target.label}: {status} {answer}")
            self.check_answer(job_id, asked, status, answer, target, "cancel")
            if status == 200:
                return answer["status"]
            await asyncio.sleep(1.0)
        return None

    def pick(self):
        up = [node for node in self.nodes if not node.stopped and node.process.poll() is None]
        return random.choice(up or self.nodes)


async def main_with(deployment, play):
    """Runs `play` and ends everything. Returns the exit code."""
    code = 2
    try:
        await deployment.start()
        code = await play(deployment)
    except Exception:
        traceback.print_exc()
    finally:
        for rule, text in deployment.record.broken:
            print(f"broken: {rule}: {text}")
        deployment.close()
    return code
