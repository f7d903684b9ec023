"""Stand-ins for the platform's store, targets and clients, and the gateways.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import copy
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
GATEWAY = os.path.join(ROOT, 'target', 'apricot-gateway')
HOST = '127.0.0.1'
HEARTBEAT_S = 0.87
HOLD_MAX_S = 10
DRAIN_S = 2
GRACE_S = 6
CONFIG_DEADLINE_S = 2
HISTORY_S = 20
KEY_STEP = 16                    # keys that the owner check samples
COPY_INTERVAL_S = 0.1            # between two copies of the store
PORTS = (12000, 19900)           # outside the range of outgoing connections

SETTINGS = """host = "{name}"
failure_domain = "{domain}"
cpu_share = 0.2
link_mbps = 1000.0
[listen]
callers = "{host}:{outbound}"
peers = "{host}:{peers}"
control = "{host}:{control}"
readiness = "{host}:{readiness}"
metrics = "{host}:{metrics}"
[backend]
service = "{service}"
address = "{host}:{app}"
heartbeat_s = {heartbeat}
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
    """The case could not be brought about."""


class Lab:
    """State that the stand-ins of one run share."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.record = open(os.path.join(folder, 'record.txt'), 'w',
                           encoding='utf-8')
        self.temp = tempfile.mkdtemp(prefix='apricot-review-')
        self.ports = set()
        self.claims = []         # sockets that keep the ports
        self.rng = random.Random(7)
        self.gateways = []
        self.targets = []
        self.breaks = []
        self.closers = []

    def now(self):
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self.started

    def note(self, text):
        """Writes a line to the record."""
        self.record.write(f'{self.now():8.3f} {text}\n')
        self.record.flush()

    def broken(self, text):
        """Records that the rule is broken."""
        self.breaks.append(text)
        if len(self.breaks) <= 40:
            self.note('BROKEN ' + text)

    def port(self):
        """Returns a free port that was not returned before."""
        while True:
            port = random.SystemRandom().randrange(*PORTS)
            if port in self.ports:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            # Keeps the port from other runs until this one ends. Who listens
            # there sets SO_REUSEADDR, too.
            claim = socket.socket()
            claim.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                claim.bind((HOST, port))
            except OSError:
                claim.close()
                continue
            self.claims.append(claim)
            self.ports.add(port)
            return port

    async def close(self):
        """Ends all processes and removes the temporary folder."""
        for gateway in self.gateways:
            await gateway.kill()
        for closer in self.closers:
            closer()
        for claim in self.claims:
            claim.close()
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


# -- HTTP -------------------------------------------------------------------

async def read_head(reader):
    """Reads a head. Returns its first line and headers; None at the end."""
    lines = []
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            return None
        line = line.rstrip(b'\r\n').decode('latin-1')
        if not line:
            if lines:
                break
            continue
        lines.append(line)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    size = int(headers.get('content-length', 0))
    return await reader.readexactly(size) if size else b''


def format_response(status, headers, body):
    """Returns the bytes of a response."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """An HTTP server whose subclass implements `handle`."""

    def __init__(self, lab, port):
        self.lab = lab
        self.address = port
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self._serve, HOST,
                                                 self.address)
        self.lab.closers.append(self.close)

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.cut()

    def cut(self):
        """Resets all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, path, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                answer = await self.handle(method, path, head[1], body, writer)
                if answer is None:
                    writer.transport.abort()
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# -- The platform's store -----------------------------------------------------

class Store(Server):
    """The store. `drill` lets it come back from a copy."""

    def __init__(self, lab):
        super().__init__(lab, lab.port())
        self.revision = 1
        self.items = {}
        self.history = []          # (time, revision, event)
        self.oldest = 0            # watches from before get 410
        self.leases = {}           # id -> (time to live, end)
        self.last_lease = 70000
        self.era = 1
        self.down = False
        self.changed = asyncio.Event()
        self.copies = []           # (time, copy)
        self.on_write = None

    async def open(self):
        await super().open()
        tasks = [asyncio.create_task(self._expire()),
                 asyncio.create_task(self._copy())]
        self.lab.closers.append(lambda: [task.cancel() for task in tasks])

    def put(self, key, value):
        """Writes an item as the operator does. Returns its revision."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()
        self.lab.note(f'store operator writes {key} rev={self.revision} '
                      f'bytes={len(value)}')
        return self.revision

    def _event(self, event):
        self.history.append((time.monotonic(), self.revision, event))

    def _write(self, key, value, lease):
        created = self.items.get(key, {}).get('created', self.revision)
        item = {'key': key, 'value': value, 'rev': self.revision,
                'created': created, 'lease': lease}
        self.items[key] = item
        self._event(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self._event({'key': key, 'rev': self.revision, 'removed': True})

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self.lab.note(f'store lease {lease} ends, removes {keys} '
                          f'rev={self.revision}')
            self._notify()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            while self.history and now - self.history[0][0] > HISTORY_S:
                self.oldest = self.history.pop(0)[1]
            if self.down:
                self.leases = {lease: (ttl, end + 0.05)
                               for lease, (ttl, end) in self.leases.items()}
                continue
            for lease, (_, end) in list(self.leases.items()):
                if end <= now:
                    self._end_lease(lease)

    async def _copy(self):
        while True:
            if not self.down:
                self.copies.append((time.monotonic(), copy.deepcopy(
                    (self.revision, self.items, self.leases))))
                self.copies = self.copies[-120:]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def drill(self, down_s, copy_age_s, rewrite):
        """The store goes away and comes back from a copy.

        `rewrite` holds the items that the operator writes again.
        """
        start = time.monotonic()
        taken, state = [c for c in self.copies
                        if c[0] <= start - copy_age_s][-1]
        lost = self.revision
        self.down = True
        self.cut()
        self.lab.note(f'drill: the store goes away at rev={self.revision}')
        await asyncio.sleep(down_s)
        self.revision, self.items, leases = copy.deepcopy(state)
        now = time.monotonic()
        self.leases = {lease: (ttl, now + ttl)
                       for lease, (ttl, _) in leases.items()}
        self.history = []
        self.oldest = self.revision
        self.era += 1
        self.down = False
        self.lab.note(f'drill: the store is back from a copy that is '
                      f'{start - taken:.2f} s old, rev={self.revision} '
                      f'(was {lost}), Store-Era={self.era}')
        for key, value in rewrite:
            self.put(key, value)

    def _reply(self, status, body):
        return format_response(
            status, [('Content-Type', 'application/json'),
                     ('Store-Era', self.era)], json.dumps(body).encode())

    async def handle(self, method, path, headers, body, writer):
        if self.down:
            return None
        await asyncio.sleep(0.004)
        if self.down:
            return None
        path, _, query = path.partition('?')
        query = dict(part.split('=', 1) for part in query.split('&')
                     if '=' in part)
        query = {name: _unquote(value) for name, value in query.items()}
        if (method, path) == ('GET', '/kv-key'):
            item = self.items.get(query['key'])
            if item is None:
                return self._reply(404, {'currentRev': self.revision})
            return self._reply(200, item | {'currentRev': self.revision})
        if (method, path) == ('GET', '/kv-range'):
            return self._range(query)
        if (method, path) == ('GET', '/kv-watch'):
            return await self._watch(query)
        if (method, path) == ('POST', '/kv-txn'):
            return self._txn(json.loads(body))
        if (method, path) == ('POST', '/kv-lease'):
            ttl = min(max(json.loads(body)['ttlS'], 1), 600)
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl)
            return self._reply(200, {'lease': self.last_lease, 'ttlS': ttl})
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self.leases:
            return self._reply(404, {})
        if path.startswith('/kv-keep/'):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return self._reply(200, {'ttlS': ttl})
        self._end_lease(lease)
        return self._reply(200, {})

    def _range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query['prefix']) and
                      key > query.get('after', ''))
        return self._reply(200, {
            'items': [self.items[key] for key in keys[:500]],
            'hasMore': len(keys) > 500, 'currentRev': self.revision})

    async def _watch(self, query):
        after, era = int(query['after']), self.era
        end = time.monotonic() + int(query['waitMs']) / 1000
        if after < self.oldest or after > self.revision:
            return self._reply(410, {})
        while True:
            events = [event for _, revision, event in self.history
                      if revision > after and
                      event['key'].startswith(query['prefix'])]
            left = end - time.monotonic()
            if events or left <= 0:
                return self._reply(200, {'events': events,
                                         'currentRev': self.revision})
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.down or self.era != era:
                return None

    def _txn(self, body):
        expected = body.get('expected', [])
        writes, deletes = body.get('writes', []), body.get('deletes', [])
        names = [row['key'] for row in writes] + deletes
        if any(name.startswith(('op/', 'servers/')) for name in names):
            return self._reply(403, {})
        if any(self.items.get(row['key'], {}).get('rev', 0) != row['rev']
               for row in expected):
            items = [self.items[row['key']] for row in expected
                     if row['key'] in self.items]
            return self._reply(412, {'items': items})
        if any(row.get('lease', 0) and row['lease'] not in self.leases
               for row in writes):
            return self._reply(404, {})
        self.revision += 1
        for row in writes:
            self._write(row['key'], row['value'], row.get('lease', 0))
        for key in deletes:
            self._remove(key)
        self.lab.note(f'store rev={self.revision} writes '
                      f'{[row["key"] for row in writes]} deletes {deletes}')
        if self.on_write is not None:
            self.on_write([row['key'] for row in writes])
        self._notify()
        return self._reply(200, {'rev': self.revision})


def _unquote(text):
    parts = text.split('%')
    return parts[0] + ''.join(chr(int(p[:2], 16)) + p[2:] for p in parts[1:])


# -- Targets ------------------------------------------------------------------

class Target(Server):
    """An application target beside a gateway, which gets fenced grants."""

    def __init__(self, lab, name, service, ports, keyed, slots=6,
                 work_s=0.02):
        super().__init__(lab, ports['app'])
        self.name = name
        self.service = service
        self.control = ports['control']
        self.keyed = keyed
        self.slots = slots
        self.work_s = work_s
        self.id = f'i-{name}-{lab.rng.randrange(1 << 30):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.rows = []            # [first, last, fence]
        self.until = 0.0          # end of the hold, monotonic
        self.highest = {}         # sampled key -> highest fence seen
        self.freed = []
        self.running = 0
        self.runs = []            # (id, key, time)
        self.alive = False
        self.task = None
        self.on_run = None
        lab.targets.append(self)

    async def start(self):
        """Starts to serve and to send heartbeats."""
        await self.open()
        self.alive = True
        self.task = asyncio.create_task(self._beat())
        self.lab.closers.append(self.task.cancel)
        self.lab.note(f'target {self.id} ({self.service}) starts')

    def stop(self):
        """Ends the target."""
        self.alive = False
        self.task.cancel()
        self.close()
        self.lab.note(f'target {self.id} ends')

    def held(self):
        """Returns the rows that are held now."""
        return self.rows if self.alive and time.monotonic() < self.until \
            else []

    def fence_of(self, key):
        """Returns the fence under which a key is held now, or None."""
        for first, last, fence in self.held():
            if first <= key <= last:
                return fence
        return None

    async def _beat(self):
        await asyncio.sleep(self.lab.rng.random() * 0.3)
        while True:
            again = await self._send_beat()
            await asyncio.sleep(0.1 if again else HEARTBEAT_S)

    async def _send_beat(self):
        self.sequence += 1
        freed = list(self.freed)
        body = {'address': f'{HOST}:{self.address}', 'born': self.born,
                'info': {'service': self.service, 'version': 'v1',
                         'zone': 'z', 'slots': self.slots},
                'status': {'state': self.state, 'sequence': self.sequence,
                           'coldLeftS': 0}}
        if self.keyed:
            body['holds'] = self.held()
            body['freed'] = freed
        sent = time.monotonic()
        try:
            status, _, data = await asyncio.wait_for(
                request(self.control, 'PUT', f'/instances/{self.id}',
                        [('Content-Type', 'application/json')],
                        json.dumps(body).encode()), 1.0)
            reply = json.loads(data) if status == 200 else None
        except (OSError, asyncio.TimeoutError, ValueError,
                asyncio.IncompleteReadError):
            reply = None
        if reply is None or not self.alive:
            return False
        self.freed = [row for row in self.freed if row not in freed]
        if not self.keyed or 'holds' not in reply or len(data) > 4096:
            return False
        return self._apply(reply['holds'], sent + reply['holdS'])

    def _apply(self, holds, until):
        before = self.held()
        rows = []
        for first, last, fence, _ in holds:
            keys = sample(first, last)
            if any(self.highest.get(key, 0) > fence for key in keys):
                continue
            for key in keys:
                self.highest[key] = fence
            rows.append([first, last, fence])
        self.rows, self.until = rows, until
        self.lab.owner_check.on_grant(self, before, rows)
        for first, last, _ in before:
            for a, b in uncovered(first, last, rows):
                self.freed.append([a, b, f'{self.lab.rng.getrandbits(64):x}'])
        return bool(self.freed)

    async def handle(self, method, path, headers, body, writer):
        if path == '/healthz':
            return format_response(200, [('X-Instance-Id', self.id)], b'')
        attempt = headers.get('x-attempt-id', '')
        answer = [('X-Attempt-Id', attempt)]
        refused = answer + [('X-Not-Executed', '1')]
        key = int(headers['x-shard-key']) if 'x-shard-key' in headers else None
        if headers.get('x-expected-instance', self.id) != self.id or \
                self.keyed and self.fence_of(key) is None:
            return format_response(421, refused, b'')
        if self.running >= self.slots:
            return format_response(503, refused, b'')
        self.running += 1
        self.runs.append((attempt, key, time.monotonic()))
        if self.on_run is not None:
            self.on_run(self, attempt, method, path, key)
        if self.keyed:
            self.lab.owner_check.on_run(self, key, attempt)
        try:
            await asyncio.sleep(self.work_for(path))
        finally:
            self.running -= 1
        seal = f'{self.id}.{attempt}'
        return format_response(200, answer + [('X-Response-Seal', seal)],
                               f'{self.service} {attempt}'.encode())

    def work_for(self, path):
        """Returns the seconds of work of a request."""
        return self.work_s


def sample(first, last):
    """Returns the sampled keys of a range."""
    return range(-(-first // KEY_STEP) * KEY_STEP, last + 1, KEY_STEP)


def uncovered(first, last, rows):
    """Yields the parts of a range that no row covers."""
    at = first
    for a, b, *_ in sorted(row for row in rows
                           if row[1] >= first and row[0] <= last):
        if a > at:
            yield at, a - 1
        at = max(at, b + 1)
    if at <= last:
        yield at, last


class OwnerCheck:
    """The rule OWNER, as the targets see it."""

    def __init__(self, lab):
        self.lab = lab
        self.highest = {}       # key -> (fence, target)
        self.overlaps = {}      # (targets, key) -> start
        self.ran = {}           # (target, key) -> last begin of a request
        self.reported = set()

    def _report(self, kind, text):
        if kind not in self.reported:
            self.reported.add(kind)
            self.lab.broken(text)

    def on_grant(self, target, before, rows):
        """Checks the fences of keys that a target has just taken."""
        had = {key: fence for first, last, fence in before
               for key in sample(first, last)}
        taken = []
        for first, last, fence in rows:
            for key in sample(first, last):
                if had.get(key) == fence:
                    continue
                taken.append(key)
                top = self.highest.get(key)
                if top is not None and top[1] is not target and \
                        fence <= top[0]:
                    self._report(
                        ('fence', target.name),
                        f'target {target.id} takes key {key} with fence '
                        f'{fence}, target {top[1].id} had it with {top[0]}')
                if top is None or fence > top[0]:
                    self.highest[key] = (fence, target)
        lost = [key for key in had
                if not any(a <= key <= b for a, b, _ in rows)]
        if taken or lost:
            self.lab.note(f'target {target.id} holds {rows} '
                          f'(+{len(taken)} -{len(lost)} sampled keys)')

    def on_run(self, target, key, attempt):
        """Notes a request that begins on a key."""
        self.ran[target.name, key // KEY_STEP] = (time.monotonic(), attempt)

    async def watch(self):
        """Looks for keys that two targets hold at the same time."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            seen = set()
            targets = [t for t in self.lab.targets if t.keyed and t.alive]
            for i, left in enumerate(targets):
                for right in targets[i + 1:]:
                    if left.service == right.service:
                        self._compare(left, right, now, seen)
            for overlap in list(self.overlaps):
                if overlap not in seen:
                    del self.overlaps[overlap]

    def _compare(self, left, right, now, seen):
        for a, b, fence_l in left.held():
            for c, d, fence_r in right.held():
                for key in sample(max(a, c), min(b, d)):
                    overlap = (left.name, right.name, key)
                    seen.add(overlap)
                    start = self.overlaps.setdefault(overlap, now)
                    self._judge(left, right, key, fence_l, fence_r, start, now)

    def _judge(self, left, right, key, fence_l, fence_r, start, now):
        what = (f'targets {left.id} (fence {fence_l}) and {right.id} '
                f'(fence {fence_r}) both hold key {key}')
        if now - start > 0.5:
            self._report(('both', left.name, right.name),
                         f'{what} for over half a second')
        runs = [self.ran.get((t.name, key // KEY_STEP), (0, ''))
                for t in (left, right)]
        if all(run[0] >= start for run in runs):
            self._report(('run', left.name, right.name),
                         f'{what} and both begin requests on keys {key} to '
                         f'{key + KEY_STEP - 1}: {runs[0][1]}, {runs[1][1]}')


# -- Clients ------------------------------------------------------------------

async def request(port, method, path, headers, body=b''):
    """Sends one request on a new connection.

    Returns the status, the headers and the body.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(format_request(method, path, headers, body))
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        return (int(head[0].split()[1]), head[1],
                await read_body(reader, head[1]))
    finally:
        writer.close()


def format_request(method, path, headers, body=b''):
    """Returns the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(body)}']
    if not any(name == 'Host' for name, _ in headers):
        lines.append('Host: control')
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Client:
    """Sends requests through the gateways."""

    def __init__(self, lab, host='shop.example'):
        self.lab = lab
        self.host = host
        self.count = 0
        self.statuses = {}

    def next_id(self):
        """Returns the id of the next attempt."""
        self.count += 1
        return f'{self.count:016x}'

    async def send(self, gateway, method, path, key=None, deadline_ms=800,
                   body=b''):
        """Sends one attempt. Returns its id, status, headers and body."""
        attempt = self.next_id()
        headers = [('Host', self.host), ('X-Attempt-Id', attempt),
                   ('X-Deadline-Ms', deadline_ms)]
        if key is not None:
            headers.append(('X-Shard-Key', key))
        try:
            status, answer, data = await asyncio.wait_for(
                request(gateway.ports['outbound'], method, path, headers,
                        body), deadline_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, ValueError,
                asyncio.IncompleteReadError):
            status, answer, data = 0, {}, b''
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return attempt, status, answer, data


# -- Gateways -----------------------------------------------------------------

class Gateway:
    """A process of the deploy file's program."""

    def __init__(self, lab, name, service, store, domain='z1'):
        self.lab = lab
        self.name = name
        self.service = service
        self.ports = {part: lab.port() for part in (
            'outbound', 'peers', 'control', 'readiness', 'metrics', 'app')}
        self.path = os.path.join(lab.temp, f'{name}.toml')
        with open(self.path, 'w', encoding='ascii') as file:
            file.write(SETTINGS.format(
                name=name, domain=domain, service=service, host=HOST,
                heartbeat=HEARTBEAT_S, store=store.address, **self.ports))
        self.process = None
        lab.gateways.append(self)

    async def start(self):
        """Starts the process."""
        log = open(os.path.join(self.lab.temp, f'{self.name}.log'), 'ab')
        self.process = await asyncio.create_subprocess_exec(
            GATEWAY, stdout=log, stderr=log, cwd=ROOT,
            env={'PATH': os.environ.get('PATH', ''),
                 'APRICOTTRAIL_SETTINGS': self.path})
        log.close()
        self.lab.note(f'gateway {self.name} starts')

    def send_signal(self, number):
        """Sends a signal to the process."""
        self.lab.note(f'gateway {self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def stop(self):
        """Stops the process as the platform does."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            await self.kill()
        self.lab.note(f'gateway {self.name} has ended')

    async def kill(self):
        """Kills the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def is_ready(self):
        """Returns whether the gateway says that it is ready."""
        try:
            status, _, _ = await asyncio.wait_for(
                request(self.ports['readiness'], 'GET', '/readyz', []), 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, ValueError,
                asyncio.IncompleteReadError):
            return False


async def wait_for(condition, seconds, what):
    """Waits until a condition holds; raises CannotRun after some seconds."""
    end = time.monotonic() + seconds
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        if time.monotonic() > end:
            raise CannotRun(what)
        await asyncio.sleep(0.05)


def config(version, routes, services):
    """Returns a configuration as the operator writes it."""
    return json.dumps({
        'version': f'{version:08x}', 'routes': routes, 'services': services,
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                   'headerTimeoutS': 3, 'idleTimeoutS': 15}}).encode()


def route(name, prefix, service, kind='idempotent', timeout_s=2,
          host='shop.example', attempts=2):
    """Returns a route of a configuration."""
    return {'name': name, 'host': host, 'prefix': prefix, 'kind': kind,
            'timeoutS': timeout_s, 'sloS': 0.5, 'priority': 1,
            'service': service, 'attempts': attempts}


def service(name, keyed):
    """Returns a service of a configuration."""
    result = {'name': name, 'healthPath': '/healthz', 'maxConns': 120,
              'protocol': 'h1', 'tls': False}
    if keyed:
        result |= {'sharded': True, 'warmS': 2.0, 'grants': 'heartbeat'}
    return result


def run(folder, main):
    """Runs a case and exits with its result."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        lab = Lab(folder)
        lab.owner_check = OwnerCheck(lab)
        check = asyncio.create_task(lab.owner_check.watch())
        lab.closers.append(check.cancel)
        lab.note(f'TROUBLE={int(trouble)}')
        status = 2
        try:
            if not os.access(GATEWAY, os.X_OK):
                raise CannotRun('target/apricot-gateway is not built')
            await asyncio.wait_for(main(lab, trouble), 115)
            ended = [g.name for g in lab.gateways
                     if g.process is not None and
                     g.process.returncode not in (None, 0)]
            if ended:
                lab.note(f'gateways that ended by themselves: {ended}')
            status = 1 if lab.breaks else 0
        except (CannotRun, asyncio.TimeoutError) as error:
            lab.note(f'cannot run: {error!r}')
            # A rule that was broken before counts.
            status = 1 if lab.breaks else 2
        lab.note(f'result: {("held", "BROKEN", "could not run")[status]}, '
                 f'{len(lab.breaks)} breaks')
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(lab.temp, os.environ['KEEP_LOGS'],
                            dirs_exist_ok=True)
        await lab.close()
        return status

    sys.exit(asyncio.run(play()))
