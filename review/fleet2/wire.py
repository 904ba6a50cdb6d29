"""HTTP/1.1 messages of the stand-ins, read from and written to asyncio streams."""

import asyncio


async def read_head(reader):
    """Return the first line and the headers by lower-case name; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Yield the parts of a body with a length or in chunks, until its marked end."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return
            yield part[:-2]
    elif "content-length" in headers:
        length = int(headers["content-length"])
        if length:
            yield await reader.readexactly(length)


async def read_request(reader):
    """Return method, target, headers and body of a request; None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = b"".join([part async for part in read_body(reader, head[1])])
    return method, target, head[1], body


def render(first_line, headers, body=b""):
    """Return a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(host, port, method, target, headers=(), body=b"", timeout_s=2.0):
    """Return status, headers and body of one call on a connection of its own."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                render(
                    f"{method} {target} HTTP/1.1",
                    [("Host", f"{host}:{port}"), ("Connection", "close"), *headers],
                    body,
                )
            )
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            content = b"".join([part async for part in read_body(reader, head[1])])
            return int(head[0].split(" ")[1]), head[1], content
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout_s)
