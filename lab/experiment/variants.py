"""Variants of the system: a commit, with settings in the environment."""

import pathlib
import re
import subprocess
from typing import NamedTuple

# The file that says how the program is started, and the line before which the
# environment is set there.
DEPLOY_FILE = "deploy/system.toml"
_RUN = re.compile(r"^run = .*$", re.MULTILINE)


class Variant(NamedTuple):
    """A variant of the system.

    Attributes:
        name: the name in tables.
        commit: the commit of its sources.
        settings: pairs of an environment variable and its value.
    """

    name: str
    commit: str
    settings: tuple[tuple[str, str], ...] = ()


def parse_variant(text: str) -> Variant:
    """Returns the variant written as NAME=COMMIT[,VARIABLE=VALUE...].

    Raises:
        ValueError: the text has another form.
    """
    first, *rest = text.split(",")
    name, equals, commit = first.partition("=")
    settings = [tuple(item.split("=", 1)) for item in rest]
    if not (name and equals and commit) or any(
        len(item) != 2 for item in settings
    ):
        raise ValueError(f"{text!r} is no NAME=COMMIT[,VARIABLE=VALUE...]")
    return Variant(name, commit, tuple(settings))


def check_out(
    variant: Variant, repository: pathlib.Path, tree: pathlib.Path
) -> str:
    """Makes a clone with a variant's sources; returns the whole commit id.

    A clone that is there already is used again.
    """
    if not tree.exists():
        _run_git(tree.parent, "clone", "--quiet", str(repository), str(tree))
    commit = _run_git(repository, "rev-parse", f"{variant.commit}^{{commit}}")
    everything = "+refs/*:refs/remotes/source/*"
    _run_git(tree, "fetch", "--quiet", str(repository), everything)
    _run_git(tree, "checkout", "--quiet", "--force", commit)
    if variant.settings:
        path = tree / DEPLOY_FILE
        path.write_text(add_settings(path.read_text(), variant.settings))
    return commit


def add_settings(text: str, settings: tuple[tuple[str, str], ...]) -> str:
    """Returns the deploy file with variables for the program."""
    pairs = ", ".join(f'{name} = "{value}"' for name, value in settings)
    return _RUN.sub(lambda found: f"{found[0]}\nenv = {{ {pairs} }}", text)


def _run_git(folder: pathlib.Path, *arguments: str) -> str:
    return subprocess.run(
        ["git", *arguments],
        cwd=folder,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
