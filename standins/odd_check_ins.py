"""Check-ins that no backend server writes, as another writer may send them."""

import json
import time
from collections.abc import Mapping
from typing import Final

import aiohttp

#: Levels of nesting that no reader follows.
DEPTH: Final = 100_000
#: Seconds after which a control daemon counts as one that doesn't answer.
RESPONSE_TIMEOUT_S: Final = 2.0


def build_odd_check_ins() -> Mapping[str, bytes]:
    """Return bodies by name, each with one thing that can't be used."""
    sound = {
        "service": "elsewhere",
        "address": "127.250.250.1:8080",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    changes: dict[str, dict[str, object]] = {
        "sequence over 64 bits": {"seq": 2**64},
        "negative sequence": {"seq": -1},
        "start over 64 bits": {"born": 10**300},
        "start over 63 bits": {"born": 2**63},
        "half an address": {"address": "[::1:80"},
        "port out of range": {"address": "127.250.250.1:99999"},
        "endless port": {"address": "127.250.250.1:" + "9" * 5000},
        "long version": {"version": "v" * 1_000_000},
        "unprintable version": {"version": "v1\0"},
        "too many slots": {"slots": 2**70},
    }
    bodies = {
        name: json.dumps({**sound, **change}).encode()
        for name, change in changes.items()
    }
    text = json.dumps(sound)[:-1].encode()
    bodies["deep models"] = text + b',"models":' + b"[" * DEPTH
    bodies["deep unknown field"] = text + b',"x":' + b"[" * DEPTH
    bodies["not UTF-8"] = b"\xff\xfe"
    return bodies


async def send_check_in(
    client: aiohttp.ClientSession, control: str, server_id: str, body: bytes
) -> int:
    """Send a check-in; return the status, or zero without an answer."""
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
    url = f"{control}/v1/instances/{server_id}"
    try:
        async with client.put(url, data=body, timeout=timeout) as response:
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


def build_foreign_check_in(address: str, *, service: str, born: int, seq: int) -> bytes:
    """Return a sound body of another writer that names any address."""
    content = {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": seq,
        "born": born,
    }
    return json.dumps(content).encode()
