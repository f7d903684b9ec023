"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import urllib.parse

from http1 import serve

JSON = {'Content-Type': 'application/json'}


class Store:
    """Linearizable items, watches, transactions and leases."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.revision = 10
        self.items = {}
        self.events = []
        self.oldest = 0
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        # fault(method, path, request) may delay a call by awaiting, or return
        # an answer in its place; see the scripts.
        self.fault = None
        self.blind_until = 0.0   # see compact()
        self.server = None
        self.expiry = None

    async def open(self):
        """Starts the server."""
        self.server = await serve(self.host, self.port, self._handle)
        self.expiry = asyncio.create_task(self._expire())

    def put(self, key, value):
        """Writes an item as the operator does."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()

    def compact(self, blind_s=1.0):
        """Lets watches hear nothing for a second, and then drops the history
        and cuts them."""
        loop = asyncio.get_running_loop()
        self.blind_until = loop.time() + blind_s

        def drop():
            self.oldest = self.revision
            self._notify()
        loop.call_later(blind_s, drop)

    def text(self, key):
        """Returns the value of an item, or None."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item['value'])

    def _write(self, key, value, lease):
        created = self.items.get(key, {}).get('created', self.revision)
        item = {'key': key, 'value': value, 'rev': self.revision,
                'created': created, 'lease': lease}
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({'key': key, 'rev': self.revision,
                                'removed': True})

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items()
                if item['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    async def _expire(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, end) in list(self.leases.items()):
                if end <= loop.time():
                    self._end_lease(lease)

    async def _handle(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.004)
        if self.fault is not None:
            answer = await self.fault(request.method, url.path, request)
            if answer is not None:
                return None if answer == 'cut' else answer
        answer = await self._answer(request, url.path, query)
        return (answer[0], JSON, json.dumps(answer[1]).encode())

    async def _answer(self, request, path, query):
        loop = asyncio.get_running_loop()
        if path == '/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'currentRev': self.revision}
            return 200, {**item, 'currentRev': self.revision}
        if path == '/kv-range':
            keys = [key for key in sorted(self.items)
                    if key.startswith(query['prefix']) and
                    key > query.get('after', '')]
            return 200, {'items': [self.items[key] for key in keys[:500]],
                         'hasMore': len(keys) > 500,
                         'currentRev': self.revision}
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-txn':
            return self._commit(json.loads(request.body))
        if path == '/kv-lease':
            ttl = max(1.0, json.loads(request.body)['ttlS'])
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, loop.time() + ttl)
            return 200, {'lease': self.last_lease, 'ttlS': ttl}
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/kv-keep/'):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, loop.time() + ttl)
            return 200, {'lease': lease, 'ttlS': ttl}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        loop = asyncio.get_running_loop()
        after = int(query['after'])
        end = loop.time() + min(30000, int(query['waitMs'])) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            blind = loop.time() < self.blind_until
            events = [event for event in self.events if event['rev'] > after
                      and event['key'].startswith(query['prefix'])]
            if blind and loop.time() >= end:
                return 200, {'events': [], 'currentRev': after}
            if not blind and (events or loop.time() >= end):
                return 200, {'events': events, 'currentRev': self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(),
                                       max(0.0, end - loop.time()))
            except asyncio.TimeoutError:
                pass

    def _commit(self, body):
        expected = body.get('expected', [])
        writes = body.get('writes', [])
        deletes = body.get('deletes', [])
        if len(expected) + len(writes) + len(deletes) > 32:
            return 400, {}
        if any(self.items.get(row['key'], {}).get('rev', 0) != row['rev']
               for row in expected):
            return 412, {'items': [self.items[row['key']] for row in expected
                                   if row['key'] in self.items]}
        if any(row.get('lease', 0) and row['lease'] not in self.leases
               for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self._write(row['key'], row['value'], row.get('lease', 0))
        for key in deletes:
            self._remove(key)
        self._notify()
        return 200, {'rev': self.revision}
