"""A small deployment on loopback: the project's gateways as processes, with
stand-ins for the store, targets and clients, a record and the OWNER check."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpio
from store import Store
from target import Target

ROOT = os.path.normpath(os.path.join(os.path.dirname(
    os.path.abspath(__file__)), '..', '..'))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HEARTBEAT_S = 0.87
PORT_RANGE = [7380, 7395]
OWNER_LIMIT_S = 0.5    # RULES.md, OWNER: the same keys for over half a second
SAMPLE_S = 0.01
DRAIN_MARGIN_S = 0.1    # for the delays of this process


class CannotRun(Exception):
    """The case cannot run here."""


def render(template, fields):
    """Fills in a settings template, as DEPLOY.md describes it."""
    def lookup(name):
        value = fields
        for part in name.split('.'):
            value = value[int(part)] if isinstance(value, list) else \
                value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        value = lookup(match.group(1))
        return match.group(2) if value not in (None, False) else ''
    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template,
                  flags=re.S)
    return re.sub(r'\{\{([\w.]+)\}\}', lambda m: str(lookup(m.group(1))), text)


class DelayLine:
    """A proxy in front of a gateway's port for its peers, which delays all
    bytes by the one-way time between zones."""

    def __init__(self, ip, port, target_port, delay_s):
        self.ip, self.port, self.target_port = ip, port, target_port
        self.delay_s = delay_s

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.ip,
                                                 self.port)

    async def _serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.ip, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pass(reader, to_writer),
                             self._pass(to_reader, writer))

    async def _pass(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await reader.read(262144)
                if not data:
                    break
                loop.call_later(self.delay_s, writer.write, data)
        except OSError:
            pass
        loop.call_later(self.delay_s, writer.close)


class Host:
    """One machine: a gateway process and the target beside it."""

    def __init__(self, world, index, service, keyed, phase_s):
        self.world, self.index, self.service = world, index, service
        self.name = f'sidecar-z-{index}'
        self.zone = f'zone-{"abc"[index % 3]}'
        self.ip = f'{world.net}.{index}'
        self.process = None
        self.log = None
        self.target = Target(world, self.name, service, keyed,
                             (self.ip, 8145), (self.ip, 8144), self.zone,
                             HEARTBEAT_S, phase_s)
        self.settings = os.path.join(world.folder, f'{self.name}.toml')
        fields = {
            'nodeName': self.name, 'zone': self.zone, 'ip': self.ip,
            'portRange': PORT_RANGE, 'heartbeatS': HEARTBEAT_S,
            'appAddr': f'{self.ip}:8145', 'service': service,
            'listen': {'inbound': f'{self.ip}:8146',
                       'outbound': f'{self.ip}:8147',
                       'readiness': f'{self.ip}:8141',
                       'control': f'{self.ip}:8144'},
            'limits': {'cpuShare': 0.2, 'linkMbps': 1000.0},
            'platform': {'address': f'{world.net}.{100 + index}:8142'},
            'bounds': {'holdMaxS': 10, 'drainS': 2, 'configDeadlineS': 2,
                       'graceS': 6, 'budgetRatio': 0.2, 'budgetExtra': 60},
        }
        with open(os.path.join(ROOT, world.template), encoding='utf-8') as f:
            text = render(f.read(), fields)
        self.line = None
        if world.zone_delay_s:
            self.line = DelayLine(self.ip, PORT_RANGE[1], PORT_RANGE[0],
                                  world.zone_delay_s)
            text += f'\n[advertise]\npeers = "{self.ip}:{PORT_RANGE[1]}"\n'
        with open(self.settings, 'w', encoding='utf-8') as f:
            f.write(text)

    def start(self):
        """Starts the gateway with the command of the deploy file."""
        if self.log is None:
            self.log = open(os.path.join(self.world.folder,
                                         f'{self.name}.log'), 'ab')
        self.process = subprocess.Popen(
            self.world.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL,
            env={'PATH': os.environ.get('PATH', ''),
                 'HOME': self.world.folder, 'LANG': 'C',
                 'APRICOTTRAIL_SETTINGS': self.settings})
        self.world.record(f'gateway of {self.name} starts')

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.world.record(f'gateway of {self.name} is killed')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """The deployment, its record and its checks."""

    def __init__(self, folder_of_case):
        self.started = time.monotonic()
        self.case = folder_of_case
        self.out = open(os.path.join(folder_of_case, 'record.txt'), 'w',
                        encoding='utf-8')
        self.folder = tempfile.mkdtemp(prefix='apricot-review-')
        self.net = self._free_network()
        self.read_deploy_file()
        self.store = Store(self.record)
        self.hosts = []
        self.version = 0
        self.sent = {}       # request ID -> (method, key)
        self.begun = {}      # request ID -> [target ID]
        self.answers = {}    # request ID -> status, None: no answer
        self.overlaps = {}   # (ID, ID, key range) -> state of an overlap
        self.violations = []
        self.fences = {}
        self.clients = []
        self.next_id = 0
        self.rng = random.Random(1)
        self.counts = {}
        self.drain_bound = None   # (target ID, time): no request after it
        self.late_arrivals = []
        self.zone_delay_s = 0   # one way between machines; 0: no proxy
        self.route_timeout_s = None   # of all routes; None: the usual ones

    @staticmethod
    def _free_network():
        for attempt in range(50):
            net = f'127.{20 + (os.getpid() + attempt) % 200}.' \
                  f'{(os.getpid() // 200 + attempt) % 250}'
            try:
                for port in (8141, 8142, 8144, 8145, 8147, PORT_RANGE[0],
                             9464):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET,
                                         socket.SO_REUSEADDR, 1)
                        probe.bind((f'{net}.1', port))
                return net
            except OSError:
                continue
        raise CannotRun('no free loopback addresses')

    def read_deploy_file(self):
        with open(os.path.join(ROOT, 'deploy', 'system.toml'),
                  encoding='utf-8') as f:
            text = f.read()
        self.command = re.search(r'^run = "(.*)"', text, re.M).group(1).split()
        self.template = re.search(r'^template = "(.*)"', text, re.M).group(1)
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f'{self.command[0]} is not built')

    def record(self, text):
        now = time.monotonic() - self.started
        self.out.write(f'{now:9.4f} {text}\n')
        self.out.flush()

    def violate(self, text):
        self.violations.append(text)
        self.record(f'BROKEN {text}')

    def add_host(self, service, keyed, phase_s):
        host = Host(self, len(self.hosts) + 1, service, keyed, phase_s)
        self.hosts.append(host)
        return host

    async def start(self):
        await self.store.open([(h.name, f'{self.net}.{100 + h.index}', 8142)
                               for h in self.hosts])
        self.publish()
        for host in self.hosts:
            if host.line is not None:
                await host.line.open()
            host.start()
            await host.target.start()
        self.sampler = asyncio.ensure_future(self._sample())

    def publish(self):
        """Writes the next configuration to the store."""
        self.version += 1
        names = list(dict.fromkeys(h.service for h in self.hosts))
        keyed = {h.service: h.target.keyed for h in self.hosts}
        routes, services = [], []
        for i, name in enumerate(names):
            for path, kind, timeout, slo, rank in (
                    ('view', 'idempotent', 0.8, 0.2, 1),
                    ('book', 'non_idempotent', 1.0, 0.5, 2)):
                routes.append({
                    'name': f'r-{path}-{i}', 'host': 'shop.example',
                    'prefix': f'/{path}{i}/', 'kind': kind,
                    'timeoutS': self.route_timeout_s or timeout, 'sloS': slo, 'priority': rank,
                    'service': name, 'attempts': 2})
            service = {'name': name, 'healthPath': '/healthz',
                       'maxConns': 120, 'protocol': 'h1', 'tls': False}
            if keyed[name]:
                service |= {'sharded': True, 'warmS': 2.0,
                            'grants': 'heartbeat'}
            services.append(service)
        self.store.put('op/config', json.dumps({
            'version': f'{self.version:08x}', 'routes': routes,
            'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                       'headerTimeoutS': 3, 'idleTimeoutS': 15}}).encode())
        self.record(f'operator: configuration {self.version:08x}')

    # Events of the targets.

    def on_row(self, target, row):
        """Checks a granted row against the fences that others had."""
        key = (row[0], row[1])
        if self.fences.get((target.id, key)) != row[2]:
            self.fences[(target.id, key)] = row[2]
            self.record(f'{target.id} holds {row[0]}..{row[1]} '
                        f'fence {row[2]}')

    def on_drain_acknowledged(self, target):
        if target.drain_acked is None:
            target.drain_acked = time.monotonic()

    def on_refused(self, target, request_id, status):
        self.record(f'{target.id} refuses {request_id} {status}')

    def on_begin(self, target, method, request_id, key):
        runs = self.begun.setdefault(request_id, [])
        runs.append(target.id)
        self.record(f'{target.id} runs {request_id} {method} key {key}')
        if self.drain_bound is not None and \
                target.id == self.drain_bound[0] and \
                time.monotonic() > self.drain_bound[1] + DRAIN_MARGIN_S:
            self.late_arrivals.append(request_id)
            if len(self.late_arrivals) == 1:
                self.violate(f'DRAIN {request_id} reaches {target.id} '
                             f'{time.monotonic() - self.drain_bound[1]:.2f} s '
                             'after the bound')
        if request_id not in self.sent:
            self.violate(f'UNASKED {request_id} was not sent')
        elif method == 'POST' and len(runs) > 1:
            self.violate(f'TWICE {request_id} at {runs}')
        if method == 'POST' and self.answers.get(request_id) in (
                408, 421, 429, 503):
            self.violate(f'REFUSED {request_id} runs at {target.id} after '
                         f'its answer {self.answers[request_id]}')
        for overlap in self.overlaps.values():
            if key is not None and target.id in overlap['ids'] and \
                    overlap['first'] <= key <= overlap['last']:
                overlap['begun'].setdefault(target.id, []).append(request_id)

    def check_lost(self, target):
        """Records the requests at which a target that ends is at work."""
        running = sorted(target.running)
        self.record(f'{len(self.late_arrivals)} requests reached {target.id} '
                    f'after the bound; it ends while it runs {running}')
        return running

    async def stop_and_start(self, host):
        """Stops a gateway as planned (SIGTERM) and starts it again."""
        self.record(f'gateway of {host.name} gets SIGTERM')
        host.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 6
        while host.process.poll() is None:
            if time.monotonic() > end:
                host.process.kill()
            await asyncio.sleep(0.02)
        host.process.wait()
        self.record(f'gateway of {host.name} has ended')
        await asyncio.sleep(0.5)
        host.start()
        await self.wait_for_port(host)

    async def wait_for_port(self, host):
        for _ in range(300):
            try:
                _, writer = await asyncio.open_connection(host.ip, 8144)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.01)
        raise CannotRun(f'{host.name} does not listen')

    def on_holds_changed(self, target):
        self._check_owners()

    # OWNER: two targets that are up hold the same keys.

    async def _sample(self):
        while True:
            await asyncio.sleep(SAMPLE_S)
            self._check_owners()

    def _check_owners(self):
        now = time.monotonic()
        held = [(h.target, h.target.held_rows()) for h in self.hosts
                if h.target.keyed]
        present = set()
        for i, (one, rows) in enumerate(held):
            for other, other_rows in held[i + 1:]:
                for a in rows:
                    for b in other_rows:
                        first, last = max(a[0], b[0]), min(a[1], b[1])
                        if first <= last:
                            present.add((one.id, other.id, first, last))
        for key in present:
            if key not in self.overlaps:
                one, other, first, last = key
                self.record(f'{one} and {other} both hold {first}..{last}')
                self.overlaps[key] = {'since': now, 'ids': key[:2],
                                      'first': first, 'last': last,
                                      'begun': {}, 'reported': False}
            overlap = self.overlaps[key]
            lasts = now - overlap['since']
            if lasts > OWNER_LIMIT_S and not overlap['reported']:
                overlap['reported'] = True
                self.violate(f'OWNER {key[0]} and {key[1]} hold '
                             f'{key[2]}..{key[3]} for over {OWNER_LIMIT_S} s')
            if len(overlap['begun']) == 2 and not overlap.get('ran'):
                overlap['ran'] = True
                self.violate(f'OWNER {key[0]} and {key[1]} hold '
                             f'{key[2]}..{key[3]} and both began requests on '
                             f'them: {overlap["begun"]}')
        for key in [k for k in self.overlaps if k not in present]:
            lasts = now - self.overlaps.pop(key)['since']
            self.record(f'{key[0]} and {key[1]} no longer both hold '
                        f'{key[2]}..{key[3]}, after {lasts:.2f} s')

    # Clients.

    def start_clients(self, per_s, route=0, keys=None):
        """Starts open-loop clients at every machine."""
        for host in self.hosts:
            self.clients.append(asyncio.ensure_future(
                self._client(host, per_s, route, keys)))

    async def _client(self, host, per_s, route, keys):
        pending = set()
        try:
            while True:
                await asyncio.sleep(self.rng.expovariate(per_s))
                task = asyncio.ensure_future(self.request(
                    host, self.rng.random() < 0.7, route,
                    self.rng.choice(keys) if keys
                    else self.rng.randrange(65536)))
                pending.add(task)
                task.add_done_callback(pending.discard)
        finally:
            for task in list(pending):
                task.cancel()

    async def request(self, host, idempotent, route=0, key=None,
                      deadline_ms=None, path=None):
        """Sends one request and records its answer; returns the status."""
        self.next_id += 1
        request_id = f'{self.next_id:016x}'
        method = 'GET' if idempotent else 'POST'
        deadline_ms = deadline_ms or (800 if idempotent else 1000)
        path = path or f'/{"view" if idempotent else "book"}{route}/x'
        headers = {'Host': 'shop.example', 'X-Attempt-Id': request_id,
                   'X-Deadline-Ms': str(deadline_ms)}
        if key is not None:
            headers['X-Shard-Key'] = str(key)
        self.sent[request_id] = (method, key)
        self.record(f'client at {host.name} sends {request_id} {method} '
                    f'{path} key {key}')
        status = None
        try:
            status, answer, body = await httpio.call(
                host.ip, 8147, method, path, headers, b'',
                timeout=deadline_ms / 1000)
            if status == 200 and (
                    body != f'done {request_id}'.encode() or
                    answer.get('x-response-seal') != f's.{request_id}'):
                self.violate(f'MIXED {request_id} gets {body!r}')
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            pass
        self.answers[request_id] = status
        self.counts[status] = self.counts.get(status, 0) + 1
        self.record(f'client gets {request_id} {status}')
        if method == 'POST' and status in (408, 421, 429, 503) and \
                request_id in self.begun:
            self.violate(f'REFUSED {request_id} has run and gets {status}')
        return status

    async def wait_until(self, condition, limit_s, what):
        """Waits for a condition; the case cannot run without it."""
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f'{what}: not within {limit_s} s')
            await asyncio.sleep(0.01)
        self.record(f'seen: {what}')

    def all_keys_held(self):
        rows = sorted(row for h in self.hosts if h.target.keyed
                      for row in h.target.held_rows())
        at = 0
        for row in rows:
            if row[0] > at:
                return False
            at = max(at, row[1] + 1)
        return at == 65536

    def close(self, keep_logs):
        for task in self.clients:
            task.cancel()
        if hasattr(self, 'sampler'):
            self.sampler.cancel()
        for host in self.hosts:
            host.end()
            if host.log is not None:
                host.log.close()
        self.record(f'answers by status: {self.counts}')
        if keep_logs:
            print(f'logs: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def run_case(case_file, scenario):
    """Runs `scenario(world)` and exits with 0, 1 or 2."""
    folder = os.path.dirname(os.path.abspath(case_file))
    world = None
    status = 2

    def finish():
        status = 1 if world.violations else 0
        for text in world.violations[:8]:
            print(f'broken: {text}')
        if not world.violations:
            print('held')
        world.close('KEEP' in os.environ)
        sys.stdout.flush()
        os._exit(status)   # without waiting for the stand-ins' connections

    def stop():
        world.record('the script is stopped')
        world.close('KEEP' in os.environ)
        os._exit(2)

    async def main():
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        await asyncio.wait_for(scenario(world), 110)
        finish()
    try:
        world = World(folder)
        asyncio.run(main())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        if world is not None:
            world.record(f'the case could not run: {error!r}')
        print(f'the case could not run: {error!r}')
    finally:
        if world is not None:
            world.close('KEEP' in os.environ)
    sys.stdout.flush()
    os._exit(status)   # without waiting for the stand-ins' connections
