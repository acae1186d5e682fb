"""Distribute documents among three processes; older ones are ignored."""

import random
from collections.abc import Callable
from typing import Any

from siskinbank.coordination import (
    DocumentStore,
    EventLog,
    FakeClock,
    Gossip,
    Identity,
    Manifest,
    Metrics,
    TimerService,
    hex_digest,
)

clock = FakeClock()
timers = TimerService(clock, random.Random(1))
handlers: dict[Any, dict[type, Callable[..., None]]] = {}
in_force: dict[str, str] = {}


def parse_text(
    _manifest: Manifest, read: Callable[[str], bytes], _wrong: Any
) -> Any:
    """Return the document; any text is valid in this example."""
    return read('greeting').decode()


def start(number: int) -> Gossip:
    """Start a process with the first one as its seed."""
    name, address = f'p{number}', (f'10.0.0.{number}', 7100)
    log, metrics = EventLog('peer', name), Metrics()

    def send(message: Any, receiver: Any) -> None:
        handler = handlers.get(receiver, {}).get(type(message))
        if handler is not None:
            timers.after(0.001, lambda: handler(message, address))

    gossip = Gossip(
        Identity(name, 'entry', 'a', address, 1),
        DocumentStore(log, metrics, parse_text),
        timers,
        send,
        log,
        metrics,
        random.Random(number),
    )
    gossip.seeds = (('10.0.0.1', 7100),)
    gossip.on_adopt = lambda text: in_force.update({name: str(text)})
    handlers[address] = {}
    gossip.subscribe_to(handlers[address].__setitem__)
    gossip.start()
    return gossip


def publish(gossip: Gossip, generation: int, text: str) -> bool:
    """Offer a document to one process, as if read from the platform."""
    raw = text.encode()
    manifest = Manifest(generation, {'greeting': hex_digest(raw)})
    gossip.store.put_raw(raw)
    gossip.store.put_raw(manifest.raw)
    return gossip.offer(manifest.key)


def wait(seconds: float) -> None:
    """Advance the clock in steps and run the due timers."""
    for _ in range(round(seconds * 100)):
        clock.advance(0.01)
        timers.run_due()


peers = [start(number) for number in (1, 2, 3)]
publish(peers[0], 1, 'hello')
wait(5)
print('everywhere:', dict(sorted(in_force.items())))
publish(peers[2], 2, 'good day')
wait(5)
print('everywhere:', dict(sorted(in_force.items())))
print('an older one is taken:', publish(peers[1], 1, 'hello'))
