"""The token table against a plain recount."""

from __future__ import annotations

import random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ironmill.balancing.token_table import TokenTable

STEP = st.tuples(st.integers(0, 7), st.integers(-1, 6))  # a negative count removes the server_id


@seed(11)
@settings(max_examples=200, database=None, derandomize=False)
@given(st.lists(STEP, max_size=60))
def test_table_agrees_with_a_recount(steps: list[tuple[int, int]]) -> None:
    table, plain = TokenTable(), dict[int, int]()
    rng = random.Random(3)
    for server_id, count in steps:
        if count >= 0:
            table.put(server_id, count)
            plain[server_id] = count
        elif server_id in plain:
            table.remove(server_id)
            del plain[server_id]
        assert len(table) == len(plain)
        for limit in range(9):
            expected = {server_id for server_id, count in plain.items() if count < limit}
            assert table.below(limit) == len(expected)
            drawn = {table.draw(0, table.below(limit), rng, lambda _: True) for _ in range(8)}
            assert drawn - {None} <= expected
    assert {server_id: table.count(server_id) for server_id in plain} == plain


def test_draw_is_uniform() -> None:
    table, rng = TokenTable(), random.Random(5)
    for server_id in range(10):
        table.put(server_id, 0 if server_id < 5 else 1)
    drawn = [table.draw(0, table.below(1), rng, lambda _: True) for _ in range(5000)]
    assert set(drawn) == set(range(5))
    assert all(850 < drawn.count(server_id) < 1150 for server_id in range(5))


def test_draw_finds_only_acceptable_server() -> None:
    table, rng = TokenTable(), random.Random(5)
    for server_id in range(50):
        table.put(server_id, 0)
    assert table.draw(0, 50, rng, lambda server_id: server_id == 37) == 37
    assert table.draw(0, 50, rng, lambda _: False) is None


def test_cost_of_step_is_independent_of_fleet_size() -> None:
    """Counts swaps, as time depends on the machine."""

    class Counting(TokenTable):
        swaps = 0

        def _swap(self, server_id: int, to: int) -> None:
            self.swaps += 1
            super()._swap(server_id, to)

    work = []
    for size in (10, 1000):
        table = Counting()
        for server_id in range(size):
            table.put(server_id, 2)
        table.swaps = 0
        table.put(3, 3)
        table.put(3, 2)
        table.below(2)
        work.append(table.swaps)
    assert work[0] == work[1] == 2
