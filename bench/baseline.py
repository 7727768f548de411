"""The baseline router: first come, first served, with round robin.

Run as ``python -m bench.baseline --models URL,.. --plain URL,..``. It accepts
the same requests as an entry and forwards each to the next server in turn.
The server gets no priorities, so its queue is first come, first served.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from standins.programs import parse_options, run_app

#: Response headers that are not relayed.
STRIPPED_HEADERS = {
    "transfer-encoding",
    "content-length",
    "connection",
    "date",
    "server",
}


@dataclass(frozen=True, kw_only=True)
class BaselineOptions:
    """The flags of the baseline router."""

    models: str
    plain: str = ""
    host: str = "127.0.0.1"
    port: int = 0


class BaselineRouter:
    """Forwards requests to the backend servers in turn."""

    def __init__(self, *, options: BaselineOptions) -> None:
        self._models = itertools.cycle(options.models.split(","))
        self._plain = itertools.cycle(options.plain.split(","))
        self._client: aiohttp.ClientSession | None = None

    def build_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_route("*", "/v1/{rest:.*}", self.forward_model)
        app.router.add_route("*", "/services/{name}/{rest:.*}", self.forward_plain)
        return app

    async def forward_model(self, request: web.Request) -> web.StreamResponse:
        """Forward a call to the next runner."""
        return await self._forward(request, self._models, request.path_qs)

    async def forward_plain(self, request: web.Request) -> web.StreamResponse:
        """Forward a call to the next server of the plain service."""
        return await self._forward(
            request, self._plain, f"/{request.match_info['rest']}"
        )

    async def _forward(
        self, request: web.Request, servers: Iterator[str], path: str
    ) -> web.StreamResponse:
        client = self._get_client()
        url = next(servers) + path
        body = await request.read()
        try:
            async with client.request(
                request.method, url, data=body
            ) as upstream_response:
                return await self._relay(request, upstream_response)
        except aiohttp.ClientError as error:
            return web.json_response({"error": {"message": str(error)}}, status=502)

    async def _relay(
        self, request: web.Request, upstream_response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        headers = {
            name: value
            for name, value in upstream_response.headers.items()
            if name.lower() not in STRIPPED_HEADERS
        }
        response = web.StreamResponse(status=upstream_response.status, headers=headers)
        await response.prepare(request)
        try:
            async for data in upstream_response.content.iter_any():
                await response.write(data)
        except aiohttp.ClientError:
            if request.transport is not None:
                request.transport.abort()
            raise
        await response.write_eof()
        return response

    def _get_client(self) -> aiohttp.ClientSession:
        if self._client is None:
            self._client = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._client


def main() -> None:
    """Run the baseline router."""
    options = parse_options(BaselineOptions)
    run_app(
        BaselineRouter(options=options).build_app(),
        host=options.host,
        port=options.port,
    )


if __name__ == "__main__":
    main()
