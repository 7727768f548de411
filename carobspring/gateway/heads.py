"""Finds the response to a request among those on its connection.

A faulty server may write a response to another request once more. Its
identifier tells whose it is, if it has one. A server's HTTP library has no
identifier for the requests that it rejects by their head.
"""

from typing import Final

from carobspring import platform
from carobspring.domain import CallHeaders
from carobspring.platform import ResponseMetadata
from carobspring.ports import BackendResponse, IncompleteResponseError

#: Refusals without an identifier that may come before an answer.
MAX_REFUSAL_CHECKS: Final = 2
#: Status by which servers refuse a request that has no identifier, like the
#: one that is sent behind a refusal.
UNIDENTIFIED_STATUS: Final = 400
#: Fields and bytes of a head that any server takes. Servers have limits of
#: their own, often of some 100 fields or 8 KiB.
COMMON_FIELDS: Final = 64
COMMON_HEAD_BYTES: Final = 4 * 1024
#: Statuses by which HTTP libraries reject a head: Bad Request, URI Too Long
#: and Request Header Fields Too Large.
HEAD_REJECTIONS: Final = frozenset({400, 414, 431})


def is_head_rejected(status: int, target: str, headers: CallHeaders) -> bool:
    """Return whether a response without an identifier is about the head.

    Args:
        status: Status of the response.
        target: Path and query of the request.
        headers: Headers of the request.
    """
    size = len(target) + sum(len(name) + len(value) for name, value in headers)
    is_uncommon = len(headers) > COMMON_FIELDS or size > COMMON_HEAD_BYTES
    return status in HEAD_REJECTIONS and is_uncommon


async def read_own_head(response: BackendResponse, request_id: str) -> ResponseMetadata:
    """Skip responses to other requests; return the metadata of the next one.

    It may have no identifier.

    Raises:
        IncompleteResponseError: The connection carries no further response.
    """
    while True:
        metadata = platform.parse_response_headers(response.status, response.headers)
        if metadata.request_id in ("", request_id):
            return metadata
        if not await response.read_next_response():
            raise IncompleteResponseError(reason=f"answer to {metadata.request_id}")


async def read_head_behind_refusal(
    response: BackendResponse, request_id: str
) -> ResponseMetadata | None:
    """Return the metadata of a response behind a refusal, or None.

    Without one the refusal is the server's last word.

    Raises:
        IncompleteResponseError: Nobody can tell.
    """
    for _ in range(MAX_REFUSAL_CHECKS):
        if not await response.read_follow_up():
            return None
        metadata = await read_own_head(response, request_id)
        if metadata.request_id:
            return metadata
        if not metadata.not_run or response.status == UNIDENTIFIED_STATUS:
            # The response to the request that was sent behind.
            return None
    return None
