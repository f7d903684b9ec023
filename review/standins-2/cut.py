"""Loopback proxies that cut machines off from the store and from each other.

A cut is silent. A connection that exists when it begins carries nothing any
more and ends after DEAD_S, as TCP_USER_TIMEOUT would end it. One that is opened
during the cut carries nothing and ends with the cut, as a connect that got no
answer has to be made again.
"""

import asyncio

from http1 import reset

DEAD_S = 3.0


class Cuts:
    """The machines that are cut off at present."""

    def __init__(self):
        self.hosts = set()
        self.healed = asyncio.Event()
        self.began = asyncio.Event()

    def begin(self, hosts):
        """Cuts machines off."""
        self.hosts = set(hosts)
        self.healed = asyncio.Event()
        self.began.set()

    def end(self):
        """Ends the cut."""
        self.hosts = set()
        self.began = asyncio.Event()
        self.healed.set()


class CutProxy:
    """Forwards one port. `ends(first_bytes)` returns the names of the machines
    at the ends of a connection; cut ones keep it from carrying anything."""

    def __init__(self, cuts, host, port, target_port, ends):
        self.cuts = cuts
        self.host = host
        self.port = port
        self.target_port = target_port
        self.ends = ends
        self.server = None

    async def open(self):
        """Starts listening."""
        self.server = await asyncio.start_server(self._serve, self.host,
                                                 self.port)

    def _is_cut(self, names):
        return bool(self.cuts.hosts & set(names))

    async def _serve(self, reader, writer):
        target = None
        try:
            first = await reader.read(65536)
            if not first:
                return
            names = self.ends(first)
            if self._is_cut(names):
                await self.cuts.healed.wait()
                return
            target_reader, target = await asyncio.open_connection(
                self.host, self.target_port)
            target.write(first)
            work = [asyncio.create_task(self._forward(reader, target, names)),
                    asyncio.create_task(
                        self._forward(target_reader, writer, names)),
                    asyncio.create_task(self._watch(names))]
            await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
            for task in work:
                task.cancel()
        except OSError:
            pass
        finally:
            reset(writer)
            if target is not None:
                reset(target)

    async def _watch(self, names):
        """Returns when the connection has died in a cut."""
        while True:
            began = self.cuts.began
            await began.wait()
            if self._is_cut(names):
                await asyncio.sleep(DEAD_S)
                return
            await self.cuts.healed.wait()

    async def _forward(self, reader, writer, names):
        while True:
            data = await reader.read(65536)
            if self._is_cut(names):
                await asyncio.sleep(DEAD_S)
                return
            if not data:
                return
            writer.write(data)
            await writer.drain()
