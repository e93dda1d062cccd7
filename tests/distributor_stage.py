"""Distributors and subscriptions in one process on loopback, for tests."""

import asyncio
import json
import socket
from contextlib import asynccontextmanager, suppress

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from rigs.loopback import HOST, free_port
from thistlelever.carrier.subscription import Subscription, SubscriptionTerms
from thistlelever.distributor import claiming
from thistlelever.distributor import config as configuration
from thistlelever.distributor.claiming import PROMISE_PATH
from thistlelever.distributor.service import Distributor
from thistlelever.subsetting import FrontIdentity

HEARTBEAT = 0.3
PATIENCE = 0.3
TIMEOUT_S = 8.0


def engine(number, **fields):
    """An engine as in a publish request; its address is derived from its number."""
    entry = {"id": f"engine-{number:05}", "zone": f"zone-{number % 3}", "kind": "std"}
    return entry | {"address": f"10.0.{number // 250}.{number % 250 + 1}:7000"} | fields


class Tier:
    """Distributors by index, each of which can be started and stopped."""

    def __init__(self, count, stores=None, **sections):
        # The folder of the distributors' stores; None: they store nothing.
        self.stores = stores
        self.ports = [free_port(socket.SOCK_STREAM) for _ in range(count)]
        self.sections = {"heartbeat_s": HEARTBEAT, "subset": {"fronts": 12, "engines": 6}} | sections
        self.running, self.tasks, self.events, self.subscriptions = {}, {}, [], []

    @property
    def addresses(self):
        return tuple((HOST, port) for port in self.ports)

    async def start(self, index, **sections):
        """Start one distributor; index 0 claims the publisher's role unless `sections` override it."""
        entry = {
            "name": f"distributor-{index}",
            "index": index,
            "listen": f"{HOST}:{self.ports[index]}",
            "distributors": [f"{HOST}:{port}" for port in self.ports],
            "publisher": index == 0,
        }
        if self.stores:
            entry["store"] = str(self.stores / f"distributor-{index}.db")
        config = configuration.read(json.dumps(entry | self.sections | sections).encode())
        distributor = Distributor(config, lambda event, **fields: self.events.append((index, event, fields)))
        await distributor.open()
        self.running[index] = distributor
        return distributor

    async def stop(self, index):
        await self.running.pop(index).close()

    async def call(self, index, method, path, body=None):
        """Make an operator's HTTP call; the status and the decoded answer."""
        data = None if body is None else json.dumps(body)
        request = HTTPRequest(f"http://{HOST}:{self.ports[index]}{path}", method, body=data)
        reply = await AsyncHTTPClient().fetch(request, raise_error=False)
        return reply.code, json.loads(reply.body)

    async def publish(self, index=0, **body):
        """Publish a change; its version."""
        status, answer = await self.call(index, "POST", "/v1/publish", body)
        assert status in (200, 202), answer
        return answer["version"]

    async def until(self, holds):
        """Poll until `holds()` is true; `TimeoutError` after TIMEOUT_S."""
        async with asyncio.timeout(TIMEOUT_S):
            while not holds():
                await asyncio.sleep(0.01)

    async def until_version(self, version, *subscriptions):
        await self.until(lambda: all(str(s.replica.version) == version for s in subscriptions))

    def subscribe(self, name="front-0", rank=0, zone="zone-0", distributors=None, listener=None):
        """Start a front's subscription."""
        terms = SubscriptionTerms(distributors or self.addresses, HEARTBEAT, PATIENCE, seed=3)
        identity = FrontIdentity(name, zone, rank)
        subscription = Subscription(terms, identity, (), False, listener or (lambda listing: None))
        task = asyncio.get_running_loop().create_task(subscription.run())
        self.subscriptions.append((subscription, task))
        return subscription

    async def close(self):
        for _, task in self.subscriptions:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        for index in list(self.running):
            await self.stop(index)


@asynccontextmanager
async def tier(count, engines=0, **sections):
    """Running distributors, with this number of engines published."""
    stage = Tier(count, **sections)
    try:
        for index in range(count):
            await stage.start(index)
        await stage.until(lambda: stage.running[0].role.publisher)
        if engines:
            await stage.publish(engines=[engine(number) for number in range(engines)])
        yield stage
    finally:
        await stage.close()


def lose_promise_requests_to(address):
    """A `call_distributor` whose requests for a promise to this address are lost."""
    call = claiming.call_distributor

    async def call_or_lose(target, path, *arguments):
        return None if (target, path) == (address, PROMISE_PATH) else await call(target, path, *arguments)

    return call_or_lose
