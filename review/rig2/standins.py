"""Stand-ins for the platform, its hosts and its clients, on loopback.

They follow PROTOCOL.md and DEPLOY.md of the users. Nothing here imports the
project: the programs under test run as separate processes, started by the
commands of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST, BOUNCED = 0x04, 0x80, 0x02, 0x20, 0x01
HEAD = struct.Struct('!IIIB4s4sHHIH')
MAX_DATA = 1200
HEARTBEAT_S = 0.77
# Waits after each copy of a first packet, and of other packets.
SYN_WAITS_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
HALF = 1 << 31
MASK = (1 << 32) - 1
_KEY = b'sum key'


def now_ms():
    return int(time.time() * 1000)


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def __call__(self, text):
        line = f'{time.monotonic() - self._start:8.3f} {text}'
        print(line, file=self._file, flush=True)


class Packet:
    """One packet with all header fields."""

    def __init__(self, src, dst, flags, seq, ack, data=b'', echo=0, total=None):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq & MASK, ack & MASK, data
        self.echo, self.sum = echo, total

    @classmethod
    def read(cls, raw):
        total, seq, ack, flags, sip, dip, sport, dport, echo, _ = HEAD.unpack_from(raw)
        return cls(
            (socket.inet_ntoa(sip), sport), (socket.inet_ntoa(dip), dport),
            flags, seq, ack, raw[HEAD.size:], echo, total,
        )

    def _pack(self, total, flags, echo):
        return HEAD.pack(
            total, self.seq, self.ack, flags,
            socket.inet_aton(self.src[0]), socket.inet_aton(self.dst[0]),
            self.src[1], self.dst[1], echo, len(self.data),
        ) + self.data

    def checksum(self):
        return zlib.crc32(_KEY + self._pack(0, self.flags & ~BOUNCED, 0)) or 1

    def write(self):
        return self._pack(self.checksum(), self.flags, self.echo)

    @property
    def intact(self):
        return self.sum == self.checksum()

    @property
    def names(self):
        parts = [n for n, b in (('SYN', SYN), ('ACK', ACK), ('FIN', FIN), ('RST', RST)) if self.flags & b]
        return '+'.join(parts) or 'none'


class Store:
    """The platform's store: items, one revision counter, listings and watches.

    ``mode`` is '' (sound), 'busy' (503) or 'silent'; ``mode_for`` gives the
    same for one caller's address.
    """

    def __init__(self, record, page=500):
        self.record = record
        self.items = {}
        self.history = []
        self.rev = 100
        self.mode = ''
        self.mode_for = lambda ip: ''
        self._page = page
        self._changed = asyncio.Event()
        self._server = None
        self.calls = 0

    async def open(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port)

    def close(self):
        if self._server:
            self._server.close()

    def put(self, key, value):
        """Write an item (bytes), or remove it (None); return the revision."""
        if value is None and key not in self.items:
            return self.rev
        self.rev += 1
        if value is None:
            self.items.pop(key)
        else:
            created = self.items[key][2] if key in self.items else self.rev
            self.items[key] = (value, self.rev, created)
        self.history.append((time.monotonic(), self.rev, key, value))
        cutoff = time.monotonic() - 20
        while self.history and self.history[0][0] < cutoff:
            self.history.pop(0)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.rev

    def _item(self, key):
        value, rev, created = self.items[key]
        return {'Key': key, 'Value': base64.b64encode(value).decode(), 'Rev': rev, 'Created': created, 'Lease': 0}

    async def _serve(self, reader, writer):
        ip = writer.get_extra_info('peername')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.calls += 1
                mode = self.mode or self.mode_for(ip)
                if mode == 'silent':
                    await reader.read()
                    return
                await asyncio.sleep(0.004)
                if mode == 'busy':
                    status, body = 503, {}
                else:
                    status, body = await self._answer(head.split(b' ')[1].decode())
                raw = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(raw)}\r\n\r\n'.encode() + raw
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, path):
        url = urllib.parse.urlsplit(path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == '/api/kv-key':
            key = query.get('Key', '')
            return (200, self._item(key) | {'At': self.rev}) if key in self.items else (404, {})
        prefix = query.get('Prefix', '')
        if url.path == '/api/kv-range':
            after = query.get('after', '')
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = keys[: self._page]
            return 200, {'items': [self._item(k) for k in page], 'HasMore': len(keys) > len(page), 'At': self.rev}
        if url.path == '/api/kv-watch':
            return await self._watch(prefix, int(query.get('after', '0')), int(query.get('WaitMs', '0')) / 1000)
        return 404, {}

    async def _watch(self, prefix, after, wait_s):
        oldest = self.history[0][1] - 1 if self.history else self.rev
        if after < oldest:
            return 410, {}
        end = time.monotonic() + wait_s
        while True:
            events = []
            for _, rev, key, value in self.history:
                if rev > after and key.startswith(prefix):
                    if value is None:
                        events.append({'Key': key, 'Rev': rev, 'Removed': True})
                    else:
                        text = base64.b64encode(value).decode()
                        events.append({'Key': key, 'Value': text, 'Rev': rev, 'Created': rev, 'Lease': 0})
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'At': self.rev}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class _HostFlow:
    def __init__(self, isn, client_seq):
        self.isn = isn
        self.open = False
        self.rcv = (client_seq + 1) & MASK
        self.snd = (isn + 1) & MASK
        self.unacked = []
        self.buffer = b''
        self.ended = False


class Host(asyncio.DatagramProtocol):
    """A host: accepts flows, runs requests in slots, bounces what it doesn't hold."""

    def __init__(self, site, name, ip, service, zone, slots=3, work_s=0.02):
        self.site, self.record = site, site.record
        self.name, self.ip, self.service, self.zone = name, ip, service, zone
        self.slots, self.work_s = slots, work_s
        self.state = 'ready'
        self.clock_ms = 0
        self.cold_until = 0.0
        self.alive = False
        self.heartbeats = True
        self.flows = {}
        self.runs = []
        self.syns = []
        self.opened = {}
        self._busy = 0
        self._waiting = []
        self._transport = None
        self._health = None
        self._tasks = []
        self._sequence = 0
        self._written_at = 0.0

    @property
    def app(self):
        return self.ip, self.site.app_port

    async def start(self, register=True, first_beat_s=0.0):
        """Start an incarnation, which holds nothing of an earlier one."""
        self.alive, self.flows, self._busy, self._waiting = True, {}, 0, []
        self.born_ms = now_ms() + self.clock_ms
        self._sequence = 0
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.app)
        self._health = await asyncio.start_server(self._answer_health, *self.app)
        if register:
            self._tasks.append(asyncio.create_task(self._beat(first_beat_s)))
        self.record(f'host {self.name} at {self.ip} starts, born {self.born_ms}')

    def crash(self):
        """End at once: sockets close, flows and runs are lost, nothing is said."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self.flows = {}
        if self._transport:
            self._transport.close()
        if self._health:
            self._health.close()
        self.record(f'host {self.name} at {self.ip} ends')

    async def _beat(self, first_s):
        await asyncio.sleep(first_s)
        while True:
            self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def write(self):
        """Write the host's entry, if the store accepts it."""
        store = self.site.store
        if not self.heartbeats or store.mode or store.mode_for(self.ip):
            return
        self._sequence += 1
        left = max(0.0, self.cold_until - time.monotonic())
        entry = {
            'Service': self.service, 'Address': f'{self.ip}:{self.site.app_port}',
            'Zone': self.zone, 'Version': 'v1', 'Slots': self.slots, 'State': self.state,
            'WarmupLeftMs': int(left * 1000), 'Sequence': self._sequence, 'born': self.born_ms,
        }
        self._written_at = time.monotonic()
        store.put(f'servers/{self.name}', json.dumps(entry).encode())

    def lapse(self):
        """Remove the entry after three heartbeats of silence."""
        if time.monotonic() - self._written_at > 3 * HEARTBEAT_S:
            self.site.store.put(f'servers/{self.name}', None)

    async def _answer_health(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def datagram_received(self, raw, addr):
        packet = Packet.read(raw)
        if not packet.intact:
            self.record(f'host {self.name} gets a packet with a wrong sum')
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._on_syn(key, packet, flow)
            return
        if flow is None or (not flow.open and packet.ack != (flow.isn + 1) & MASK):
            self._transport.sendto(bytes(raw[:12]) + bytes([raw[12] | BOUNCED]) + raw[13:], self.site.outbound(self.ip))
            return
        self._on_packet(key, flow, packet)

    def _on_syn(self, key, packet, flow):
        if flow is None:
            self.syns.append(time.monotonic())
            flow = self.flows[key] = _HostFlow(random.getrandbits(32), packet.seq)
            self.record(f'host {self.name} takes SYN copy {packet.ack} of {key[0][0]}:{key[0][1]}')
        self._send(key, SYN | ACK, flow.isn, flow.rcv)

    def _on_packet(self, key, flow, packet):
        if not flow.open:
            flow.open = True
            self.opened[key] = time.monotonic()
            self.record(f'host {self.name} holds flow {key[0][0]}:{key[0][1]} open')
        if packet.flags & RST:
            self.flows.pop(key)
            return
        flow.unacked = [p for p in flow.unacked if ((p.seq + len(p.data) - packet.ack) & MASK) < HALF and p.seq + len(p.data) != packet.ack]
        if packet.data:
            if packet.seq == flow.rcv:
                flow.rcv = (flow.rcv + len(packet.data)) & MASK
                flow.buffer += packet.data
                self._requests(key, flow)
            self._send(key, ACK, flow.snd, flow.rcv)
        if packet.flags & FIN and (packet.seq + len(packet.data)) & MASK == flow.rcv:
            flow.rcv = (flow.rcv + 1) & MASK
            self._send(key, ACK | FIN, flow.snd, flow.rcv)
            self.flows.pop(key, None)

    def _requests(self, key, flow):
        while b'\r\n\r\n' in flow.buffer:
            head, _, rest = flow.buffer.partition(b'\r\n\r\n')
            fields = dict(
                line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
            )
            length = int(fields.get('Content-Length', 0))
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            name = fields.get('Siskinbank-Attempt-Id', '-')
            self._tasks.append(asyncio.create_task(self._run(key, flow, name)))

    async def _run(self, key, flow, name):
        if self._busy >= self.slots:
            turn = asyncio.Event()
            self._waiting.append(turn)
            await turn.wait()
        else:
            self._busy += 1
        self.runs.append(name)
        self.record(f'host {self.name} runs {name}')
        await asyncio.sleep(self.work_s)
        if self._waiting:
            self._waiting.pop(0).set()
        else:
            self._busy -= 1
        body = f'{name} {self.name}'
        answer = (
            f'HTTP/1.1 200 OK\r\nSiskinbank-Response-Seal: {zlib.crc32(body.encode())}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
        if self.flows.get(key) is not flow:
            return
        packet = Packet(key[1], key[0], ACK, flow.snd, flow.rcv, answer)
        flow.snd = (flow.snd + len(answer)) & MASK
        flow.unacked.append(packet)
        for wait in RETRANSMIT_S:
            if packet not in flow.unacked or not self.alive:
                return
            self._transport.sendto(packet.write(), self.site.outbound(self.ip))
            await asyncio.sleep(wait)

    def _send(self, key, flags, seq, ack):
        packet = Packet(key[1], key[0], flags, seq, ack)
        self._transport.sendto(packet.write(), self.site.outbound(self.ip))


class FlowLost(Exception):
    """A flow was reset or not answered."""


class ClientFlow:
    """A client's flow."""

    def __init__(self, port, target):
        self.port, self.target = port, target
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.open = False
        self.reset_at = None
        self.got = asyncio.Queue()
        self.copies = []
        self.sent_via = ''


class Client(asyncio.DatagramProtocol):
    """A client machine."""

    def __init__(self, site, ip, zone):
        self.site, self.record, self.ip, self.zone = site, site.record, ip, zone
        self.flows = {}
        self.resets = []
        self._next_port = random.randrange(2000, 30000)
        self._transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.site.packet_port)
        )

    def close(self):
        if self._transport:
            self._transport.close()

    def datagram_received(self, raw, addr):
        packet = Packet.read(raw)
        flow = self.flows.get(packet.dst[1])
        if flow is None or packet.src != flow.target:
            return
        if packet.flags & RST:
            own = packet.sum == 0
            in_reach = not flow.open or ((packet.seq - flow.ack + 76800) & MASK) <= 153600
            self.record(
                f'client {self.ip}:{flow.port} gets a reset from {addr[0]} '
                f'({"the system" if own else "a host"}, flow {"open" if flow.open else "not open"}, '
                f'{"within" if in_reach else "out of"} reach of its sequence numbers)'
            )
            if in_reach:
                flow.reset_at = time.monotonic()
                self.resets.append((flow, own, flow.open, addr[0]))
                flow.got.put_nowait(None)
            return
        if not packet.intact:
            self.record(f'client {self.ip}:{flow.port} gets a packet with a wrong sum')
            return
        flow.got.put_nowait(packet)

    def new_port(self, fits=lambda port: True):
        while True:
            self._next_port += 1
            if fits(self._next_port):
                return self._next_port

    async def connect(self, target, port=None):
        """Open a flow by a SYN and its copies."""
        flow = ClientFlow(port or self.new_port(), target)
        self.flows[flow.port] = flow
        for copy, wait in enumerate(SYN_WAITS_S):
            via = self._send(flow, SYN, flow.seq, copy)
            flow.copies.append(via)
            packet = await self._take(flow, wait)
            if packet is not None:
                flow.open = True
                flow.seq = (flow.seq + 1) & MASK
                flow.ack = (packet.seq + 1) & MASK
                self._send(flow, ACK, flow.seq, flow.ack)
                self.record(f'client {self.ip}:{flow.port} connects, copies sent to {",".join(flow.copies)}')
                return flow
        raise FlowLost('no answer to the first packet')

    async def ask(self, flow, name, deadline_s=4.0, body=b'', method='POST'):
        """Send a request on an open flow; return the body of the answer."""
        head = f'{method} / HTTP/1.1\r\nHost: {flow.target[0]}\r\nSiskinbank-Attempt-Id: {name}\r\nContent-Length: {len(body)}\r\n\r\n'
        content = head.encode() + body
        parts = [content[i:i + MAX_DATA] for i in range(0, len(content), MAX_DATA)]
        start = flow.seq
        end = time.monotonic() + deadline_s
        answer = b''
        for wait in RETRANSMIT_S:
            for index, part in enumerate(parts):
                via = self._send(flow, ACK, start + index * MAX_DATA, flow.ack, part)
            flow.sent_via = via
            self.record(f'client {self.ip}:{flow.port} sends {name} to {via}')
            until = min(end, time.monotonic() + wait)
            while time.monotonic() < until:
                packet = await self._take(flow, until - time.monotonic())
                if packet is None:
                    break
                if packet.flags & SYN or not packet.data:
                    continue
                if packet.seq == flow.ack:
                    flow.ack = (flow.ack + len(packet.data)) & MASK
                    flow.seq = (start + len(content)) & MASK
                    answer += packet.data
                self._send(flow, ACK, flow.seq, flow.ack)
                head, found, rest = answer.partition(b'\r\n\r\n')
                if found and len(rest) >= int(head.lower().partition(b'content-length: ')[2].partition(b'\r\n')[0]):
                    self.record(f'client {self.ip}:{flow.port} gets the answer {rest.decode()!r}')
                    return rest.decode()
            if time.monotonic() >= end:
                break
        raise FlowLost(f'no answer to {name}')

    def finish(self, flow):
        self._send(flow, ACK | FIN, flow.seq, flow.ack)

    async def _take(self, flow, wait):
        try:
            packet = await asyncio.wait_for(flow.got.get(), max(0.001, wait))
        except asyncio.TimeoutError:
            return None
        if packet is None:
            raise FlowLost('the flow was reset')
        return packet

    def _send(self, flow, flags, seq, ack, data=b''):
        packet = Packet((self.ip, flow.port), flow.target, flags, seq, ack, data)
        node = self.site.router.node(self.zone, self.ip, flow.port, flow.target)
        if node:
            self._transport.sendto(packet.write(), (node.ip, self.site.packet_port))
        return node.name if node else '-'


class Router:
    """The platform's routers: probe readiness, hash flows over the nodes."""

    def __init__(self, site):
        self.site = site
        self._misses = {}
        self._in = set()
        self._task = None

    def start(self):
        self._task = asyncio.create_task(self._probe_all())

    async def _probe_all(self):
        while True:
            await asyncio.gather(*(self._probe(node) for node in self.site.entries), asyncio.sleep(0.5))

    async def _probe(self, node):
        ok = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(node.ip, self.site.ready_port)
                writer.write(f'GET /api/ready HTTP/1.1\r\nHost: {node.ip}\r\n\r\n'.encode())
                ok = b' 200 ' in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            ok = False
        if ok:
            self._misses[node.name] = 0
            if node.name not in self._in:
                self._in.add(node.name)
                self.site.record(f'router: {node.name} joins the rotation')
            return
        self._misses[node.name] = self._misses.get(node.name, 0) + 1
        if self._misses[node.name] >= 2 and node.name in self._in:
            self._in.discard(node.name)
            self.site.record(f'router: {node.name} leaves the rotation')

    def in_rotation(self, node):
        return node.name in self._in

    def node(self, zone, ip, port, target):
        """Return the node of a flow: the steady hash over the zone's nodes."""
        local = [n for n in self.site.entries if n.zone == zone]
        ready = [n for n in local if n.name in self._in]
        if not ready:
            ready = [n for n in self.site.entries if n.name in self._in]
        elif len(ready) * 2 < len(local):
            ready = local
        return max(ready, key=lambda n: self.weight(n, ip, port, target), default=None)

    def order(self, ip, port, target):
        """Return all nodes in the order in which the hash prefers them."""
        return sorted(self.site.entries, key=lambda n: -self.weight(n, ip, port, target))

    @staticmethod
    def weight(node, ip, port, target):
        return zlib.crc32(f'{node.name} {ip} {port} {target}'.encode())


class Program:
    """One process of the system, started by the command of the deploy file."""

    def __init__(self, site, role, name, ip, zone, host=None):
        self.site, self.role, self.name, self.ip, self.zone, self.host = site, role, name, ip, zone, host
        self.process = None
        self.seeds = None
        self.path = site.folder / f'{name}.json'
        self.log = site.folder / f'{name}.log'

    def settings(self):
        site = self.site
        listen = {'DatagramAddr': f'{self.ip}:{site.packet_port}', 'ReadyAddr': f'{self.ip}:{site.ready_port}'}
        if self.role == 'entry':
            listen['ControlAddr'] = f'{self.ip}:{site.control_port}'
        else:
            listen['outbound'] = f'{self.ip}:{site.outbound_port}'
        side = self.role == 'sidecar'
        document = {
            'NodeName': self.name, 'Role': self.role,
            'MachineClass': 'side' if side else 'frontend',
            'Serves': ['side'] if side else ['frontend', 'control_plane'],
            'Ip': self.ip, 'Zone': self.zone, 'Region': 'r',
            'Zones': {zone: 'r' for zone in site.zones}, 'Listen': listen,
            'InternalPortRange': [site.peer_port, site.peer_port + 15],
            'Seeds': [f'{ip}:{site.control_port}' for ip in self.seeds or site.seeds],
            'Bootstrap': True, 'InTolerance': False,
            'Limits': {'CpuShare': 0.645, 'Cores': 1, 'MemoryMb': 168, 'MaxFds': 4096, 'LinkMbps': 1000.0, 'DiskMb': 0},
            'DataDir': None, 'Discovery': 'platform', 'Entry': 'announcement',
            'HeartbeatMs': 770, 'Contracts': ['base', 'drain', 'config', 'cost', 'recover', 'flows', 'places', 'platform'],
            'FaultTolerance': {'Machines': 2, 'Zones': 1, 'Regions': 0},
            'Bounds': {
                'SeedLagS': 3, 'AddrReuseS': 2, 'ContactMs': 4000, 'AckMs': 5000, 'SyncS': 4, 'DrainMs': 3000,
                'GraceS': 6, 'LossSlackMs': 200, 'ConfigApplyMs': 3000, 'DowngradeSlackMs': 250,
                'MaxStretchMs': 12000, 'ColdOver': 1.5, 'ColdSlack': 5, 'EvacuateMs': 5000, 'RecoverS': 12,
                'FlowSlackMs': 2000, 'FlowLifetimeS': 60,
            },
            'Hash': 'steady', 'DeploymentMode': 'agent',
            'platform': {
                'Address': f'{site.store_ip}:{site.store_port}', 'DeploymentMode': 'read', 'WritesPerS': 400,
                'ReadsPerS': 2000, 'HistoryS': 20, 'ValueBytes': 1048576, 'TtlMinMs': 1000,
            },
        }
        if side:
            document['Service'] = self.host.service
            document['app'] = f'{self.ip}:{site.app_port}'
        return document

    def start(self):
        self.path.write_text(json.dumps(self.settings()), encoding='utf-8')
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'JAVA_HOME', 'LANG') if k in os.environ}
        env['SISKINBANK_SETTINGS'] = str(self.path)
        if self.role == 'entry':
            env['SISKINBANK_SPLIT_OVERFLOW'] = 'on'
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-E', 'target/main.pyc', self.role],
                cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
            )
        self.site.record(f'{self.name} at {self.ip} is started')

    def signal(self, number):
        self.site.record(f'{self.name} gets {signal.Signals(number).name}')
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def stop(self, grace_s=6.0):
        """Stop as the platform does: SIGTERM, then SIGKILL after the grace."""
        self.signal(signal.SIGTERM)
        end = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.kill()
        self.site.record(f'{self.name} has ended')

    async def restart(self, delay_s=0.5):
        """Planned restart: stop and start again after a short delay."""
        await self.stop()
        await asyncio.sleep(delay_s)
        self.start()


class Site:
    """A small deployment."""

    def __init__(self, record, zones=('a',)):
        self.record, self.zones = record, zones
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._net = f'127.{random.randrange(10, 250)}.{random.randrange(1, 250)}'
        base = self._free_base()
        self.packet_port, self.ready_port, self.control_port = base, base + 1, base + 2
        self.outbound_port, self.app_port, self.store_port, self.peer_port = base + 3, base + 4, base + 5, base + 10
        self.store_ip = self.address(200)
        self.store = Store(record)
        self.router = Router(self)
        self.entries, self.sidecars, self.hosts, self.clients = [], [], [], []
        self.seeds = []
        self.version = 4
        self._tasks = []

    def address(self, number):
        return f'{self._net}.{number}'

    def outbound(self, ip):
        return ip, self.outbound_port

    def _free_base(self):
        for _ in range(50):
            base = random.randrange(20000, 29000)
            try:
                for port in range(base, base + 26):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f'{self._net}.1', port))
                return base
            except OSError:
                continue
        raise OSError('no free ports')

    async def open(self):
        await self.store.open(self.store_ip, self.store_port)
        self._tasks.append(asyncio.create_task(self._lapse()))
        self.router.start()

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.1)
            for host in self.hosts:
                host.lapse()

    def configure(self, routes, warmup_per_s=0.0, idle_ms=15000, warmup_s=2.0):
        """Write a configuration; routes are (address, port, kind, service)."""
        self.version += 3
        services = sorted({route[3] for route in routes})
        document = {
            'Version': self.version,
            'Routes': [
                {
                    'Name': f'r-{port}', 'Host': ip, 'Prefix': f'/{port}/', 'Kind': kind, 'TimeoutMs': 2000,
                    'TargetLatencyMs': 225, 'Priority': 1, 'Service': service, 'MaxAttempts': 2,
                }
                for ip, port, kind, service in routes
            ],
            'Services': [
                {
                    'Name': name, 'HealthPath': '/health', 'MaxConns': 2000, 'Protocol': 'h1', 'Tls': False,
                    'WarmupS': warmup_s, 'WarmupPerS': warmup_per_s,
                }
                for name in services
            ],
            'Limits': {'HeaderBytes': 16384, 'BodyBytes': 262144, 'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': idle_ms},
        }
        self.store.put('op/config', json.dumps(document).encode())
        self.record(f'configuration {self.version} is acknowledged')

    def add_entry(self, zone='a'):
        number = len(self.entries) + 1
        entry = Program(self, 'entry', f'entry-{number}', self.address(number), zone)
        self.entries.append(entry)
        if len(self.seeds) < 3:
            self.seeds.append(entry.ip)
        return entry

    def add_host(self, service, zone='a', ip=None, name=None, **options):
        number = len(self.hosts) + 1
        host = Host(self, name or f'i-{number}', ip or self.address(20 + number), service, zone, **options)
        self.hosts.append(host)
        sidecar = Program(self, 'sidecar', f'side-{number}', host.ip, zone, host)
        self.sidecars.append(sidecar)
        return host, sidecar

    async def add_client(self, zone='a'):
        client = Client(self, self.address(100 + len(self.clients)), zone)
        await client.start()
        self.clients.append(client)
        return client

    async def start_all(self, settle_s=2.0):
        # All machines start within 0.3 s of each other, in any order.
        for program in (*self.entries, *self.sidecars):
            program.start()
        for host in self.hosts:
            await host.start()
        end = time.monotonic() + 15
        while not all(self.router.in_rotation(entry) for entry in self.entries):
            if time.monotonic() > end:
                raise RuntimeError('the entries are not ready')
            await asyncio.sleep(0.05)
        await asyncio.sleep(settle_s)

    def close(self):
        for program in (*self.entries, *self.sidecars):
            program.kill()
        for host in self.hosts:
            if host.alive:
                host.crash()
        for client in self.clients:
            client.close()
        self.store.close()
        for task in self._tasks:
            task.cancel()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Run a case; ``run.sh`` translates the exit status.

    It is 11 if the rule was broken and 10 if it held, so that no failure of the
    script itself looks like either.
    """
    if not (ROOT / 'target' / 'main.pyc').exists():
        print('target/main.pyc is missing: run the build of the deploy file')
        sys.exit(2)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    record(f'trouble: {"yes" if trouble else "no"}')

    async def run():
        site = Site(record)
        try:
            async with asyncio.timeout(110):
                return await case(site, trouble)
        finally:
            site.close()

    try:
        code = asyncio.run(run())
    except Exception as error:
        record(f'the case could not run: {error!r}')
        sys.exit(2)
    record('the rule was broken' if code else 'the rule held')
    sys.exit(11 if code else 10)
