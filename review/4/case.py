"""A stopping instance passes on requests that cross its closing answer, and answers none of them."""

import asyncio
import random
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet as fl  # noqa: E402

# Network time between clients and machines of lbn-reach, one way.
CLIENT_DELAY_S = 0.008
# Mean work of an availability lookup.
WORK_S = 0.16
CONNECTIONS = 40
REQUESTS_PER_S = 5.0
BEFORE_S = 2.0
# The stopping instance has ended by then.
AFTER_S = 6.0
ROUNDS = 3
DEADLINE_MS = 2500
LINGER_S = 3.0


class Link:
    """One direction of a link: delivers what it is given after a fixed delay, in order."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def run(self):
        """Deliver until the end of the input, then deliver that too."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await self.reader.read(65536)
            except OSError:
                data = b""
            loop.call_later(CLIENT_DELAY_S, self.deliver, data)
            if not data:
                return

    def deliver(self, data):
        """Write data, or its end."""
        if self.writer.is_closing():
            return
        try:
            if data:
                self.writer.write(data)
            elif self.writer.can_write_eof():
                self.writer.write_eof()
        except (OSError, RuntimeError):
            pass


class Client:
    """A client that sends safe requests as they come up, also before earlier answers."""

    def __init__(self, fleet, instance, number, randomness):
        self.fleet = fleet
        self.instance = instance
        self.number = number
        self.random = randomness
        self.sent = []
        self.answered = []
        self.is_closed = False
        self.is_over = False

    async def run(self):
        """Send requests until the machine closes the connection or the case is over."""
        # The client's end of the link; the other end leads to the machine after the delay.
        server = await asyncio.start_server(self.connect, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        reading = asyncio.create_task(self.read(reader))
        while not (self.is_closed or self.is_over):
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            if self.is_closed or self.is_over:
                break
            request_id = f"c{self.number:03d}-{len(self.sent):03d}"
            self.sent.append(request_id)
            self.fleet.record(f"client sends {request_id} to {self.instance.name}")
            try:
                writer.write(
                    f"GET /leny950/2f HTTP/1.1\r\nHost: {fl.HOST}\r\n"
                    f"Tanagerreach-Request-Id: {request_id}\r\n"
                    f"Tanagerreach-Deadline-Ms: {DEADLINE_MS}\r\n"
                    f"Tanagerreach-Key: {fl.KEY}\r\n\r\n".encode()
                )
                await writer.drain()
            except OSError:
                break
        # Answers that are on their way are awaited longer than any request may take.
        await asyncio.wait({reading}, timeout=LINGER_S)
        reading.cancel()
        writer.close()
        server.close()
        await asyncio.sleep(4 * CLIENT_DELAY_S)

    async def connect(self, reader, writer):
        """Connect the far end of the link to the machine."""
        far_reader, far_writer = await asyncio.open_connection(
            self.instance.host, self.instance.front_port
        )
        try:
            await asyncio.gather(Link(reader, far_writer).run(), Link(far_reader, writer).run())
            await asyncio.sleep(2 * CLIENT_DELAY_S)
        finally:
            far_writer.close()
            writer.close()

    async def read(self, reader):
        """Read answers until the end of the connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                request_id = headers.get("tanagerreach-request-id", "?")
                self.answered.append(request_id)
                status = lines[0].split(" ")[1]
                closes = headers.get("connection", "").lower() == "close"
                self.fleet.record(
                    f"client gets {status} for {request_id}"
                    + (" and Connection: close" if closes else "")
                )
                # Nothing is sent any more, but the connection is read to its end.
                self.is_closed |= closes
        except (asyncio.IncompleteReadError, OSError):
            self.is_closed = True


async def play(fleet, clients, instance):
    """Let the clients send, and stop the instance meanwhile."""
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(BEFORE_S)
    stopping = None
    if fl.TROUBLE:
        stopping = threading.Thread(target=instance.end, args=(signal.SIGTERM,))
        stopping.start()
    await asyncio.sleep(AFTER_S if fl.TROUBLE else BEFORE_S)
    for client in clients:
        client.is_over = True
    await asyncio.gather(*tasks)
    if stopping is not None:
        stopping.join()


def case():
    """Run the case."""
    routes = {
        "r-avail": fl.route(
            prefix="/leny950/",
            kind="safe",
            service="stockboard",
            timeout_ms=2500,
            objective_ms=500,
            priority=2,
        )
    }
    configuration = fl.configuration(routes=routes, services=["stockboard"])
    with fl.Fleet(folder=FOLDER, instance_count=4, configuration=configuration) as fleet:
        for number in range(12):
            fleet.add_target(
                f"i-stock-{number}", "stockboard", slots=4, work_s=lambda _path: WORK_S
            )
        fleet.start()
        fleet.send(fleet.instances[0], "/leny950/first")
        home = fleet.homes().get("stockboard")
        others = [entry for entry in fleet.instances if entry.name != home]
        lost = []
        randomness = random.Random(29)
        for round_number, instance in enumerate(others[:ROUNDS]):
            clients = [
                Client(fleet, instance, 100 * round_number + number, randomness)
                for number in range(CONNECTIONS)
            ]
            asyncio.run(play(fleet, clients, instance))
            sent = {name for client in clients for name in client.sent}
            answered = {name for client in clients for name in client.answered}
            lost += [run for run in fleet.runs() if run["id"] in sent and run["id"] not in answered]
            if fl.TROUBLE:
                instance.start()
                instance.wait_ready()
        for run in lost:
            fleet.record(
                f"LOST: {run['id']} was passed on to {run['target']}, which ran it, and its"
                " connection has ended without an answer"
            )
        print(f"{len(lost)} requests that were passed on to a target got no answer")
        return bool(lost)


fl.main(case)
