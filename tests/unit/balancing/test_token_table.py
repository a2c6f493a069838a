"""Compares the token table with a plain recount."""

from __future__ import annotations

import random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ironmill.balancing.token_table import TokenTable

# A step sets the count of a server; a negative count removes the server.
STEP = st.tuples(st.integers(0, 7), st.integers(-1, 6))


@seed(11)
@settings(max_examples=200, database=None, derandomize=False)
@given(st.lists(STEP, max_size=60))
def test_table_agrees_with_a_recount(steps: list[tuple[int, int]]) -> None:
    table, expected_counts = TokenTable(), dict[int, int]()
    rng = random.Random(3)
    for server_id, count in steps:
        if count >= 0:
            table.put(server_id, count)
            expected_counts[server_id] = count
        elif server_id in expected_counts:
            table.remove(server_id)
            del expected_counts[server_id]
        assert len(table) == len(expected_counts)
        for limit in range(9):
            expected_ids = {server_id for server_id, count in expected_counts.items() if count < limit}
            assert table.below(limit) == len(expected_ids)
            drawn = {table.draw(0, table.below(limit), rng, lambda _: True) for _ in range(8)}
            assert drawn - {None} <= expected_ids
    assert {server_id: table.count(server_id) for server_id in expected_counts} == expected_counts


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
    """Counts swaps, because durations depend on the machine."""

    class SwapCountingTable(TokenTable):
        swaps = 0

        def _swap(self, server_id: int, new_index: int) -> None:
            self.swaps += 1
            super()._swap(server_id, new_index)

    swap_counts = []
    for size in (10, 1000):
        table = SwapCountingTable()
        for server_id in range(size):
            table.put(server_id, 2)
        table.swaps = 0
        table.put(3, 3)
        table.put(3, 2)
        table.below(2)
        swap_counts.append(table.swaps)
    assert swap_counts[0] == swap_counts[1] == 2
