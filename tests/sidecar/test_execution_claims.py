"""Tests that a request runs at most once despite copies and restarts."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable

from siskinbank.lab.faulty_link import FrameFault, LinkFaults
from siskinbank.lab.request_rig import RequestRig, RigHost, wait_until
from siskinbank.sidecar.primary_hosts import SETTLE_SECONDS
from siskinbank.wire.messages import Message
from siskinbank.wire.request_messages import BodyPart, RequestHead, ResponseHead
from tests.request_case import RequestCase, running_rig

#: Messages of the exchange, and whether they go from entry to sidecar.
STEPS = (
    (RequestHead, True),
    (BodyPart, True),
    (ResponseHead, False),
    (BodyPart, False),
)
BODY = b'x' * 100_000
SHORT_DEADLINE = 0.8
LONG_DEADLINE = 20.0

Change = Callable[[RequestRig, RigHost], Awaitable[None]]


def fail_first(step: tuple[type[Message], bool], fault: FrameFault) -> object:
    """Return a script that applies a fault to the first message of a step."""
    done = False

    def script(sent: Message, to_target: bool) -> FrameFault | None:
        nonlocal done
        if done or not isinstance(sent, step[0]) or to_target is not step[1]:
            return None
        done = True
        return fault

    return script


class TestFaultAtEachStep(RequestCase):
    """Each fault at each step of the request exchange."""

    async def check(
        self,
        step: tuple[type[Message], bool],
        fault: FrameFault,
    ) -> None:
        """Send one ticket twice over a link with one fault."""
        async with running_rig(entries=2, hosts=1) as rig:
            link = rig.hosts['matcher-1'].link
            ticket = await self.request_ticket(rig.urls()[0])
            link.script = fail_first(step, fault)  # type: ignore[assignment]
            # A doubled message causes no delay, so the request must be answered
            # in time.
            doubled = fault is FrameFault.double
            deadline = LONG_DEADLINE if doubled else SHORT_DEADLINE
            first = await self.send(rig, 0, ticket, deadline)
            again = await self.send(rig, 1, ticket, deadline)
            runs = rig.hosts['matcher-1'].upstream.runs.total()
            self.assertLessEqual(runs, 1)
            for outcome, body in (first, again):
                self.assertIn(
                    outcome, {'answered', 'not-run', 'unknown', 'lost'}
                )
                if outcome == 'answered':
                    self.assertEqual(body, BODY)
                if outcome == 'not-run':
                    self.assertEqual(runs, 0)
            if fault is FrameFault.double:
                self.assertEqual(first[0], 'answered')

    async def send(
        self,
        rig: RequestRig,
        entry: int,
        ticket: str,
        deadline: float,
    ) -> tuple[str, bytes]:
        """Send the ticket through one entry."""
        url = rig.urls()[entry]
        return await self.post(url, BODY, ticket=ticket, deadline=deadline)

    async def test_faults(self) -> None:
        """At most one run, no run after a refusal, complete answers."""
        cases = list(itertools.product(STEPS, FrameFault))
        checks = [self.check(step, fault) for step, fault in cases]
        results = await asyncio.gather(*checks, return_exceptions=True)
        for case, result in zip(cases, results, strict=True):
            with self.subTest(case):
                if isinstance(result, BaseException):
                    raise result


class TestSameKeyAgain(RequestCase):
    """The same request is sent more than once."""

    async def test_through_other_entries_at_once(self) -> None:
        """Nine copies of a key, and of a ticket, run once."""
        async with running_rig(entries=3, hosts=3) as rig:
            urls = rig.urls()
            ticket = await self.request_ticket(urls[0], 'k2')
            for key, given in (('k1', ''), ('k2', ticket)):
                outcomes = await asyncio.gather(
                    *(
                        self.post(url, key=key, ticket=given)
                        for url in itertools.chain(urls, urls, urls)
                    ),
                )
                with self.subTest(key):
                    tags = [outcome for outcome, _body in outcomes]
                    self.assertEqual(tags.count('answered'), 1)
                    self.assertEqual(tags.count('unknown'), 8)
                    self.assertEqual(self.runs(rig, key), 1)

    async def test_after_each_change(self) -> None:
        """The pool changes or a sidecar restarts between two copies."""
        changes = {
            'drained': self.drain,
            'gone': self.remove,
            'sidecar restarted': self.restart,
            'seen by one entry only': self.drain_for_some,
        }
        for name, change in changes.items():
            with self.subTest(name):
                await self.check_change(change)

    async def check_change(self, change: Change) -> None:
        """Send a key, and one with a ticket, before and after a change."""
        async with running_rig(entries=2, hosts=3) as rig:
            urls = rig.urls()
            ticket = await self.request_ticket(urls[0], 'k2')
            await self.post(urls[0], key='k1')
            await self.post(urls[0], key='k2', ticket=ticket)
            await change(rig, self.ran_at(rig, 'k1'))
            await change(rig, self.ran_at(rig, 'k2'))
            for url in urls:
                by_key = await self.post(url, key='k1')
                by_ticket = await self.post(url, key='k2', ticket=ticket)
                self.assertEqual(
                    (by_key[0], by_ticket[0]), ('unknown', 'unknown')
                )
            self.assertEqual(self.runs(rig, 'k1'), 1)
            self.assertEqual(self.runs(rig, 'k2'), 1)

    async def test_new_key_after_a_drain(self) -> None:
        """A new primary host asks the former one and runs new keys at once."""
        async with running_rig(entries=1, hosts=3) as rig:
            await self.drain(rig, rig.hosts['matcher-1'])
            outcomes = {
                (await self.post(rig.urls()[0], key=f'k{number}'))[0]
                for number in range(20)
            }
            self.assertEqual(outcomes, {'answered'})

    async def test_host_that_joins(self) -> None:
        """A host that joins does not know former primary hosts, so it waits."""
        async with running_rig(entries=1, hosts=3) as rig:
            url = rig.urls()[0]
            joining = rig.hosts['matcher-3']
            joining.state = 'absent'
            rig.publish()
            rig.clock_offset += 2 * SETTLE_SECONDS
            await self.restart(rig, joining)
            rig.clock_offset += 2 * SETTLE_SECONDS
            self.assertEqual(await self.send_keys(url, 'k'), {'answered'})
            joining.state = 'active'
            rig.publish()
            self.assertEqual(await self.send_keys(url, 'k'), {'unknown'})
            self.assertEqual(self.max_runs(rig), 1)
            rig.clock_offset += SETTLE_SECONDS + 1
            self.assertEqual(await self.send_keys(url, 'new'), {'answered'})
            self.assertTrue(joining.upstream.runs)

    async def test_missed_generation(self) -> None:
        """A host that missed a generation lacks some former primary hosts."""
        async with running_rig(entries=1, hosts=3) as rig:
            url = rig.urls()[0]
            first, second, third = rig.hosts.values()
            third.state = 'draining'
            rig.publish()
            rig.clock_offset += 2 * SETTLE_SECONDS
            third.state = 'active'
            rig.publish_to(second, third, rig.entries[0])
            self.assertEqual(await self.send_keys(url, 'k'), {'answered'})
            second.state = 'draining'
            third.state = 'draining'
            rig.publish()
            self.assertEqual(await self.send_keys(url, 'k'), {'unknown'})
            self.assertEqual(self.max_runs(rig), 1)

    async def send_keys(self, url: str, label: str) -> set[str]:
        """Send twenty keys and return the outcomes."""
        return {
            (await self.post(url, key=f'{label}-{number}'))[0]
            for number in range(20)
        }

    def max_runs(self, rig: RequestRig) -> int:
        """Return the highest number of runs of a key."""
        runs: Counter[str] = Counter()
        for host in rig.hosts.values():
            runs.update(host.upstream.runs)
        return max(runs.values())

    async def test_restarted_primary_waits(self) -> None:
        """A restarted primary host does not yet run requests without a ticket.

        An earlier incarnation may have run them in the last
        ``SETTLE_SECONDS``.
        """
        async with running_rig(entries=1, hosts=1) as rig:
            url = rig.urls()[0]
            await self.restart(rig, rig.hosts['matcher-1'])
            self.assertEqual((await self.post(url, key='k'))[0], 'unknown')
            self.assertEqual(self.runs(rig, 'k'), 0)
            ticket = await self.request_ticket(url)
            outcome, _body = await self.post(url, ticket=ticket)
            self.assertEqual(outcome, 'answered')
            rig.clock_offset += SETTLE_SECONDS + 1
            self.assertEqual((await self.post(url, key='k'))[0], 'answered')

    async def test_late_copy(self) -> None:
        """A request that is delayed past its deadline never runs."""
        async with running_rig(entries=1, hosts=1) as rig:
            host = rig.hosts['matcher-1']
            url = rig.urls()[0]
            ticket = await self.request_ticket(url)
            host.link.pause()
            for key, given in (('k1', ''), ('k2', ticket)):
                outcome, _body = await self.post(
                    url, key=key, ticket=given, deadline=0.3
                )
                self.assertEqual(outcome, 'unknown')
            host.link.resume()
            # The link keeps the order: this answer follows the delayed copies.
            self.assertEqual((await self.post(url, key='k3'))[0], 'answered')
            self.assertEqual(host.upstream.runs.keys(), {'k3'})

    async def test_refused_ticket_is_invalid(self) -> None:
        """After a refusal no copy of the ticket runs."""
        async with running_rig(entries=1, hosts=1) as rig:
            url = rig.urls()[0]
            ticket = await self.request_ticket(url)
            rig.hosts['matcher-1'].state = 'draining'
            rig.publish()
            self.assertEqual(
                (await self.post(url, ticket=ticket))[0], 'not-run'
            )
            rig.hosts['matcher-1'].state = 'active'
            rig.publish()
            self.assertEqual(
                (await self.post(url, ticket=ticket))[0], 'unknown'
            )
            self.assertEqual(rig.hosts['matcher-1'].upstream.arrivals, 0)

    async def test_lossy_link(self) -> None:
        """Copies are sent through a link with all faults at once."""
        async with running_rig(entries=2, hosts=2) as rig:
            for host in rig.hosts.values():
                host.link.faults = LinkFaults(0.03, 0.1, 0.03, 0.03, 0.002)
            keys = [f'k{number}' for number in range(30)]
            await asyncio.gather(
                *(
                    self.post(url, key=key, deadline=1)
                    for key in keys
                    for url in rig.urls()
                ),
            )
            self.assertLessEqual(max(self.runs(rig, key) for key in keys), 1)

    async def drain(self, rig: RequestRig, host: RigHost) -> None:
        """Set the state of a host to draining."""
        host.state = 'draining'
        rig.publish()

    async def remove(self, rig: RequestRig, host: RigHost) -> None:
        """Remove a host from the configuration."""
        host.state = 'absent'
        rig.publish()

    async def restart(self, rig: RequestRig, host: RigHost) -> None:
        """Restart the sidecar of a host."""
        await rig.kill_sidecar(host.name)
        await rig.start_sidecar(host.name)

    async def drain_for_some(self, rig: RequestRig, host: RigHost) -> None:
        """Publish a drain to all but one entry and the host itself."""
        host.state = 'draining'
        rig.generation += 1
        site = rig.site()
        for view in rig.views():
            if view not in {rig.entries[0].view, host.view}:
                view.adopt(site)


class TestNoKey(RequestCase):
    """Requests that are not idempotent and have no key."""

    async def test_sent_once_if_outcome_unknown(self) -> None:
        """A request whose outcome is unknown is not sent again."""
        async with running_rig(entries=1, hosts=2) as rig:
            for host in rig.hosts.values():
                host.upstream.behaviour = host.upstream.behaviour.drop
            outcome, _body = await self.post(rig.urls()[0])
            self.assertEqual(outcome, 'unknown')
            self.assertEqual(self.runs(rig, ''), 1)

    async def test_forwarded_after_refusal(self) -> None:
        """A request that did not reach the upstream goes to the next host."""
        async with running_rig(entries=1, hosts=2) as rig:
            await rig.hosts['matcher-1'].upstream.stop()
            for _ in range(6):
                outcome, _body = await self.post(rig.urls()[0])
                self.assertEqual(outcome, 'answered')
            self.assertEqual(self.runs(rig, ''), 6)
            await wait_until(lambda: rig.hosts['matcher-2'].upstream.served)
