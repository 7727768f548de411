import unittest

from carobspring.consensus import (
    AddLearner,
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Member,
    MembershipChangeRefusedError,
    PromoteLearner,
    RemoveMember,
    Snapshot,
    Timing,
)
from carobspring.consensus.log import Log, encode_configuration
from carobspring.consensus.messages import Hello
from carobspring.consensus.reconfiguration import (
    MAX_LAG_ENTRIES,
    change_configuration,
    choose_replacement_step,
)
from carobspring.consensus.state import ReplicaState
from tests.consensus.simulation import SeededRandom

VOTERS = tuple(Member(identity=name + "1", name=name) for name in "abc")
LEARNER = Member(identity="b2", name="b", voter=False)
SPARE_LEARNER = Member(identity="d1", name="d", voter=False, replaces="b1")
INITIAL = Configuration(cluster="x", members=VOTERS)
WITH_LEARNER = INITIAL.with_member(LEARNER)


def make_state(
    configuration: Configuration, *, commit: int = 1, pending: bool = False
) -> ReplicaState:
    """Return the state of leader a in term 1, with its no-op at index 1."""
    entries = [Entry(index=1, term=1, kind=EntryKind.NO_OP)]
    if pending:
        data = encode_configuration(configuration)
        kind = EntryKind.CONFIGURATION
        entries.append(Entry(index=2, term=1, kind=kind, data=data))
    state = ReplicaState(
        identity="a1",
        timing=Timing(),
        random=SeededRandom("state"),
        log=Log(snapshot=Snapshot(configuration=configuration), entries=tuple(entries)),
        hard_state=HardState(term=1, vote="a1"),
        now=0.0,
    )
    state.commit_index = commit
    return state


def make_hello(
    identity: str, *, cluster: str = "", name: str = "b", rejoins: bool = False
) -> dict[str, Hello]:
    hello = Hello(
        sender=identity,
        receiver="",
        cluster=cluster,
        term=0,
        name=name,
        rejoins=rejoins,
    )
    return {name: hello}


class ChangeTest(unittest.TestCase):
    def test_refusals(self) -> None:
        """A change is refused, and the reason is the unmet condition."""
        add = AddLearner(token=1, identity="d1", name="d")
        promote = PromoteLearner(token=1, identity="b2")
        cases = [
            (make_state(INITIAL, commit=0), add, None, "reign has committed nothing"),
            (make_state(INITIAL, pending=True), add, None, "change before is not"),
            (
                make_state(INITIAL),
                AddLearner(token=1, identity="b1", name="b"),
                None,
                "b1 is a member",
            ),
            (
                make_state(INITIAL),
                RemoveMember(token=1, identity="z"),
                None,
                "z is no member",
            ),
            (
                make_state(INITIAL),
                RemoveMember(token=1, identity="a1"),
                None,
                "must hand over first",
            ),
            (make_state(WITH_LEARNER), promote, None, "b has not caught up"),
            (
                make_state(WITH_LEARNER),
                promote,
                MAX_LAG_ENTRIES + 1,
                "b has not caught up",
            ),
        ]
        for state, change, lag, reason in cases:
            with self.subTest(reason=reason, lag=lag):
                with self.assertRaisesRegex(MembershipChangeRefusedError, reason):
                    change_configuration(state=state, change=change, lag=lag)

    def test_promotion(self) -> None:
        """A learner that has caught up becomes a voter; all else stays."""
        promote = PromoteLearner(token=1, identity="b2")
        changed = change_configuration(
            state=make_state(WITH_LEARNER), change=promote, lag=MAX_LAG_ENTRIES
        )
        self.assertEqual(changed.find_voters(), ("a1", "b1", "b2", "c1"))


class ReplacementTest(unittest.TestCase):
    def test_steps(self) -> None:
        """A learner is added, the old identity leaves, the learner votes."""
        replaced = WITH_LEARNER.without_member("b1")
        behind = {"c1": 0, "b2": MAX_LAG_ENTRIES + 1}
        cases = [
            ("no hello", INITIAL, {}, {"c1": 0}, None),
            ("same identity", INITIAL, make_hello("b1"), {"c1": 0}, None),
            (
                "empty replica, new identity",
                INITIAL,
                make_hello("b2"),
                {"c1": 0},
                AddLearner(token=0, identity="b2", name="b"),
            ),
            (
                "old identity still replies",
                INITIAL,
                make_hello("b2"),
                {"b1": 0, "c1": 0},
                None,
            ),
            (
                "data of another cluster",
                INITIAL,
                make_hello("b2", cluster="y"),
                {"c1": 0},
                None,
            ),
            ("behind", WITH_LEARNER, make_hello("b2"), behind, None),
            (
                "caught up",
                WITH_LEARNER,
                make_hello("b2"),
                {"c1": 0, "b2": 1},
                RemoveMember(token=0, identity="b1"),
            ),
            (
                "old identity removed",
                replaced,
                make_hello("b2"),
                {"c1": 0, "b2": 1},
                PromoteLearner(token=0, identity="b2"),
            ),
        ]
        for name, configuration, hellos, lags, expected in cases:
            with self.subTest(name=name):
                state = make_state(configuration)
                step = choose_replacement_step(
                    state=state, hellos=hellos, running=hellos.keys(), lags=lags
                )
                self.assertEqual(step, expected)

    def test_silent_voter_is_replaced_by_a_spare(self) -> None:
        """A spare replaces a voter that has been silent for long."""
        spare = make_hello("d1", name="d")
        with_spare = INITIAL.with_member(SPARE_LEARNER)
        silent = frozenset({"b1"})
        caught_up = {"c1": 0, "d1": MAX_LAG_ENTRIES}
        added = AddLearner(token=0, identity="d1", name="d", replaces="b1")
        removed = RemoveMember(token=0, identity="b1")
        promoted = PromoteLearner(token=0, identity="d1")
        without = with_spare.without_member("b1")
        renamed = spare | make_hello("b2")
        former = make_hello("d1", name="d", cluster="x", rejoins=True)
        cases = [
            ("no silent voter", INITIAL, spare, {"c1": 0}, frozenset(), None),
            ("no spare", INITIAL, {}, {"c1": 0}, silent, None),
            ("spare", INITIAL, spare, {"c1": 0}, silent, added),
            (
                "spare with data",
                INITIAL,
                make_hello("d1", name="d", cluster="y", rejoins=True),
                {"c1": 0},
                silent,
                None,
            ),
            ("former member", INITIAL, former, {"c1": 0}, silent, added),
            (
                "member removed by an operator",
                INITIAL,
                make_hello("d1", name="d", cluster="x"),
                {"c1": 0},
                silent,
                None,
            ),
            ("spare behind", with_spare, spare, {"c1": 0}, silent, None),
            ("spare caught up", with_spare, spare, caught_up, silent, removed),
            ("old identity removed", without, spare, caught_up, frozenset(), promoted),
            (
                "old identity replies again",
                with_spare,
                spare,
                caught_up,
                frozenset(),
                RemoveMember(token=0, identity="d1"),
            ),
            ("silent one emptied", WITH_LEARNER, renamed, {"c1": 0}, silent, None),
            (
                "another voter emptied",
                WITH_LEARNER,
                make_hello("b2"),
                {"b2": 0},
                frozenset({"c1"}),
                RemoveMember(token=0, identity="b1"),
            ),
        ]
        for name, configuration, hellos, lags, lost, expected in cases:
            with self.subTest(name=name):
                step = choose_replacement_step(
                    state=make_state(configuration),
                    hellos=hellos,
                    running=hellos.keys(),
                    lags=lags,
                    silent=lost,
                )
                self.assertEqual(step, expected)

    def test_replicas_lost_during_a_replacement(self) -> None:
        """No replica that has gone as well blocks the replacement."""
        gone = make_hello("d1", name="d")
        other = make_hello("e1", name="e")
        both = gone | other
        with_spare = INITIAL.with_member(SPARE_LEARNER)
        without = with_spare.without_member("b1")
        second = Member(identity="e1", name="e", voter=False, replaces="d1")
        replacing_twice = without.with_member(second)
        add = AddLearner(token=0, identity="e1", name="e", replaces="b1")
        drop = RemoveMember(token=0, identity="d1")
        lags = {"c1": 0}
        cases = [
            ("spare gone", INITIAL, both, {"e"}, lags, {"b1"}, add),
            ("all spares gone", INITIAL, both, set(), lags, {"b1"}, None),
            ("learner lost", with_spare, both, {"e"}, lags, {"b1", "d1"}, drop),
            ("and no spare", with_spare, gone, set(), lags, {"b1", "d1"}, None),
            (
                "learner lost, old identity removed",
                without,
                both,
                {"e"},
                lags,
                {"d1"},
                AddLearner(token=0, identity="e1", name="e", replaces="d1"),
            ),
            (
                "second spare behind",
                replacing_twice,
                both,
                {"e"},
                lags,
                {"d1"},
                None,
            ),
            (
                "second spare caught up",
                replacing_twice,
                both,
                {"e"},
                lags | {"e1": 0},
                {"d1"},
                drop,
            ),
            (
                "learner returns",
                replacing_twice,
                both,
                {"d", "e"},
                lags | {"d1": 0, "e1": 0},
                set(),
                PromoteLearner(token=0, identity="d1"),
            ),
            (
                "second spare leaves",
                replacing_twice.with_member(Member(identity="d1", name="d")),
                both,
                {"d", "e"},
                lags | {"d1": 0, "e1": 0},
                set(),
                RemoveMember(token=0, identity="e1"),
            ),
            (
                "emptied replica lost for good",
                WITH_LEARNER,
                make_hello("b2") | other,
                {"e"},
                lags,
                {"b1", "b2"},
                RemoveMember(token=0, identity="b2"),
            ),
            (
                "emptied replica returns, a spare has its place",
                with_spare,
                gone | make_hello("b2"),
                {"b", "d"},
                lags,
                {"b1"},
                None,
            ),
            (
                "emptied replica gone before it was added",
                INITIAL,
                make_hello("b2"),
                set(),
                lags,
                {"b1"},
                None,
            ),
        ]
        for name, configuration, hellos, running, lags, lost, expected in cases:
            with self.subTest(name=name):
                step = choose_replacement_step(
                    state=make_state(configuration),
                    hellos=hellos,
                    running=running,
                    lags=lags,
                    silent=lost,
                )
                self.assertEqual(step, expected)
