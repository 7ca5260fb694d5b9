"""Conversion of configurations to and from TOML documents and binary chunks."""

import difflib
import hashlib
import json
import math
import sys
import tomllib
import types
import typing
import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from ._objects import OBJECT_TYPES, AnyObject, ConfigObject, Configuration, Kind, Target
from ._validation import Finding, ValidationError

# The store accepts values of up to 1 MB.
MAX_CHUNK_BYTES = 1_000_000

# Limit of a chunk's uncompressed content, which also bounds what decompression allocates.
MAX_CONTENT_BYTES = 900_000

MAX_DOCUMENT_CHARS = 64_000_000

# Mean number of objects in a chunk: a change rewrites about 30 KB, and 51,000 workspaces with keys
# make about 200 chunks. Services have fewer because they are larger than other objects, due to
# their targets.
OBJECTS_PER_CHUNK = {
    Kind.WORKSPACE: 512,
    Kind.KEY: 512,
    Kind.SERVICE: 16,
    Kind.DATA_CENTRE: 512,
    Kind.ROUTE: 128,
    Kind.LIMIT: 128,
}

COMPRESSION_LEVEL = 6


class ChunkError(ValueError):
    """A chunk or head cannot be encoded or decoded, or does not have the expected hash."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Chunk:
    """Encoded objects of one kind whose names are adjacent in sorted order."""

    hash: str
    data: bytes
    objects: tuple[ConfigObject, ...]

    @property
    def kind(self) -> Kind | None:
        """Kind of the objects, or ``None`` for an empty chunk."""
        return self.objects[0].kind if self.objects else None


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(list[AnyObject])


def hash_content(data: bytes) -> str:
    """Hash a chunk or head.

    :returns: the SHA-256 in hexadecimal.
    """
    return hashlib.sha256(data).hexdigest()


def encode_chunks(
    configuration: Configuration,
    previous_chunks: Sequence[Chunk] = (),
    previous: Configuration | None = None,
) -> list[Chunk]:
    """Split a configuration into chunks.

    Boundaries are content-defined: a chunk ends after an object whose name hashes to a multiple
    of ``OBJECTS_PER_CHUNK``, and a chunk whose content is too large is halved. A change therefore
    affects the chunk that holds the object and at most one more. Chunks of ``previous`` that hold
    identical objects are reused.

    :raises ChunkError: when a single object exceeds ``MAX_CONTENT_BYTES``.
    """
    by_first_object_id = {id(chunk.objects[0]): chunk for chunk in previous_chunks if chunk.objects}
    chunks: list[Chunk] = []
    for kind in Kind:
        mapping = configuration.of_kind(kind)
        if previous is not None and mapping is previous.of_kind(kind):
            chunks.extend(chunk for chunk in previous_chunks if chunk.kind is kind)
            continue
        for group in _split_at_boundaries(mapping, OBJECTS_PER_CHUNK[kind]):
            chunks.extend(_matching_chunks(group, by_first_object_id) or _encode_group(group))
    return chunks


def decode_chunk(data: bytes, expected_hash: str | None = None) -> Chunk:
    """Decode a chunk.

    :param expected_hash: the SHA-256 in hexadecimal that the data must have.
    :raises ChunkError: when the data is corrupt, too large, or has another hash.
    """
    actual_hash = hash_content(data)
    if expected_hash is not None and actual_hash != expected_hash:
        raise ChunkError(f"the content of chunk {expected_hash} has the hash {actual_hash}")
    try:
        objects = _decoder.decode(decompress(data, MAX_CONTENT_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise ChunkError(f"chunk {actual_hash} can't be decoded: {error}") from error
    for item in objects:
        _intern_strings(item)
    return Chunk(hash=actual_hash, data=data, objects=tuple(objects))


def decompress(data: bytes, limit_bytes: int) -> bytes:
    """Decompress zlib data without allocating more than the limit.

    :raises ChunkError: when the data is corrupt, incomplete, or exceeds the limit.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(data, limit_bytes)
    except zlib.error as error:
        raise ChunkError(f"the compressed content is corrupt: {error}") from error
    if not stream.eof:
        raise ChunkError(f"the content is incomplete or exceeds {limit_bytes} bytes")
    if stream.unused_data:
        raise ChunkError(f"{len(stream.unused_data)} bytes follow the compressed content")
    return content


def configuration_from_chunks(
    revision: int,
    chunks: Sequence[Chunk],
    previous: Configuration | None = None,
    previous_chunks: Sequence[Chunk] = (),
    pause: Callable[[], None] | None = None,
) -> Configuration:
    """Build a configuration from decoded chunks.

    Only the kinds that differ from ``previous``, which was built from ``previous_chunks``, are
    copied.

    :param pause: called after each added chunk, so that the caller can do other work.
    """
    previous = previous or Configuration()
    new_hashes = {chunk.hash for chunk in chunks}
    old_hashes = {chunk.hash for chunk in previous_chunks}
    removed = [chunk for chunk in previous_chunks if chunk.hash not in new_hashes]
    added = [chunk for chunk in chunks if chunk.hash not in old_hashes]
    # ConfigObject.kind costs an enum lookup, which this table avoids for each object.
    kinds = {object_type: kind for kind, object_type in OBJECT_TYPES.items()}
    mappings: dict[Kind, dict[str, ConfigObject]] = {}

    def mapping_of(item: ConfigObject) -> dict[str, ConfigObject]:
        kind = kinds[type(item)]
        if kind not in mappings:
            mappings[kind] = dict(previous.of_kind(kind))
        return mappings[kind]

    for chunk in removed:
        for item in chunk.objects:
            mapping_of(item).pop(item.name, None)
    for chunk in added:
        for item in chunk.objects:
            mapping_of(item)[item.name] = item
        if pause is not None:
            pause()
    return previous.with_objects(revision, mappings)


def _split_at_boundaries(
    mapping: Mapping[str, ConfigObject], modulus: int
) -> Iterator[list[ConfigObject]]:
    group = []
    for name in sorted(mapping):
        group.append(mapping[name])
        if xxhash.xxh3_64_intdigest(name.encode()) % modulus == 0:
            yield group
            group = []
    if group:
        yield group


def _matching_chunks(
    group: list[ConfigObject], by_first_object_id: Mapping[int, Chunk]
) -> list[Chunk]:
    """Find the earlier chunks that hold exactly the objects of a group, if there are any."""
    found = []
    start = 0
    while start < len(group):
        chunk = by_first_object_id.get(id(group[start]))
        if chunk is None:
            return []
        end = start + len(chunk.objects)
        part = group[start:end]
        if len(part) != len(chunk.objects) or any(map(_is_other_object, part, chunk.objects)):
            return []
        found.append(chunk)
        start = end
    return found


def _is_other_object(left: object, right: object) -> bool:
    return left is not right


def _encode_group(group: list[ConfigObject]) -> list[Chunk]:
    content = _encoder.encode(group)
    if len(content) > MAX_CONTENT_BYTES:
        if len(group) == 1:
            raise ChunkError(
                f"{group[0].kind} {group[0].name} takes {len(content)} bytes; "
                f"an object may take {MAX_CONTENT_BYTES} bytes"
            )
        middle = len(group) // 2
        return _encode_group(group[:middle]) + _encode_group(group[middle:])
    data = zlib.compress(content, COMPRESSION_LEVEL)
    return [Chunk(hash=hash_content(data), data=data, objects=tuple(group))]


def _intern_strings(item: ConfigObject) -> None:
    """Share equal labels, authors and data centres, which halves a configuration's memory."""
    msgspec.structs.force_setattr(item, "changed_by", sys.intern(item.changed_by))
    msgspec.structs.force_setattr(item, "labels", _intern_labels(item.labels))
    for target in item.targets if type(item) is OBJECT_TYPES[Kind.SERVICE] else ():
        msgspec.structs.force_setattr(target, "labels", _intern_labels(target.labels))
        msgspec.structs.force_setattr(target, "data_centre", sys.intern(target.data_centre))


_interned_labels: dict[tuple[tuple[str, str], ...], dict[str, str]] = {}
MAX_INTERNED_LABELS = 16_384


def _intern_labels(labels: dict[str, str]) -> dict[str, str]:
    if len(_interned_labels) >= MAX_INTERNED_LABELS:
        _interned_labels.clear()
    return _interned_labels.setdefault(tuple(labels.items()), labels)


def read_document(text: str) -> list[ConfigObject]:
    """Read the objects of a TOML document.

    :raises ValidationError: with a finding for each unknown or wrongly typed field.
    """
    if len(text) > MAX_DOCUMENT_CHARS:
        raise _document_error("size", len(text), f"at most {MAX_DOCUMENT_CHARS} characters")
    try:
        tables = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise _document_error("syntax", str(error), "a TOML document") from error
    return objects_from_tables(tables)


def objects_from_tables(tables: Mapping[str, object]) -> list[ConfigObject]:
    """Convert a mapping from kinds to lists of tables, as read from TOML or JSON.

    :raises ValidationError: with a finding for each unknown or wrongly typed field.
    """
    objects: list[ConfigObject] = []
    findings: list[Finding] = []
    for key, rows in tables.items():
        if key not in OBJECT_TYPES:
            findings.append(_unknown_field("document", "", key, [str(kind) for kind in Kind]))
        elif not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            findings.append(_finding("document", "", key, rows, f"tables headed [[{key}]]"))
        else:
            for row in rows:
                _read_object(Kind(key), row, objects, findings)
    findings.extend(_duplicate_findings(objects))
    if findings:
        raise ValidationError(findings)
    return objects


def _duplicate_findings(objects: Iterable[ConfigObject]) -> Iterator[Finding]:
    seen: set[tuple[Kind, str]] = set()
    for item in objects:
        if (item.kind, item.name) in seen:
            yield _finding(item.kind, item.name, "name", item.name, "a name used once")
        seen.add((item.kind, item.name))


def _read_object(
    kind: Kind, row: dict[str, object], objects: list[ConfigObject], findings: list[Finding]
) -> None:
    name = row.get("name")
    label = name if isinstance(name, str) else ""
    object_type = OBJECT_TYPES[kind]
    known = {item.encode_name: item for item in msgspec.structs.fields(object_type)}
    found = _read_fields(kind, label, row, known)
    targets = row.get("targets")
    if kind is Kind.SERVICE and isinstance(targets, list):
        target_fields = {item.encode_name: item for item in msgspec.structs.fields(Target)}
        found = [item for item in found if item.field != "targets"]
        for position, target in enumerate(targets, start=1):
            found.extend(_read_target(label, position, target, target_fields))
    if found:
        findings.extend(found)
        return
    try:
        objects.append(msgspec.convert(row | {"kind": kind.value}, object_type))
    except (msgspec.ValidationError, OverflowError) as error:
        findings.append(_finding(kind, label, "", None, f"a {kind} object ({error})"))


def _read_target(
    service: str, position: int, target: object, known: Mapping[str, msgspec.structs.FieldInfo]
) -> list[Finding]:
    field_name = f"targets[{position}]"
    if not isinstance(target, dict):
        return [_finding(Kind.SERVICE, service, field_name, target, "a table")]
    found = _read_fields(Kind.SERVICE, service, target, known)
    return [
        msgspec.structs.replace(item, field=f"{field_name}.{item.field}", name=service)
        for item in found
    ]


def _read_fields(
    kind: Kind,
    name: str,
    row: Mapping[str, object],
    known: Mapping[str, msgspec.structs.FieldInfo],
) -> list[Finding]:
    findings = []
    for key, value in row.items():
        if key not in known:
            findings.append(_unknown_field(kind, name, key, list(known)))
            continue
        try:
            msgspec.convert(value, known[key].type)
        except (msgspec.ValidationError, OverflowError):
            findings.append(_finding(kind, name, key, value, _describe_type(known[key].type)))
            continue
        # JSON cannot represent NaN and infinity: an instance would receive null instead.
        if isinstance(value, float) and not math.isfinite(value):
            findings.append(_finding(kind, name, key, value, "a finite number"))
    for key, field_info in known.items():
        if field_info.required and key not in row:
            findings.append(_finding(kind, name, key, None, "a value: the field is required"))
    return findings


_TYPE_DESCRIPTIONS = {
    str: "a text",
    int: "an integer",
    float: "a number",
    bool: "true or false",
    dict[str, str]: "a table of texts",
    tuple[str, ...]: "a list of texts",
    tuple[Target, ...]: "a list of tables",
}


def _describe_type(field_type: object) -> str:
    """Describe a field's type in an error message."""
    options = typing.get_args(field_type) if isinstance(field_type, types.UnionType) else ()
    described = [
        _TYPE_DESCRIPTIONS[item] for item in options or (field_type,) if item is not type(None)
    ]
    return " or ".join(described)


def _unknown_field(kind: str, name: str, key: str, known: Sequence[str]) -> Finding:
    nearest = difflib.get_close_matches(key, known, n=1)
    hint = f'; did you mean "{nearest[0]}"?' if nearest else ""
    return _finding(kind, name, key, None, f"one of {', '.join(known)}{hint}", unknown=True)


def _finding(
    kind: str, name: str, field: str, value: object, allowed: str, *, unknown: bool = False
) -> Finding:
    message = "unknown field" if unknown else ""
    return Finding(
        kind=str(kind), name=name, field=field, value=value, allowed=allowed, note=message
    )


def _document_error(field: str, value: object, allowed: str) -> ValidationError:
    return ValidationError([_finding("document", "", field, value, allowed)])


def write_document(objects: Iterable[ConfigObject]) -> str:
    """Write objects as a TOML document that :func:`read_document` reads back."""
    lines: list[str] = []
    for item in objects:
        table = msgspec.to_builtins(item)
        kind = table.pop("kind")
        targets = table.pop("targets", ())
        lines.append(f"[[{kind}]]")
        lines.extend(_toml_lines(table))
        lines.append("")
        for target in targets:
            lines.append(f"[[{kind}.targets]]")
            lines.extend(_toml_lines(target))
            lines.append("")
    return "\n".join(lines)


def _toml_lines(table: Mapping[str, object]) -> list[str]:
    return [f"{key} = {_toml_value(value)}" for key, value in table.items() if value is not None]


def _toml_value(value: object) -> str:
    if isinstance(value, str):
        return _toml_text(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, Mapping):
        pairs = (f"{_toml_text(key)} = {_toml_value(item)}" for key, item in value.items())
        return "{ " + ", ".join(pairs) + " }"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_toml_value(item) for item in value) + "]"
    return repr(value)


def _toml_text(text: str) -> str:
    # JSON strings are TOML basic strings, except that TOML requires DEL to be escaped.
    return json.dumps(text, ensure_ascii=False).replace("\x7f", "\\u007f")
