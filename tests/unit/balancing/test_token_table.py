"""The token table against a plain recount."""

from __future__ import annotations

import random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ironmill.balancing.token_table import TokenTable

STEP = st.tuples(st.integers(0, 7), st.integers(-1, 6))  # a count under 0 drops the member


@seed(11)
@settings(max_examples=200, database=None, derandomize=False)
@given(st.lists(STEP, max_size=60))
def test_table_agrees_with_a_recount(steps: list[tuple[int, int]]) -> None:
    table, plain = TokenTable(), dict[int, int]()
    rng = random.Random(3)
    for server, count in steps:
        if count >= 0:
            table.put(server, count)
            plain[server] = count
        elif server in plain:
            table.remove(server)
            del plain[server]
        assert len(table) == len(plain)
        for limit in range(9):
            expected = {member for member, held in plain.items() if held < limit}
            assert table.below(limit) == len(expected)
            drawn = {table.draw(0, table.below(limit), rng, lambda _: True) for _ in range(8)}
            assert drawn - {None} <= expected
    assert {member: table.count(member) for member in plain} == plain


def test_draw_is_even_within_its_range() -> None:
    table, rng = TokenTable(), random.Random(5)
    for server in range(10):
        table.put(server, 0 if server < 5 else 1)
    drawn = [table.draw(0, table.below(1), rng, lambda _: True) for _ in range(5000)]
    assert set(drawn) == set(range(5))
    assert all(850 < drawn.count(server) < 1150 for server in range(5))


def test_draw_finds_the_only_fitting_member() -> None:
    table, rng = TokenTable(), random.Random(5)
    for server in range(50):
        table.put(server, 0)
    assert table.draw(0, 50, rng, lambda server: server == 37) == 37
    assert table.draw(0, 50, rng, lambda _: False) is None


def test_work_of_a_step_does_not_grow_with_the_fleet() -> None:
    """Counts the swaps, since a clock would tell more of the machine than of the table."""

    class Counting(TokenTable):
        swaps = 0

        def _swap(self, server: int, to: int) -> None:
            self.swaps += 1
            super()._swap(server, to)

    work = []
    for size in (10, 1000):
        table = Counting()
        for server in range(size):
            table.put(server, 2)
        table.swaps = 0
        table.put(3, 3)
        table.put(3, 2)
        table.below(2)
        work.append(table.swaps)
    assert work[0] == work[1] == 2
