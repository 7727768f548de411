"""Unary requests to agents: cancels, claim fences and settings."""

import asyncio
import contextlib
from typing import Any, TypeVar

from grpclib.const import Cardinality

from carobspring.adapters import paths
from carobspring.adapters.rpc import STREAM_ERRORS, connect
from carobspring.domain import BackendServer
from carobspring.entry.channels import ChannelPool
from carobspring.protocol import (
    CancelCall,
    CancelReply,
    Claim,
    FenceClaim,
    FenceReply,
    FetchSettings,
    SettingsReply,
)

MAX_FENCE_ATTEMPTS = 2
FENCE_TIMEOUT_S = 1.5
SETTINGS_TIMEOUT_S = 0.5

Reply = TypeVar("Reply")


async def send_request(
    pool: ChannelPool,
    server: BackendServer,
    path: str,
    request: Any,
    reply_type: type[Reply],
    timeout_s: float,
) -> Reply | None:
    """Return an agent's reply to one request, or None if it was lost.

    A connection without a reply in time is retired.

    Raises:
        ConnectionRefusedError: The agent's process is not running.
    """
    with pool.acquire(server) as shared:
        try:
            async with asyncio.timeout(timeout_s):
                await connect(shared.channel, timeout_s)
                stream = shared.channel.request(
                    path, Cardinality.UNARY_UNARY, type(request), reply_type
                )
                async with stream:
                    await stream.send_message(request, end=True)
                    return await stream.recv_message()
        except ConnectionRefusedError:
            raise
        except STREAM_ERRORS:
            pool.retire(server, shared)
            return None


async def cancel_call(
    pool: ChannelPool, server: BackendServer, call_id: str, timeout_s: float
) -> bool:
    """Cancel a call at its agent; return whether the cancel was delivered.

    An agent whose process is gone counts as delivered.
    """
    request = CancelCall(call_id=call_id)
    try:
        reply = await send_request(
            pool, server, paths.CANCEL_CALL, request, CancelReply, timeout_s
        )
    except ConnectionRefusedError:
        return True
    return reply is not None


async def withdraw_call(
    pool: ChannelPool, server: BackendServer, call_id: str, timeout_s: float
) -> None:
    """Withdraw a call that is still queued; its stream reports the result."""
    request = CancelCall(call_id=call_id, only_waiting=True)
    with contextlib.suppress(ConnectionRefusedError):
        await send_request(
            pool, server, paths.CANCEL_CALL, request, CancelReply, timeout_s
        )


async def fence_claim(
    pool: ChannelPool, server: BackendServer, claim: Claim
) -> FenceReply | None:
    """Fence a claim at its agent; return the reply, or None without one."""
    request = FenceClaim(claim=claim.number, boot=claim.boot)
    for _ in range(MAX_FENCE_ATTEMPTS):
        try:
            reply = await send_request(
                pool, server, paths.FENCE_CLAIM, request, FenceReply, FENCE_TIMEOUT_S
            )
        except ConnectionRefusedError:
            return None
        if reply is not None:
            return reply
    return None


async def fetch_settings(
    pool: ChannelPool, server: BackendServer, revision: int
) -> SettingsReply | None:
    """Return an agent's settings, or None without a reply."""
    request = FetchSettings(revision=revision)
    try:
        return await send_request(
            pool,
            server,
            paths.FETCH_SETTINGS,
            request,
            SettingsReply,
            SETTINGS_TIMEOUT_S,
        )
    except ConnectionRefusedError:
        return None
