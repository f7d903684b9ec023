"""Stand-in for a target, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import time

from httpio import Server, call

CLOCK_FACTOR = 1.0   # the target's clock is exact


def subtract(first, last, rows):
    """Yields the parts of a key range that no row covers."""
    at = first
    for row in sorted(rows):
        if row[1] < at or row[0] > last:
            continue
        if row[0] > at:
            yield at, row[0] - 1
        at = row[1] + 1
    if at <= last:
        yield at, last


class Target:
    """A target that holds keys by the answers to its heartbeats."""

    def __init__(self, world, host, service, keyed, address, control, zone,
                 heartbeat_s, phase_s, slots=6):
        self.world, self.record = world, world.record
        self.host, self.service, self.keyed = host, service, keyed
        self.ip, self.port = address
        self.control = control
        self.zone, self.heartbeat_s, self.phase_s = zone, heartbeat_s, phase_s
        self.slots = slots
        self.work_s = (0.04, 0.1)
        self.rng = random.Random(host)
        self.lives = 0
        self.alive = False
        self.id = None
        self.tasks = set()
        self.server = None
        self.reset_state()

    def reset_state(self):
        self.rows = []        # granted: [first, last, fence]
        self.expiry = 0.0
        self.leaving_rows = []   # left out of an answer, still at work
        self.freed = []       # [first, last, handover]
        self.highest = []     # rows with the highest fence seen on them
        self.running = {}     # request ID -> key
        self.queue = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.sequence = 0
        self.draining = False
        self.renewed = asyncio.Event()
        self.acknowledged = asyncio.Event()
        self.heartbeats_on = True
        self.drain_acked = None   # when a drain was first acknowledged

    async def start(self):
        """Starts a new life, which holds no keys."""
        self.lives += 1
        self.reset_state()
        self.id = f'i-{self.host}-{self.lives}'
        self.born = int(time.time() * 1000)
        self.alive = True
        self.server = Server(self.ip, self.port, self._handle)
        await self.server.open()
        self._spawn(self._beat_forever(self.id))
        self.record(f'target {self.id} starts')

    def crash(self):
        """Ends the present life at once."""
        self.record(f'target {self.id} crashes')
        self.alive = False
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.world.on_holds_changed(self)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def held_rows(self):
        """Returns the rows that this target holds or still works on."""
        if not self.alive or time.monotonic() >= self.expiry:
            return []
        return self.rows + self.leaving_rows

    def holds(self, key):
        return self.alive and time.monotonic() < self.expiry and \
            any(row[0] <= key <= row[1] for row in self.rows)

    async def _beat_forever(self, life):
        period = self.heartbeat_s
        while self.alive and self.id == life:
            now = time.monotonic() - self.world.started
            wait = (self.phase_s - now) % period
            await asyncio.sleep(wait if wait > 0.01 else wait + period)
            while self.heartbeats_on and await self._beat(life):
                await asyncio.sleep(0.1)   # until all keys are released

    async def delayed_beat(self, delay_s):
        """Sends the next heartbeat and no others; the network delivers it
        `delay_s` later. Returns a task that ends then."""
        self.heartbeats_on = False
        body = self._beat_body()
        life = self.id
        self.record(f'{life} sends heartbeat {self.sequence}, state '
                    f'{body["status"]["state"]}, which is held up')

        async def deliver():
            await asyncio.sleep(delay_s)
            self.record(f'heartbeat {body["status"]["sequence"]} of {life} '
                        f'arrives, {delay_s} s late')
            try:
                status, _, _ = await call(
                    *self.control, 'PUT', f'/instances/{life}',
                    {'Content-Type': 'application/json'},
                    json.dumps(body).encode(), timeout=1.0)
                self.record(f'it is answered {status}')
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError) as error:
                self.record(f'it is not answered: {error!r}')
        return asyncio.ensure_future(deliver())

    async def deregister(self):
        """Says that it leaves, as a target that never reports draining does;
        no heartbeat follows. Returns when that was acknowledged."""
        self.heartbeats_on = False
        for _ in range(10):
            try:
                status, _, _ = await call(*self.control, 'DELETE',
                                          f'/instances/{self.id}',
                                          timeout=1.0)
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                status = None
            self.record(f'{self.id} deregisters: {status}')
            if status is not None and 200 <= status < 300:
                return time.monotonic()
            await asyncio.sleep(0.1)
        return None

    def _beat_body(self):
        self.sequence += 1
        body = {'address': f'{self.ip}:{self.port}', 'born': self.born,
                'info': {'service': self.service, 'version': 'v1',
                         'zone': self.zone, 'slots': self.slots},
                'status': {'state': 'draining' if self.draining else 'ready',
                           'sequence': self.sequence, 'coldLeftS': 0}}
        if self.keyed:
            body |= {'holds': [row[:3] for row in self.held_rows()],
                     'freed': list(self.freed)}
        return body

    async def _beat(self, life):
        """Sends a heartbeat; returns whether keys still are to be freed."""
        sent = time.monotonic()
        freed = list(self.freed)
        body = self._beat_body()
        try:
            status, _, answer = await call(
                *self.control, 'PUT', f'/instances/{self.id}',
                {'Content-Type': 'application/json'},
                json.dumps(body).encode(), timeout=1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        if status != 200 or not self.alive or self.id != life:
            return False
        self.acknowledged.set()
        if self.draining:
            self.world.on_drain_acknowledged(self)
        self.freed = [row for row in self.freed if row not in freed]
        reply = json.loads(answer)
        if 'holds' not in reply:
            return bool(self.freed or self.leaving_rows)
        self._take(reply['holds'], sent + reply['holdS'] * CLOCK_FACTOR)
        self.renewed.set()
        self.renewed = asyncio.Event()
        return bool(self.freed or self.leaving_rows)

    def _take(self, rows, expiry):
        """Takes the granted rows and releases the others."""
        now = time.monotonic()
        if now >= self.expiry:
            self.rows, self.leaving_rows = [], []   # expired: not freed
        accepted = [row for row in rows
                    if not any(seen[0] <= row[1] and row[0] <= seen[1]
                               and seen[2] > row[2] for seen in self.highest)]
        before, self.rows = self.rows, [row[:3] for row in accepted]
        self.expiry = expiry
        for row in before:
            for first, last in subtract(row[0], row[1], self.rows):
                self._release(first, last, row[2])
        for row in self.rows:
            self.world.on_row(self, row)
        self.highest = (self.highest + self.rows)[-2000:]
        self.world.on_holds_changed(self)

    def _release(self, first, last, fence):
        """Frees keys, those at work only when their work has ended."""
        busy = sorted({k for k in self.running.values()
                       if k is not None and first <= k <= last})
        for key in busy:
            self.leaving_rows.append([key, key, fence])
        for a, b in subtract(first, last, [[k, k] for k in busy]):
            self.freed.append([a, b, self._token()])

    def _token(self):
        return f'{self.rng.getrandbits(64):016x}'

    def _end_work(self, request_id):
        key = self.running.pop(request_id, None)
        if key is not None and key not in self.running.values():
            for row in [r for r in self.leaving_rows if r[0] == key]:
                self.leaving_rows.remove(row)
                self.freed.append([key, key, self._token()])
        self.world.on_holds_changed(self)

    async def _handle(self, method, path, headers, body):
        request_id = headers.get('x-attempt-id', '')
        key = int(headers['x-shard-key']) if 'x-shard-key' in headers else None
        answer = {'X-Attempt-Id': request_id, 'X-Instance-Id': self.id}
        refusal = answer | {'X-Not-Executed': '1'}
        if path == '/healthz':
            return 200, answer, b''
        if headers.get('x-expected-instance', self.id) != self.id or \
                self.keyed and not self.holds(key):
            self.world.on_refused(self, request_id, 421)
            return 421, refusal, b''
        if self.queue >= self.slots + 24:
            self.world.on_refused(self, request_id, 503)
            return 503, refusal, b''
        self.queue += 1
        life = self.id
        try:
            async with self.slot:
                if self.keyed and not self.holds(key):
                    self.world.on_refused(self, request_id, 421)
                    return 421, refusal, b''
                self.running[request_id] = key
                self.world.on_begin(self, method, request_id, key)
                try:
                    await asyncio.sleep(self.rng.uniform(*self.work_s))
                finally:
                    if life == self.id:
                        self._end_work(request_id)
        finally:
            if life == self.id:
                self.queue -= 1
        return 200, answer | {'X-Response-Seal': f's.{request_id}'}, \
            f'done {request_id}'.encode()
