"""Generated sequences of concurrent, resent and reused change requests."""

import unittest

from hypothesis import settings as hypothesis_settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from carobspring.domain import LatencyTarget, ServiceClass
from carobspring.settings import (
    Change,
    ChangeAnswer,
    ChangeRequest,
    ChangeStatus,
    SettingsMachine,
    WorkspaceSpec,
)

NAMES = st.sampled_from(["chat", "batch"])
CHANGES = st.one_of(
    st.builds(
        lambda name, priority: Change(
            set_class=ServiceClass(name=name, priority=priority, target=LatencyTarget())
        ),
        NAMES,
        st.integers(0, 3),
    ),
    st.builds(lambda name: Change(remove_class=name), NAMES),
    st.builds(
        lambda name: Change(
            set_workspace=WorkspaceSpec(name="acme", default_class=name)
        ),
        NAMES,
    ),
    st.just(Change(remove_workspace="acme")),
)


# The source text of this class seeds the derandomized runs.
class OperatorsRace(RuleBasedStateMachine):
    """Two replicas apply the same requests; one restarts from snapshots."""

    @initialize()
    def start(self):
        self.steady = SettingsMachine()
        self.restarting = SettingsMachine()
        self.sent: dict[str, ChangeRequest] = {}
        self.first: dict[str, ChangeAnswer] = {}

    def apply(self, request: ChangeRequest) -> ChangeAnswer:
        answer = self.steady.apply(request)
        assert self.restarting.apply(request) == answer
        return answer

    @rule(change=CHANGES, behind=st.integers(0, 2))
    def send(self, change, behind):
        revision = self.steady.settings.revision
        request = ChangeRequest(
            change_id=f"c{len(self.sent)}",
            base_revision=max(0, revision - behind),
            changes=(change,),
        )
        answer = self.apply(request)
        self.sent[request.change_id] = request
        self.first[request.change_id] = answer
        grown = self.steady.settings.revision - revision
        assert grown == (answer.status is ChangeStatus.ACCEPTED)
        if behind and revision:
            assert answer.status is ChangeStatus.CONFLICT

    @rule(data=st.data())
    def resend(self, data):
        if self.sent:
            change_id = data.draw(st.sampled_from(sorted(self.sent)))
            before = self.steady.settings
            assert self.apply(self.sent[change_id]) == self.first[change_id]
            assert self.steady.settings is before

    @rule(change=CHANGES, data=st.data())
    def reuse(self, change, data):
        if self.sent:
            change_id = data.draw(st.sampled_from(sorted(self.sent)))
            if self.sent[change_id].changes != (change,):
                request = ChangeRequest(
                    change_id=change_id,
                    base_revision=self.steady.settings.revision,
                    changes=(change,),
                )
                assert self.apply(request).status is ChangeStatus.REUSED

    @rule()
    def restart(self):
        snapshot = self.restarting.take_snapshot()
        self.restarting = SettingsMachine()
        self.restarting.restore(snapshot)

    @invariant()
    def replicas_agree(self):
        assert self.steady.settings == self.restarting.settings
        assert self.steady.list_audit() == self.restarting.list_audit()

    @invariant()
    def settings_are_sound(self):
        for workspace in self.steady.settings.workspaces.values():
            assert workspace.default_class in self.steady.settings.classes

    @invariant()
    def each_accepted_change_is_a_revision(self):
        accepted = [
            answer.revision
            for answer in self.first.values()
            if answer.status is ChangeStatus.ACCEPTED
        ]
        assert accepted == list(range(1, self.steady.settings.revision + 1))


class OperatorsRaceTests(unittest.TestCase):
    def test_races(self):
        """Each accepted change makes one revision and is applied once."""
        run_state_machine_as_test(
            OperatorsRace,
            settings=hypothesis_settings(
                derandomize=True,
                max_examples=60,
                stateful_step_count=30,
                deadline=None,
                database=None,
            ),
        )
