"""Lookup of the limit that applies to a workspace."""

from collections.abc import Iterable, Iterator

from ._objects import Limit, Workspace
from ._selectors import NAME_LABEL, Selector

MAX_CACHED_LABELS = 65_536


class LimitIndex:
    """Index of limits by a label value that they require, so that a lookup tests few of them.

    Of several limits that select a workspace, the highest priority wins, then the selector with
    more requirements, then the name that comes first. Workspaces with the same labels have the
    same limit, which is cached, unless a limit's selector mentions their name.
    """

    __slots__ = ("_by_label", "_by_labels_cache", "_depends_on_name", "_unlabelled")

    def __init__(self, limits: Iterable[Limit]) -> None:
        ranked = sorted(((limit, limit.selector()) for limit in limits), key=_rank)
        self._by_label: dict[tuple[str, str], list[tuple[int, Limit, Selector]]] = {}
        self._unlabelled: list[tuple[int, Limit, Selector]] = []
        self._by_labels_cache: dict[tuple[tuple[str, str], ...], Limit | None] = {}
        self._depends_on_name = False
        for rank, (limit, selector) in enumerate(ranked):
            self._add((rank, limit, selector))

    def _add(self, entry: tuple[int, Limit, Selector]) -> None:
        selector = entry[2]
        requirement = selector.positive_requirement()
        if requirement is None or requirement.key != NAME_LABEL:
            keys = {item.key for item in selector.requirements}
            self._depends_on_name = self._depends_on_name or NAME_LABEL in keys
        if requirement is None:
            self._unlabelled.append(entry)
            return
        for value in requirement.values:
            self._by_label.setdefault((requirement.key, value), []).append(entry)

    def find(self, workspace: Workspace) -> Limit | None:
        """Return the limit of a workspace, or ``None`` when no limit selects it."""
        if self._depends_on_name or (NAME_LABEL, workspace.name) in self._by_label:
            return self._search(workspace)
        labels = tuple(workspace.labels.items())
        if labels not in self._by_labels_cache:
            if len(self._by_labels_cache) >= MAX_CACHED_LABELS:
                self._by_labels_cache.clear()
            self._by_labels_cache[labels] = self._search(workspace)
        return self._by_labels_cache[labels]

    def _search(self, workspace: Workspace) -> Limit | None:
        best: tuple[int, Limit] | None = None
        for group in self._groups(workspace):
            for rank, limit, selector in group:
                if best is not None and rank > best[0]:
                    break
                if selector.picks(workspace):
                    best = (rank, limit)
                    break
        return None if best is None else best[1]

    def _groups(self, workspace: Workspace) -> Iterator[list[tuple[int, Limit, Selector]]]:
        yield self._by_label.get((NAME_LABEL, workspace.name), [])
        for label in workspace.labels.items():
            yield self._by_label.get(label, [])
        yield self._unlabelled


def _rank(entry: tuple[Limit, Selector]) -> tuple[int, int, str]:
    limit, selector = entry
    return (-limit.priority, -len(selector.requirements), limit.name)
