"""The example notes are what their generator writes."""

import pathlib
import shutil
import subprocess
import sys
import tempfile

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def main():
    with tempfile.TemporaryDirectory() as folder:
        shutil.copy(EXAMPLES / "make_notes.py", folder)
        subprocess.run([sys.executable, pathlib.Path(folder) / "make_notes.py"], check=True)
        written = sorted(pathlib.Path(folder).glob("*.ndjson"))
        assert [each.name for each in written] == sorted(
            each.name for each in EXAMPLES.glob("*.ndjson"))
        for each in written:
            assert each.read_bytes() == (EXAMPLES / each.name).read_bytes(), (
                f"examples/{each.name} differs: run examples/make_notes.py")


if __name__ == "__main__":
    main()
