"""MessagePack and a minimal HTTP/1.1 client and server, for the stand-ins."""
import asyncio
import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(value, out):
    if value is None:
        out.append(0xC0)
    elif value is True:
        out.append(0xC3)
    elif value is False:
        out.append(0xC2)
    elif isinstance(value, int):
        if 0 <= value < 128:
            out.append(value)
        elif value >= 0:
            out.append(0xCF)
            out += struct.pack(">Q", value)
        else:
            out.append(0xD3)
            out += struct.pack(">q", value)
    elif isinstance(value, float):
        out.append(0xCB)
        out += struct.pack(">d", value)
    elif isinstance(value, str):
        data = value.encode()
        if len(data) < 32:
            out.append(0xA0 | len(data))
        elif len(data) < 256:
            out += bytes([0xD9, len(data)])
        elif len(data) < 65536:
            out += b"\xda" + struct.pack(">H", len(data))
        else:
            out += b"\xdb" + struct.pack(">I", len(data))
        out += data
    elif isinstance(value, (list, tuple)):
        if len(value) < 16:
            out.append(0x90 | len(value))
        elif len(value) < 65536:
            out += b"\xdc" + struct.pack(">H", len(value))
        else:
            out += b"\xdd" + struct.pack(">I", len(value))
        for item in value:
            _pack(item, out)
    elif isinstance(value, dict):
        if len(value) < 16:
            out.append(0x80 | len(value))
        elif len(value) < 65536:
            out += b"\xde" + struct.pack(">H", len(value))
        else:
            out += b"\xdf" + struct.pack(">I", len(value))
        for key, item in value.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(value))


def unpack(data):
    value, end = _unpack(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


_FIXED = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
          0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_SIZED = {0xD9: (">B", "s"), 0xDA: (">H", "s"), 0xDB: (">I", "s"), 0xDC: (">H", "l"),
          0xDD: (">I", "l"), 0xDE: (">H", "m"), 0xDF: (">I", "m")}


def _unpack(data, at):
    tag = data[at]
    at += 1
    if tag < 0x80:
        return tag, at
    if tag >= 0xE0:
        return tag - 256, at
    if tag < 0x90:
        return _items(data, at, tag & 15, "m")
    if tag < 0xA0:
        return _items(data, at, tag & 15, "l")
    if tag < 0xC0:
        return _items(data, at, tag & 31, "s")
    if tag == 0xC0:
        return None, at
    if tag in (0xC2, 0xC3):
        return tag == 0xC3, at
    if tag in _FIXED:
        form = _FIXED[tag]
        size = struct.calcsize(form)
        return struct.unpack(form, data[at:at + size])[0], at + size
    form, kind = _SIZED[tag]
    size = struct.calcsize(form)
    count = struct.unpack(form, data[at:at + size])[0]
    return _items(data, at + size, count, kind)


def _items(data, at, count, kind):
    if kind == "s":
        if at + count > len(data):
            raise ValueError("cut short")
        return data[at:at + count].decode(), at + count
    if kind == "l":
        items = []
        for _ in range(count):
            item, at = _unpack(data, at)
            items.append(item)
        return items, at
    result = {}
    for _ in range(count):
        key, at = _unpack(data, at)
        result[key], at = _unpack(data, at)
    return result, at


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Connection:
    """A user's or a worker's connection to a controller."""

    def __init__(self, addr):
        self.addr = addr
        self.streams = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, decoded body, headers); raises OSError or asyncio.TimeoutError."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout)
        except (asyncio.IncompleteReadError, ValueError, IndexError) as error:
            self.close()
            raise ConnectionError(str(error)) from error
        except BaseException:
            self.close()
            raise

    async def _request(self, method, path, body):
        if self.streams is None:
            host, port = self.addr.split(":")
            self.streams = await asyncio.open_connection(host, int(port))
        reader, writer = self.streams
        data = pack(body) if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nhost: {self.addr}\r\ncontent-length: {len(data)}\r\n"
        if body is not None:
            head += "content-type: application/msgpack\r\n"
        writer.write(head.encode() + b"\r\n" + data)
        await writer.drain()
        status_line, headers = await read_head(reader)
        raw = await read_body(reader, headers)
        status = int(status_line.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            decoded = unpack(raw) if raw else None
        except (ValueError, IndexError, KeyError):
            decoded = None
        return status, decoded, headers

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


async def serve(handler, port=0):
    """Serves HTTP on loopback. `handler(method, path, body)` returns (status, body) or None for
    no response: the connection stays open and silent. Returns (server, address)."""
    async def on_connection(reader, writer):
        try:
            while True:
                request_line, headers = await read_head(reader)
                raw = await read_body(reader, headers)
                method, path, _ = request_line.split(" ", 2)
                try:
                    body = unpack(raw) if raw else None
                except (ValueError, IndexError, KeyError):
                    body = None
                answer = await handler(method, path, body)
                if answer is None:
                    await reader.read()
                    return
                status, result = answer
                data = pack(result) if result is not None else b""
                writer.write(f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n"
                             f"content-type: application/msgpack\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(on_connection, "127.0.0.1", port)
    return server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
