"""Public names for platforms that define how their targets communicate."""

from ._notice_headers import NoticeHeaders
from ._upstream import TargetDialect

__all__ = ["NoticeHeaders", "TargetDialect"]
