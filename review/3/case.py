"""A controller loses the state service and the other controllers. What do users hear whose
connections the load balancer has led to it?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w  # noqa: E402

# The rule's bound: "every poll for it fails for 90 s while most others are answered".
FAILING_S = 90.0
POLL_S = 5.0


class Balancer:
    """The load balancer's health checks. It resets the connections of a node that has been
    unhealthy for 5 s; new connections go to healthy nodes."""

    def __init__(self, world):
        self.world = world
        self.healthy = [True] * len(world.controllers)
        self.fails = [[] for _ in world.controllers]  # the last six probes, True: failed
        self.unhealthy_since = [None] * len(world.controllers)
        self.successes = [0] * len(world.controllers)
        self.removals = [0] * len(world.controllers)
        self.users = []

    async def probe(self, number):
        client = w.Client(self.world.controllers[number].port)
        while True:
            answer = await client.request("GET", "/ready", None, 1.0)
            good = answer is not None and answer[0] == 200
            self.note(number, good)
            await asyncio.sleep(1.0)

    def note(self, number, good):
        last = self.fails[number] = (self.fails[number] + [not good])[-6:]
        self.successes[number] = self.successes[number] + 1 if good else 0
        now = self.world.now()
        if self.healthy[number]:
            if last[-2:] == [True, True] or sum(last) >= 3:
                self.healthy[number] = False
                self.unhealthy_since[number] = now
                self.removals[number] += 1
                self.world.say(self.world.controllers[number].name, "is marked unhealthy")
            return
        since = self.unhealthy_since[number]
        pause = min(60.0, 3.0 * 2 ** (self.removals[number] - 1))
        if self.successes[number] >= 2 and now >= since + pause:
            self.healthy[number] = True
            self.fails[number] = []
            self.world.say(self.world.controllers[number].name, "is marked healthy")
        elif now >= since + 5.0:
            for user in self.users:
                if user.node == number:
                    user.client.close()
                    user.node = self.choose()
                    user.client = w.Client(self.world.controllers[user.node].port)

    def choose(self):
        """A healthy node, favouring those with fewer open user connections."""
        count = [sum(u.node == n for u in self.users) for n in range(len(self.healthy))]
        nodes = [n for n, good in enumerate(self.healthy) if good]
        return min(nodes or range(len(self.healthy)), key=lambda n: count[n])


class BalancedUser(w.User):
    def __init__(self, world, balancer):
        super().__init__(world, balancer.choose())
        self.balancer = balancer
        balancer.users.append(self)

    async def call(self, method, path, value=None, timeout=5.0):
        answer = await self.client.request(method, path, value, timeout)
        if answer is None:
            self.node = self.balancer.choose()
            self.client = w.Client(self.world.controllers[self.node].port)
            return None, None
        return answer[0], w.json.loads(answer[2])


async def poll_until(world, user, name, ends, answers):
    while world.now() < ends:
        asked = world.now()
        node = user.node
        status, _ = await user.poll(name)
        answers.append((asked, status, node))
        await asyncio.sleep(max(0.0, asked + POLL_S - world.now()))


async def case(world, trouble):
    await world.start(capacity=8, running=2)
    balancer = Balancer(world)
    for number in range(len(world.controllers)):
        world.background(balancer.probe(number))
    await asyncio.sleep(1.0)
    users = {}
    for number in range(9):
        spec = w.job(
            f"run-{number:06d}", gabarit="comptoir-renfort", genre="service", rang="high",
            pieces=1, cpus=4.0, gpus=1.0, memoryGb=20.0, moule="img-03", prevuS=0.0, jalonS=0.0,
            sauvegardeS=0.0,
        )  # fmt: skip
        users[spec["id"]] = BalancedUser(world, balancer)
        if await users[spec["id"]].submit(spec) not in (200, 201):
            raise w.CannotRun("a job wasn't accepted")
    ends = world.now() + 15.0
    while sum(len(m) for m in world.on_machine.values()) < len(users):
        if world.now() > ends:
            raise w.CannotRun("the jobs don't run")
        await asyncio.sleep(0.2)
    # A controller that doesn't lead.
    cut = next(n for n in range(3) if world.controllers[n] is not world.leader())
    began = world.now()
    if trouble:
        world.cut_from_store_and_peers(cut, True)
        world.say(world.controllers[cut].name, "loses the state service and the other controllers")
    ends = began + FAILING_S + POLL_S + 2.0
    answers = {name: [] for name in users}
    await asyncio.gather(
        *(poll_until(world, user, name, ends, answers[name]) for name, user in users.items())
    )
    if trouble:
        world.cut_from_store_and_peers(cut, False)
    good = sum(status == 200 for polls in answers.values() for _, status, _ in polls)
    total = sum(len(polls) for polls in answers.values())
    violations = []
    for name, polls in answers.items():
        failing_since, longest = None, 0.0
        for asked, status, _ in polls:
            if status == 200:
                failing_since = None
            else:
                failing_since = asked if failing_since is None else failing_since
                longest = max(longest, asked - failing_since)
        nodes = sorted({world.controllers[node].name for _, _, node in polls})
        world.say(
            name, "asked", nodes, "polls", len(polls), "answered",
            sum(s == 200 for _, s, _ in polls), f"every poll failed for {longest:.1f} s",
        )  # fmt: skip
        others = (good - sum(s == 200 for _, s, _ in polls)) / (total - len(polls))
        if longest >= FAILING_S and others > 0.5:
            violations.append(
                f"forgotten: {name}: every poll failed for {longest:.1f} s,"
                f" {others:.0%} of the others were answered"
            )
    return violations


if __name__ == "__main__":
    sys.exit(w.main(case, __file__))
