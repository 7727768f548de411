import unittest
import unittest.mock
from dataclasses import replace

from carobspring.domain import (
    LatencyTarget,
    Service,
    ServiceClass,
    ServiceKind,
    Settings,
    Workspace,
)
from carobspring.settings import (
    AuditEntry,
    Change,
    ChangeAnswer,
    ChangeRequest,
    ChangeStatus,
    KeyAddition,
    KeyRemoval,
    SettingsMachine,
    SubjectChange,
    WorkspaceSpec,
    get_fingerprint,
    hash_key,
    machine as machine_module,
)

CHAT = ServiceClass(name="chat", priority=90, target=LatencyTarget())
BATCH = ServiceClass(name="batch", priority=10, target=LatencyTarget())
ACME = WorkspaceSpec(name="acme", default_class="chat")
KEY_HASH = hash_key("acme.0123456789abcdef", salt="00112233aabbccdd")


def make_request(change_id: str, base: int, *changes: Change) -> ChangeRequest:
    return ChangeRequest(
        change_id=change_id,
        base_revision=base,
        changes=changes,
        operator="anna",
        at_ms=5,
    )


FIRST_REQUEST = make_request(
    "c1", 0, Change(set_class=CHAT), Change(set_workspace=ACME)
)


def make_machine() -> SettingsMachine:
    machine = SettingsMachine()
    machine.apply(FIRST_REQUEST)
    return machine


def copy_machine(machine: SettingsMachine) -> SettingsMachine:
    restored = SettingsMachine()
    restored.restore(machine.take_snapshot())
    return restored


class SettingsMachineTests(unittest.TestCase):
    def test_accepted_change(self):
        """An accepted change creates the next revision."""
        machine = SettingsMachine()
        answer = machine.apply(FIRST_REQUEST)
        self.assertEqual(answer, ChangeAnswer(status=ChangeStatus.ACCEPTED, revision=1))
        expected = Settings(
            revision=1,
            classes={"chat": CHAT},
            workspaces={"acme": Workspace(name="acme", default_class="chat")},
        )
        self.assertEqual(machine.settings, expected)

    def test_rejected_changes(self):
        """A rejection has a status and a reason, and changes nothing."""
        cases = {
            "older base revision": (
                make_request("c2", 0, Change(set_class=BATCH)),
                ChangeStatus.CONFLICT,
                "builds on revision 0, but revision 1 stands",
            ),
            "newer base revision": (
                make_request("c2", 2, Change(set_class=BATCH)),
                ChangeStatus.CONFLICT,
                "builds on revision 2, but revision 1 stands",
            ),
            "identifier of another change": (
                make_request("c1", 1, Change(set_class=BATCH)),
                ChangeStatus.REUSED,
                "change c1 was used for another change",
            ),
            "identifier of another operator": (
                replace(FIRST_REQUEST, operator="ben"),
                ChangeStatus.REUSED,
                "change c1 was used for another change",
            ),
            "class in use": (
                make_request("c2", 1, Change(remove_class="chat")),
                ChangeStatus.INVALID,
                "workspace acme: its default class chat does not exist",
            ),
            "unknown default class": (
                make_request(
                    "c2",
                    1,
                    Change(set_workspace=replace(ACME, default_class="batch")),
                ),
                ChangeStatus.INVALID,
                "workspace acme: its default class batch does not exist",
            ),
            "removal of an unknown service": (
                make_request("c2", 1, Change(remove_service="llama")),
                ChangeStatus.INVALID,
                "service llama: does not exist",
            ),
            "key of an unknown workspace": (
                make_request(
                    "c2",
                    1,
                    Change(add_key=KeyAddition(workspace="x", key_hash=KEY_HASH)),
                ),
                ChangeStatus.INVALID,
                "workspace x: does not exist",
            ),
            "unknown key": (
                make_request(
                    "c2",
                    1,
                    Change(remove_key=KeyRemoval(workspace="acme", fingerprint="ab")),
                ),
                ChangeStatus.INVALID,
                "workspace acme: has no key with fingerprint ab",
            ),
        }
        for name, (request, status, reason) in cases.items():
            with self.subTest(name):
                machine = make_machine()
                before = machine.settings
                answer = machine.apply(request)
                self.assertIs(answer.status, status)
                self.assertIn(reason, answer.reason)
                self.assertEqual(answer.revision, 1)
                self.assertIs(machine.settings, before)
                self.assertEqual(len(machine.list_audit()), 1)

    def test_resent_request_gets_the_first_answer(self):
        """A resent request is not applied twice, also after a restore."""
        conflicting = make_request("c2", 0, Change(set_class=BATCH))
        for name, request in {
            "accepted": FIRST_REQUEST,
            "conflict": conflicting,
        }.items():
            machine = make_machine()
            first = machine.apply(request)
            machine.apply(make_request("c3", 1, Change(set_class=BATCH)))
            for kind, copy in {
                "same": machine,
                "restored": copy_machine(machine),
            }.items():
                with self.subTest(f"{name} {kind}"):
                    # A tool that resends a request has read a newer revision.
                    resent = replace(request, base_revision=2, at_ms=9)
                    self.assertEqual(copy.apply(resent), first)
                    self.assertEqual(copy.settings.revision, 2)

    def test_order_of_steps(self):
        """A step may refer to a class that a later step creates."""
        machine = SettingsMachine()
        request = make_request(
            "c1", 0, Change(set_workspace=ACME), Change(set_class=CHAT)
        )
        self.assertIs(machine.apply(request).status, ChangeStatus.ACCEPTED)

    def test_keys(self):
        """Keys change one by one; a change of the workspace keeps them."""
        machine = make_machine()
        add = Change(add_key=KeyAddition(workspace="acme", key_hash=KEY_HASH))
        limited = Change(set_workspace=replace(ACME, concurrency_limit=5))
        fingerprint = get_fingerprint(KEY_HASH)
        remove = Change(
            remove_key=KeyRemoval(workspace="acme", fingerprint=fingerprint)
        )
        key_hashes = []
        for number, change in enumerate((add, add, limited, remove), 1):
            machine.apply(make_request(f"k{number}", number, change))
            key_hashes.append(machine.settings.workspaces["acme"].key_hashes)
        self.assertEqual(key_hashes, [(KEY_HASH,), (KEY_HASH,), (KEY_HASH,), ()])

    def test_audit(self):
        """An audit entry has operator, time and values, but no key hash."""
        machine = make_machine()
        add = Change(add_key=KeyAddition(workspace="acme", key_hash=KEY_HASH))
        llama = Service(name="llama", kind=ServiceKind.MODEL)
        machine.apply(make_request("c2", 1, add, Change(set_service=llama)))
        fingerprint = get_fingerprint(KEY_HASH)
        before = '{"name":"acme","default_class":"chat","key_hashes":[%s],'
        before += '"concurrency_limit":0}'
        expected = AuditEntry(
            revision=2,
            change_id="c2",
            operator="anna",
            at_ms=5,
            subjects=(
                SubjectChange(
                    subject="workspace acme",
                    before=before % "",
                    after=before % f'"{fingerprint}"',
                ),
                SubjectChange(
                    subject="service llama",
                    after='{"name":"llama","kind":"model","unrepeatable":[]}',
                ),
            ),
        )
        for copy in (machine, copy_machine(machine)):
            self.assertEqual(copy.list_audit()[0], expected)

    def test_limits(self):
        """Answers and the audit trail are bounded.

        A resent request whose answer was removed is a conflict.
        """
        limits = {"MAX_ANSWERS": 2, "MAX_AUDIT_ENTRIES": 3}
        for name, limit in limits.items():
            patch = unittest.mock.patch.object(machine_module, name, limit)
            patch.start()
            self.addCleanup(patch.stop)
        machine = SettingsMachine()
        requests = [
            make_request(f"c{base}", base, Change(set_class=replace(CHAT, priority=p)))
            for base, p in enumerate(range(10, 15))
        ]
        for request in requests:
            machine.apply(request)
        self.assertEqual(len(machine.take_snapshot().answers), 2)
        revisions = [entry.revision for entry in machine.list_audit()]
        self.assertEqual(revisions, [5, 4, 3])
        self.assertIs(machine.apply(requests[0]).status, ChangeStatus.CONFLICT)
