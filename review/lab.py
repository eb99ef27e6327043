"""Stand-ins for the platform's store, executors and clients, and the processes of a small
deployment of ggb-node on loopback addresses. Used by the scripts review/N/run.sh."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

FRONT, READY, PEER, HOLD_MAX_MS, STOP_MS, RESEND_MS = 8161, 8167, 7720, 1000, 50, 1300


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run, by the clock of the stand-ins."""

    def __init__(self):
        self.begin, self.lines = now_ms(), []

    def add(self, what, **fields):
        self.lines.append((now_ms() - self.begin, what, fields))

    def write(self, path):
        with open(path, "w") as out:
            for at, what, fields in self.lines:
                text = " ".join(f"{key}={value}" for key, value in fields.items())
                out.write(f"{at:10.1f} ms  {what} {text}\n")


async def serve_http(addr, handler, conns=None, life=lambda: 0, closes=False):
    """Serves HTTP/1.1; handler(method, path, headers, body) returns (status, object) or None for silence.
    A connection of a former life() stays open and silent. closes: each connection ends after its response."""

    async def on_connection(reader, writer):
        if conns is not None:
            conns.add(writer)
        born = life()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if life() != born:
                    await asyncio.sleep(3600)
                reply = await handler(method, path, headers, body)
                if reply is None or life() != born:
                    await asyncio.sleep(3600)
                status, value = reply
                data = json.dumps(value).encode() if value is not None else b""
                close = "connection: close\r\n" if closes else ""
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n{close}\r\n".encode() + data
                )
                await writer.drain()
                if closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            if conns is not None:
                conns.discard(writer)
            writer.close()

    return await asyncio.start_server(on_connection, addr[0], addr[1], backlog=512)


class Store:
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self, addr):
        self.addr, self.rows, self.ver, self.changed = addr, {}, 0, asyncio.Event()

    async def start(self):
        self.server = await serve_http(self.addr, self.handle)

    def put(self, table, key, value):
        data = None if value is None else base64.b64encode(
            value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
        self.ver += 1
        self.rows[(table, key)] = (self.ver, data)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def row(self, table, key):
        ver, data = self.rows[(table, key)]
        row = {"table": table, "part": "", "key": key, "ver": ver}
        row.update({"deleted": True} if data is None else {"value": data})
        return row

    def meta(self):
        return {"ver": self.ver, "nowMs": int(now_ms())}

    async def handle(self, method, path, headers, body):
        from urllib.parse import parse_qs, urlsplit

        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            call = json.loads(body)
            for expected in call.get("expectedRev", []):
                ver, data = self.rows.get((expected["table"], expected["key"]), (0, None))
                if expected["ver"] != (ver if data is not None else 0):
                    return 412, {"rows": [], **self.meta()}
            await asyncio.sleep(0.004)
            for write in call.get("writes", []):
                self.put(write["table"], write["key"], base64.b64decode(write["value"]))
            return 200, self.meta()
        if url.path == "/v1/rows-get":
            low = query.get("from", "")
            keys = sorted(key for (table, key), (_, data) in self.rows.items()
                          if table == query["table"] and data is not None and key >= low)
            rows = [self.row(query["table"], key) for key in keys[:500]]
            return 200, {"rows": rows, "morePages": len(keys) > 500, **self.meta()}
        if url.path == "/v1/rows-feed":
            end = now_ms() + float(query.get("waitMs", "0"))
            while True:
                after, table = int(query["after"]), query["table"]
                found = sorted((ver, key) for (tab, key), (ver, _) in self.rows.items()
                               if tab == table and ver > after)
                left = end - now_ms()
                if found or left <= 0:
                    rows = [self.row(table, key) for _, key in found]
                    return 200, {"rows": rows, **self.meta()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left / 1000.0)
                except asyncio.TimeoutError:
                    pass
        return 404, None


class Executor:
    """An executor as PROTOCOL.md describes it. A task's spec says what each step takes."""

    def __init__(self, lab, ident, addr, zone, service, cpu=8000, mem=8000, labels=("a", "r1"), guards=True, closes=False):
        self.lab, self.id, self.addr, self.zone, self.service = lab, ident, addr, zone, service
        self.cpu, self.mem, self.labels, self.guards = cpu, mem, list(labels), guards
        self.state, self.conns, self.server, self.up = "ready", set(), None, False
        self.mute, self.life, self.listing_late_ms, self.closes = False, 0, 0, closes

    async def start(self):
        self.reset()
        self.up = True
        self.server = await serve_http(self.addr, self.handle, self.conns, lambda: self.life, self.closes)
        self.task = asyncio.ensure_future(self.work())
        self.publish()

    def reset(self):
        self.born, self.origin = int(time.time() * 1000), now_ms() - 1000
        self.token, self.lease, self.runs, self.ended, self.count = 0, 0.0, {}, [], 0
        self.highest, self.event = {}, asyncio.Event()

    def publish(self):
        self.seq = getattr(self, "seq", 0) + 1
        self.lab.store.put("servers", self.id, {
            "service": self.service, "address": f"{self.addr[0]}:{self.addr[1]}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0, "seqNo": self.seq,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0}, "labels": self.labels, "born": self.born})
        self.lab.record.add("entry", executor=self.id, state=self.state, labels=",".join(self.labels), born=self.born)

    async def crash(self):
        """Ends the executor with all that it runs; its entry stays for now."""
        self.up = False
        self.lab.record.add("crash", executor=self.id)
        for run in list(self.runs.values()):
            self.finish(run, "crashed")
        self.server.close()
        for writer in list(self.conns):
            writer.transport.abort()
        self.task.cancel()

    def crash_dark(self):
        """Ends the executor with all that it runs; its connections stay open and silent."""
        self.lab.record.add("crash", executor=self.id, connections="silent")
        for run in list(self.runs.values()):
            self.finish(run, "crashed")
        self.life += 1
        self.up = False

    def start_again(self):
        """Starts again under the same id, with nothing of before."""
        self.reset()
        self.up = True
        self.publish()

    def clock(self):
        return int(now_ms() - self.origin)

    def finish(self, run, how):
        self.runs.pop((run["task"], run["run"]), None)
        self.highest[run["task"]] = max(self.highest.get(run["task"], 0), run["run"])
        self.count += 1
        run["end"], run["how"] = now_ms(), how
        self.ended.append([self.count, run["task"], run["run"], how, ""])
        self.lab.record.add("end", executor=self.id, task=run["task"], run=run["run"], how=how)
        event, self.event = self.event, asyncio.Event()
        event.set()

    def sweep(self):
        if self.runs and self.clock() > self.lease:
            for run in list(self.runs.values()):
                self.finish(run, "lapsed")
        for run in list(self.runs.values()):
            if now_ms() >= run["due"]:
                self.finish(run, "done")

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            self.sweep()

    def used(self):
        return (sum(run["cpu"] for run in self.runs.values()), sum(run["mem"] for run in self.runs.values()))

    async def handle(self, method, path, headers, body):
        if self.mute or not self.up:
            return None
        if headers.get("greengagebeam-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        call = json.loads(body)
        self.sweep()
        token = call.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if path == "/v1/run-start":
            return self.start_run(call)
        if path == "/v1/run-stop":
            key = (call["task"], call["run"])
            if key in self.runs:
                self.finish(self.runs[key], "stopped")
            self.highest[call["task"]] = max(self.highest.get(call["task"], 0), call["run"])
            return 200, {"clockMs": self.clock()}
        if path == "/v1/hold":
            self.ended = [row for row in self.ended if row[0] > call.get("ackCursor", 0)]
            self.extend(call.get("deadlineMs"))
            end = now_ms() + min(call.get("waitMs", 0), 2000)
            while not self.ended and now_ms() < end and self.up:
                try:
                    await asyncio.wait_for(self.event.wait(), (end - now_ms()) / 1000.0)
                except asyncio.TimeoutError:
                    pass
            life = self.life
            running = [[run["task"], run["run"], "", self.percent(run), run["cpu"]] for run in self.runs.values()]
            listing = {"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.ended[:500]}
            if self.listing_late_ms:
                await asyncio.sleep(self.listing_late_ms / 1000.0)
            return (200, listing) if life == self.life else None
        return 404, None

    def percent(self, run):
        return min(99, int(100 * (now_ms() - run["begin"]) / max(1, run["due"] - run["begin"])))

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    def start_run(self, call):
        task, number, deadline = call["task"], call["run"], call["deadlineMs"]
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock()}
        if deadline < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(deadline)
        if number <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        step = int(task.split(".")[2])
        spec = json.loads(call["spec"])["steps"][step]
        cpu, mem = self.used()
        over = cpu + spec["cpu"] > self.cpu or mem + spec["mem"] > self.mem
        if over and self.guards:
            return 409, {"clockMs": self.clock(), "reason": "room"}
        run = {"task": task, "run": number, "executor": self.id, "begin": now_ms(), "end": None, "how": None,
               "due": now_ms() + spec["ms"], "cpu": spec["cpu"], "mem": spec["mem"], "labels": list(self.labels),
               "spec": call["spec"], "token": self.token, "over": over, "service": self.service,
               "load": cpu + spec["cpu"], "capacity": self.cpu, "state": self.state}
        self.runs[(task, number)] = run
        self.lab.runs.append(run)
        self.lab.record.add("start", executor=self.id, task=task, run=number, token=self.token,
                            labels=",".join(self.labels), used=cpu + spec["cpu"], of=self.cpu)
        return 200, {"clockMs": self.clock()}


def free_net():
    """A second octet of loopback addresses that no other run of these scripts uses, and what reserves it."""
    for _ in range(200):
        net, lock = random.randint(20, 120), socket.socket()
        try:
            lock.bind((f"127.{net}.9.2", 8169))
            return net, lock
        except OSError:
            lock.close()
    raise OSError("no free loopback addresses")


class Lab:
    def __init__(self, zones=1, nodes=2, name="ggb-review"):
        self.net, self.lock = free_net()
        self.record, self.runs, self.jobs = Record(), [], {}
        self.dir = tempfile.mkdtemp(prefix=name)
        self.zones = [f"zone-{chr(97 + index)}" for index in range(zones)]
        self.store, self.executors, self.nodes, self.version = Store((f"127.{self.net}.9.1", 8169)), [], [], 0
        self.per_zone = nodes

    async def start_store(self, services, routes):
        await self.store.start()
        self.set_config(services, routes)

    def set_config(self, services, routes):
        self.version += 3
        self.store.put("op", "config", {"version": self.version, "routes": routes, "services": services,
                                         "limits": {"maxBodyBytes": 262144}})
        self.record.add("config", version=self.version)

    async def add_executor(self, zone, number, service="work", **options):
        ident = f"i-{zone}-{number}"
        addr = (f"127.{self.net}.{zone + 1}.{100 + number}", 9000)
        executor = Executor(self, ident, addr, self.zones[zone], service, **options)
        await executor.start()
        self.executors.append(executor)
        return executor

    def node_ip(self, zone, number):
        return f"127.{self.net}.{zone + 1}.{10 + number}"

    def write_settings(self, zone, number):
        ip = self.node_ip(zone, number)
        name = f"front-{self.zones[zone]}-{number + 1}"
        path = os.path.join(self.dir, f"{name}.toml")
        zones = "\n".join(f'{zone} = "region"' for zone in self.zones)
        seeds = ",".join(f'"{self.node_ip(z, 0)}:8166"' for z in range(len(self.zones)))
        with open(path, "w") as out:
            out.write(f'''nodeName = "{name}"
role = "node"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{self.zones[zone]}"
region = "region"
portRange = [{PEER},{PEER + 15}]
bootstrap = true
entry = "vip"
heartbeatMs = 1500
orders = "request"
[zones]
{zones}
[listenAddrs]
front = "{ip}:{FRONT}"
ready = "{ip}:{READY}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configDeadlineMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
holdMaxMs = {HOLD_MAX_MS}
stopMs = {STOP_MS}
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
resendMs = {RESEND_MS}
[platform]
address = "{self.store.addr[0]}:{self.store.addr[1]}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 5.0
''')
        return name, ip, path

    def spawn(self, zone, number):
        name, ip, path = self.write_settings(zone, number)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env.update(GREENGAGEBEAM_NODE_FILE=path, ASYNC_STD_THREAD_COUNT="1", GGB_LOG_FILTER="info")
        log = open(os.path.join(self.dir, f"{name}.log"), "a")
        binary = os.environ.get("GGB_NODE", "target/release/ggb-node")
        # The address that the settings name is also the source of the node's connections, as on its own machine.
        env["GGB_BIND_IP"] = ip
        process = subprocess.Popen([binary], env=env, stdout=log, stderr=log)
        node = {"name": name, "ip": ip, "zone": zone, "number": number, "process": process, "log": log.name}
        self.nodes = [other for other in self.nodes if other["name"] != name] + [node]
        self.record.add("spawn", node=name, pid=process.pid)
        return node

    def signal(self, node, number):
        self.record.add("signal", node=node["name"], signal=signal.Signals(number).name)
        node["process"].send_signal(number)

    async def start_nodes(self):
        for zone in range(len(self.zones)):
            for number in range(self.per_zone):
                self.spawn(zone, number)
        await self.until_ready(self.nodes)

    async def until_ready(self, nodes, timeout_s=15):
        for node in nodes:
            end = now_ms() + timeout_s * 1000
            while now_ms() < end:
                status, _ = await self.call(node["ip"], READY, "GET", "/v1/ready", None, 1000)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{node['name']} isn't ready")
        await asyncio.sleep(1.0)

    async def call(self, ip, port, method, path, body, timeout_ms, host="desk.example", headers=()):
        """One request on a connection of its own. Returns (status, value); (None, reason) without an answer."""
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port)
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(data)}"]
            if data:
                lines.append("Content-Type: application/json")
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            status, length = int(head.split(" ")[1]), 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            text = await reader.readexactly(length)
            return status, json.loads(text) if text else None

        try:
            return await asyncio.wait_for(exchange(), timeout_ms / 1000.0)
        except asyncio.TimeoutError:
            return None, "no response"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return None, "broken"
        finally:
            if writer is not None:
                writer.close()

    async def submit(self, pick, ident, steps, spec, deadline_ms=4000, tries=3, path="/desk/"):
        """A job that needn't be kept, sent again as the pages say. pick() names the node of each attempt."""
        body = {"spec": json.dumps({"steps": spec}), "steps": steps, "bestEffort": True}
        job = {"id": ident, "steps": steps, "spec": body["spec"], "attempts": []}
        self.jobs[ident] = job
        for _ in range(tries):
            node = pick()
            attempt = {"node": node["name"], "sent": now_ms(), "answered": None, "status": None, "value": None}
            job["attempts"].append(attempt)
            self.record.add("post", job=ident, node=node["name"])
            status, value = await self.call(node["ip"], FRONT, "POST", path + ident, body, deadline_ms,
                                            headers=[("Greengagebeam-Deadline-Ms", deadline_ms)])
            attempt.update(answered=now_ms(), status=status, value=value)
            self.record.add("answer", job=ident, status=status, value=json.dumps(value))
            if status not in (None, 502, 504):
                return status, value
            await asyncio.sleep(RESEND_MS / 1000.0)
        return status, value

    def stop(self):
        for node in self.nodes:
            if node["process"].poll() is None:
                node["process"].send_signal(signal.SIGCONT)
                node["process"].kill()
                node["process"].wait()

    # The rules, from what clients and executors saw.

    def breaks(self):
        found, by_task = [], {}
        for run in self.runs:
            by_task.setdefault(run["task"], []).append(run)
        at = lambda ms: round(ms - self.record.begin, 1)
        for task, runs in by_task.items():
            ident, _, step, _ = task.split(".")
            job = self.jobs.get(ident)
            if job is None or any(run["spec"] != job["spec"] for run in runs):
                found.append(f"UNASKED {task}")
                continue
            for index, one in enumerate(runs):
                for other in runs[index + 1:]:
                    low = max(one["begin"], other["begin"])
                    high = min(one["end"] or now_ms(), other["end"] or now_ms())
                    if high - low > 1:
                        found.append(f"TWICE {task} ran on {one['executor']} (run {one['run']}) and on "
                                     f"{other['executor']} (run {other['run']}) from {at(low)} to {at(high)} ms")
            statuses = [attempt["status"] for attempt in job["attempts"]]
            if all(status in (429, 503, 404) for status in statuses):
                found.append(f"REFUSED {task} started, and its job got {statuses}")
            spec = job["steps"][int(step)]
            for run in runs:
                if spec.get("requirements") and spec["requirements"] not in run["labels"]:
                    found.append(f"ROUTE {task} started on {run['executor']} without {spec['requirements']}")
                if run["over"]:
                    found.append(f"LIMIT {task} brings {run['executor']} to {run['load']} of {run['capacity']}")
                for earlier in spec.get("after", []):
                    for number in range(job["steps"][earlier]["count"]):
                        ends = [r["end"] for r in by_task.get(f"{ident}.0.{earlier}.{number}", [])
                                if r["how"] == "done" and r["end"] <= run["begin"] + 1]
                        if not ends:
                            found.append(f"ORDER {task} started at {at(run['begin'])} before {earlier}.{number} was done")
                limit = spec.get("antiAffinity", 0)
                if limit:
                    same = [r for r in self.runs if r["executor"] == run["executor"]
                            and r["task"].startswith(f"{ident}.0.{step}.") and r["begin"] <= run["begin"]
                            and (r["end"] is None or r["end"] > run["begin"] + 1)]
                    if len(same) > limit:
                        found.append(f"ROUTE {task}: {len(same)} tasks on {run['executor']}, at most {limit}")
        for ident, job in self.jobs.items():
            for attempt in job["attempts"]:
                if attempt["status"] == 200 and attempt["value"] == {"state": "completed"}:
                    for step, spec in enumerate(job["steps"]):
                        for number in range(spec["count"]):
                            runs = by_task.get(f"{ident}.0.{step}.{number}", [])
                            if not any(r["how"] == "done" and r["end"] <= attempt["answered"] + 1 for r in runs):
                                found.append(f"MIXED {ident} is completed, {step}.{number} isn't done")
        return found


ROUTE = {"name": "desk", "host": "desk.example", "pathPrefix": "/desk/", "service": "work", "priority": 1,
         "maxAttempts": 3, "stretch": 8.0, "targetLatencyMs": 2000}
SERVICE = {"name": "work", "enforcesCapacity": True}


def end_on_signal(number, frame):
    raise SystemExit(2)


signal.signal(signal.SIGTERM, end_on_signal)


def job_id():
    return "%016x" % random.getrandbits(64)
