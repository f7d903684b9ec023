"""Stand-in for an application target, as PROTOCOL.md describes it."""

import asyncio
import json
import time

from http1 import call, reset, serve


class Target:
    """A target beside one gateway. `log(kind, **fields)` takes what it sees;
    `keyed` tells whether its service is divided by key."""

    def __init__(self, name, service, keyed, host, port, control, zone, log,
                 heartbeat_s=0.87, slots=6, work_s=0.03):
        self.name = name
        self.service = service
        self.keyed = keyed
        self.host = host
        self.port = port
        self.control = control
        self.zone = zone
        self.log = log
        self.heartbeat_s = heartbeat_s
        self.slots = slots
        self.work_s = work_s
        self.life = 0
        self.id = ''
        self.alive = False
        self.server = None
        self.task = None
        self.connections = set()
        # send(method, path, body) may be replaced to delay heartbeats.
        self.send = self._send

    async def start(self):
        """Starts a new incarnation."""
        self.life += 1
        self.id = f'i-{self.name}-{self.life}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.acked_drain_at = None
        self.running = {}       # id -> key
        self.grants = []        # rows [first, last, fence]
        self.grants_end = 0.0
        self.freed = []
        self.pending = []       # rows given up while a run goes on
        self.fences = {}
        self.alive = True
        self.log('start', target=self.name, id=self.id)
        self.server = await serve(self.host, self.port, self._handle)
        self.task = asyncio.create_task(self._beat(self.id))

    async def crash(self):
        """Ends the incarnation at once."""
        self.alive = False
        self.task.cancel()
        self.server.close()
        for writer in list(self.connections):
            reset(writer)
        self.connections.clear()
        self.log('end', target=self.name, id=self.id)

    def holds(self, key):
        """Returns the fencing token with which a key is held, or None."""
        if time.monotonic() >= self.grants_end:
            return None
        for first, last, fence in self.grants:
            if first <= key <= last:
                return fence
        return None

    def body(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        data = {'address': f'{self.host}:{self.port}', 'born': self.born,
                'info': {'service': self.service, 'version': 'v1',
                         'zone': self.zone, 'slots': self.slots},
                'status': {'state': self.state, 'sequence': self.sequence,
                           'coldLeftS': 0}}
        if self.keyed:
            live = time.monotonic() < self.grants_end
            data['holds'] = [list(row) for row in
                             (self.grants if live else []) + self.pending]
            data['freed'] = [list(row) for row in self.freed]
        return data

    async def _send(self, method, path, body):
        return await call(self.host, self.control, method, path,
                          {'Content-Type': 'application/json'}, body)

    async def beat_once(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        sent_at = time.monotonic()
        identity = self.id
        data = self.body()
        answer = await self.send('PUT', f'/instances/{identity}',
                                 json.dumps(data).encode())
        if answer is None or answer[0] // 100 != 2 or len(answer[2]) > 4096 \
                or identity != self.id or not self.alive:
            return False
        if data['status']['state'] == 'draining' and \
                self.acked_drain_at is None:
            self.acked_drain_at = time.monotonic()
            self.log('drain_acknowledged', id=identity)
        if self.keyed:
            self.freed = [row for row in self.freed
                          if row not in data['freed']]
            reply = json.loads(answer[2] or b'{}')
            if 'holds' in reply:
                self._take(reply['holds'], sent_at + reply['holdS'])
        return True

    def _take(self, rows, end):
        old = self.grants if time.monotonic() < self.grants_end else []
        kept = [[row[0], row[1], row[2]] for row in rows]
        for first, last, fence in old:
            at = first
            for a, b, _ in sorted(kept):
                if b < at or a > last:
                    continue
                if a > at:
                    self._give_up(at, a - 1, fence)
                at = b + 1
            if at <= last:
                self._give_up(at, last, fence)
        self.grants, self.grants_end = kept, end
        self.log('holds', id=self.id, rows=kept, for_s=round(
            end - time.monotonic(), 3))

    def _give_up(self, first, last, fence):
        if any(first <= key <= last for key in self.running.values()):
            self.pending.append([first, last, fence])
        else:
            self._free(first, last)

    def _free(self, first, last):
        self.freed.append([first, last, f'{first:08x}{last:08x}'])
        self.log('freed', id=self.id, first=first, last=last)

    async def _beat(self, identity):
        while self.alive and identity == self.id:
            await self.beat_once()
            for row in list(self.pending):
                if not any(row[0] <= key <= row[1]
                           for key in self.running.values()):
                    self.pending.remove(row)
                    self._free(row[0], row[1])
            await asyncio.sleep(0.1 if self.freed or self.pending
                                else self.heartbeat_s)

    async def _handle(self, request):
        self.connections.add(request.writer)
        headers = request.headers
        identity = headers.get('x-attempt-id', '')
        answer = {'X-Attempt-Id': identity}
        refused = {**answer, 'X-Not-Executed': '1'}
        if request.target == '/healthz':
            good = self.state == 'ready'
            return (200 if good else 503, {'X-Instance-Id': self.id}, b'')
        expected = headers.get('x-expected-instance')
        if expected is not None and expected != self.id:
            self.log('rejected', id=identity, at=self.id, expected=expected)
            return 421, refused, b''
        key = int(headers['x-shard-key']) if 'x-shard-key' in headers else None
        if self.keyed and (key is None or self.holds(key) is None):
            return 421, refused, b''
        if len(self.running) >= self.slots:
            return 503, refused, b''
        self.log('run', id=identity, at=self.id, key=key,
                 method=request.method, target=request.target,
                 caller=headers.get('x-caller-service'),
                 deadline_ms=headers.get('x-deadline-ms'))
        token = object()
        self.running[token] = -1 if key is None else key
        life = self.life
        try:
            await asyncio.sleep(self.work_for(request))
        finally:
            self.running.pop(token, None)
        if life != self.life or not self.alive:
            return None
        self.log('done', id=identity, at=self.id)
        return 200, {**answer, 'X-Response-Seal': f'seal.{identity}'}, \
            f'{self.id} {identity}'.encode()

    def work_for(self, request):
        """Returns the seconds that a request takes: those in its path, as in
        /route/WORK_MS, or the usual time."""
        part = request.target.rsplit('/', 1)[1]
        return int(part) / 1000 if part.isdigit() else self.work_s
