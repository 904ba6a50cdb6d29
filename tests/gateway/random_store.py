"""Drawn runs of a simulated fleet that follows a store: faults overlap with changes."""

import argparse
import random

from fescueflow.gateway.confirmation import CURRENT_AGE_MAX_S
from fescueflow.platform import TABLE_KEY, WITHDRAWN_PREFIX, StoreItem
from tests.gateway.store_fleet import StoreFleet

# Bounds of the small deployments: time in which a change must be in force, and time
# without a fault of its own after which an instance is bound by that.
APPLY_S = 2.0
STABLE_S = 3.0
# Share of connection attempts and datagrams that are lost without any fault. Far above
# that of the deployments, so that short runs have some.
LOSS_SHARE = 0.005
CHECK_S = 0.1
# Delay of datagrams, and of a call between the state that an answer has and its use.
TRANSIT_S = 0.05
ACTIONS = 25


class RandomRun:
    """One run; ``problems`` lists what was wrong.

    With ``has_eras``, the store goes back to copies of its last seconds.
    """

    def __init__(self, seed, per_zone=3, has_eras=False):
        self.random = random.Random(seed)
        self.fleet = StoreFleet("abc", per_zone, seed)
        self.fleet.lost_share = LOSS_SHARE
        self.problems = []
        self._has_eras = has_eras
        self._started = 1
        # When each instance was last in trouble.
        self._troubled_at = {i.name: 0.0 for i in self.fleet.instances}
        self._versions = dict.fromkeys(self._troubled_at, 0)
        # Times at which versions were put, in order.
        self._put = []
        for instance in self.fleet.instances:
            instance.client.loss = LOSS_SHARE
            instance.client.random = random.Random(f"{seed}-{instance.name}")

    def run(self):
        """Draw actions, let them end, and compare all instances with the store."""
        self.fleet.run(STABLE_S)
        self._check_often()
        for _ in range(ACTIONS):
            for _ in range(self.random.randint(1, 3)):
                self._draw_action()
            self.fleet.run(self.random.uniform(0.05, 1.5))
        self.fleet.run(4.0 + STABLE_S)
        self._compare()
        self.fleet.end()
        return self.problems

    def _draw_action(self):
        actions = [
            self._put_configuration,
            self._put_series,
            self._put_upstream,
            self._put_zone,
            self._lose_call,
            self._spoil,
            self._freeze,
            self._cut,
            self._refuse,
            self._slow_down,
            self._split_pages,
            self._drop_history,
        ]
        if self._has_eras:
            actions.append(self._restore)
        self.random.choice(actions)()

    def _choose(self):
        return self.random.choice(self.fleet.instances)

    def _trouble(self, instance, seconds, undo):
        """Note an instance's trouble until it is undone."""
        until = self.fleet.time.now + seconds
        self._troubled_at[instance.name] = max(self._troubled_at[instance.name], until)
        self.fleet.time.call_at(until, undo)

    def _put_configuration(self):
        size = self.random.choice([200, 2000, 20_000])
        version = self.fleet.put_configuration(size)
        self._expect(version)

    def _expect(self, version):
        now = self.fleet.time.now
        self._put.append((now, version))
        self.fleet.time.call_at(now + APPLY_S, self._check_in_force, version, now)

    def _put_series(self):
        gap_s = self.random.choice([0.01, 0.1, 0.25])
        for number in range(self.random.randint(3, 12)):
            self.fleet.time.call_later(number * gap_s, self._put_configuration)

    def _put_upstream(self):
        if self.random.random() < 0.2:
            self.fleet.delete_upstream()
            self._started += 1
            return
        more = "x" * self.random.choice([0, 2000])
        state = self.random.choice(["ready", "draining"])
        self.fleet.put_upstream(state, more=more, born=self._started)
        # A start that drains is never ready again.
        self._started += state == "draining"

    def _put_zone(self):
        value = self.random.choice([b"{}", None])
        self.fleet.store.put(f"{WITHDRAWN_PREFIX}z", value)

    def _lose_call(self):
        self._choose().client.lose = 1

    def _spoil(self):
        client = self._choose().client

        def spoil(items):
            if not any(item.key == TABLE_KEY for item in items):
                return items
            client.spoil = list
            return [
                StoreItem(i.key, i.value[:-3], i.revision) if i.key == TABLE_KEY else i
                for i in items
            ]

        client.spoil = spoil

    def _freeze(self):
        instance, frozen = self._choose(), self.fleet.time.frozen
        frozen.add(instance.name)
        self._trouble(
            instance,
            self.random.uniform(0.5, 4.0),
            lambda: frozen.discard(instance.name),
        )

    def _cut(self):
        instance, cut = self._choose(), self.fleet.cut
        cut.add(instance.host)
        self._trouble(
            instance,
            self.random.uniform(0.5, 4.0),
            lambda: cut.discard(instance.host),
        )

    def _refuse(self):
        instance = self._choose()
        instance.client.refuse = True
        seconds = self.random.uniform(0.2, 2.5)
        self._trouble(
            instance, seconds, lambda: setattr(instance.client, "refuse", False)
        )

    def _slow_down(self):
        instance = self._choose()
        instance.client.answer_delay_s = self.random.uniform(0.05, 0.6)
        self._trouble(
            instance,
            self.random.uniform(0.5, 3.0),
            lambda: setattr(instance.client, "answer_delay_s", 0.0),
        )

    def _split_pages(self):
        self._choose().client.page_size = self.random.choice([1, 2, 500])

    def _drop_history(self):
        self.fleet.store.kept_from = self.fleet.store.revision

    def _restore(self):
        copied_at = self.fleet.time.now - self.random.uniform(0.0, 5.0)
        lost = self.fleet.store.restore(copied_at)
        versions = {version for at, version in self._put if at > copied_at}
        self._put = [entry for entry in self._put if entry[1] not in versions]
        restored_at = self.fleet.time.now
        for change in lost:
            delay_s = self.random.uniform(0.0, 1.5)
            self.fleet.time.call_later(delay_s, self._write_again, change, restored_at)

    def _write_again(self, change, restored_at):
        """Repeat a lost change unless its key has been written since."""
        store = self.fleet.store
        if any(c.key == change.key and c.at > restored_at for c in store.changes):
            return
        if change.key == TABLE_KEY:
            self._expect(self.fleet.repeat_configuration())
        else:
            store.put(change.key, change.value)

    def _is_calm(self, instance, since):
        name = instance.name
        return name not in self.fleet.time.frozen and (
            self._troubled_at[name] <= since - STABLE_S
        )

    def _check_in_force(self, version, put_at):
        if (put_at, version) not in self._put:
            # The store has lost it meanwhile.
            return
        for instance in self.fleet.instances:
            if self._is_calm(instance, put_at) and instance.get_version() < version:
                self._report(f"{instance.name} lacks {version} put at {put_at:.2f}")

    def _check_often(self):
        now = self.fleet.time.now
        known_at = now - CURRENT_AGE_MAX_S - TRANSIT_S
        expected = max((v for at, v in self._put if at <= known_at), default=0)
        for instance in self.fleet.instances:
            version = instance.get_version()
            if version < self._versions[instance.name]:
                self._report(f"{instance.name} went back to {version}")
            self._versions[instance.name] = version
            is_bound = self._is_calm(instance, now)
            if is_bound and instance.watcher.is_current() and version < expected:
                self._report(f"{instance.name} counts as current with {version}")
        self.fleet.time.call_later(CHECK_S, self._check_often)

    def _compare(self):
        reference = self.fleet.describe_store()
        for instance in self.fleet.instances:
            if instance.describe() != reference:
                self._report(f"{instance.name}: {instance.describe()} not {reference}")

    def _report(self, problem):
        self.problems.append(f"{self.fleet.time.now - 1000.0:.2f} {problem}")


def main():
    """Run seeds by hand and print their problems."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--per-zone", type=int, default=3)
    parser.add_argument("--eras", action="store_true")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        problems = RandomRun(seed, options.per_zone, options.eras).run()
        failed += bool(problems)
        for problem in problems[:4]:
            print(f"seed {seed}: {problem}", flush=True)
    print(f"{options.seeds} seeds, {failed} with problems")


if __name__ == "__main__":
    main()
