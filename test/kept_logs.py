"""Folders for the logs of a test's processes, which outlive a run that fails."""

import os
import pathlib
import shutil
import sys
import tempfile

SHOWN_LINES = 30  # of each log, so that a failure in CI can be read from its output alone
SHOWN_BYTES = 64 << 10  # read from the end of each log to find them


def show_ends(folder):
    """Prints the last lines of each log in a folder to stderr."""
    for log in sorted(pathlib.Path(folder).glob("*.log")):
        with log.open("rb") as file:
            file.seek(max(0, log.stat().st_size - SHOWN_BYTES))
            lines = file.read().decode(errors="replace").splitlines()
        print(f"-- end of {log.name}", *lines[-SHOWN_LINES:], sep="\n", file=sys.stderr)


class LogFolder:
    """A folder in BUILD/test-logs; a context that removes it unless an exception passes.

    With FIGMILL_KEEP_LOGS set, the logs of a run that passes stay too, to be compared.
    """

    def __init__(self, build):
        parent = pathlib.Path(build).resolve() / "test-logs"
        parent.mkdir(exist_ok=True)
        self.path = pathlib.Path(
            tempfile.mkdtemp(prefix=f"{pathlib.Path(sys.argv[0]).stem}-", dir=parent))

    def close(self, failed):
        if not failed and not os.environ.get("FIGMILL_KEEP_LOGS"):
            shutil.rmtree(self.path)
            return
        if failed:
            show_ends(self.path)
        print(f"logs are kept in {self.path}", file=sys.stderr, flush=True)

    def __enter__(self):
        return self.path

    def __exit__(self, kind, *_):
        self.close(failed=kind is not None)
