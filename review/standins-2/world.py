"""A small deployment on loopback: gateways, targets, a store and a record."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from http1 import call   # noqa: E402
from kvstore import Store   # noqa: E402
from target import Target   # noqa: E402

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
HOST = '127.0.0.1'

SETTINGS = """host = "{name}"
failure_domain = "{zone}"
cpu_share = 0.2
link_mbps = 1000.0
[listen]
callers = "{host}:{callers}"
peers = "{host}:{peers}"
control = "{host}:{control}"
readiness = "{host}:{readiness}"
metrics = "{host}:{metrics}"
[backend]
service = "{service}"
address = "{host}:{backend}"
heartbeat_s = 0.87
hold_max_s = 10
drain_s = 2
[store]
address = "{host}:{store}"
[config]
deadline_s = 2
[stop]
grace_s = 6
[limits]
memory_mb = 260
descriptors = 4100
[retry]
ratio = 0.2
extra = 60
"""


class CannotRun(Exception):
    """The case could not be set up."""


# Below the range from which the kernel takes the ports of outgoing
# connections.
PORTS = (12000, 30000)
used_ports = set()


def free_ports(count):
    """Returns free ports, none of which it has returned before."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            ports.append(port)
    return ports


class Gateway:
    """One process of the deploy file's role."""

    def __init__(self, world, name, zone, service, backend_port):
        self.world = world
        self.name = name
        self.zone = zone
        self.ports = dict(zip(
            ('callers', 'peers', 'control', 'readiness', 'metrics'),
            free_ports(5)))
        self.path = os.path.join(world.folder, f'{name}.toml')
        with open(self.path, 'w', encoding='ascii') as file:
            file.write(SETTINGS.format(
                name=name, zone=zone, service=service, host=HOST,
                backend=backend_port, store=world.store.port, **self.ports))
        self.process = None

    def rewrite(self, store, advertised):
        """Sets the port of the store and the port that peers connect to."""
        with open(self.path, encoding='ascii') as file:
            text = file.read()
        text = text.replace(f'address = "{HOST}:{self.world.store.port}"',
                            f'address = "{HOST}:{store}"')
        text += f'[advertise]\npeers = "{HOST}:{advertised}"\n'
        with open(self.path, 'w', encoding='ascii') as file:
            file.write(text)

    def start(self):
        """Starts the process with the command of the deploy file."""
        with open(os.path.join(self.world.folder, f'{self.name}.log'),
                  'ab') as log:
            self.process = subprocess.Popen(
                ['target/apricot-gateway'], cwd=ROOT, stdout=log, stderr=log,
                env={'APRICOTTRAIL_SETTINGS': self.path,
                     'PATH': os.environ.get('PATH', ''), 'HOME': '/tmp'})
        self.world.log('gateway_start', name=self.name)

    def send_signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)
        self.world.log('signal', name=self.name,
                       number=signal.Signals(number).name)

    async def wait_end(self, limit_s):
        """Waits for the end of the process; returns its status or None."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                return self.process.returncode
            await asyncio.sleep(0.02)
        return None

    async def is_ready(self):
        """Returns whether the platform would find the node ready."""
        answer = await call(HOST, self.ports['readiness'], 'GET', '/readyz',
                            {})
        return answer is not None and answer[0] == 200


class World:
    """The deployment of a case; `record` is its record.txt."""

    def __init__(self, record):
        self.record = open(record, 'w', encoding='utf-8')
        self.started = time.monotonic()
        self.events = []
        self.temporary = tempfile.TemporaryDirectory(prefix='apricot-review-')
        self.folder = self.temporary.name
        self.store = Store(HOST, free_ports(1)[0])
        self.gateways = []
        self.targets = []

    def log(self, kind, **fields):
        """Records what was sent, answered or run."""
        at = time.monotonic() - self.started
        self.events.append((at, kind, fields))
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.record.write(f'{at:8.3f} {kind} {text}\n')

    def configure(self, version, routes, services, idle_s=15):
        """Writes a configuration as the operator does."""
        self.store.put('op/config', json.dumps({
            'version': f'{version:08x}', 'routes': routes,
            'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 8 << 20,
                       'headerTimeoutS': 5, 'idleTimeoutS': idle_s}}).encode())
        self.log('configuration', version=version)

    def add(self, name, zone, service, keyed=False, **options):
        """Adds a machine: a target and the gateway beside it."""
        port = free_ports(1)[0]
        gateway = Gateway(self, name, zone, service, port)
        target = Target(name, service, keyed, HOST, port,
                        gateway.ports['control'], zone, self.log, **options)
        self.gateways.append(gateway)
        self.targets.append(target)
        return gateway, target

    async def start(self, limit_s=20):
        """Starts all, and waits until all nodes are ready."""
        await self.store.open()
        for gateway in self.gateways:
            gateway.start()
        for target in self.targets:
            await target.start()
        end = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f'{gateway.name} is not ready')
                await asyncio.sleep(0.05)

    async def request(self, gateway, method, path, identity, deadline_ms=1000,
                      key=None, body=b'', timeout=None):
        """Sends a request on a new connection; returns the answer or None."""
        headers = {'Host': 'review.example', 'X-Attempt-Id': identity,
                   'X-Deadline-Ms': deadline_ms}
        if key is not None:
            headers['X-Shard-Key'] = key
        self.log('sent', id=identity, to=gateway.name, method=method,
                 path=path, key=key)
        answer = await call(HOST, gateway.ports['callers'], method, path,
                            headers, body,
                            timeout or deadline_ms / 1000 + 1.0)
        self.log('answered', id=identity,
                 status=None if answer is None else answer[0])
        return answer

    async def close(self):
        """Ends all processes."""
        for gateway in self.gateways:
            if gateway.process is not None and \
                    gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            subprocess.run(['cp', '-r', self.folder, keep], check=False)
        self.record.close()
        self.temporary.cleanup()


def route(name, kind, service, timeout_s=5, slo_s=1, attempts=2, priority=1):
    """Returns a route whose prefix is its name."""
    return {'name': name, 'host': 'review.example', 'prefix': f'/{name}/',
            'kind': kind, 'service': service, 'priority': priority,
            'attempts': attempts, 'timeoutS': timeout_s, 'sloS': slo_s}


def service(name, sharded=False):
    """Returns a service."""
    return {'name': name, 'sharded': sharded, 'maxConns': 120,
            'healthPath': '/healthz', 'warmS': 0}


def run_case(folder, play, limit_s=115):
    """Plays a case; play(world, trouble) returns the faults that it saw.
    Exits with 1 if there are any, 0 if there are none, 2 if it can't run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    world = World(os.path.join(folder, 'record.txt'))

    async def main():
        try:
            return await asyncio.wait_for(play(world, trouble), limit_s)
        finally:
            await world.close()
    try:
        faults = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
    for fault in faults:
        print(fault)
    print('rule broken' if faults else 'rule held')
    sys.exit(1 if faults else 0)
