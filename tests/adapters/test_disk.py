import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from carobspring.adapters.disk import DirectoryInUseError, DiskStorage
from carobspring.ports import StorageError


class DiskStorageTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name) / "data"

    def test_files(self) -> None:
        """Files are appended to, truncated, replaced and removed by name."""
        storage = DiskStorage(self.directory)
        storage.append("log", b"one")
        storage.append("log", b"two")
        storage.sync("log")
        self.assertEqual(storage.read("log"), b"onetwo")
        storage.truncate("log", 4)
        storage.append("log", b"!")
        self.assertEqual(storage.read("log"), b"onet!")
        storage.write_atomically("log", b"new")
        storage.append("log", b"er")
        self.assertEqual(storage.read("log"), b"newer")
        self.assertEqual(storage.list_names(), ["log"])
        storage.remove("log")
        storage.remove("log")
        storage.sync_directory()
        self.assertEqual(storage.list_names(), [])
        storage.close()

    def test_second_process(self) -> None:
        """A directory in use can be opened again only after close."""
        storage = DiskStorage(self.directory)
        with self.assertRaisesRegex(DirectoryInUseError, "another process uses"):
            DiskStorage(self.directory)
        storage.close()
        DiskStorage(self.directory).close()

    def test_syncs_file_and_directory(self) -> None:
        """A file is synced before it is renamed, its directory afterwards."""
        storage = DiskStorage(self.directory)
        calls: list[str] = []
        real_fsync, real_rename = os.fsync, os.rename

        def fsync(descriptor: int) -> None:
            calls.append(
                "directory" if descriptor == storage._directory_descriptor else "file"
            )
            real_fsync(descriptor)

        def rename(source: Path, target: Path) -> None:
            calls.append("rename")
            real_rename(source, target)

        with mock.patch("os.fsync", fsync), mock.patch("os.rename", rename):
            storage.write_atomically("snapshot", b"state")
        self.assertEqual(calls, ["file", "rename", "directory"])
        storage.close()

    def test_errors_name_file_and_reason(self) -> None:
        """Errors of the operating system are raised as StorageError."""
        storage = DiskStorage(self.directory)
        with self.assertRaisesRegex(StorageError, "can't read log: No such file"):
            storage.read("log")
        full = OSError(28, "No space left on device")
        with mock.patch("os.write", side_effect=full):
            with self.assertRaisesRegex(
                StorageError, "can't append to log: No space left on device"
            ):
                storage.append("log", b"x")
        storage.close()
