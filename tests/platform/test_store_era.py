"""Answers of a store that states an era, before and after its return from a copy."""

from __future__ import annotations

import pytest

from monsoonflow.core.clock import ManualClock, MonotonicClock
from monsoonflow.platform.store import MAX_PAGE_ROWS, OWN_TABLE, PlatformStore
from monsoonflow.platform.store_era import (
    LOWER_ERA_ACCEPT_MS,
    StoreEra,
    generation_of,
    number_of,
    row_version,
)
from monsoonflow.storage.models import (
    Changes,
    Committed,
    HistoryLost,
    Outdated,
    Transaction,
    Unavailable,
)
from monsoonflow.transport.models import AnswerHead
from script.ports import free_port
from stand_ins.platform_store import PlatformStore as StoreStandIn


@pytest.fixture
def clock():
    return ManualClock(100_000)


@pytest.fixture
def era(clock):
    return StoreEra(clock)


@pytest.fixture
def store():
    stand_in = StoreStandIn(f"127.0.0.1:{free_port()}", era=4)
    stand_in.start()
    yield stand_in
    stand_in.stop()


@pytest.fixture
def client(store):
    return PlatformStore(store.address, MonotonicClock())


def head(*eras):
    return AnswerHead(200, b"OK", [(b"Store-Era", era) for era in eras], 0, False)


def write(client, key, version=0):
    return client.commit_once(Transaction("op-1", {key: version}, {key: {"a": 1}}))


def test_a_version_names_its_generation_and_is_ordered_by_it():
    assert row_version(1, 3) > row_version(0, 500)
    assert (generation_of(row_version(2, 7)), number_of(row_version(2, 7))) == (2, 7)


def test_each_return_is_a_generation_even_if_an_era_was_skipped(era):
    returns = []
    era.call_on_return(lambda: returns.append(era.value))
    assert [era.record_answer(head(value)) for value in (b"3", b"3", b"5")] == [0, 0, 1]
    assert returns == [5]


def test_an_era_that_is_stated_for_the_first_time_is_a_generation(era):
    """A store that states none before its first return would otherwise not be seen to return."""
    assert [era.record_answer(head()), era.record_answer(head(b"1"))] == [0, 1]


def test_an_answer_without_an_era_counts_for_the_known_one(era):
    assert [era.record_answer(head(b"2")), era.record_answer(head())] == [0, 0]
    assert era.value == 2


def test_a_row_that_must_not_exist_says_nothing_of_a_store_that_has_lost_it(store, client):
    client.read_all("op")
    store.return_from(store.copy())
    assert write(client, "duty/a") == Outdated()


@pytest.mark.parametrize("eras", [(b"x",), (b"-1",), (b"3", b"4"), (b"",), (b"9" * 400,)])
def test_an_unusable_era_is_logged_once_and_ends_nothing(era, caplog, eras):
    caplog.set_level("INFO")
    era.record_answer(head(b"3"))
    caplog.clear()
    assert [era.record_answer(head(*eras)) for _ in range(3)] == [0, 0, 0]
    assert len(caplog.records) == (eras != (b"",))


def test_an_answer_from_before_a_return_is_not_used(era):
    era.record_answer(head(b"3"))
    era.record_answer(head(b"4"))
    assert era.record_answer(head(b"3")) is None
    assert era.generation == 1


def test_an_era_that_stays_lower_is_used(era, clock):
    era.record_answer(head(b"70"))
    clock.advance(LOWER_ERA_ACCEPT_MS)
    assert era.record_answer(head(b"7")) == 1
    assert era.record_answer(head(b"8")) == 2


def test_rows_written_under_numbers_that_were_given_out_again_are_read(store, client):
    """A request for changes after an old number passed over them."""
    copy = store.copy()
    for number in range(5):
        store.put("op", "config", {"version": number})
    known = client.read_all("op")
    store.return_from(copy)
    store.put("op", "config", {"version": 9})
    for number in range(5):
        store.put("other", "row", {"number": number})
    assert client.changes("op", known.version, 0) == HistoryLost(
        "the store has returned from a copy"
    )
    rows = client.read_all("op")
    assert b'"version":9' in rows.rows[0].body
    assert rows.rows[0].version > known.version
    assert rows.generation == known.generation + 1


def test_changes_after_a_version_of_an_earlier_era_are_not_requested(store, client):
    known = client.read_all("op")
    store.return_from(store.copy())
    client.read_all("op")
    calls = store.calls
    assert isinstance(client.changes("op", known.version, 0), HistoryLost)
    assert store.calls == calls


def test_a_condition_of_an_earlier_era_is_not_sent(store, client):
    copy = store.copy()
    committed = write(client, "duty/a")
    store.return_from(copy)
    client.read_all("op")
    calls = store.calls
    assert write(client, "duty/a", committed.version) == Outdated()
    assert store.calls == calls


def test_a_condition_that_holds_by_chance_confirms_nothing(store, client):
    """The row's number was given out again, to what another node wrote after the return."""
    copy = store.copy()
    committed = write(client, "duty/a")
    assert isinstance(committed, Committed)
    store.return_from(copy)
    store.put(OWN_TABLE, "duty/a", {"holder": "another"})
    assert write(client, "duty/a", committed.version) == Outdated()


def test_a_write_without_conditions_is_confirmed_by_the_era_that_answers(store, client):
    client.read_all("op")
    store.return_from(store.copy())
    result = client.commit_once(Transaction("op-1", {}, {"node/a": {"a": 1}}))
    assert isinstance(result, Committed)
    assert generation_of(result.version) == 1


def test_pages_of_two_eras_are_not_joined(store, client, monkeypatch):
    """A table of both held rows that the store had lost beside those that replace them."""
    for number in range(MAX_PAGE_ROWS + 1):
        store.put("servers", f"i-{number:04}", {"number": number})
    copy, answer = store.copy(), store._answer

    def answer_and_return(reply, status, data):
        answer(reply, status, data)
        if store.era == 4:
            store.return_from(copy)

    client.read_all("op")
    monkeypatch.setattr(store, "_answer", answer_and_return)
    assert isinstance(client.read_all("servers"), Unavailable)
    table = client.read_all("servers")
    assert isinstance(table, Changes)
    assert len(table.rows) == MAX_PAGE_ROWS + 1
