"""A small HTTP/1.1 server and client on asyncio, without dependencies."""

import asyncio

REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition',
           421: 'Misdirected Request', 429: 'Too Many Requests',
           503: 'Service Unavailable'}


class NoAnswer(Exception):
    """Raised by a handler whose request gets no answer on its connection."""


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def format_message(first_line, headers, body):
    """Returns the bytes of a message with a length."""
    lines = [first_line] + [f'{k}: {v}' for k, v in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Server:
    """Calls `handler(method, path, headers, body, gone)` for each request.

    The handler returns a status, headers and a body. It is cancelled when the
    caller closes the connection.
    """

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.ip,
                                                 self.port)

    def close(self):
        """Stops listening and resets all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(' ', 2)
                body = await read_body(reader, headers)
                work = asyncio.ensure_future(
                    self.handler(method, path, headers, body))
                await self._answer(reader, writer, work)
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                ValueError):
            pass
        except NoAnswer:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer, work):
        """Waits for the handler; cancels it if the caller leaves."""
        left = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({work, left},
                                     return_when=asyncio.FIRST_COMPLETED)
        if work not in done:
            data = left.result()
            if data:
                raise ValueError('pipelined')   # these callers never do
            work.cancel()
            raise ConnectionError
        left.cancel()
        try:
            await left
        except (asyncio.CancelledError, OSError):
            pass
        status, headers, body = work.result()
        writer.write(format_message(
            f'HTTP/1.1 {status} {REASONS.get(status, "Status")}', headers,
            body))
        await writer.drain()


async def call(ip, port, method, path, headers=None, body=b'', timeout=1.0,
               connection=None):
    """Sends a request on a new connection; returns status, headers, body.

    Raises OSError, asyncio.TimeoutError or asyncio.IncompleteReadError.
    """
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(format_message(
                f'{method} {path} HTTP/1.1',
                {'Host': f'{ip}:{port}', **(headers or {})}, body))
            line, answer_headers = await read_head(reader)
            answer = await read_body(reader, answer_headers)
            return int(line.split(' ')[1]), answer_headers, answer
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)
