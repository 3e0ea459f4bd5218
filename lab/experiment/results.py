"""Keeps the outcomes of plays in a folder, so that a run can be resumed."""

import hashlib
import json
import pathlib

from lab.experiment import bench, variants


class Results:
    """The outcomes of the plays that are done."""

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def find(
        self, variant: variants.Variant, play: bench.Play
    ) -> bench.Outcome | None:
        """Returns the outcome of a play; None if it is not done."""
        path = self.build_path(variant, play).with_suffix(".outcome")
        if not path.exists():
            return None
        return bench.Outcome(**json.loads(path.read_text()))

    def keep(
        self,
        variant: variants.Variant,
        play: bench.Play,
        outcome: bench.Outcome,
    ) -> None:
        """Keeps the outcome of a play."""
        path = self.build_path(variant, play).with_suffix(".outcome")
        path.write_text(json.dumps(outcome._asdict()))

    def build_path(
        self, variant: variants.Variant, play: bench.Play
    ) -> pathlib.Path:
        """Returns the file for the bench's report on a play.

        It depends on the sources and the settings, not on the variant's name.
        """
        key = [variant.commit, variant.settings, str(play.site), *play[1:]]
        digest = hashlib.sha256(json.dumps(key).encode()).hexdigest()[:12]
        day = pathlib.Path(play.day).stem
        return (
            self._folder / f"{play.site.stem}-{day}-{play.seed}-{digest}.json"
        )
