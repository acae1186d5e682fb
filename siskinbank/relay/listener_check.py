"""Check whether a server still listens at an address."""

from __future__ import annotations

from _socket import (
    AF_INET,
    SO_ERROR,
    SOCK_CLOEXEC,
    SOCK_NONBLOCK,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)
from errno import ECONNREFUSED

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinbank.relay.loop import Loop

__all__ = ('check_listener',)


def check_listener(
    loop: Loop,
    address: tuple[str, int],
    on_result: Callable[[bool], None],
    timeout_s: float,
) -> None:
    """Open a TCP connection and close it again, without sending anything.

    Args:
        loop: event loop.
        address: address of the server.
        on_result: called once, with False only if the connection was refused:
            a server that does not answer in time may still be running.
        timeout_s: seconds to wait for an answer.
    """
    connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC)

    def finish(listening: bool) -> None:
        loop.cancel(timer)
        loop.unwatch(connection.fileno())
        connection.close()
        on_result(listening)

    def ready(events: int) -> None:
        error = connection.getsockopt(SOL_SOCKET, SO_ERROR)
        finish(error != ECONNREFUSED)

    timer = loop.after(timeout_s, lambda: finish(listening=True))
    try:
        connection.connect(address)
    except BlockingIOError:
        loop.watch(connection.fileno(), ready)
        loop.watch_writing(connection.fileno(), writing=True)
    except ConnectionRefusedError:
        finish(listening=False)
    except OSError:
        # Another error doesn't show that the server has ended.
        finish(listening=True)
    else:
        finish(listening=True)
