"""docs/FAULTS.md matches its table, and the check of it can fail."""

import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent


def check(root):
    done = subprocess.run([sys.executable, root / "support/fault-matrix", "--check"],
                          capture_output=True, text=True, check=False)
    return done.returncode, done.stderr


def test_the_page_is_up_to_date():
    code, problems = check(ROOT)
    assert code == 0, problems


def test_wrong_tables_and_pages_are_found():
    with tempfile.TemporaryDirectory() as scratch:
        root = pathlib.Path(scratch)
        for folder in ("support", "test", "docs"):
            (root / folder).mkdir()
        shutil.copy(ROOT / "support/fault-matrix", root / "support")
        shutil.copy(ROOT / "docs/FAULTS.md", root / "docs")
        for file in (ROOT / "test").iterdir():
            if file.is_file():
                shutil.copy(file, root / "test")
        assert check(root) == (0, "")
        table = root / "test/fault-matrix.tsv"
        good = table.read_text(encoding="utf-8")
        first = good.splitlines()[1]
        for bad, said in (
                (good.replace(first, first + "x"), "there is no case"),
                (good.replace(first.split("\t")[2], "gone-test.py"), "there is no case"),
                ("\n".join(line for line in good.splitlines() if not line.startswith("kill\taccept")),
                 "kill at accept: blank"),
                (good.replace("not proved yet: ", "later: "), "a reason starts with"),
                (good.replace("kill\tdispatch", "kil\tdispatch"), "no such fault"),
                (good.replace("not proved yet: ", "not proved yet: still ", 1), "out of date")):
            table.write_text(bad, encoding="utf-8")
            code, problems = check(root)
            assert code == 1 and said in problems, (said, problems)


for name, test in list(globals().items()):
    if name.startswith("test_"):
        print(name, flush=True)
        test()
