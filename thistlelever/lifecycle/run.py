"""How a front comes up, serves, and goes down."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
from contextlib import suppress

from thistlelever.admission import interface as it
from thistlelever.admission.decide import Front
from thistlelever.carrier.clients import Reception
from thistlelever.carrier.course import Courses
from thistlelever.carrier.desk import Desk
from thistlelever.carrier.directory import Deaf, Inquiry
from thistlelever.carrier.dispatch import Dispatcher
from thistlelever.lifecycle import clock
from thistlelever.lifecycle.log import Log
from thistlelever.lifecycle.papers import Papers
from thistlelever.store.batches import Batches
from thistlelever.store.links import Links
from thistlelever.store.roll import Roll
from thistlelever.store.tally import Tally

# Clients may hold a third of the descriptors; these are for the listener, UDP, the log and the loop.
CLIENTS_SHARE, OWN_DESCRIPTORS = 1 / 3, 32
# After a SIGTERM, requests go on coming for 0.6 s; the kill comes 3.7 s after it at the soonest.
STILL_COMING, LAST_ANSWER = 0.75, 3.4
HOUSEKEEPING, COUNTS_EVERY = 2.0, 5.0


async def serve(papers: Papers, log: Log) -> int:
    """Serve until SIGTERM and all that was taken is answered."""
    tally, batches, roll = Tally(), Batches(), Roll()
    front = Front(papers.manifest, papers.seed)
    roll.replace(papers.serial, list(papers.known), clock.now())
    desk = Desk(front, batches, tally, log)
    most = int(papers.sockets * (1 - CLIENTS_SHARE)) - OWN_DESCRIPTORS
    links = Links(most, papers.idle, papers.manifest.connect_limit, tally)
    dispatcher = Dispatcher(papers.manifest, roll, links, desk, tally, log)
    courses = Courses(desk, dispatcher, batches, tally, log)
    reception = Reception(papers.manifest, courses, batches, tally, log)
    loop = asyncio.get_running_loop()
    inquiry = Inquiry(roll, desk, tally, papers.zones, papers.kinds, papers.seed)
    await loop.create_datagram_endpoint(lambda: inquiry, remote_addr=papers.directory)
    if papers.peer_listen:
        await loop.create_datagram_endpoint(lambda: Deaf(tally), local_addr=papers.peer_listen)
    desk.on_probe, desk.on_ask_list = dispatcher.probe, lambda: inquiry.ask(by_order=True)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    desk.tell(it.ListTold(it.ListKind.CACHED, papers.serial, roll.told()))
    reception.add_socket(listener(papers.listen))
    reception.ready = lambda: not stop.is_set()
    tasks = [loop.create_task(inquiry.run()), loop.create_task(housekeeping(links, tally, log))]
    # What was made at the start lives as long as the front: no collection need look at it again.
    gc.collect()
    gc.freeze()
    log("ready", listen=papers.listen, engines=len(roll.entries), serial=roll.serial, links=most)
    await stop.wait()
    await wind_down(reception, courses, log)
    for task in tasks:
        task.cancel()
    reception.stop()
    log("stopped", open=len(batches.by_number), counts=tally.counts)
    return 0


def listener(address: tuple[str, int]) -> socket.socket:
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw.setblocking(False)
    raw.bind(address)
    raw.listen(512)
    return raw


async def wind_down(reception: Reception, courses: Courses, log: Log) -> None:
    """Take what still comes, answer all that was taken, and be gone before the kill."""
    begun = clock.now()
    reception.stop_at = begun + LAST_ANSWER
    log("stopping", open=len(courses.tasks))
    await asyncio.sleep(STILL_COMING)
    if courses.tasks:
        await asyncio.wait(courses.tasks, timeout=max(begun + LAST_ANSWER - clock.now(), 0.0))
    # The last answers may still lie in the connections' buffers.
    with suppress(TimeoutError):
        async with asyncio.timeout(0.1):
            while reception.unread:
                await asyncio.sleep(0.005)


async def housekeeping(links: Links, tally: Tally, log: Log) -> None:
    """Closes what idles and writes the counters where they have changed."""
    written, since = None, 0.0
    while True:
        await asyncio.sleep(HOUSEKEEPING)
        links.sweep()
        since += HOUSEKEEPING
        if since >= COUNTS_EVERY and tally.counts != written:
            written, since = tally.counts.copy(), 0.0
            log("counts", links=links.count, counts=tally.counts)
