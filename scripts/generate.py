#!/usr/bin/env python3
"""Generates C structs, field tables and docs/SETTINGS.md from schema/schema.json."""
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = json.loads((ROOT / "schema/schema.json").read_text())
SIMPLE_KINDS = {"name": "NAME", "string": "STRING", "secret": "SECRET", "address": "ADDRESS",
                "int": "INT", "number": "NUMBER", "bool": "BOOL", "strings": "STRINGS"}
C_TYPES = {"INT": "int64_t ", "NUMBER": "double ", "BOOL": "bool ", "STRINGS": "GPtrArray *", "REFS": "GPtrArray *",
          "LIST": "GPtrArray *"}


def parse_type(field):
    """Returns the kind of FIELD and what follows the colon in its type: the table, object kind or choices, or ""."""
    type_name, _, target = field["type"].partition(":")
    parameterized = {"ref": "REF", "ref?": "REF_OPTIONAL", "refs": "REFS", "list": "LIST",
                     "choice": "CHOICE"}
    return parameterized.get(type_name) or SIMPLE_KINDS[type_name], target


def c_string(text):
    return json.dumps(text)


def structs_header():
    out = ["/* Settings and configuration objects.  Generated from schema/schema.json.  */", "",
           "#ifndef JC_OBJECTS_H", "#define JC_OBJECTS_H", "", '#include "base/fields.h"', ""]
    for name, table in SCHEMA.items():
        out += [f"/* {table['doc']}  */", f"struct jc_{name}", "{"]
        for f in table["fields"]:
            kind, _ = parse_type(f)
            out += [f"  /* {f['doc']}  */", f"  {C_TYPES.get(kind, 'char *')}{f['key']};"]
        out += ["};", ""]
    out += ["/* Kinds of configuration objects.  */", "enum jc_object_kind", "{"]
    objects = [n for n, t in SCHEMA.items() if t.get("object")]
    out += [f"  JC_OBJECT_{n.upper()}," for n in objects]
    out += ["  JC_OBJECT_KINDS", "};", ""]
    out += [f"extern const struct jc_table jc_{n}_table;" for n in SCHEMA]
    out += ["extern const struct jc_table *const jc_object_tables[JC_OBJECT_KINDS];", "", "#endif", ""]
    return "\n".join(out)


def field_initializer(name, f):
    kind, target = parse_type(f)
    parts = [f'.key = "{f["key"]}"', f".kind = JC_FIELD_{kind}",
             f".offset = offsetof (struct jc_{name}, {f['key']})"]
    if f.get("required"):
        parts.append(".required = true")
    if kind in ("INT", "NUMBER"):
        parts += [f".min = {f['min']}", f".max = {f['max']}"]
    if kind in ("INT", "BOOL") and "default" in f:
        parts.append(f".preset = {int(f['default'])}")
    if kind in ("STRING", "CHOICE") and f.get("default"):
        parts.append(f".preset_text = {c_string(f['default'])}")
    if kind == "NUMBER":
        parts.append(f'.preset_text = "{f["default"]}"')
    if kind == "LIST":
        parts.append(f".table = &jc_{target}_table")
    elif target:
        parts.append(f'.target = "{target}"')
    return "  { " + ",\n    ".join(parts) + " },"


def tables_source():
    out = ["/* Field tables.  Generated from schema/schema.json.  */", "",
           "#include <stddef.h>", "", '#include "schema/gen/objects.h"', ""]
    for name, table in SCHEMA.items():
        out += [f"static const struct jc_field {name}_fields[] = {{"]
        out += [field_initializer(name, f) for f in table["fields"]]
        out += ["};", "", f"const struct jc_table jc_{name}_table = {{", f'  .name = "{name}",',
                f"  .size = sizeof (struct jc_{name}),", f"  .fields = {name}_fields,",
                f"  .count = sizeof {name}_fields / sizeof *{name}_fields", "};", ""]
    out += ["const struct jc_table *const jc_object_tables[JC_OBJECT_KINDS] = {"]
    out += [f"  [JC_OBJECT_{n.upper()}] = &jc_{n}_table," for n, t in SCHEMA.items() if t.get("object")]
    out += ["};", ""]
    return "\n".join(out)


def settings_page():
    out = ["# Settings and objects", "", "Generated from `schema/schema.json`.", ""]
    for name, table in SCHEMA.items():
        out += [f"## {name}", "", table["doc"], "", "| key | type | default | bounds | meaning |", "|---|---|---|---|---|"]
        for f in table["fields"]:
            default = "required" if f.get("required") else json.dumps(f.get("default"))
            bounds = f"{f['min']} to {f['max']}" if "min" in f else ""
            out.append(f"| `{f['key']}` | {f['type'].replace('|', ', ')} | {default} | {bounds} | {f['doc']} |")
        out.append("")
    return "\n".join(out)


(ROOT / "schema/gen/objects.h").write_text(structs_header())
(ROOT / "schema/gen/objects.c").write_text(tables_source())
(ROOT / "docs/SETTINGS.md").write_text(settings_page())
