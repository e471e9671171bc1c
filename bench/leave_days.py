#!/usr/bin/env python3
"""Writes days on which hosts leave while other troubles go on, for `fleetbench run`.

    bench/leave_days.py SITE FOLDER [--days N] [--seed S] [--without KIND,...]

Each day takes the traffic of the site's first standard day. Hosts leave in three waves, in each way that the
bench knows; two or three troubles of the core, the gateways or the clients overlap with each wave. The same
seed writes the same days.
"""
import argparse
import pathlib
import random
import re
import tomllib

WAVES = (4.0, 12.0, 20.0)  # seconds from the start of traffic

LEAVES = (
    '{{ at = {at}, kind = "scale_in", share = 0.2 }}',
    '{{ at = {at}, kind = "release", share = 0.4, x = 1.0, gap_s = 0.8 }}',
    '{{ at = {at}, kind = "replace_with_reuse", share = 0.2, how = "drain" }}',
)

TROUBLES = (
    ("core_cut", 'count = 1, for_s = {long}, how = "lure"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "lure one_way"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "near drain"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "split"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "split lure"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "leader race drain"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "both"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "relieve"'),
    ("node_cut", 'share = 0.3, for_s = {long}, how = ""'),
    ("node_cut", 'share = 0.3, for_s = {long}, how = "giver"'),
    ("node_kill", 'on = "core", count = 1, how = "leader race drain"'),
    ("node_kill", 'on = "core", count = 1, for_s = 3.0, how = "power giver drain"'),
    ("herd_kill", 'on = "core", for_s = 1.0, how = ""'),
    ("herd_kill", 'share = 0.6, for_s = 1.5, how = "power"'),
    ("node_freeze", 'share = 0.3, for_s = 2.5'),
    ("node_slow", 'share = 0.3, x = 6.0, for_s = {long}'),
    ("reset_conns", 'share = 0.4, x = 0.7'),
    ("replace_core", 'x = 1.0, how = "giver"'),
    ("replace_core", 'x = 1.5, how = "planned"'),
    ("after_ack_wipe", 'for_s = 2.5, how = ""'),
    ("roll_term", 'share = 0.5, x = 1.0, gap_s = 1.0, how = "busy"'),
    ("clock_step", 'share = 0.3, x = 3000.0, for_s = 5.0, how = "back"'),
    ("disk_slow", 'count = 1, x = 30.0, for_s = {long}'),
    ("burst", 'x = 2.5, for_s = 5.0'),
)


def value(text):
    """A value of the parsed site file, written as TOML again."""
    if isinstance(text, dict):
        return "{ " + ", ".join(f"{key} = {value(item)}" for key, item in text.items()) + " }"
    if isinstance(text, list):
        return "[" + ", ".join(value(item) for item in text) + "]"
    if isinstance(text, bool):
        return str(text).lower()
    return f'"{text}"' if isinstance(text, str) else repr(text)


def day(site, number, rng, without):
    """The text of one day."""
    standard = site["day"][0]
    known = [trouble for trouble in TROUBLES if trouble[0] not in without]
    plan, faults = [], []
    for wave in WAVES:
        at = round(wave + rng.uniform(0, 1.5), 2)
        for leave in rng.sample(LEAVES, 2):
            plan.append(leave.format(at=round(at + rng.uniform(0.3, 3.0), 2)))
        for kind, rest in rng.sample(known, rng.choice((2, 3))):
            begins = round(at + rng.uniform(0, 1.5), 2)
            rest = rest.format(long=round(rng.uniform(4.0, 7.0), 1))
            faults.append(f'{{ at = {begins}, kind = "{kind}", {rest} }}')
    lines = ['slot = "trouble"', f"seed = {rng.randrange(1, 2**31)}", "one = 0.8", "zero = 0.4"]
    lines += ["goal = { floor = 0.1 }", f'wall = {standard["wall"]}', "light = true", "labels = []"]
    lines += [f'name = "leaves-{number}"', f"plan = [{', '.join(plan)}]", f"faults = [{', '.join(faults)}]"]
    lines.append(f'traffic = {value(standard["traffic"])}')
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--days", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--without", default="", help="kinds that the site's contracts don't open")
    options = parser.parse_args()
    site = tomllib.loads(options.site.read_text())
    without = set(filter(None, re.split(",", options.without)))
    options.folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(options.seed)
    for number in range(options.days):
        text = day(site, options.seed * 1000 + number, rng, without)
        (options.folder / f"leaves-{options.seed}-{number:03}.toml").write_text(text)


if __name__ == "__main__":
    main()
