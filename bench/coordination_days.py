#!/usr/bin/env python3
"""Writes days on which troubles of the core overlap and a closing fault ends them, for `fleetbench run`.

    bench/coordination_days.py SITE FOLDER [--days N] [--seed S]

For the deployments with locks. Each day takes the traffic of the site's first standard day; three waves of three
troubles each strike members and gateways, and each kind of closing fault comes in turn. The same seed writes the
same days.
"""
import argparse
import pathlib
import random
import tomllib

from leave_days import value

WAVES = (2.0, 10.0, 18.0)  # seconds from the start of traffic

TROUBLES = (
    ("core_cut", 'count = 1, for_s = {long}, how = "leader race hard"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "one_way"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "split"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "behind"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "all"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "both"'),
    ("core_cut", 'count = 1, for_s = {long}, how = "relieve"'),
    ("node_cut", 'share = 0.3, for_s = {long}, how = "all"'),
    ("node_kill", 'on = "core", count = 1, for_s = 2.0, how = "leader race"'),
    ("node_kill", 'on = "core", count = 2, for_s = 3.0, how = "power"'),
    ("node_freeze", 'on = "core", count = 1, for_s = 3.5, how = "leader race hard"'),
    ("node_freeze", 'share = 0.3, for_s = 2.5'),
    ("node_slow", 'on = "core", count = 1, x = 6.0, for_s = {long}, how = "leader"'),
    ("disk_stall", 'count = 1, for_s = {long}, how = "leader"'),
    ("disk_stall", 'count = 2, for_s = 3.0, how = ""'),
    ("disk_slow", 'count = 2, x = 30.0, for_s = {long}'),
    ("clock_step", 'share = 0.5, x = 4000.0, for_s = 5.0, how = "leader"'),
    ("clock_step", 'share = 0.5, x = 9000.0, for_s = 5.0, how = "back"'),
    ("replace_core", 'x = 1.0, how = "leader"'),
    ("replace_core", 'x = 1.5, how = "planned"'),
    ("replace_core", 'x = 1.0, how = "oldest"'),
    ("after_ack_wipe", 'for_s = 2.5, how = ""'),
    ("after_ack_wipe", 'for_s = 2.5, how = "oldest"'),
    ("after_ack_kill", 'for_s = 2.1, how = "kill"'),
    ("herd_kill", 'on = "core", for_s = 1.0, how = ""'),
    ("herd_kill", 'on = "core", for_s = 1.5, how = "taken"'),
    ("herd_kill", 'share = 0.6, for_s = 1.5, how = "power"'),
    ("reset_conns", 'share = 0.5, x = 0.7'),
    ("roll_term", 'share = 0.5, x = 2.0, gap_s = 1.0, how = "busy"'),
    ("seed_turnover", ""),
)

CLOSINGS = (
    '{{ kind = "power_off_all", down_s = {down} }}',
    '{{ kind = "wipe_after_ack", down_s = {down} }}',
    '{{ kind = "wipe_after_ack", down_s = {down}, how = "aimed" }}',
    '{{ kind = "wipe_after_ack", down_s = {down}, how = "oldest" }}',
    '{{ kind = "wipe_after_ack", down_s = {down}, how = "taken" }}',
    '{{ kind = "kill_all", down_s = {down} }}',
    '{{ kind = "power_off_all", down_s = {down}, how = "timed" }}',
)


def day(site, number, rng):
    """The text of one day."""
    standard = site["day"][0]
    faults = []
    for wave in WAVES:
        for kind, rest in rng.sample(TROUBLES, 3):
            at = round(wave + rng.uniform(0, 3.0), 2)
            rest = rest.format(long=round(rng.uniform(3.0, 6.0), 1))
            faults.append(f'{{ at = {at}, kind = "{kind}"{", " + rest if rest else ""} }}')
    closing = CLOSINGS[number % len(CLOSINGS)].format(down=round(rng.uniform(1.0, 2.0), 1))
    lines = ['slot = "trouble"', f"seed = {rng.randrange(1, 2**31)}", "one = 0.8", "zero = 0.4"]
    lines += ["goal = { floor = 0.1 }", f'wall = {standard["wall"]}', "light = true", "labels = []"]
    lines += [f'name = "coordination-{number}"', f"faults = [{', '.join(faults)}]", "plan = []"]
    lines += [f"closing = {closing}", f'traffic = {value(standard["traffic"])}']
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--days", type=int, default=21)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    site = tomllib.loads(options.site.read_text())
    options.folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(options.seed)
    for number in range(options.days):
        text = day(site, number, rng)
        tomllib.loads(text)
        (options.folder / f"coordination-{number:03}.toml").write_text(text)


if __name__ == "__main__":
    main()
