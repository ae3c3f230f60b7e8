#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Writes days of trouble for the users' bench.

    meta/make_days.py cover OUT              a few days that have each kind of trouble once or more, for any site
    meta/make_days.py pairs OUT SEED COUNT   days drawn by the seed: two or three kinds, each twice, overlapping
    meta/make_days.py with OUT SEED COUNT KIND...   the same, each with one of these kinds beside two drawn ones
    meta/make_days.py growth OUT SITE        days on which the configuration grows while the site's endpoints are
                                             replaced, with the traffic of its quiet day; and one with small changes

A day is a TOML file in the form of a site's [[day]]; the bench plays it with the site's own load.
"""
import pathlib
import random
import sys
import tomllib

# Each entry: what the bench calls the trouble and the fields that shape it, in the forms that its list of kinds tells.
TROUBLES = [
    'kind = "burst", x = 1.6, for_s = 3.0',
    'kind = "shift", share = 0.5, for_s = 5.0',
    'kind = "hot_key", share = 0.3, for_s = 5.0',
    'kind = "hot_tenant", x = 7.0, for_s = 6.0',
    'kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.0',
    'kind = "give_up", share = 0.2, for_s = 5.0',
    'kind = "srv_crash", share = 0.17, for_s = 4.0, how = ""',
    'kind = "srv_crash", share = 0.17, for_s = 4.0, how = "dark"',
    'kind = "srv_crash", share = 0.1, how = "gone"',
    'kind = "srv_grey", share = 0.15, for_s = 6.0, how = "errors", x = 0.4',
    'kind = "srv_grey", share = 0.15, for_s = 6.0, how = "hang", x = 0.4',
    'kind = "srv_grey", share = 0.15, for_s = 6.0, how = "reset", x = 0.4',
    'kind = "srv_grey", share = 0.15, for_s = 6.0, how = "mute", x = 0.4',
    'kind = "srv_grey", share = 0.15, for_s = 6.0, how = "busy", x = 0.4',
    'kind = "release", share = 0.45, x = 1.0, gap_s = 1.0',
    'kind = "scale_out", share = 0.25, gap_s = 2.0',
    'kind = "scale_in", share = 0.13',
    'kind = "answer_lost", share = 0.45, x = 0.03, for_s = 5.0',
    'kind = "answer_lost", share = 0.5, x = 0.06, for_s = 4.0, how = "reset"',
    'kind = "garble", share = 0.4, x = 0.03, for_s = 5.0, how = ""',
    'kind = "garble", share = 0.4, x = 0.03, for_s = 5.0, how = "extra"',
    'kind = "garble", share = 0.4, x = 0.03, for_s = 5.0, how = "unframed"',
    'kind = "garble", share = 0.4, x = 0.03, for_s = 5.0, how = "early"',
    'kind = "node_kill", share = 0.2, for_s = 3.0, how = "power"',
    'kind = "node_kill", share = 0.4',
    'kind = "node_kill", on = "core", count = 1, how = "leader race drain"',
    'kind = "node_freeze", share = 0.25, for_s = 3.0',
    'kind = "node_slow", share = 0.25, x = 5.0, for_s = 5.0',
    'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.3',
    'kind = "roll_term", how = "busy", gap_s = 1.0',
    'kind = "add_nodes"',
    'kind = "after_ack_kill", for_s = 3.0, how = "kill"',
    'kind = "after_ack_kill", for_s = 3.0, how = "timed"',
    'kind = "clock_step", share = 0.5, x = 3000.0, for_s = 6.0, how = "back"',
    'kind = "core_cut", count = 1, for_s = 5.0, how = "leader refuse"',
    'kind = "core_cut", for_s = 4.0, how = "leader race"',
    'kind = "node_cut", share = 0.25, for_s = 5.0',
    'kind = "node_cut", share = 0.3, for_s = 5.0, how = "reset revoke"',
    'kind = "lossy", x = 0.03, for_s = 5.0',
    'kind = "platform_down", for_s = 4.0, how = "silent"',
    'kind = "platform_down", for_s = 4.0, how = "busy lapse"',
    'kind = "platform_down", for_s = 6.0, how = "nodes reset revoke meet", share = 0.35',
    'kind = "platform_slow", x = 60.0, for_s = 4.0',
    'kind = "platform_lost", x = 0.35, for_s = 4.0, how = "late"',
    'kind = "platform_compact", x = 5.0, for_s = 8.0, how = "drain"',
    'kind = "config_change", how = "route"',
    'kind = "config_change", how = "weights"',
    'kind = "config_change", how = "timeout"',
    'kind = "config_change", how = "tenant"',
    'kind = "config_storm", for_s = 4.0, gap_s = 0.33',
    'kind = "big_config", count = 350',
    'kind = "revoke", count = 2, gap_s = 1.5',
    'kind = "srv_slow", share = 0.2, x = 4.0, for_s = 5.0',
    'kind = "srv_cut", share = 0.2, for_s = 5.0',
    'kind = "srv_cut", share = 0.2, for_s = 5.0, how = "fronts reset"',
    'kind = "replace_with_reuse", share = 0.15, how = "drain"',
    'kind = "replace_with_reuse", share = 0.15, how = "dark"',
    'kind = "herd_kill", share = 0.6',
    'kind = "herd_kill", share = 0.6, how = "power", for_s = 2.0',
    'kind = "hup", share = 1.0, gap_s = 1.0',
    'kind = "reset_conns", share = 0.4, x = 0.6',
    'kind = "cold_return", for_s = 4.5, how = ""',
    'kind = "cold_return", for_s = 4.0, how = "dark"',
    'kind = "evacuate", for_s = 7.0',
    'kind = "evacuate", for_s = 7.0, how = "warm"',
    'kind = "srv_lying_health", share = 0.15, for_s = 6.0, how = "bad"',
    'kind = "srv_lying_health", share = 0.15, for_s = 6.0, how = "errors"',
    'kind = "srv_lying_health", share = 0.15, for_s = 6.0, how = "hang"',
    'kind = "srv_lying_health", share = 0.15, for_s = 6.0, how = "reset"',
    'kind = "srv_flap", share = 0.15, gap_s = 1.4, for_s = 6.5',
    'kind = "node_freeze", share = 0.25, for_s = 3.0, how = "renewed"',
    'kind = "garble", share = 0.6, x = 0.03, for_s = 5.0, how = "extra late"',
    'kind = "bridge_cut", for_s = 5.5',
    'kind = "herd_kill", on = "core"',
    'kind = "herd_kill", on = "core", how = "power", share = 0.55, for_s = 2.0',
]
PLANNED = {"release", "scale_out", "scale_in", "roll_term", "add_nodes", "config_change", "config_storm",
           "big_config", "revoke", "hup", "evacuate"}
CLOSINGS = ['{ kind = "power_off_all", down_s = 1.2 }', '{ kind = "kill_all", down_s = 0.5 }', None]


def kind_of(trouble: str) -> str:
    return trouble.split('"')[1]


def write_day(path: pathlib.Path, name: str, seed: int, strikes: list[tuple[float, str]], closing: str | None) -> None:
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", "one = 0.6", "zero = 0.2",
             "goal = { floor = 0.2 }"]
    if closing:
        lines.append(f"closing = {closing}")
    for part, is_planned in (("plan", True), ("faults", False)):
        lines.append(f"{part} = [")
        lines += [f"  {{ at = {at:.2f}, {trouble} }}," for at, trouble in strikes
                  if (kind_of(trouble) in PLANNED) == is_planned]
        lines.append("]")
    path.write_text("\n".join(lines) + "\n")


def cover(out: pathlib.Path) -> None:
    generator = random.Random(7)
    troubles = TROUBLES[:]
    generator.shuffle(troubles)
    per_day = 6
    for number, start in enumerate(range(0, len(troubles), per_day), 1):
        chosen = troubles[start:start + per_day]
        strikes = [(1.0 + 4.5 * place, trouble) for place, trouble in enumerate(chosen)]
        write_day(out / f"cover-{number}.toml", f"cover-{number}", number, strikes, CLOSINGS[number % len(CLOSINGS)])


def pairs(out: pathlib.Path, seed: int, count: int) -> None:
    generator = random.Random(seed)
    for number in range(1, count + 1):
        chosen = generator.sample(TROUBLES, generator.choice((2, 2, 3)))
        strikes = [(round(generator.uniform(1, 26), 2), trouble) for trouble in chosen for _ in range(2)]
        # One pair strikes at nearly the same moment.
        strikes[2] = (strikes[0][0] + generator.uniform(0, 1), strikes[2][1])
        name = f"pairs-{seed}-{number}"
        write_day(out / f"{name}.toml", name, seed * 1000 + number, sorted(strikes), generator.choice(CLOSINGS))


def with_kinds(out: pathlib.Path, seed: int, count: int, kinds: list[str]) -> None:
    generator = random.Random(seed)
    wanted = [trouble for trouble in TROUBLES if kind_of(trouble) in kinds]
    for number in range(1, count + 1):
        chosen = [wanted[(number - 1) % len(wanted)], *generator.sample(TROUBLES, 2)]
        strikes = [(round(generator.uniform(1, 24), 2), trouble) for trouble in chosen for _ in range(2)]
        # What is wanted strikes at nearly the same moment as another.
        strikes[0] = (strikes[2][0] + generator.uniform(0, 2), strikes[0][1])
        name = f"with-{seed}-{number}"
        write_day(out / f"{name}.toml", name, seed * 1000 + number, sorted(strikes), generator.choice(CLOSINGS))


def growth(out: pathlib.Path, site: pathlib.Path) -> None:
    declared = tomllib.loads(site.read_text())
    streamed = next(service["name"] for service in declared["services"] if "llm" in service)
    quiet = next(day for day in declared["day"] if day["slot"] == "quiet")
    for name, growing in (("growth-1400", 'kind = "big_config", count = 1400'),
                          ("growth-2800", 'kind = "big_config", count = 2800'),
                          ("growth-none", 'kind = "config_change", how = "idle"')):
        strikes = [(3.0, f'kind = "release", service = "{streamed}", share = 0.6, x = 1, gap_s = 0.5')]
        for at in (6.0, 14.0, 22.0):
            strikes += [(at, growing), (at + 0.7, 'kind = "config_change", how = "idle"')]
        path = out / f"{name}.toml"
        write_day(path, name, 63, strikes, None)
        with path.open("a") as day:
            for field in ("small", "traffic"):
                if field in quiet:
                    day.write(f"{field} = {inline(quiet[field])}\n")


def inline(value: object) -> str:
    """Formats a value as it stands in one line of a TOML file."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {inline(entry)}" for key, entry in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(inline(entry) for entry in value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f'"{value}"' if isinstance(value, str) else str(value)


def main() -> None:
    if len(sys.argv) >= 3:
        pathlib.Path(sys.argv[2]).mkdir(parents=True, exist_ok=True)
    if len(sys.argv) >= 3 and sys.argv[1] == "cover":
        cover(pathlib.Path(sys.argv[2]))
    elif len(sys.argv) == 5 and sys.argv[1] == "pairs":
        pairs(pathlib.Path(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]))
    elif len(sys.argv) == 4 and sys.argv[1] == "growth":
        growth(pathlib.Path(sys.argv[2]), pathlib.Path(sys.argv[3]))
    elif len(sys.argv) >= 6 and sys.argv[1] == "with":
        with_kinds(pathlib.Path(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), sys.argv[5:])
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
