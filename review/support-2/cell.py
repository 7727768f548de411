"""A small deployment for the cases of the review, with the standard library only.

The project's programs are started as `deploy/system.toml` says, each with a node
file as DEPLOY.md describes it, on loopback addresses of their own. Operator,
servers and callers are stand-ins that speak what PROTOCOL.md says.
"""

import asyncio
import json
import os
import random
import resource
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONTEND, READINESS, CONTROL = 8227, 8220, 8229
PORT_RANGE = [7340, 7355]
HEARTBEAT_MS = 1200
#: The bounds of panelswap, as SYSTEM.md gives them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000,
    "fail_closed": False, "revoke_ms": 5000, "retry_budget": 0.2,
    "retry_window_s": 10, "retry_slack": 58, "recovery_s": 12,
    "event_delay_ms": 120, "reuse_window_s": 5.1,
}
MEMORY_MB = 150
LIMITS = {"cpu_share": 0.968, "cores": 2, "memory_mb": MEMORY_MB, "max_fds": 4100,
          "link_mbps": 1000.0, "disk_mb": 64}
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def limit_descriptors():
    """Give a process the descriptors that its machine has."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    most = LIMITS["max_fds"]
    if hard != resource.RLIM_INFINITY:
        most = min(most, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class CannotRun(Exception):
    """The case could not be set up."""


def find_network():
    """Return a prefix of loopback addresses that nobody uses."""
    for _ in range(200):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (FRONTEND, CONTROL, PORT_RANGE[0]):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Machine:
    """One instance: an entry, and a control daemon if it has a disk."""

    def __init__(self, cell, name, ip, zone, disk):
        self.cell, self.name, self.ip, self.zone, self.disk = cell, name, ip, zone, disk
        self.data = cell.folder / f"data-{name}" if disk else None
        self.processes = {}
        self.started_at = {}

    def _write_node_file(self, role):
        serves = ["control_plane"] if role == "carob-control" else ["edge"]
        listen = {"control": f"{self.ip}:{CONTROL}"}
        if role == "carob-entry":
            listen = {"frontend": f"{self.ip}:{FRONTEND}",
                      "readiness": f"{self.ip}:{READINESS}"}
        zones = {m.zone: "punjab" for m in self.cell.machines}
        node = {
            "node_name": self.name, "role": role, "machine_class": "edge",
            "serves": serves, "ip": self.ip, "zone": self.zone, "region": "punjab",
            "zones": zones, "listen": listen, "port_range": PORT_RANGE,
            "seeds": [f"{m.ip}:{CONTROL}" for m in self.cell.controls][:3],
            "bootstrap": self.cell.first_start, "fault_counted": self.disk,
            "limits": LIMITS, "discovery": "registration", "entrypoint": "vip",
            "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest",
        }
        if role == "carob-control":
            node["data_dir"] = str(self.data)
        path = self.cell.folder / f"{self.name}.{role}.json"
        path.write_text(json.dumps(node))
        return path

    async def start(self, role):
        path = self._write_node_file(role)
        log = (self.cell.folder / f"{self.name}.{role}.log").open("ab")
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CAROBSPRING_NODE_FILE"] = str(path)
        if self.data is not None:
            self.data.mkdir(exist_ok=True)
        run = self.cell.deploy["roles"][role]["run"].split()
        self.processes[role] = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, preexec_fn=limit_descriptors)
        log.close()
        self.started_at[role] = time.monotonic()

    def pid(self, role):
        return self.processes[role].pid

    def is_running(self, role):
        process = self.processes.get(role)
        return process is not None and process.returncode is None

    async def kill(self, role):
        process = self.processes[role]
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
        await process.wait()

    def signal(self, role, number):
        if self.is_running(role):
            self.processes[role].send_signal(number)

    def read_log(self, role):
        path = self.cell.folder / f"{self.name}.{role}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Cell:
    """The deployment: three instances with a disk, and others without one."""

    def __init__(self, record, *, disks=3, others=1):
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.folder = Path(tempfile.mkdtemp(prefix="carob-review-"))
        self.prefix = find_network()
        self.first_start = True
        self.machines = []
        zones = ["anarkali", "saddar", "gulberg"]
        for index in range(disks):
            self.machines.append(Machine(self, f"edge-{zones[index % 3]}-1",
                                         f"{self.prefix}.{index + 1}",
                                         zones[index % 3], True))
        for index in range(others):
            self.machines.append(Machine(self, f"edge-{zones[index % 3]}-{index // 3 + 2}",
                                         f"{self.prefix}.{index + 11}",
                                         zones[index % 3], False))
        self.servers = []

    @property
    def controls(self):
        return [m for m in self.machines if m.disk]

    async def start_all(self, *, entries=None):
        starts = [m.start("carob-control") for m in self.controls]
        starts += [m.start("carob-entry") for m in (entries or self.machines)]
        await asyncio.gather(*starts)

    async def put_config(self, config, timeout_s=40):
        """Send a configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for machine in self.controls:
                answer = await call(machine.ip, CONTROL, "PUT", "/v1/config", body)
                if answer.status == 200:
                    self.first_start = False
                    self.record(f"operator: version {config['version']} acknowledged "
                                f"by {machine.name}")
                    return time.monotonic()
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was acknowledged")

    async def wait_ready(self, machines=None, timeout_s=40):
        """Wait until the entries say that they are ready."""
        deadline = time.monotonic() + timeout_s
        for machine in machines or self.machines:
            while True:
                answer = await call(machine.ip, READINESS, "GET", "/v1/readyz", b"")
                if answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def close(self):
        for server in self.servers:
            await server.close()
        for machine in self.machines:
            for role in machine.processes:
                if machine.is_running(role):
                    machine.signal(role, signal.SIGCONT)
                    await machine.kill(role)
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a caller got on its channel."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.is_whole, self.error = False, ""
        self.sent_at = self.ended_at = time.monotonic()

    @property
    def took_s(self):
        return self.ended_at - self.sent_at

    def __str__(self):
        text = f"{self.status or 'no answer'}"
        if self.status and not self.is_whole:
            text += " cut"
        return text + (f" ({self.error})" if self.error else "")


async def read_head(reader):
    """Return the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, until_close):
    """Return the body, and whether it is whole."""
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return body, True
        if until_close:
            while data := await reader.read(65536):
                body += data
        return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


def encode_request(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(ip, port, method, path, headers, body, timeout_s):
    """Send one request on a new channel; return the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(encode_request(method, path, headers, body))
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split()[1])
            no_body = method == "HEAD" or answer.status in (204, 304)
            if no_body:
                answer.is_whole = True
            else:
                answer.body, answer.is_whole = await read_body(
                    reader, answer.headers, True)
    except TimeoutError:
        answer.error = f"nothing within {timeout_s} s"
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        answer.error = f"{type(error).__name__}"
    finally:
        answer.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


async def call(ip, port, method, path, body, timeout_s=1.0):
    """Call the system's own interface; follow 307 twice."""
    for _ in range(3):
        headers = {"Host": f"{ip}:{port}", "Content-Type": "application/json"}
        answer = await exchange(ip, port, method, path, headers, body, timeout_s)
        location = answer.headers.get("location", "")
        if answer.status != 307 or not location:
            break
        address = location.removeprefix("http://").partition("/")[0]
        ip, _, text = address.partition(":")
        port = int(text)
    return answer


async def ask(machine, path, *, attempt_id, deadline_ms, body=b"x" * 600, extra=None,
              timeout_s=None):
    """Send a caller's request to one entry."""
    headers = {"Host": HOST, "Carobspring-Attempt-Id": attempt_id,
               "Carobspring-Deadline-Ms": str(deadline_ms),
               "Authorization": f"Bearer {KEY}", **(extra or {})}
    if timeout_s is None:
        timeout_s = deadline_ms / 1000
    return await exchange(machine.ip, FRONTEND, "POST", path, headers, body, timeout_s)


def new_id():
    return secrets.token_hex(8)


class Server:
    """A stand-in server that checks in and runs requests, soundly.

    A case derives its own kind from it, for what the pages allow besides.
    """

    def __init__(self, cell, *, service, ip, zone="anarkali", slots=64, work_s=0.05,
                 version="v1", is_engine=False, port=8080):
        self.cell, self.service, self.ip, self.zone = cell, service, ip, zone
        self.slots, self.work_s, self.version = slots, work_s, version
        self.is_engine, self.port = is_engine, port
        self.server_id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.arrivals = []
        self.checks_in = True
        self._tasks, self._listener = [], None
        cell.servers.append(self)

    async def open(self):
        self._listener = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512)
        self._tasks.append(asyncio.create_task(self._check_in_regularly()))

    async def close(self):
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def build_check_in(self):
        self.seq += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}",
                 "zone": self.zone, "version": self.version, "slots": self.slots,
                 "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                 "born": self.born}
        if self.is_engine:
            entry["phase"] = "unified"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return json.dumps(entry).encode()

    async def check_in(self, machines=None):
        """Check in at the first daemon that confirms; return it."""
        body = self.build_check_in()
        machines = machines or random.sample(self.cell.controls, len(self.cell.controls))
        for machine in machines:
            path = f"/v1/instances/{self.server_id}"
            if (await call(machine.ip, CONTROL, "PUT", path, body)).status == 200:
                return machine
        return None

    async def _check_in_regularly(self):
        while True:
            if self.checks_in:
                await self.check_in()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        try:
            while True:
                first, headers = await read_head(reader)
                body, is_whole = await read_body(reader, headers, False)
                if not is_whole or not await self.handle(first, headers, body, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()
            if asyncio.current_task() in self._tasks:
                self._tasks.remove(asyncio.current_task())

    async def handle(self, first, headers, body, writer):
        """Answer one request; return whether the channel is kept."""
        method, path, _ = first.split(" ")
        attempt = headers.get("carobspring-attempt-id", "")
        if path == "/healthz":
            self.write(writer, 200, {"Carobspring-Upstream-Instance": self.server_id}, b"")
            return True
        expected = headers.get("carobspring-expected-instance", self.server_id)
        if expected != self.server_id or not attempt:
            status = 421 if attempt else 400
            self.write(writer, status, {"Carobspring-Attempt-Id": attempt,
                                        "Carobspring-Not-Executed": "1"}, b"")
            return True
        self.arrivals.append((time.monotonic(), attempt, path))
        return await self.run(attempt, path, headers, body, writer)

    async def run(self, attempt, path, headers, body, writer):
        await asyncio.sleep(self.work_s)
        self.write(writer, 200, self.receipt(attempt), b"done " + attempt.encode())
        return True

    def receipt(self, attempt):
        return {"Carobspring-Attempt-Id": attempt,
                "Carobspring-Upstream-Signature": f"{secrets.token_hex(4)}.0.{attempt}",
                "Carobspring-Upstream-Load": f"1,0,{self.slots}"}

    @staticmethod
    def write(writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


def build_config(version, routes, services, key=KEY):
    """Return a configuration as PROTOCOL.md shows it."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [key], "priority": 1}],
    }


def build_route(name, prefix, kind, service, *, timeout_ms, slo_ms, attempts=1,
                resumable=False, affinity=False, itl=0, priority=1):
    return {"name": name, "host": HOST, "path_prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": priority,
            "service": service, "attempts": attempts, "public": False,
            "affinity": affinity, "resumable": resumable, "itl_target_ms": itl}


def build_service(name, *, max_conns, engine=None):
    service = {"name": name, "health_path": "/healthz", "max_conns": max_conns,
               "protocol": "h1", "tls": False}
    if engine:
        service["engine"] = engine
    return service


ENGINE = {"slots": 64, "kv_capacity": 336890, "kv_bytes": 35136,
          "link_mbps": 1100000.0, "migrations": True, "replicas": True, "stride": 6,
          "most": 12, "pin_ttl_ms": 4000.0, "hold_ms": 2000.0, "session_ttl_s": 5.0,
          "models": [{"name": "m"}]}


def run_case(folder, body, limit_s=115):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    began = time.monotonic()
    lines = []

    def record(text):
        lines.append(f"{time.monotonic() - began:8.3f} s  {text}")

    record(f"TROUBLE={int(trouble)}")

    async def main():
        async with asyncio.timeout(limit_s):
            return await body(record, trouble)

    try:
        code = 1 if asyncio.run(main()) else 0
    except (CannotRun, TimeoutError) as error:
        record(f"could not run: {error!r}")
        code = 2
    except Exception as error:  # the case itself failed
        import traceback
        record("could not run:\n" + traceback.format_exc())
        code = 2
    record({0: "the rule held", 1: "the rule was BROKEN", 2: "could not run"}[code])
    text = "\n".join(lines) + "\n"
    (Path(folder) / "record.txt").write_text(text)
    print("\n".join(lines[-12:]))
    sys.exit(code)
