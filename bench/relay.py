"""A bare relay from uvicorn to httpcore: the floor for CPU per request."""

import argparse
import asyncio
import typing as t

import httpcore
import uvicorn


def build_app(target: str) -> t.Any:
    """Build an application that passes every request on.

    :param target: ``host:port`` of the target.
    """
    pool = httpcore.AsyncConnectionPool(
        max_connections=64, max_keepalive_connections=64
    )

    async def app(scope: t.Any, receive: t.Any, send: t.Any) -> None:
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        url = f"http://{target}{scope['path'].removeprefix('/v1')}"
        response = await pool.request("POST", url, content=body)
        headers = [(b"content-length", str(len(response.content)).encode())]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.content})

    return app


def main() -> None:
    """Run the relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    arguments = parser.parse_args()
    config = uvicorn.Config(
        build_app(arguments.target),
        port=arguments.port,
        http="h11",
        loop="asyncio",
        lifespan="off",
        log_level="warning",
        access_log=False,
    )
    asyncio.run(uvicorn.Server(config).serve())


if __name__ == "__main__":
    main()
