"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

Each gateway reaches the store at an address of its own, so that the store can
treat one machine otherwise than the others.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from httpio import NoAnswer, Server

ANSWER_S = 0.004
JSON = {'Content-Type': 'application/json'}


class Store:
    """Items with revisions, leases and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}       # key -> item
        self.history = []     # (revision, event)
        self.leases = {}      # ID -> (time to live, expiry)
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.servers = []
        self.refused = {}       # host -> status of all answers
        self.silent = set()     # hosts whose calls get no answer
        self.lose = None        # f(host, body) -> bool: lose this change
        self.late = []          # [(host, body, time of arrival)]
        self.answer_s = ANSWER_S
        self.writes = 0         # transactions received
        self.task = None

    async def open(self, addresses):
        """Serves each (host, ip, port)."""
        for host, ip, port in addresses:
            async def handler(method, path, headers, body, host=host):
                return await self._handle(host, method, path, body)
            server = Server(ip, port, handler)
            await server.open()
            self.servers.append(server)
        self.task = asyncio.ensure_future(self._expire())

    def close(self):
        self.task.cancel()
        for server in self.servers:
            server.close()

    def put(self, key, value):
        """Writes an item as the operator does."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _write(self, key, value, lease):
        created = self.items.get(key, {}).get('created', self.revision)
        self.items[key] = {'key': key, 'value': value, 'rev': self.revision,
                           'created': created, 'lease': lease}
        self.history.append((self.revision, self.items[key]))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, {
                'key': key, 'rev': self.revision, 'removed': True}))

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, expiry) in list(self.leases.items()):
                if expiry <= now:
                    self._end_lease(lease)

    async def _handle(self, host, method, path, body):
        parts = urlsplit(path)
        query = {k: v[0] for k, v in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(self.answer_s)
        if host in self.silent:
            raise NoAnswer
        if host in self.refused:
            return self.refused[host], {}, b''
        if parts.path == '/kv-range':
            return self._range(query)
        if parts.path == '/kv-watch':
            return await self._watch(host, query)
        if parts.path == '/kv-txn':
            return self._txn(host, json.loads(body))
        if parts.path == '/kv-lease':
            return self._lease(json.loads(body))
        lease = int(unquote(parts.path).rsplit('/', 1)[1])
        if lease not in self.leases:
            return 404, {}, b''
        if parts.path.startswith('/kv-keep/'):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
        else:
            self.record(f'store: {host} ends lease {lease}')
            self._end_lease(lease)
        return 200, JSON, b'{}'

    def _range(self, query):
        items = [item for key, item in sorted(self.items.items())
                 if key.startswith(query['prefix'])
                 and key > query.get('after', '')]
        return self._json({'items': items, 'hasMore': False,
                           'currentRev': self.revision})

    def _events(self, prefix, after):
        latest = {}
        for revision, event in self.history:
            if revision > after and event['key'].startswith(prefix):
                latest[event['key']] = event
        return sorted(latest.values(), key=lambda event: event['rev'])

    async def _watch(self, host, query):
        prefix, after = query['prefix'], int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        while not self._events(prefix, after):
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(),
                                       max(0.0, end - time.monotonic()))
            except asyncio.TimeoutError:
                break
        if host in self.silent:
            raise NoAnswer
        if host in self.refused:
            return self.refused[host], {}, b''
        body = {'events': self._events(prefix, after),
                'currentRev': self.revision}
        await asyncio.sleep(self.answer_s)
        return self._json(body)

    def _txn(self, host, body):
        self.writes += 1
        if self.lose is not None and self.lose(host, body):
            self.late.append((host, body, time.monotonic()))
            raise NoAnswer
        if host in self.refused:
            return self.refused[host], {}, b''
        return self._apply(host, body)

    def apply_late(self):
        """Carries out the oldest change whose answer was lost."""
        host, body, arrived = self.late.pop(0)
        status, _, _ = self._apply(host, body)
        self.record(f'store: late change of {host}, '
                    f'{time.monotonic() - arrived:.2f} s after its arrival: '
                    f'{"done" if status == 200 else f"refused {status}"}')
        return status == 200

    def _apply(self, host, body):
        expected = body.get('expected', [])
        writes = body.get('writes', [])
        deletes = body.get('deletes', [])
        if len(expected) + len(writes) + len(deletes) > 32:
            return 400, {}, b''
        if any(self.items.get(row['key'], {}).get('rev', 0) != row['rev']
               for row in expected):
            items = [self.items[row['key']] for row in expected
                     if row['key'] in self.items]
            return self._json({'items': items}, 412)
        if any(row.get('lease', 0) and row['lease'] not in self.leases
               for row in writes):
            return 404, {}, b''
        self.revision += 1
        for row in writes:
            self._write(row['key'], row['value'], row.get('lease', 0))
        for key in deletes:
            self._remove(key)
        self._notify()
        keys = [row['key'] for row in writes]
        if any('/keys/' in key or '/fences/' in key for key in keys):
            self.record(f'store: {host} writes {" ".join(keys)} at revision '
                        f'{self.revision}')
        return self._json({'rev': self.revision})

    def _lease(self, body):
        self.last_lease += 1
        ttl = max(1.0, body['ttlS'])
        self.leases[self.last_lease] = (ttl, time.monotonic() + ttl)
        return self._json({'lease': self.last_lease, 'ttlS': ttl})

    @staticmethod
    def _json(body, status=200):
        return status, JSON, json.dumps(body).encode()
