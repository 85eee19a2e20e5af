"""Tests of how parts of prompts that crash servers are found, in virtual time."""

from __future__ import annotations

import random

import attrs
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.fleet import codec
from monsoonflow.fleet.gossip import MAX_DATAGRAM_BYTES
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.quarantine.manager import ROW_PREFIX
from monsoonflow.quarantine.models import RequestTraits
from monsoonflow.quarantine.part_evidence import (
    ANSWER_TIME_MS,
    EVIDENCE_TTL_MS,
    MAX_PARTS,
    MIN_HISTORY_MS,
    MIN_REQUESTS,
    OUTAGE_TIME_MS,
)
from monsoonflow.quarantine.parts import (
    ANNOUNCEMENT_TTL_MS,
    DOUBTFUL_TRIAL_AFTER_MS,
    MAX_ANNOUNCED_CRASHES,
    MAX_QUARANTINED_PARTS,
    SOUND_MEMORY_MS,
    TRIALS_AFTER_MS,
    PartQuarantine,
)
from monsoonflow.quarantine.suspects import IGNORE_AFTER_LIFT_MS


@attrs.define
class World:
    """Nodes that announce what they see, and the servers that crash."""

    names: tuple[str, ...] = ("a", "b", "c")
    now_ms: int = 1_000
    crashes: int = 0
    requests: int = 0
    nodes: list[PartQuarantine] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.nodes = [PartQuarantine(name) for name in self.names]
        for node in self.nodes:
            node.record_answered(("other",), self.now_ms, self.now_ms)
        self.now_ms += MIN_HISTORY_MS

    def send(self, node, *parts):
        """Return a request that is sent now, with what is known of its parts."""
        self.requests += 1
        return node, RequestTraits(f"r{self.requests}", parts), node.known_lives(parts)

    def crash(self, *sent):
        """Let a server crash that has hardly begun to answer some requests; return its life."""
        self.now_ms += 10
        self.crashes += 1
        life = ServerLife(f"i-{self.crashes}")
        for node, traits, known in sent:
            node.record_broken_connection(traits, life, known, self.now_ms)
        for node in {id(node): node for node, _, _ in sent}.values():
            node.record_server_crash(life, self.now_ms)
        return life

    def answer(self, node, *parts):
        """Let a server answer a request that is sent now."""
        self.now_ms += 10
        node.record_answered(parts, self.now_ms, self.now_ms + 1)

    def announce(self):
        """Let all nodes hear each other."""
        self.now_ms += 10
        for node in self.nodes:
            for peer in self.nodes:
                if peer is not node:
                    crashes, sound = node.own_crashes(self.now_ms), node.own_sound_parts(
                        self.now_ms
                    )
                    peer.apply_announced(crashes, sound, self.now_ms)
                    for request in node.quarantined():
                        peer.quarantine(request.fingerprint, (), "x", self.now_ms)

    def refused(self):
        """Return what each node refuses."""
        return [
            sorted(request.fingerprint for request in node.quarantined()) for node in self.nodes
        ]


@pytest.fixture
def world():
    return World()


def crash_in_a_row(world, count, *parts, node=0):
    for _ in range(count):
        world.crash(world.send(world.nodes[node], *parts))
        world.announce()


def test_a_part_is_refused_after_three_crashes_of_different_requests_at_different_nodes(world):
    for node in world.nodes:
        assert not world.nodes[0].is_quarantined(("first", "bad"))
        world.crash(world.send(node, "first", "bad"))
        world.announce()
        world.answer(world.nodes[0], "first", "good")
        world.announce()
    assert world.refused() == [["part:bad"]] * 3


def test_a_popular_part_is_cleared_by_an_answer_at_any_node(world):
    for _ in range(5):
        world.crash(world.send(world.nodes[0], "first"))
        world.announce()
        world.answer(world.nodes[1], "first")
        world.announce()
    assert world.refused() == [[], [], []]


def test_servers_lost_at_one_moment_are_no_evidence(world):
    sent = [world.send(node, "first") for node in world.nodes for _ in range(4)]
    for request in sent:
        world.crash(request)
    world.announce()
    assert world.refused() == [[], [], []]


def test_a_crash_that_several_nodes_have_seen_counts_once(world):
    for _ in range(2):
        world.crash(*(world.send(node, "bad") for node in world.nodes))
        world.announce()
    assert world.refused() == [[], [], []]


def test_a_single_request_condemns_none_of_its_parts(world):
    """A bystander is retried from server to server and may be at the next crash as well."""
    assert MIN_REQUESTS == 2
    node, traits, _ = world.send(world.nodes[0], "first", "own")
    for _ in range(4):
        world.crash((node, traits, node.known_lives(traits.parts)))
    world.announce()
    assert world.refused() == [[], [], []]


def test_parts_that_are_always_together_are_refused_only_together(world):
    crash_in_a_row(world, 3, "first", "bad")
    assert world.refused() == [["part:bad+first"]] * 3
    assert not world.nodes[1].is_quarantined(("first", "good"))
    assert world.nodes[1].is_quarantined(("x", "bad", "first"))


def test_the_key_of_many_parts_that_are_always_together_fits_in_a_row(world):
    """A key of over 200 bytes would be refused by the store again and again."""
    parts = [f"{number:040x}" for number in range(64)]
    crash_in_a_row(world, 3, *parts)
    world.announce()
    for node, keys in zip(world.nodes, world.refused(), strict=True):
        assert len(keys) == 1
        assert len(ROW_PREFIX + keys[0]) <= 200
        assert node.is_quarantined(tuple(parts))
        assert not node.is_quarantined(tuple(parts[:3]))


def test_a_combination_whose_part_is_refused_alone_is_not_refused_again(world):
    """Its row would have stayed in the store, and been announced beside the part's."""
    world.nodes[0].quarantine("part:bad", (), "x", world.now_ms)
    crash_in_a_row(world, 3, "first", "bad")
    assert world.refused()[0] == ["part:bad"]


def test_the_part_that_is_not_cleared_alone_is_refused_alone(world):
    crash_in_a_row(world, 3, "first", "bad")
    world.answer(world.nodes[2], "first", "good")
    world.announce()
    world.announce()
    assert world.refused() == [["part:bad"]] * 3


def test_a_bad_part_beside_another_first_part_is_refused_everywhere(world):
    crash_in_a_row(world, 3, "first", "bad")
    crash_in_a_row(world, 2, "second", "bad")
    assert all(node.is_quarantined(("third", "bad")) for node in world.nodes)
    assert not any(node.is_quarantined(("first", "good")) for node in world.nodes)


def test_a_bystander_at_some_of_the_crashes_is_allowed_again(world):
    """Its part was at three crashes in a row before the bad part was known to be at four."""
    a, b, c = world.nodes
    world.crash(world.send(a, "bad"))
    world.announce()
    for _ in range(2):
        world.crash(world.send(a, "bad"), world.send(b, "own"))
        world.announce()
    world.crash(world.send(a, "bad"), world.send(c, "own"))
    world.announce()
    world.announce()
    assert world.refused() == [["part:bad"]] * 3


def test_a_popular_part_is_not_refused_before_its_requests_could_be_answered(world):
    """Three runners crashed within an answer's time, and bystanders went from one to the next."""
    for node in world.nodes:
        world.answer(node, "first")
    for _ in range(3):
        world.crash(*(world.send(node, "first") for node in world.nodes))
        world.announce()
    assert world.refused() == [[], [], []]
    world.answer(world.nodes[0], "first")
    world.announce()
    world.now_ms += ANSWER_TIME_MS
    for node in world.nodes:
        node.reconsider(world.now_ms)
    assert world.refused() == [[], [], []]


def test_a_popular_part_is_not_refused_while_nothing_is_answered(world):
    """All runners had crashed, so that no request could clear the first part of all prompts."""
    for node in world.nodes:
        world.answer(node, "first")
    for _ in range(4):
        world.crash(*(world.send(node, "first") for node in world.nodes))
        world.announce()
    world.now_ms += ANSWER_TIME_MS
    for node in world.nodes:
        node.reconsider(world.now_ms)
    assert world.refused() == [[], [], []]
    world.now_ms += OUTAGE_TIME_MS
    world.nodes[0].reconsider(world.now_ms)
    assert world.nodes[0].is_quarantined(("first",))


def test_a_node_that_knows_a_narrower_cause_does_not_take_over_a_wide_one(world):
    """One node refused the first part of all prompts, and its peers followed it."""
    crash_in_a_row(world, 3, "first", "bad")
    world.crash(
        world.send(world.nodes[1], "first", "other"), world.send(world.nodes[0], "first", "bad")
    )
    world.announce()
    assert not world.nodes[1].quarantine("part:first", (), "x", world.now_ms)
    assert not world.nodes[1].is_quarantined(("first", "good"))
    assert all(node.is_quarantined(("first", "bad")) for node in world.nodes)


def test_a_part_that_was_sound_and_turns_bad_is_refused_after_that_time(world):
    for node in world.nodes:
        world.answer(node, "bad")
    crash_in_a_row(world, 3, "bad")
    assert world.refused() == [[], [], []]
    world.now_ms += ANSWER_TIME_MS
    world.answer(world.nodes[0], "good")
    world.nodes[0].reconsider(world.now_ms)
    assert world.nodes[0].is_quarantined(("bad",))


def test_a_popular_part_that_is_bad_itself_is_found(world):
    for number in range(4):
        crash_in_a_row(world, 1, "first", f"m{number}", node=number % 3)
    assert world.refused() == [["part:first"]] * 3


def test_two_bad_parts_are_found_though_their_crashes_alternate(world):
    for _ in range(3):
        crash_in_a_row(world, 1, "first", "bad", node=0)
        crash_in_a_row(world, 1, "first", "worse", node=1)
        world.answer(world.nodes[2], "first")
        world.announce()
    assert world.refused() == [["part:bad", "part:worse"]] * 3


def test_an_answer_that_began_before_a_crash_clears_nothing(world):
    began_ms = world.now_ms
    crash_in_a_row(world, 2, "bad")
    world.nodes[0].record_answered(("bad",), began_ms, world.now_ms)
    crash_in_a_row(world, 1, "bad")
    world.answer(world.nodes[0], "good")
    world.now_ms += ANSWER_TIME_MS
    world.nodes[0].reconsider(world.now_ms)
    world.announce()
    assert world.refused() == [["part:bad"]] * 3


def test_a_node_without_traffic_does_not_refuse_what_its_peers_have_cleared(world):
    """It may hear of the crashes before it hears of the answers."""
    a, b, c = world.nodes
    for node in (a, b, a):
        world.crash(world.send(node, "first"))
        for seen in (*a.own_crashes(world.now_ms), *b.own_crashes(world.now_ms)):
            for peer in world.nodes:
                peer.apply_announced((seen,), (), world.now_ms)
    assert not c.is_quarantined(("first",))
    world.answer(a, "first")
    world.announce()
    assert world.refused() == [[], [], []]
    c.quarantine("part:first", (), "late", world.now_ms)
    assert not c.is_quarantined(("first",))
    later_ms = world.now_ms + max(SOUND_MEMORY_MS, IGNORE_AFTER_LIFT_MS) + 1
    assert c.quarantine("part:first", (), "later", later_ms)


def test_a_part_that_was_lifted_counts_from_the_start(world):
    crash_in_a_row(world, 3, "bad")
    world.now_ms += IGNORE_AFTER_LIFT_MS
    for node in world.nodes:
        assert node.lift("part:bad", world.now_ms)
    world.announce()
    assert world.refused() == [[], [], []]
    crash_in_a_row(world, 2, "bad")
    assert world.refused() == [[], [], []]
    crash_in_a_row(world, 1, "bad")
    assert world.refused() == [["part:bad"]] * 3
    world.nodes[0].lift("part:x", world.now_ms)
    assert not world.nodes[0].quarantine("part:x", (), "n", world.now_ms + IGNORE_AFTER_LIFT_MS)


def test_a_node_that_knows_of_recent_crashes_keeps_them_when_a_row_is_removed(world):
    """A peer that knows less had removed it, and all nodes let three more runners crash."""
    crash_in_a_row(world, 3, "bad")
    for node in world.nodes:
        node.lift("part:bad", world.now_ms)
    world.nodes[0].reconsider(world.now_ms)
    world.announce()
    assert world.refused() == [["part:bad"]] * 3


def test_combinations_of_a_bad_part_share_their_trials(world):
    node = world.nodes[0]
    lives = tuple(ServerLife(f"i-{number}") for number in range(3))
    for key in ("part:bad+own", "part:bad+other", "part:bad+third"):
        node.quarantine(key, lives, "x", world.now_ms)
    later_ms = world.now_ms + DOUBTFUL_TRIAL_AFTER_MS + 1
    all_parts = ("bad", "own", "other", "third")
    due = node.due_for_trial(all_parts, later_ms)
    assert len(due) == 3
    node.record_trial(due[0], 1, True, later_ms)
    assert node.due_for_trial(all_parts, later_ms) == []
    node.quarantine("part:bad", lives, "x", later_ms)
    assert world.refused()[0] == ["part:bad"]
    assert node.due_for_trial(all_parts, later_ms + TRIALS_AFTER_MS[0] + 1) == []


def test_after_its_time_only_one_request_is_tried(world):
    crash_in_a_row(world, 3, "bad")
    node = world.nodes[0]
    later_ms = world.now_ms
    for number, after_ms in enumerate(TRIALS_AFTER_MS, 1):
        assert node.due_for_trial(("bad",), later_ms) == []
        later_ms += after_ms + 1
        assert node.due_for_trial(("bad",), later_ms) == ["part:bad"]
        assert not node.begin_trial(("bad",))
        node.record_trial("part:bad", number, True, later_ms)
        assert [node.begin_trial(("bad",)) for _ in range(3)] == [True, False, False]
        assert node.is_quarantined(("bad",))
    assert node.due_for_trial(("bad",), later_ms * 1_000) == []
    node.record_answered(("bad",), later_ms + 1, later_ms + 2)
    assert not node.is_quarantined(("bad",))


def test_of_parts_that_explain_the_same_crashes_each_is_tried_soon(world):
    """A rare part that was at the bad part's crashes waited a minute for its trial."""
    a, b, _ = world.nodes
    for parts in (("bad",), ("bad", "own"), ("bad", "own")):
        world.crash(*(world.send(node, part) for node, part in zip((a, b), parts, strict=False)))
        world.announce()
    crash_in_a_row(world, 1, "own", node=1)
    assert a.is_quarantined(("bad",))
    assert a.is_quarantined(("own",))
    both, after_ms = ("bad", "own"), DOUBTFUL_TRIAL_AFTER_MS
    assert a.due_for_trial(both, world.now_ms + after_ms - 1_000) == []
    assert a.due_for_trial(both, world.now_ms + after_ms + 1_000) == ["part:bad", "part:own"]


def test_a_part_is_tried_soon_if_servers_also_crash_without_it(world):
    """A sound part that was at three of many crashes waited a minute for its trial."""
    node = world.nodes[0]
    crash_in_a_row(world, 3, "first")
    assert node.is_quarantined(("first",))
    world.crash(world.send(node, "other"))
    later_ms = world.now_ms + DOUBTFUL_TRIAL_AFTER_MS + 1
    assert node.due_for_trial(("first",), later_ms) == []
    world.crash(world.send(node, "other"))
    assert node.due_for_trial(("first",), later_ms) == ["part:first"]


def test_the_second_trial_of_a_doubtful_part_waits_for_the_end_of_the_crashes(world):
    node = world.nodes[0]
    crash_in_a_row(world, 3, "first")
    for part in ("second", "third"):
        world.crash(world.send(node, part))
    world.now_ms += DOUBTFUL_TRIAL_AFTER_MS
    node.record_trial("part:first", 1, True, world.now_ms)
    assert node.begin_trial(("first",))
    world.crash(world.send(node, "fourth"))
    crashed_ms = world.now_ms
    assert node.due_for_trial(("first",), crashed_ms + DOUBTFUL_TRIAL_AFTER_MS - 1) == []
    assert node.due_for_trial(("first",), crashed_ms + DOUBTFUL_TRIAL_AFTER_MS + 1)


def test_crashes_expire_but_not_those_of_a_refused_part(world):
    crash_in_a_row(world, 3, "bad")
    crash_in_a_row(world, 2, "other")
    node = world.nodes[0]
    world.now_ms += EVIDENCE_TTL_MS + 1
    node.forget_old(world.now_ms)
    crash_in_a_row(world, 1, "other")
    assert node.is_quarantined(("bad",))
    assert not node.is_quarantined(("other",))


def test_what_is_remembered_and_announced_is_bounded(world):
    node = world.nodes[0]
    for number in range(MAX_PARTS + 10):
        world.crash(*(world.send(node, f"p{number}", f"q{number}") for _ in range(2)))
    assert len(node.own_crashes(world.now_ms)) <= MAX_ANNOUNCED_CRASHES
    for number in range(MAX_QUARANTINED_PARTS + 5):
        node.quarantine(f"part:k{number}", (), "x", world.now_ms)
    assert len(node.quarantined()) == MAX_QUARANTINED_PARTS
    assert node.own_crashes(world.now_ms + ANNOUNCEMENT_TTL_MS + 1) == ()


def test_announcements_of_prompts_with_many_parts_fit_in_a_datagram(world):
    """A heartbeat that is too large is not sent at all, and its node counts as silent."""
    node = world.nodes[0]
    rng = random.Random(1)
    for _ in range(4):
        world.crash(
            *(
                world.send(node, *(f"{rng.getrandbits(128):032x}" for _ in range(64)))
                for _ in range(96)
            )
        )
    seen: set[str] = set()
    for _ in range(200):
        announced = node.own_crashes(world.now_ms)
        record = NodeRecord("a", "b", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")
        heartbeat = Heartbeat(record, 1, True, False, 1, True, parts_crashes=announced)
        assert len(codec.encode_heartbeat(heartbeat)) < MAX_DATAGRAM_BYTES / 2
        seen.update(crash.fingerprint for crash in announced)
    assert len(seen) == 4 * 96


def test_the_culprit_is_among_what_is_announced_when_many_requests_had_not_begun(world):
    """A runner may have a hundred requests that have not begun; only some can be announced."""
    for node in world.nodes:
        bystanders = [world.send(node, "first", f"s{number}") for number in range(96)]
        world.crash(world.send(node, "first", "bad"), *bystanders)
        world.announce()
        world.announce()
        world.answer(node, "first")
        world.announce()
    assert all(peer.is_quarantined(("first", "bad")) for peer in world.nodes)
