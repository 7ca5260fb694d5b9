"""Tests of documents and chunks."""

import random
import unittest
import zlib
from pathlib import Path

import msgspec
from config_samples import make_objects, make_service, objects
from hypothesis import given, settings
from hypothesis import strategies as st
from tanagerreach_core._documents import MAX_CONTENT_BYTES
from tanagerreach_core.config import (
    MAX_CHUNK_BYTES,
    OBJECT_TYPES,
    ChunkError,
    ChunkReference,
    Configuration,
    Head,
    Kind,
    Service,
    ValidationError,
    Workspace,
    check_configuration,
    configuration_from_chunks,
    decode_chunk,
    decode_head,
    decompress,
    encode_chunks,
    encode_head,
    read_document,
    write_document,
)

BAD_DOCUMENTS = [
    ("[[workspace]]\nnmae='x'", "workspace: nmae: unknown field; allowed is one of name"),
    ("[[workspace]]\nnmae='x'", 'did you mean "name"?'),
    ("[[worksapce]]\nname='x'", 'did you mean "workspace"?'),
    ("[workspace]\nname='x'", "tables headed [[workspace]]"),
    ("workspace=[1]", "tables headed [[workspace]]"),
    ("[[workspace]]\nname=3", "workspace: name = 3: allowed is a text"),
    ("[[workspace]]\nname='x'\nlabels={a=1}", "workspace x: labels = {'a': 1}: allowed is a table"),
    ("[[key]]\nname='k'\nworkspace='w'", "key k: key_hash: allowed is a value"),
    ("[[limit]]\nname='l'\nburst=1\nrate_per_s='x'", "limit l: rate_per_s = 'x': allowed is a nu"),
    ("[[route]]\nname='r'\nservice='s'\nopen=1", "route r: open = 1: allowed is true or false"),
    ("[[service]]\nname='s'\nfloor=true", "service s: floor = True: allowed is an integer"),
    ("[[service]]\nname='s'\ntargets=[3]", "service s: targets[1] = 3: allowed is a table"),
    ("[[service]]\nname='s'\n[[service.targets]]\nadress='x'", 'did you mean "address"?'),
    (
        "[[workspace]]\nname='x'\n[[workspace]]\nname='x'",
        "workspace x: name = 'x': allowed is a na",
    ),
    ("name = ", "document: syntax"),
]


def add(configuration, *added):
    """Copy a configuration with objects added or replaced."""
    return Configuration.from_objects(configuration.revision + 1, [*configuration, *added])


def workspaces(count):
    """Build a configuration that contains only workspaces."""
    made = (Workspace(name=f"workspace-{number}") for number in range(count))
    return Configuration.from_objects(1, made)


class TomlTest(unittest.TestCase):
    """Documents must round-trip, and errors must name the field."""

    @given(st.lists(objects, unique_by=lambda item: (item.kind, item.name)))
    def test_round_trip(self, made):
        """Guards against values that the writer or the reader loses or changes."""
        expected = sorted(made, key=lambda item: list(Kind).index(item.kind))
        self.assertEqual(read_document(write_document(expected)), expected)

    def test_errors_name_object_and_field(self):
        """Guards against errors that do not name the invalid field and its allowed values."""
        for text, expected in BAD_DOCUMENTS:
            with self.subTest(text=text), self.assertRaises(ValidationError) as caught:
                read_document(text)
            self.assertIn(expected, str(caught.exception))

    @settings(max_examples=300)
    @given(
        st.text()
        | st.tuples(
            st.sampled_from([f"[[{kind}]]\n" for kind in Kind] + ["[[service.targets]]\n"]),
            st.lists(
                st.tuples(
                    st.sampled_from(["name", "labels", "targets", "floor", "rate_per_s", "open"]),
                    st.sampled_from(["=1", "='x'", "=[]", "={}", "=nan", "=1e999", "=[[1]]"])
                    | st.integers().map("={}".format),
                ).map("".join),
                max_size=4,
            ).map("\n".join),
        ).map("".join)
    )
    def test_fuzz(self, text):
        """Guards against exceptions other than ValidationError from the reader."""
        try:
            read_document(text)
        except ValidationError as error:
            self.assertTrue(error.findings)

    def test_deep_nesting(self):
        """Guards against a RecursionError that is not converted to a ValidationError."""
        with self.assertRaises(ValidationError):
            read_document("workspace = " + "[" * 100_000)


class PageTest(unittest.TestCase):
    """Operators write their documents after the documentation page on objects."""

    PAGE = Path(__file__).parents[3] / "docs/operators/objects.md"

    def test_example_is_valid(self):
        """Guards against an example that is refused."""
        example = self.PAGE.read_text(encoding="utf-8").split("```")[1].removeprefix("toml")
        configuration = Configuration.from_objects(1, read_document(example))
        self.assertEqual(check_configuration(configuration), [])

    def test_fields_are_described(self):
        """Guards against fields that the page omits, and outdated defaults on the page."""
        page = self.PAGE.read_text(encoding="utf-8")
        for object_type in OBJECT_TYPES.values():
            for field in msgspec.structs.fields(object_type):
                self.assertIn(f"`{field.name}`", page)
        service = Service(name="s")
        for name in ("floor", "slots_per_target", "cold_concurrency", "timeout_s", "data_centres"):
            default = getattr(service, name)
            text = f"`{default}`" if isinstance(default, str) else f"{default:g}"
            self.assertRegex(page, rf"\| `{name}` \|[^|]*\| {text} \|")


class ChunkTest(unittest.TestCase):
    """Chunks are loaded by all instances, so they must be exact, and changes must be cheap."""

    @given(st.lists(objects))
    def test_round_trip(self, made):
        """Guards against objects that the encoding loses or changes, and joins without pauses."""
        configuration = Configuration.from_objects(3, made)
        decoded = [decode_chunk(chunk.data, chunk.hash) for chunk in encode_chunks(configuration)]
        self.assertEqual(configuration_from_chunks(3, decoded), configuration)
        pauses = []
        configuration_from_chunks(3, decoded, pause=lambda: pauses.append(None))
        self.assertEqual(len(pauses), len(decoded), "a join without pauses blocks an instance")

    def test_incremental_results_are_canonical(self):
        """Guards against chunks that depend on the history of changes instead of the content."""
        rng = random.Random(5)
        configuration = add(workspaces(3000), *make_objects())
        chunks = encode_chunks(configuration)
        followed, followed_chunks = configuration, chunks
        for step in range(30):
            name = f"workspace-{rng.randrange(3100)}"
            labels = {"step": str(step)}
            changed = add(configuration, Workspace(name=name, labels=labels))
            if step % 3 == 0 and name in configuration.workspaces:
                kept = (item for item in configuration if item.name != name)
                changed = Configuration.from_objects(changed.revision, kept)
            new_chunks = encode_chunks(changed, chunks, configuration)
            hashes = [chunk.hash for chunk in new_chunks]
            fresh = encode_chunks(changed)
            self.assertEqual(hashes, [chunk.hash for chunk in fresh])
            kept_ids = {id(chunk) for chunk in chunks}
            self.assertLessEqual(sum(id(chunk) not in kept_ids for chunk in new_chunks), 2)
            followed = configuration_from_chunks(changed.revision, fresh, followed, followed_chunks)
            self.assertEqual(followed, changed)
            configuration, chunks, followed_chunks = changed, new_chunks, fresh

    def test_size_limit(self):
        """Guards against chunks that the store would refuse."""
        services = [make_service(f"service-{number}", 1000) for number in range(40)]
        chunks = encode_chunks(Configuration.from_objects(1, services))
        self.assertLess(max(len(chunk.data) for chunk in chunks), MAX_CHUNK_BYTES)
        for chunk in chunks:
            decode_chunk(chunk.data, chunk.hash)
        with self.assertRaises(ChunkError):
            encode_chunks(Configuration.from_objects(1, [make_service("large", 20_000)]))

    def test_bounded_decompression(self):
        """Guards against a small chunk that exhausts the memory when decompressed."""
        for size in (MAX_CONTENT_BYTES + 1, 50_000_000):
            with self.assertRaises(ChunkError):
                decode_chunk(zlib.compress(bytes(size)))
        data = zlib.compress(b"content")
        self.assertEqual(decompress(data, 7), b"content")
        for corrupt, limit in ((data, 6), (data[:-1], 99), (data + b"x", 99), (b"", 99)):
            with self.assertRaises(ChunkError):
                decompress(corrupt, limit)

    def test_wrong_hash(self):
        """Guards against content that is not the one that the head references."""
        chunk, other = encode_chunks(add(workspaces(1), *make_objects()))[:2]
        with self.assertRaises(ChunkError):
            decode_chunk(chunk.data, other.hash)

    @given(
        st.binary(max_size=60)
        | st.binary(max_size=60).map(zlib.compress)
        | st.recursive(
            st.none() | st.integers(-9, 9) | st.text(max_size=4) | st.just("workspace"),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(st.sampled_from(["kind", "name", "labels"]), inner)
            ),
        ).map(lambda value: zlib.compress(msgspec.msgpack.encode(value)))
    )
    def test_fuzz(self, data):
        """Guards against exceptions other than ChunkError from the decoders of chunks and heads."""
        for decode in (decode_chunk, decode_head):
            try:
                decode(data)
            except ChunkError:
                continue

    @given(st.integers(0, 2000), st.binary(min_size=1, max_size=3))
    def test_corrupt_head(self, position, garbage):
        """Guards against a corrupt head that is accepted."""
        head = Head(revision=7, chunks=tuple(ChunkReference(f"{n:064x}", n) for n in range(9)))
        data = encode_head(head)
        self.assertEqual(decode_head(data), head)
        position %= len(data)
        corrupt = data[:position] + garbage + data[position + len(garbage) :]
        if corrupt != data:
            with self.assertRaises(ChunkError):
                decode_head(corrupt)
