"""The table of events: what is sent at each one, at what rate, and how clients are affected."""

from __future__ import annotations

from ironmill_testbed.capacity import formulas
from ironmill_testbed.capacity.figure import Figure, number, quantity, table
from ironmill_testbed.capacity.formulas import Model
from ironmill_testbed.capacity.tables.mechanisms import format_delivery_share

_HEADINGS = [
    "event",
    "what is sent, by whom, within what time",
    "highest second, and how long",
    "rejected or stale meanwhile",
    "who detects it",
]


def events(model: Model) -> str:
    """Formats one row for each event."""
    rows = _EventRows(model)
    return table(
        _HEADINGS,
        [
            rows.ordinary_day(),
            rows.rack_lost(),
            rows.zone_lost(),
            rows.zone_returns(),
            rows.region_cut_off(),
            rows.storm_of_changes(),
            rows.change_of_every_shard(),
            rows.largest_topic(),
        ],
    )


class _EventRows:
    """Formats the rows of the table; each public method returns the cells of one event."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._target = model.plan.target
        self._proxies = model.plan.target.proxies
        self._zone_proxies = formulas.proxies_per_zone(model)
        self._catch_up_bytes = formulas.full_catch_up_bytes(model)
        self._catch_up_rate = Figure(model.plan.today.catch_up_bytes_per_s)
        self._change_bytes = formulas.assumed(model.plan.assumed.change)
        self._storm_rate = formulas.storm_rate(model)
        self._children_per_relay = formulas.children_per_relay(model)
        self._in_force = quantity(Figure(self._target.in_force_s), "s")

    def ordinary_day(self) -> list[str]:
        target = self._target
        starts, failures = formulas.starts_per_day(self._model), Figure(target.failures_per_day)
        per_relay = starts * self._catch_up_bytes / formulas.DAY_S / target.control_machines
        return [
            f"an ordinary day: {number(target.failures_per_day)} failures,"
            f" {number(target.restarts_per_day)} restarts",
            f"one every {quantity(formulas.DAY_S / starts, 's')}; its observers report it to all;"
            f" each start without configuration reads {quantity(self._catch_up_bytes, 'B')} from a relay:"
            f" {quantity(per_relay, 'B/s')} per relay, mean of the day",
            f"{self._highest_second('restarts')} (the day's restarts in ten minutes)",
            f"{quantity(formulas.clients_of(self._model, failures))} clients a day lose their connection"
            f" by failures, {quantity(failures * 100.0 / self._proxies)} % of all;"
            " no client may lose one by a restart",
            "membership; a proxy that starts announces itself",
        ]

    def rack_lost(self) -> list[str]:
        rack_proxies = formulas.assumed(self._model.plan.assumed.rack)
        clients_lost = quantity(self._model.scenario("rack", "clients_lost"))
        return [
            f"a rack or switch: {quantity(rack_proxies)} proxies",
            f"{self._returning_clients(rack_proxies)}; the others learn of it by gossip",
            self._highest_second("rack"),
            f"{quantity(formulas.clients_of(self._model, rack_proxies))} clients are disconnected"
            f" and come back; lost clients of other proxies: {clients_lost}",
            "membership, its observers",
        ]

    def zone_lost(self) -> list[str]:
        model, zone_proxies, proxies = self._model, self._zone_proxies, self._proxies
        detection_time = quantity(model.at("membership_zone_gone", proxies), "s")
        highest_rate, span = (
            model.at("membership_zone_bytes", proxies),
            model.at("membership_zone_span", proxies),
        )
        return [
            f"a zone lost: {quantity(zone_proxies)} proxies",
            f"{self._returning_clients(zone_proxies)}; a relay's children"
            f" {quantity(self._children_per_relay)}, then {quantity(formulas.children_after_zone(model))}",
            f"{quantity(highest_rate, 'B/s')} of the mean member by the slope, over the budget for"
            f" {quantity(span, 's')}, at most"
            f" {quantity(formulas.worst_minute_mean(model, proxies), 'B/s')} as the mean of that minute;"
            f" {self._highest_second('zone')}",
            f"{quantity(formulas.clients_of(model, zone_proxies))} clients are disconnected;"
            f" the dead members stay in views for {detection_time}",
            "membership; a relay, by polls that stop",
        ]

    def zone_returns(self) -> list[str]:
        model, zone_proxies, control_machines = self._model, self._zone_proxies, self._target.control_machines
        catch_up_time = formulas.concurrent_catch_up_time(model, zone_proxies)
        serve_rate = Figure(model.plan.today.serve_bytes_per_s)
        return [
            "the zone returns at once",
            f"each of its proxies reads {quantity(self._catch_up_bytes, 'B')};"
            f" from {number(control_machines)} machines that is"
            f" {quantity(zone_proxies * self._catch_up_bytes / control_machines, 'B')} each",
            f"{quantity(self._catch_up_rate, 'B/s')} per proxy for {quantity(catch_up_time, 's')},"
            f" {quantity(zone_proxies * self._catch_up_rate / control_machines, 'B/s')} per relay of"
            f" {quantity(serve_rate, 'B/s')} that it may serve; as run: a relay's highest second"
            f" {quantity(model.scenario('zone', 'relay_bytes_highest_s'), 'B/s')}, caught up after"
            f" {quantity(model.scenario('zone', 'catch_up_s'), 's')}",
            "its proxies serve by their own files, without distributed keys, until they have all of them",
            "each by itself: it is behind",
        ]

    def region_cut_off(self) -> list[str]:
        model, change_bytes = self._model, self._change_bytes
        duration = formulas.assumed(model.plan.assumed.cut)
        region_proxies = quantity(formulas.proxies_per_region(model))
        average_changes, storm_changes = duration * formulas.change_rate(model), duration * self._storm_rate
        return [
            f"a region cut off for {quantity(duration, 's')}: {region_proxies} proxies",
            f"nothing to it; at contact it lacks {quantity(average_changes)} changes on an average day,"
            f" {quantity(storm_changes)} in a storm: {quantity(average_changes * change_bytes, 'B')} and"
            f" {quantity(storm_changes * change_bytes, 'B')} each",
            f"{quantity(storm_changes * change_bytes / self._target.in_force_s, 'B/s')} per proxy"
            f" for {self._in_force} after a storm, to be in force in time; more than"
            f" {quantity(Figure(model.plan.today.delta_bytes), 'B')} comes by ranges, which then takes"
            f" {quantity(storm_changes * change_bytes / self._catch_up_rate, 's')};"
            f" {self._highest_second('region')}",
            "it continues with the last good revision; stale unnoticed:"
            f" {quantity(model.scenario('region', 'stale_unnoticed'))}",
            "each of its proxies by itself, the origin by zone",
        ]

    def storm_of_changes(self) -> list[str]:
        model, storm_rate = self._model, self._storm_rate
        relay_datagrams = quantity(model.scenario("storm", "relay_datagrams_highest_s"), "/s")
        return [
            f"all {number(self._target.changes_per_day)} changes in an hour",
            f"{quantity(storm_rate, '/s')}, each pushed to {quantity(self._children_per_relay)} children"
            f" by every relay",
            f"{quantity(storm_rate * self._change_bytes, 'B/s')} per proxy,"
            f" {quantity(formulas.relay_bytes(model, storm_rate), 'B/s')} and"
            f" {quantity(formulas.relay_cores(model, storm_rate), 'cores')} per relay,"
            f" mean second of the hour;"
            f" {self._highest_second('storm')}; {relay_datagrams} datagrams of a relay",
            f"changes to one key are merged; in force for {format_delivery_share(model)} within"
            f" {quantity(model.scenario('storm', 'change_p99_s'), 's')}, the last"
            f" {quantity(model.scenario('storm', 'change_max_s'), 's')}",
            "the sum of acknowledgements",
        ]

    def change_of_every_shard(self) -> list[str]:
        target = self._target
        total_bytes = formulas.assumed(self._model.plan.assumed.entry) * target.shards
        return [
            "one change that affects every shard",
            "as one key that all shards refer to: as any change."
            f" As {quantity(Figure(target.shards))} entries: {quantity(total_bytes, 'B')} to each proxy in"
            f" {quantity(formulas.min_revisions(self._model))} revisions",
            f"as entries, in force within {self._in_force}:"
            f" {quantity(total_bytes / target.in_force_s, 'B/s')} per proxy and"
            f" {quantity(total_bytes * self._children_per_relay / target.in_force_s, 'B/s')} per relay:"
            f" **no mechanism**; within the budget it takes"
            f" {quantity(total_bytes / target.control_bytes_per_s, 's')}",
            "as entries: part of the shards have the old value meanwhile, by complete revisions",
            "its author: not in force",
        ]

    def largest_topic(self) -> list[str]:
        model, listeners = self._model, Figure(self._target.largest_topic)
        return [
            f"a message in the largest topic: {quantity(listeners)} listeners",
            "its server writes as many lines,"
            f" {quantity(formulas.floor_pass(model) * listeners, 's')} of a core;"
            f" {quantity(formulas.listeners_per_proxy(model))} of them to each proxy",
            f"{quantity(formulas.delivery_time(model)[0], 's')} to the last listener, of"
            f" {number(self._target.delivery_ms)} ms: see below",
            "other topics of that server wait as long",
            "nobody: deliveries are not measured end to end",
        ]

    def _highest_second(self, scenario: str) -> str:
        highest_rate = self._model.scenario(scenario, "proxy_bytes_highest_s")
        over_budget = self._model.scenario(scenario, "over_budget_s")
        return (
            f"as run: a proxy's highest second {quantity(highest_rate, 'B/s')},"
            f" over its budget for {quantity(over_budget, 's')}"
        )

    def _returning_clients(self, lost: Figure) -> str:
        return_window = quantity(formulas.assumed(self._model.plan.assumed.return_window), "s")
        return (
            f"{quantity(formulas.returning_per_proxy(self._model, lost))} clients come to each remaining"
            f" proxy within {return_window}:"
            f" {quantity(formulas.returning_cores(self._model, lost), 'cores')} more"
        )
