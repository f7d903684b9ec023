"""Minimal HTTP/1.1 server and client on asyncio streams, for stand-ins."""

import asyncio
import socket
import struct


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack('ii', 1, 0))
    writer.transport.abort()


class Request:
    """A request that was read in full, with its connection."""

    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.headers = headers   # names in lower case
        self.body = body
        self.writer = writer


async def read_head(reader):
    """Returns the first line and the headers; None at the end."""
    try:
        text = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    """Returns the body of a message; raises if it is cut short."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_end else b''


def format_answer(status, headers, body):
    """Returns the bytes of a response with a length."""
    text = f'HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n'
    for name, value in headers.items():
        text += f'{name}: {value}\r\n'
    return text.encode('latin-1') + b'\r\n' + body


async def serve(host, port, handle):
    """Serves requests. handle(request) returns (status, headers, body), or
    None if it has closed the connection or answered itself."""
    async def on_connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                answer = await handle(
                    Request(method, target, head[1], body, writer))
                if answer is None:
                    if writer.is_closing():
                        break
                    continue
                writer.write(format_answer(*answer))
                await writer.drain()
                if answer[1].get('Connection') == 'close':
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(on_connection, host, port,
                                      limit=1 << 22)


async def call(host, port, method, target, headers, body=b'', timeout=1.0):
    """Sends one request on a new connection. Returns (status, headers, body),
    or None if no complete response arrives in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                host, port, limit=1 << 22)
            lines = [f'{method} {target} HTTP/1.1',
                     f'Content-Length: {len(body)}']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            writer.write('\r\n'.join(lines).encode('latin-1') +
                         b'\r\n\r\n' + body)
            head = await read_head(reader)
            if head is None:
                return None
            return (int(head[0].split(' ')[1]), head[1],
                    await read_body(reader, head[1], True))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
