"""One small deployment on loopback: the store, and gateways started as the deploy file says."""

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http1
import store as store_module

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
READY_WAIT_S = 15.0
# A case that takes longer ends as one that could not run.
MAX_CASE_S = 118.0
# Exit statuses; Python itself ends with 1 if it fails.
HELD, BROKEN, NOT_RUN = 0, 10, 2

HOST = "ficu95.example"
MODEL_SERVICE, PLAIN_SERVICE = "huvo11a", "wuno96b"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
SERVICES = [
    {
        "name": MODEL_SERVICE,
        "health_path": "/health",
        "max_conns": 180,
        "protocol": "h1",
        "tls": False,
        "engine": {"slots": 16, "kv_capacity": 114805, "kv_bytes": 131072, "event_stride": 8},
    },
    {
        "name": PLAIN_SERVICE,
        "health_path": "/health",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
    },
]


def new_id():
    return secrets.token_hex(8)


def turn_route(name, prefix, timeout_ms=4000):
    """A route that keeps turns, with the figures of the site sheet unless others are given."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "service": MODEL_SERVICE,
        "max_attempts": 2,
        "retain": True,
        "retention_s": 60.0,
        "sticky_sessions": True,
        "resumable": False,
        "gap_aim_ms": 200,
    }


def plain_route(name, prefix, route_type):
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": route_type,
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 2,
        "service": PLAIN_SERVICE,
        "max_attempts": 2 if route_type == "safe" else 1,
    }


def loopback_ips(count):
    """Loopback addresses for `count` machines: all in one block that is drawn at random."""
    block = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
    return [f"{block}.{index}" for index in range(1, count + 1)]


def free_ports(ips, count):
    """Ports that are free on all of `ips`."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Gateway:
    """A gateway process, and the address at which callers reach it."""

    def __init__(self, fleet, name, ip, zone):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.front = (ip, fleet.front_port)
        self.process = None

    def start(self):
        settings = os.path.join(self.fleet.folder, f"{self.name}.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            # YAML reads JSON.
            json.dump(self.fleet.settings(self), file, indent=1)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split(" ")
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables["FLAMINGOTRAIL_SETTINGS"] = settings
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def is_running(self):
        return self.process.poll() is None

    async def is_ready(self):
        channel = http1.Channel((self.ip, self.fleet.ready_port))
        answer = await channel.request("GET", "/v1/ready", [("Host", self.ip)], timeout=1.0)
        channel.close()
        return answer.status == 200


class Fleet:
    """The deployment. Everything that it starts ends with it."""

    def __init__(self, record_path, zones):
        """`zones`: the zone of each gateway; all zones are in one region."""
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.file = open(record_path, "w", encoding="utf-8")
        self.begun = time.time()
        self.store = store_module.Store(self.record)
        ips = loopback_ips(len(zones) + 1)
        self.own_ip, gateway_ips = ips[0], ips[1:]
        self.front_port, self.ready_port, first = free_ports(ips, 3)
        self.peer_ports = [first, first]
        self.zones = {zone: "vestland" for zone in zones}
        self.store_address = None
        self.gateways = [
            Gateway(self, f"front-{zone}-{index}", ip, zone)
            for index, (zone, ip) in enumerate(zip(zones, gateway_ips), 1)
        ]

    def record(self, text):
        self.file.write(f"{time.time() - self.begun:8.3f} {text}\n")
        self.file.flush()

    def settings(self, gateway):
        front = f"{gateway.ip}:{self.front_port}"
        return {
            "node_name": gateway.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": gateway.ip,
            "zone": gateway.zone,
            "region": self.zones[gateway.zone],
            "zones": self.zones,
            "listen_addrs": {"front": front, "ready": f"{gateway.ip}:{self.ready_port}"},
            "internal_ports": self.peer_ports,
            "seed_nodes": [],
            "bootstrap": True,
            "counts_toward_tolerance": False,
            "limits": {
                "cpu_share": 0.5,
                "cpu_cores": 1,
                "memory_mb": 130,
                "max_fds": 8200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry_mode": "vip",
            "heartbeat_ms": 1200,
            "bounds": {
                "reuse_after_s": 2,
                "stable_window_ms": 4000,
                "ack_ms": 5000,
                "catch_up_s": 4.4,
                "drain_ms": 3000,
                "grace_s": 8,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "recover_s": 12,
            },
            "platform": {
                "address": "%s:%d" % self.store_address,
                "form": "log",
                "writes_per_s": store_module.WRITES_PER_S,
                "reads_per_s": store_module.READS_PER_S,
                "parts": store_module.PARTS,
                "append_ms": 2.0,
                "part_mb_s": 20.0,
                "read_mb_s": 80.0,
                "record_bytes": store_module.RECORD_BYTES,
                "call_bytes": store_module.CALL_BYTES,
                "retention_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
        }

    async def start(self, routes, runners):
        """Starts the store, then `runners`, writes the configuration, and starts the gateways."""
        self.store_address = await self.store.start(self.own_ip)
        for runner in runners:
            await runner.start(self.own_ip)
        config = {"version": 7, "routes": routes, "services": SERVICES, "limits": LIMITS}
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        for gateway in self.gateways:
            gateway.start()
        deadline = time.time() + READY_WAIT_S
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.time() > deadline or not gateway.is_running():
                    raise RuntimeError(f"{gateway.name} does not become ready")
                await asyncio.sleep(0.1)
        # Gateways find each other in the store.
        await asyncio.sleep(2.0)
        self.record("gateways ready: " + ", ".join(g.name for g in self.gateways))

    def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.is_running():
                gateway.process.kill()
            if gateway.process is not None:
                gateway.process.wait()
        self.file.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, zones, case):
    """Runs `case(fleet, has_trouble)`, which returns whether the rule held, and exits.

    `zones` are those of the gateways.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record_path = os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt")
    fleet = Fleet(record_path, zones)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def guarded():
        with contextlib.suppress(asyncio.CancelledError):
            return await asyncio.wait_for(case(fleet, has_trouble), MAX_CASE_S)

    status = NOT_RUN
    try:
        held = asyncio.run(guarded())
        dead = [gateway.name for gateway in fleet.gateways if not gateway.is_running()]
        if dead:
            fleet.record(f"gateways that ended by themselves: {dead}")
        status = HELD if held else BROKEN
        fleet.record(f"rule {'held' if held else 'broken'}, trouble={has_trouble}")
    except Exception as error:  # Whatever fails here, the case says nothing about the rule.
        fleet.record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        fleet.stop()
    sys.exit(status)
